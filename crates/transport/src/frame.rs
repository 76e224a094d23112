//! Frames: length, CRC-32C, payload.

use std::io;

use bytes::{Buf, Bytes, BytesMut};
use calicohoist_wire::{FrameError, MAX_FRAME_BYTES, encode, write_frame};
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::io::{AsyncRead, AsyncReadExt};

/// Length and checksum before each payload.
pub const HEADER_BYTES: usize = 8;
const READ_BYTES: usize = 16 << 10;

/// Encodes `message` as a frame.
///
/// # Errors
/// When it cannot be represented or is too long.
pub fn encode_frame<T: Serialize>(message: &T) -> Result<Vec<u8>, FrameError> {
    let mut frame = Vec::new();
    write_frame(&mut frame, message)?;
    Ok(frame)
}

/// The frame of an encoded message.
pub fn frame_of(payload: &[u8]) -> Vec<u8> {
    begin_frame(payload.len(), crc32c::crc32c(payload), payload)
}

/// The header of a payload of this length and checksum, with the `first` part of the payload.
fn begin_frame(length: usize, checksum: u32, first: &[u8]) -> Vec<u8> {
    let mut frame = Vec::with_capacity(HEADER_BYTES + first.len());
    frame.extend_from_slice(&(length as u32).to_le_bytes());
    frame.extend_from_slice(&checksum.to_le_bytes());
    frame.extend_from_slice(first);
    frame
}

/// Length and checksum of the payload that follows a header.
pub(crate) fn split_header(header: &[u8; HEADER_BYTES]) -> (usize, u32) {
    let [a, b, c, d, e, f, g, h] = *header;
    (u32::from_le_bytes([a, b, c, d]) as usize, u32::from_le_bytes([e, f, g, h]))
}

/// The last field of a message, encoded once for the frames of many connections.
#[derive(Clone, Debug)]
pub struct SharedField {
    encoded: Bytes,
    checksum: u32,
}

impl SharedField {
    /// Encodes a field.
    ///
    /// # Errors
    /// When it cannot be represented.
    pub fn encode<T: Serialize>(field: &T) -> Result<Self, FrameError> {
        let encoded = Bytes::from(encode(field)?);
        let checksum = crc32c::crc32c(&encoded);
        Ok(Self { encoded, checksum })
    }
}

/// A frame that is to be written.
#[derive(Clone, Debug)]
pub struct Frame {
    own: Vec<u8>,
    shared: Bytes,
}

impl Frame {
    /// The frame of `message`.
    ///
    /// # Errors
    /// When it cannot be represented or is too long.
    pub fn encode<T: Serialize>(message: &T) -> Result<Self, FrameError> {
        Ok(Self { own: encode_frame(message)?, shared: Bytes::new() })
    }

    /// The frame of a message of two fields, of which many frames share the last: a message is
    /// encoded as its fields, one after the other.
    ///
    /// # Errors
    /// When it cannot be represented or is too long.
    pub fn with_shared<T: Serialize>(first: &T, last: &SharedField) -> Result<Self, FrameError> {
        let first = encode(first)?;
        let shared = last.encoded.clone();
        let length = first.len() + shared.len();
        if length > MAX_FRAME_BYTES {
            return Err(FrameError::TooLong(length));
        }
        let checksum = crc32c::crc32c_combine(crc32c::crc32c(&first), last.checksum, shared.len());
        Ok(Self { own: begin_frame(length, checksum, &first), shared })
    }

    /// Bytes on the wire.
    pub fn len(&self) -> usize {
        self.own.len() + self.shared.len()
    }

    /// Whether there are none; no frame is without its header.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Bytes that only this frame holds in memory.
    pub fn own_bytes(&self) -> usize {
        self.own.len()
    }

    /// What is to be written, in this order.
    pub(crate) fn into_parts(self) -> (Vec<u8>, Bytes) {
        (self.own, self.shared)
    }
}

/// Reads frames; cancelling a read loses nothing.
pub struct FrameReader<R> {
    input: R,
    buffer: BytesMut,
    last_len: usize,
}

impl<R: AsyncRead + Unpin> FrameReader<R> {
    /// Reads from `input`.
    pub fn new(input: R) -> Self {
        Self { input, buffer: BytesMut::new(), last_len: 0 }
    }

    /// Bytes on the wire of the message that was read last.
    pub fn last_len(&self) -> usize {
        self.last_len
    }

    /// The next message.
    ///
    /// # Errors
    /// See [`FrameError`]; the connection is of no use afterwards.
    pub async fn next<T: DeserializeOwned>(&mut self) -> Result<T, FrameError> {
        self.next_noting(|| {}).await
    }

    /// The same; `on_bytes` is called whenever bytes have come, of a whole message or not.
    ///
    /// # Errors
    /// See [`FrameError`]; the connection is of no use afterwards.
    pub async fn next_noting<T: DeserializeOwned>(
        &mut self,
        mut on_bytes: impl FnMut(),
    ) -> Result<T, FrameError> {
        self.fill(&mut on_bytes).await?;
        calicohoist_wire::decode(&self.take_payload()?)
    }

    /// The next payload if `is_wanted`; else it is left to be read.
    ///
    /// # Errors
    /// See [`FrameError`]; the connection is of no use afterwards.
    pub async fn take_if(
        &mut self,
        is_wanted: impl FnOnce(&[u8]) -> bool,
    ) -> Result<Option<Bytes>, FrameError> {
        let length = self.fill(&mut || {}).await?;
        let is_wanted = is_wanted(&self.buffer[HEADER_BYTES..HEADER_BYTES + length]);
        is_wanted.then(|| self.take_payload()).transpose()
    }

    /// Reads until a whole frame is here; returns the length of its payload.
    async fn fill(&mut self, on_bytes: &mut impl FnMut()) -> Result<usize, FrameError> {
        loop {
            if let Some(length) = self.whole_payload()? {
                return Ok(length);
            }
            self.buffer.reserve(READ_BYTES);
            if self.input.read_buf(&mut self.buffer).await? == 0 {
                return Err(io::Error::from(io::ErrorKind::UnexpectedEof).into());
            }
            on_bytes();
        }
    }

    /// Length of the next payload, once all of it is here.
    fn whole_payload(&self) -> Result<Option<usize>, FrameError> {
        let Some(header) = self.buffer.first_chunk::<HEADER_BYTES>() else {
            return Ok(None);
        };
        let (length, _) = split_header(header);
        if length > MAX_FRAME_BYTES {
            return Err(FrameError::TooLong(length));
        }
        Ok((self.buffer.len() >= HEADER_BYTES + length).then_some(length))
    }

    /// Takes a payload that is here as a whole.
    fn take_payload(&mut self) -> Result<Bytes, FrameError> {
        let Some(header) = self.buffer.first_chunk::<HEADER_BYTES>() else {
            return Err(io::Error::from(io::ErrorKind::UnexpectedEof).into());
        };
        let (length, checksum) = split_header(header);
        self.buffer.advance(HEADER_BYTES);
        let payload = self.buffer.split_to(length).freeze();
        self.last_len = HEADER_BYTES + length;
        if crc32c::crc32c(&payload) != checksum {
            return Err(FrameError::Checksum);
        }
        Ok(payload)
    }
}

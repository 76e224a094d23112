//! Frame format: length, CRC-32C checksum, payload.

use std::io;
use std::time::Duration;

use bytes::{Buf, Bytes, BytesMut};
use calicohoist_wire::{FrameError, MAX_FRAME_BYTES, encode, write_frame};
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::io::{AsyncRead, AsyncReadExt};
use tokio::time::{Instant, timeout_at};

/// Size of the frame header: payload length and checksum.
pub const HEADER_BYTES: usize = 8;
const READ_BUFFER_BYTES: usize = 16 << 10;
/// Time in which the first frame of a connection begins.
const FIRST_FRAME_TIMEOUT: Duration = Duration::from_secs(10);
/// Time that any frame may take, however slow its link is.
const FRAME_GRACE: Duration = Duration::from_secs(10);
/// Minimum rate at which the bytes of a frame arrive that takes longer, in bytes a second.
const MIN_BYTES_PER_SECOND: u32 = 16 << 10;

/// Encodes `message` as a frame.
///
/// # Errors
/// When the message cannot be serialized or is too long.
pub fn encode_frame<T: Serialize>(message: &T) -> Result<Vec<u8>, FrameError> {
    let mut frame = Vec::new();
    write_frame(&mut frame, message)?;
    Ok(frame)
}

/// Returns the frame of a serialized message.
pub fn frame_payload(payload: &[u8]) -> Vec<u8> {
    begin_frame(payload.len(), crc32c::crc32c(payload), payload)
}

/// Returns a frame header followed by the `first` part of the payload.
fn begin_frame(length: usize, checksum: u32, first: &[u8]) -> Vec<u8> {
    let mut frame = Vec::with_capacity(HEADER_BYTES + first.len());
    frame.extend_from_slice(&(length as u32).to_le_bytes());
    frame.extend_from_slice(&checksum.to_le_bytes());
    frame.extend_from_slice(first);
    frame
}

/// Decodes the payload length and checksum of a header.
pub(crate) fn split_header(header: &[u8; HEADER_BYTES]) -> (usize, u32) {
    let [a, b, c, d, e, f, g, h] = *header;
    (u32::from_le_bytes([a, b, c, d]) as usize, u32::from_le_bytes([e, f, g, h]))
}

/// Last field of a message, serialized once and shared by the frames of many connections.
#[derive(Clone, Debug)]
pub struct SharedField {
    encoded: Bytes,
    checksum: u32,
}

impl SharedField {
    /// Serializes a field.
    ///
    /// # Errors
    /// When the field cannot be serialized.
    pub fn encode<T: Serialize>(field: &T) -> Result<Self, FrameError> {
        let encoded = Bytes::from(encode(field)?);
        let checksum = crc32c::crc32c(&encoded);
        Ok(Self { encoded, checksum })
    }

    /// Length of the serialized field, in bytes.
    pub fn len(&self) -> usize {
        self.encoded.len()
    }

    /// Whether the serialized field has no bytes.
    pub fn is_empty(&self) -> bool {
        self.encoded.is_empty()
    }
}

/// A frame to be sent.
#[derive(Clone, Debug)]
pub struct Frame {
    head: Vec<u8>,
    shared_tail: Bytes,
}

impl Frame {
    /// Encodes `message` as a frame.
    ///
    /// # Errors
    /// When the message cannot be serialized or is too long.
    pub fn encode<T: Serialize>(message: &T) -> Result<Self, FrameError> {
        Ok(Self { head: encode_frame(message)?, shared_tail: Bytes::new() })
    }

    /// Encodes a message of two fields whose last field is shared with other frames. This relies
    /// on a message being serialized as the concatenation of its fields.
    ///
    /// # Errors
    /// When the message cannot be serialized or is too long.
    pub fn with_shared<T: Serialize>(first: &T, last: &SharedField) -> Result<Self, FrameError> {
        let first = encode(first)?;
        let shared_tail = last.encoded.clone();
        let length = first.len() + shared_tail.len();
        if length > MAX_FRAME_BYTES {
            return Err(FrameError::TooLong(length));
        }
        let checksum =
            crc32c::crc32c_combine(crc32c::crc32c(&first), last.checksum, shared_tail.len());
        Ok(Self { head: begin_frame(length, checksum, &first), shared_tail })
    }

    /// Length of the frame, in bytes.
    pub fn len(&self) -> usize {
        self.head.len() + self.shared_tail.len()
    }

    /// Whether the frame has no bytes. Always `false`, since a frame has a header.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Memory held by this frame alone, without the shared field, in bytes.
    pub fn unshared_bytes(&self) -> usize {
        self.head.len()
    }

    /// Returns the two parts of the frame, in the order in which they are sent.
    pub(crate) fn into_parts(self) -> (Vec<u8>, Bytes) {
        (self.head, self.shared_tail)
    }
}

/// Reads frames. Reads are cancellation-safe.
pub struct FrameReader<R> {
    input: R,
    buffer: BytesMut,
    last_frame_len: usize,
    /// When the first bytes of the incomplete frame in the buffer arrived.
    frame_began_at: Option<Instant>,
}

impl<R: AsyncRead + Unpin> FrameReader<R> {
    /// Creates a reader of `input`.
    pub fn new(input: R) -> Self {
        Self { input, buffer: BytesMut::new(), last_frame_len: 0, frame_began_at: None }
    }

    /// Length of the last frame that was read, in bytes.
    pub fn last_frame_len(&self) -> usize {
        self.last_frame_len
    }

    /// Reads the next message.
    ///
    /// # Errors
    /// See [`FrameError`]; the connection is unusable afterwards.
    pub async fn next<T: DeserializeOwned>(&mut self) -> Result<T, FrameError> {
        self.next_with_progress(|_| {}).await
    }

    /// Reads the next message and calls `on_bytes` with the number of bytes whenever some arrive,
    /// even if the message is incomplete.
    ///
    /// # Errors
    /// See [`FrameError`]; the connection is unusable afterwards.
    pub async fn next_with_progress<T: DeserializeOwned>(
        &mut self,
        mut on_bytes: impl FnMut(usize),
    ) -> Result<T, FrameError> {
        self.buffer_frame(&mut on_bytes).await?;
        calicohoist_wire::decode(&self.take_payload()?)
    }

    /// Reads the next payload if `predicate` accepts it. Otherwise leaves it for the next read.
    ///
    /// # Errors
    /// See [`FrameError`]; the connection is unusable afterwards.
    pub async fn next_payload_if(
        &mut self,
        predicate: impl FnOnce(&[u8]) -> bool,
    ) -> Result<Option<Bytes>, FrameError> {
        let length = self.buffer_frame(&mut |_| {}).await?;
        let is_accepted = predicate(&self.buffer[HEADER_BYTES..HEADER_BYTES + length]);
        is_accepted.then(|| self.take_payload()).transpose()
    }

    /// Waits until the first frame of a connection begins.
    ///
    /// # Errors
    /// [`FrameError::Stalled`] if it does not begin in time, and errors of the connection.
    pub async fn wait_for_first_frame(&mut self) -> Result<(), FrameError> {
        let began = tokio::time::timeout(FIRST_FRAME_TIMEOUT, self.read_some()).await;
        match began.map_err(|_| FrameError::Stalled)?? {
            0 => Err(io::Error::from(io::ErrorKind::UnexpectedEof).into()),
            _ => Ok(()),
        }
    }

    /// Reads until a complete frame is buffered and returns the length of its payload.
    async fn buffer_frame(
        &mut self,
        on_bytes: &mut impl FnMut(usize),
    ) -> Result<usize, FrameError> {
        loop {
            if let Some(length) = self.buffered_payload_len()? {
                self.frame_began_at = None;
                return Ok(length);
            }
            let count = self.read_some().await?;
            if count == 0 {
                return Err(io::Error::from(io::ErrorKind::UnexpectedEof).into());
            }
            on_bytes(count);
        }
    }

    /// Reads some bytes. Waits without a limit between two frames, but within a frame only as long
    /// as its bytes arrive at the minimum rate.
    async fn read_some(&mut self) -> Result<usize, FrameError> {
        let buffered = self.buffer.len();
        let deadline = (buffered > 0).then(|| {
            let began_at = *self.frame_began_at.get_or_insert_with(Instant::now);
            began_at + FRAME_GRACE + Duration::from_secs(buffered as u64) / MIN_BYTES_PER_SECOND
        });
        self.buffer.reserve(READ_BUFFER_BYTES);
        let read = self.input.read_buf(&mut self.buffer);
        match deadline {
            Some(deadline) => {
                Ok(timeout_at(deadline, read).await.map_err(|_| FrameError::Stalled)??)
            }
            None => Ok(read.await?),
        }
    }

    /// Length of the next payload if it is completely buffered.
    fn buffered_payload_len(&self) -> Result<Option<usize>, FrameError> {
        let Some(header) = self.buffer.first_chunk::<HEADER_BYTES>() else {
            return Ok(None);
        };
        let (length, _) = split_header(header);
        if length > MAX_FRAME_BYTES {
            return Err(FrameError::TooLong(length));
        }
        Ok((self.buffer.len() >= HEADER_BYTES + length).then_some(length))
    }

    /// Removes the next payload from the buffer and verifies its checksum.
    fn take_payload(&mut self) -> Result<Bytes, FrameError> {
        let Some(header) = self.buffer.first_chunk::<HEADER_BYTES>() else {
            return Err(io::Error::from(io::ErrorKind::UnexpectedEof).into());
        };
        let (length, checksum) = split_header(header);
        self.buffer.advance(HEADER_BYTES);
        let payload = self.buffer.split_to(length).freeze();
        self.last_frame_len = HEADER_BYTES + length;
        if crc32c::crc32c(&payload) != checksum {
            return Err(FrameError::Checksum);
        }
        Ok(payload)
    }
}

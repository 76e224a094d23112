//! Frames: length, CRC-32C, payload.

use std::io;

use bytes::{Buf, BytesMut};
use calicohoist_wire::{FrameError, MAX_FRAME_BYTES, write_frame};
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::io::{AsyncRead, AsyncReadExt};

const HEADER_BYTES: usize = 8;
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

/// Reads frames; cancelling a read loses nothing.
pub struct FrameReader<R> {
    input: R,
    buffer: BytesMut,
}

impl<R: AsyncRead + Unpin> FrameReader<R> {
    /// Reads from `input`.
    pub fn new(input: R) -> Self {
        Self { input, buffer: BytesMut::new() }
    }

    /// The next message.
    ///
    /// # Errors
    /// See [`FrameError`]; the connection is of no use afterwards.
    pub async fn next<T: DeserializeOwned>(&mut self) -> Result<T, FrameError> {
        loop {
            if let Some(message) = self.take()? {
                return Ok(message);
            }
            self.buffer.reserve(READ_BYTES);
            if self.input.read_buf(&mut self.buffer).await? == 0 {
                return Err(io::Error::from(io::ErrorKind::UnexpectedEof).into());
            }
        }
    }

    fn take<T: DeserializeOwned>(&mut self) -> Result<Option<T>, FrameError> {
        let Some(header) = self.buffer.first_chunk::<HEADER_BYTES>() else {
            return Ok(None);
        };
        let [a, b, c, d, e, f, g, h] = *header;
        let length = u32::from_le_bytes([a, b, c, d]) as usize;
        let checksum = u32::from_le_bytes([e, f, g, h]);
        if length > MAX_FRAME_BYTES {
            return Err(FrameError::TooLong(length));
        }
        if self.buffer.len() < HEADER_BYTES + length {
            return Ok(None);
        }
        self.buffer.advance(HEADER_BYTES);
        let payload = self.buffer.split_to(length);
        if crc32c::crc32c(&payload) != checksum {
            return Err(FrameError::Checksum);
        }
        calicohoist_wire::decode(&payload).map(Some)
    }
}

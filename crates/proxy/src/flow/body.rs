//! Reads whole bodies within the memory limit.

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body, Frame, Incoming};

use crate::memory::{MemoryLimitReached, MemoryReservation, UNANNOUNCED_BYTES};

/// Reason for which a body was not read completely.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum BodyReadError {
    /// The body exceeds its size limit.
    #[error("body too large")]
    TooLarge,
    /// The memory limit is reached.
    #[error("memory limit reached")]
    MemoryLimit,
    /// The body ended early.
    #[error("body truncated")]
    Truncated,
}

impl From<MemoryLimitReached> for BodyReadError {
    fn from(_: MemoryLimitReached) -> Self {
        Self::MemoryLimit
    }
}

/// Returns the number of bytes to reserve before reading a body: its length if known, or an
/// estimate.
pub fn expected_bytes(body: &Incoming) -> usize {
    body.size_hint()
        .exact()
        .map_or(UNANNOUNCED_BYTES, |exact| usize::try_from(exact).unwrap_or(usize::MAX))
}

/// Reads a whole body of at most `max_bytes` bytes.
///
/// # Errors
/// Returns an error if the body is too long, exceeds the memory limit, or ends early.
pub async fn read_whole(
    body: &mut Incoming,
    max_bytes: usize,
    reservation: MemoryReservation,
) -> Result<Bytes, BodyReadError> {
    let mut reader = BodyReader::new(max_bytes, reservation);
    reader.read(body).await?;
    Ok(reader.into_bytes())
}

/// Reader of a whole body, which tells how much it has read if it is interrupted.
pub struct BodyReader {
    buffer: Vec<u8>,
    max_bytes: usize,
    reservation: MemoryReservation,
}

impl BodyReader {
    /// Creates a reader of a body of at most `max_bytes` bytes.
    pub fn new(max_bytes: usize, reservation: MemoryReservation) -> Self {
        // The buffer is not preallocated, since the body may be shorter than announced.
        Self { buffer: Vec::new(), max_bytes, reservation }
    }

    /// Returns the number of bytes that were read.
    pub fn bytes_read(&self) -> usize {
        self.buffer.len()
    }

    /// Reads the body to its end. If it turns out longer than the reservation, the reservation grows
    /// before more is copied; a response waits for that.
    ///
    /// # Errors
    /// Returns an error if the body is too long, exceeds the memory limit, or ends early.
    pub async fn read(&mut self, body: &mut Incoming) -> Result<(), BodyReadError> {
        while let Some(frame) = next_frame(body, &self.reservation).await? {
            let Some(data) = frame.data_ref() else {
                continue;
            };
            let length = self.buffer.len() + data.len();
            if length > self.max_bytes {
                return Err(BodyReadError::TooLarge);
            }
            self.make_room(length).await?;
            self.buffer.extend_from_slice(data);
        }
        Ok(())
    }

    /// Returns the bytes that were read, with their reservation.
    pub fn into_bytes(self) -> Bytes {
        self.reservation.attach_to(self.buffer.into())
    }

    /// Reserves and allocates memory for `length` bytes. The capacity doubles, like that of any
    /// vector, but never exceeds what is reserved.
    async fn make_room(&mut self, length: usize) -> Result<(), BodyReadError> {
        let Self { buffer, max_bytes, reservation } = self;
        if length <= buffer.capacity() {
            return Ok(());
        }
        let reserved = reservation.bytes();
        let max_capacity = if length <= reserved { reserved } else { *max_bytes };
        let capacity = length.max(buffer.capacity() * 2).min(max_capacity);
        reservation.grow_to(capacity).await?;
        buffer.reserve_exact(capacity - buffer.len());
        Ok(())
    }
}

/// Reads a frame, unless the body has to give way to others.
async fn next_frame(
    body: &mut Incoming,
    reservation: &MemoryReservation,
) -> Result<Option<Frame<Bytes>>, BodyReadError> {
    tokio::select! {
        biased;
        () = reservation.revoked() => Err(BodyReadError::MemoryLimit),
        frame = body.frame() => frame.transpose().map_err(|_| BodyReadError::Truncated),
    }
}

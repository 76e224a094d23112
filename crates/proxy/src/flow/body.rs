//! Reads whole bodies within the memory limit.

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};

use crate::memory::MemoryReservation;

/// Assumed size in bytes of a body of unknown length.
const DEFAULT_LENGTH: usize = 64 << 10;

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

/// Returns the number of bytes to reserve before reading a body: its length if known, or an
/// estimate.
pub fn expected_bytes(body: &Incoming) -> usize {
    body.size_hint()
        .exact()
        .map_or(DEFAULT_LENGTH, |exact| usize::try_from(exact).unwrap_or(usize::MAX))
}

/// Reads a whole body of at most `max_bytes` bytes. If it turns out longer than the reservation,
/// the reservation grows; for a response that always succeeds.
///
/// # Errors
/// Returns an error if the body is too long, exceeds the memory limit, or ends early.
pub async fn read_whole(
    body: &mut Incoming,
    max_bytes: usize,
    mut reservation: MemoryReservation,
) -> Result<Bytes, BodyReadError> {
    // The buffer is not preallocated, since the body may be shorter than announced.
    let mut bytes = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| BodyReadError::Truncated)?;
        let Some(data) = frame.data_ref() else {
            continue;
        };
        let length = bytes.len() + data.len();
        if length > max_bytes {
            return Err(BodyReadError::TooLarge);
        }
        if !reservation.grow_to(length) {
            return Err(BodyReadError::MemoryLimit);
        }
        bytes.extend_from_slice(data);
    }
    Ok(reservation.attach_to(bytes.freeze()))
}

//! Frame format of the log file.
//!
//! A frame holds one batch of writes that is synced together: a header with its own checksum,
//! followed by the payload. This distinguishes a write torn by a crash (the file ends inside the
//! frame, or the last frame ends in zeros) from corruption of stored data.

use calicohoist_wire::{FrameError, encode_after};
use serde::Serialize;

use super::DiskError;

/// Size of the header: magic number, payload length, payload checksum, header checksum.
pub(super) const HEADER_BYTES: usize = 16;
const MAGIC: u32 = 0x4348_4C31;

/// Encodes a value as a frame of `file`.
///
/// # Errors
/// [`DiskError::TooLarge`] if the header cannot hold the length, [`DiskError::Corrupt`] if the value
/// cannot be encoded.
pub(super) fn encode<T: Serialize>(file: &str, value: &T) -> Result<Vec<u8>, DiskError> {
    complete(file, encode_payload(file, HEADER_BYTES, value)?)
}

/// Encodes a value after `header_bytes` bytes, which the caller replaces.
///
/// # Errors
/// [`DiskError::Corrupt`] if the value cannot be encoded.
pub(super) fn encode_payload<T: Serialize>(
    file: &str,
    header_bytes: usize,
    value: &T,
) -> Result<Vec<u8>, DiskError> {
    encode_after(header_bytes, value).map_err(|error: FrameError| DiskError::Corrupt {
        file: file.to_owned(),
        offset: 0,
        problem: error.to_string(),
    })
}

/// Returns a frame of `file` with a payload that is encoded already.
///
/// # Errors
/// [`DiskError::TooLarge`] if the header cannot hold the length.
pub(super) fn wrap(file: &str, payload: &[u8]) -> Result<Vec<u8>, DiskError> {
    complete(file, [&[0; HEADER_BYTES], payload].concat())
}

/// Fills in the header of a frame.
fn complete(file: &str, mut frame: Vec<u8>) -> Result<Vec<u8>, DiskError> {
    let (header, payload) = frame.split_at_mut(HEADER_BYTES);
    header.copy_from_slice(&encode_header(file, &[payload])?);
    Ok(frame)
}

/// Returns the header of a frame of `file` whose payload consists of `parts`.
///
/// # Errors
/// [`DiskError::TooLarge`] if the header cannot hold the length.
pub(super) fn encode_header(file: &str, parts: &[&[u8]]) -> Result<[u8; HEADER_BYTES], DiskError> {
    let bytes = parts.iter().map(|part| part.len()).sum();
    let too_large = |_| DiskError::TooLarge { file: file.to_owned(), bytes };
    let length = u32::try_from(bytes).map_err(too_large)?;
    let checksum = parts.iter().fold(0, |sum, part| crc32c::crc32c_append(sum, part));
    let fields = [MAGIC, length, checksum].map(u32::to_le_bytes).concat();
    let mut header = [0; HEADER_BYTES];
    header[..fields.len()].copy_from_slice(&fields);
    header[fields.len()..].copy_from_slice(&crc32c::crc32c(&fields).to_le_bytes());
    Ok(header)
}

/// Header of a frame.
pub(super) struct FrameHeader {
    /// Length of the payload in bytes.
    pub(super) payload_bytes: usize,
    /// CRC-32C of the payload.
    pub(super) payload_checksum: u32,
}

impl FrameHeader {
    /// Reads a header; `None` if its magic number or checksum is wrong.
    pub(super) fn read(header: &[u8; HEADER_BYTES]) -> Option<Self> {
        let is_intact =
            crc32c::crc32c(&header[..12]) == read_u32(header, 12) && read_u32(header, 0) == MAGIC;
        is_intact.then(|| Self {
            payload_bytes: read_u32(header, 4) as usize,
            payload_checksum: read_u32(header, 8),
        })
    }
}

fn read_u32(bytes: &[u8], offset: usize) -> u32 {
    let mut buffer = [0; 4];
    buffer.copy_from_slice(&bytes[offset..offset + 4]);
    u32::from_le_bytes(buffer)
}

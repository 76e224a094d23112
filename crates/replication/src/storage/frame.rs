//! Frames of the log file.
//!
//! A frame is one batch of writes, synced together: a header with its own
//! checksum, then the payload. That tells a write which was cut short by a crash
//! (the file ends inside the frame, or the frame is the last and ends in zeros that
//! were never overwritten) from damage to something that was stored whole.

use super::DiskError;

/// Marker, payload length, payload checksum, header checksum.
pub(super) const HEADER_BYTES: usize = 16;
const MARKER: u32 = 0x4348_4C31;
/// Zeros at the end of the file from which on the last frame counts as torn.
const TORN_ZEROS: usize = 8;

/// Appends a frame with `payload` to `output`.
pub(super) fn write(output: &mut Vec<u8>, payload: &[u8]) {
    let start = output.len();
    output.extend(MARKER.to_le_bytes());
    output.extend((payload.len() as u32).to_le_bytes());
    output.extend(crc32c::crc32c(payload).to_le_bytes());
    let header_checksum = crc32c::crc32c(&output[start..]);
    output.extend(header_checksum.to_le_bytes());
    output.extend(payload);
}

/// What stands at one place of a file.
pub(super) enum Found<'a> {
    /// A whole frame: its payload, and where the next one starts.
    Frame(&'a [u8], usize),
    /// The end of the file.
    End,
    /// The start of a frame that was never completed.
    CutShort,
}

/// Reads what stands at `offset`.
///
/// # Errors
/// [`DiskError::Corrupt`] for anything a crash cannot have left.
pub(super) fn read<'a>(file: &str, bytes: &'a [u8], offset: usize) -> Result<Found<'a>, DiskError> {
    let rest = &bytes[offset..];
    if rest.is_empty() {
        return Ok(Found::End);
    }
    if rest.len() < HEADER_BYTES || rest.iter().all(|byte| *byte == 0) {
        return Ok(Found::CutShort);
    }
    let corrupt = |problem: &str| DiskError::Corrupt {
        file: file.to_owned(),
        offset,
        problem: problem.to_owned(),
    };
    let is_torn = rest.ends_with(&[0; TORN_ZEROS]);
    let (header, after) = rest.split_at(HEADER_BYTES);
    if is_torn && after.iter().all(|byte| *byte == 0) {
        return Ok(Found::CutShort);
    }
    if crc32c::crc32c(&header[..12]) != word(header, 12) || word(header, 0) != MARKER {
        return Err(corrupt("the frame header does not match its checksum"));
    }
    let length = word(header, 4) as usize;
    let Some(payload) = after.get(..length) else {
        return Ok(Found::CutShort);
    };
    if crc32c::crc32c(payload) != word(header, 8) {
        let is_last = after.len() == length;
        if is_last && is_torn {
            return Ok(Found::CutShort);
        }
        return Err(corrupt("the payload does not match its checksum"));
    }
    Ok(Found::Frame(payload, offset + HEADER_BYTES + length))
}

fn word(bytes: &[u8], at: usize) -> u32 {
    let mut word = [0; 4];
    word.copy_from_slice(&bytes[at..at + 4]);
    u32::from_le_bytes(word)
}

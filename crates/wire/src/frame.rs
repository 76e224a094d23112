//! Encoding and decoding of frames.

use std::io::{self, Read, Write};

use bincode::config::{Config, Configuration, Limit, LittleEndian, Varint};
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::buffer::MessageBuffer;

/// Maximum payload size, in bytes.
pub const MAX_FRAME_BYTES: usize = 64 << 20;
/// Size of length and checksum, which precede the payload.
const HEADER_BYTES: usize = 8;
/// Payloads are read in chunks of this size, so that a forged length does not cause a large
/// allocation.
const READ_CHUNK_BYTES: usize = 64 << 10;

/// Error in reading or writing a frame.
#[derive(Debug, thiserror::Error)]
pub enum FrameError {
    /// The connection failed.
    #[error("connection failed: {0}")]
    Io(#[from] io::Error),
    /// The payload is longer than [`MAX_FRAME_BYTES`].
    #[error("frame of {0} bytes exceeds the size limit")]
    TooLong(usize),
    /// The bytes of the payload arrive too slowly.
    #[error("frame arrives too slowly")]
    Stalled,
    /// The frame gives way to those of other connections, which need less memory or arrive faster.
    #[error("no memory for the frame beside those of other connections")]
    NoMemory,
    /// The peer sends one frame after another that nothing waits for.
    #[error("too many frames that were not requested")]
    Unrequested,
    /// The checksum does not match.
    #[error("checksum mismatch")]
    Checksum,
    /// The payload cannot be decoded.
    #[error("cannot decode payload: {0}")]
    Decode(#[from] bincode::error::DecodeError),
    /// A compressed message cannot be decompressed although its checksum matches, so the sender
    /// uses an unknown format.
    #[error("cannot decompress message")]
    Decompress,
    /// The message cannot be encoded.
    #[error("cannot encode message: {0}")]
    Encode(#[from] bincode::error::EncodeError),
}

/// Returns the `bincode` configuration: variable-length integers, limited to [`MAX_FRAME_BYTES`].
fn bincode_config() -> Configuration<LittleEndian, Varint, Limit<MAX_FRAME_BYTES>> {
    bincode::config::standard().with_limit::<MAX_FRAME_BYTES>()
}

/// Encodes a message of any size without a frame header.
///
/// # Errors
/// Returns an error if the message cannot be encoded.
pub fn encode<T: Serialize>(message: &T) -> Result<Vec<u8>, FrameError> {
    encode_after(0, message)
}

/// Encodes a message of any size after `header_bytes` zero bytes, which the caller replaces.
///
/// # Errors
/// Returns an error if the message cannot be encoded.
pub fn encode_after<T: Serialize>(header_bytes: usize, message: &T) -> Result<Vec<u8>, FrameError> {
    let mut buffer = MessageBuffer::with_header(header_bytes);
    bincode::serde::encode_into_writer(message, &mut buffer, bincode_config())?;
    Ok(buffer.into_bytes())
}

/// Encodes a message as a frame.
///
/// # Errors
/// Returns an error if the message cannot be encoded or is too long.
pub fn encode_frame<T: Serialize>(message: &T) -> Result<Vec<u8>, FrameError> {
    let mut frame = encode_after(HEADER_BYTES, message)?;
    let payload = &frame[HEADER_BYTES..];
    if payload.len() > MAX_FRAME_BYTES {
        return Err(FrameError::TooLong(payload.len()));
    }
    let length = (payload.len() as u32).to_le_bytes();
    let checksum = crc32c::crc32c(payload).to_le_bytes();
    frame[..HEADER_BYTES].copy_from_slice(&[length, checksum].concat());
    Ok(frame)
}

/// Decodes a message of a peer. Its decoded size is limited to [`MAX_FRAME_BYTES`], at up to eight
/// bytes for a number that is encoded as one.
///
/// # Errors
/// Returns an error if `bytes` is not exactly one encoded message, or its size exceeds the limit.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, FrameError> {
    decode_with(bytes, bincode_config())
}

/// Decodes a message of any size that [`encode`] produced. Its size limits what is allocated for it,
/// since a message of another build may not have the expected form.
///
/// # Errors
/// Returns an error if `bytes` is not exactly one encoded message.
pub fn decode_stored<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, FrameError> {
    const MIB: usize = 1 << 20;
    let config = bincode_config();
    // Each limit is eight times the size, since a number of one byte may be decoded as eight.
    if bytes.len() <= 8 * MIB {
        decode_with(bytes, config.with_limit::<{ 64 * MIB }>())
    } else if bytes.len() <= 64 * MIB {
        decode_with(bytes, config.with_limit::<{ 512 * MIB }>())
    } else if bytes.len() <= 512 * MIB {
        decode_with(bytes, config.with_limit::<{ 4_096 * MIB }>())
    } else {
        decode_with(bytes, config.with_no_limit())
    }
}

fn decode_with<T: DeserializeOwned>(bytes: &[u8], config: impl Config) -> Result<T, FrameError> {
    let (message, consumed) = bincode::serde::decode_from_slice(bytes, config)?;
    if consumed != bytes.len() {
        return Err(FrameError::Decode(bincode::error::DecodeError::Other(
            "trailing bytes after the message",
        )));
    }
    Ok(message)
}

/// Writes one frame without flushing and returns its size in bytes.
///
/// # Errors
/// Returns an error if the connection fails, or the message cannot be encoded or is too long.
pub fn write_frame<T: Serialize>(
    output: &mut impl Write,
    message: &T,
) -> Result<usize, FrameError> {
    let frame = encode_frame(message)?;
    output.write_all(&frame)?;
    Ok(frame.len())
}

/// Reads one frame.
///
/// # Errors
/// See [`FrameError`].
pub fn read_frame<T: DeserializeOwned>(input: &mut impl Read) -> Result<T, FrameError> {
    let length = read_u32(input)? as usize;
    let checksum = read_u32(input)?;
    if length > MAX_FRAME_BYTES {
        return Err(FrameError::TooLong(length));
    }
    let payload = read_payload(input, length)?;
    if crc32c::crc32c(&payload) != checksum {
        return Err(FrameError::Checksum);
    }
    decode(&payload)
}

fn read_u32(input: &mut impl Read) -> Result<u32, FrameError> {
    let mut bytes = [0; 4];
    input.read_exact(&mut bytes)?;
    Ok(u32::from_le_bytes(bytes))
}

fn read_payload(input: &mut impl Read, length: usize) -> Result<Vec<u8>, FrameError> {
    let mut payload = Vec::with_capacity(length.min(READ_CHUNK_BYTES));
    let mut remaining = length;
    while remaining > 0 {
        let chunk = remaining.min(READ_CHUNK_BYTES);
        let start = payload.len();
        payload.resize(start + chunk, 0);
        input.read_exact(&mut payload[start..])?;
        remaining -= chunk;
    }
    Ok(payload)
}

//! The frame codec.

use std::io::{self, Read, Write};

use bincode::config::{Configuration, Limit, LittleEndian, Varint};
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Largest accepted payload, in bytes.
pub const MAX_FRAME_BYTES: usize = 64 << 20;
/// Length and checksum before each payload.
const HEADER_BYTES: usize = 8;
/// A payload is read in pieces of this size, so that a forged length costs no memory.
const READ_PIECE_BYTES: usize = 64 << 10;

/// Why a frame could not be read.
#[derive(Debug, thiserror::Error)]
pub enum FrameError {
    /// The connection broke.
    #[error("connection: {0}")]
    Io(#[from] io::Error),
    /// The frame says it is longer than [`MAX_FRAME_BYTES`].
    #[error("frame of {0} bytes is too long")]
    TooLong(usize),
    /// The checksum does not match.
    #[error("checksum mismatch")]
    Checksum,
    /// The payload is not a message.
    #[error("payload: {0}")]
    Decode(#[from] bincode::error::DecodeError),
    /// What is packed in a message cannot be unpacked. The checksum has found no damage, so the sender
    /// packs in a way unknown here.
    #[error("packed in a way unknown here")]
    Unpack,
    /// A message cannot be encoded.
    #[error("encode: {0}")]
    Encode(#[from] bincode::error::EncodeError),
}

/// Small integers take one byte, which halves the loads that every gateway gets;
/// the frame's checksum is what catches flipped bits.
fn codec() -> Configuration<LittleEndian, Varint, Limit<MAX_FRAME_BYTES>> {
    bincode::config::standard().with_limit::<MAX_FRAME_BYTES>()
}

/// Encodes a message without a frame header.
///
/// # Errors
/// When the message cannot be represented.
pub fn encode<T: Serialize>(message: &T) -> Result<Vec<u8>, FrameError> {
    Ok(bincode::serde::encode_to_vec(message, codec())?)
}

/// Decodes a message; bytes left over are an error.
///
/// # Errors
/// When `bytes` are not exactly one message.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, FrameError> {
    let (message, used) = bincode::serde::decode_from_slice(bytes, codec())?;
    if used != bytes.len() {
        return Err(FrameError::Decode(bincode::error::DecodeError::Other("bytes left over")));
    }
    Ok(message)
}

/// Writes one frame; does not flush.
///
/// # Errors
/// When the connection breaks or the message cannot be encoded.
pub fn write_frame<T: Serialize>(
    output: &mut impl Write,
    message: &T,
) -> Result<usize, FrameError> {
    let payload = encode(message)?;
    if payload.len() > MAX_FRAME_BYTES {
        return Err(FrameError::TooLong(payload.len()));
    }
    let length = payload.len() as u32;
    output.write_all(&length.to_le_bytes())?;
    output.write_all(&crc32c::crc32c(&payload).to_le_bytes())?;
    output.write_all(&payload)?;
    Ok(HEADER_BYTES + payload.len())
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
    let mut payload = Vec::with_capacity(length.min(READ_PIECE_BYTES));
    let mut left = length;
    while left > 0 {
        let piece = left.min(READ_PIECE_BYTES);
        let start = payload.len();
        payload.resize(start + piece, 0);
        input.read_exact(&mut payload[start..])?;
        left -= piece;
    }
    Ok(payload)
}

//! Compression of documents that are held in memory and sent to gateways.

use calicohoist_wire::MAX_FRAME_BYTES;
use serde::{Deserialize, Serialize};

/// LZ4-compressed bytes, prefixed with their uncompressed size.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CompressedBytes(#[serde(with = "serde_bytes")] Vec<u8>);

/// An error returned by [`CompressedBytes::decompress`].
#[derive(Debug, thiserror::Error)]
pub enum DecompressionError {
    /// The compressed data is corrupt.
    #[error("corrupt compressed data: {0}")]
    Corrupt(#[from] lz4_flex::block::DecompressError),
    /// The declared uncompressed size exceeds the frame size limit.
    #[error("uncompressed size of {0} bytes exceeds the frame size limit")]
    TooLarge(usize),
}

impl CompressedBytes {
    /// Compresses `bytes`.
    pub fn compress(bytes: &[u8]) -> Self {
        let mut compressed = lz4_flex::compress_prepend_size(bytes);
        compressed.shrink_to_fit();
        Self(compressed)
    }

    /// Size of the compressed form, in bytes.
    pub fn compressed_bytes(&self) -> usize {
        self.0.len()
    }

    /// Returns the uncompressed bytes.
    ///
    /// # Errors
    /// Returns [`DecompressionError`] if the data is corrupt or declares too large a size.
    pub fn decompress(&self) -> Result<Vec<u8>, DecompressionError> {
        let (size, compressed) = lz4_flex::block::uncompressed_size(&self.0)?;
        if size > MAX_FRAME_BYTES {
            return Err(DecompressionError::TooLarge(size));
        }
        Ok(lz4_flex::decompress(compressed, size)?)
    }
}

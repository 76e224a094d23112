//! Values that are encoded and compressed once and sent to many gateways.
//!
//! The compression is slower than that of [`CompressedBytes`](crate::compression::CompressedBytes)
//! and saves more, since each byte is sent to every gateway.

use std::fmt;
use std::io::{self, Read};
use std::marker::PhantomData;

use calicohoist_wire::{FrameError, MAX_FRAME_BYTES, decode, encode};
use flate2::Compression;
use flate2::read::{DeflateDecoder, DeflateEncoder};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

/// A value in encoded and compressed form.
#[derive(Serialize, Deserialize)]
#[serde(transparent, bound = "")]
pub struct Packed<T> {
    /// Encoded value, compressed with DEFLATE.
    #[serde(with = "serde_bytes")]
    bytes: Vec<u8>,
    #[serde(skip)]
    value: PhantomData<fn() -> T>,
}

/// An error returned by [`Packed::unpack`].
#[derive(Debug, thiserror::Error)]
pub enum UnpackError {
    /// The value cannot be decompressed.
    #[error("corrupt compressed data: {0}")]
    Compression(#[from] io::Error),
    /// The encoded value exceeds the frame size limit.
    #[error("encoded value exceeds the frame size limit")]
    TooLarge,
    /// The value cannot be decoded.
    #[error(transparent)]
    Encoding(#[from] FrameError),
}

impl<T: Serialize> Packed<T> {
    /// Encodes and compresses `value`.
    ///
    /// # Errors
    /// When the value cannot be encoded.
    pub fn pack(value: &T) -> Result<Self, FrameError> {
        let encoded = encode(value)?;
        let mut bytes = Vec::new();
        DeflateEncoder::new(encoded.as_slice(), Compression::default()).read_to_end(&mut bytes)?;
        Ok(Self { bytes, value: PhantomData })
    }
}

impl<T: DeserializeOwned> Packed<T> {
    /// Returns the value.
    ///
    /// # Errors
    /// When the bytes are corrupt or are those of another type.
    pub fn unpack(&self) -> Result<T, UnpackError> {
        let limit = MAX_FRAME_BYTES as u64 + 1;
        let mut encoded = Vec::new();
        DeflateDecoder::new(self.bytes.as_slice()).take(limit).read_to_end(&mut encoded)?;
        if encoded.len() > MAX_FRAME_BYTES {
            return Err(UnpackError::TooLarge);
        }
        Ok(decode(&encoded)?)
    }
}

impl<T> Clone for Packed<T> {
    fn clone(&self) -> Self {
        Self { bytes: self.bytes.clone(), value: PhantomData }
    }
}

impl<T> fmt::Debug for Packed<T> {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "Packed({} bytes)", self.bytes.len())
    }
}

//! Values that are encoded and compressed once and sent to many gateways.

use std::fmt;
use std::marker::PhantomData;

use calicohoist_wire::{FrameError, decode, encode};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use crate::compression::{CompressedBytes, DecompressionError};

/// A value in encoded and compressed form.
#[derive(Serialize, Deserialize)]
#[serde(transparent, bound = "")]
pub struct Packed<T> {
    bytes: CompressedBytes,
    #[serde(skip)]
    value: PhantomData<fn() -> T>,
}

/// An error returned by [`Packed::unpack`].
#[derive(Debug, thiserror::Error)]
pub enum UnpackError {
    /// The value cannot be decompressed.
    #[error(transparent)]
    Compression(#[from] DecompressionError),
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
        let bytes = CompressedBytes::compress(&encode(value)?);
        Ok(Self { bytes, value: PhantomData })
    }
}

impl<T: DeserializeOwned> Packed<T> {
    /// Returns the value.
    ///
    /// # Errors
    /// When the bytes are corrupt or are those of another type.
    pub fn unpack(&self) -> Result<T, UnpackError> {
        Ok(decode(&self.bytes.decompress()?)?)
    }
}

impl<T> Clone for Packed<T> {
    fn clone(&self) -> Self {
        Self { bytes: self.bytes.clone(), value: PhantomData }
    }
}

impl<T> fmt::Debug for Packed<T> {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.debug_tuple("Packed").field(&self.bytes).finish()
    }
}

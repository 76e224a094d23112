//! The configuration document as the state holds it.

use std::fmt;
use std::sync::Arc;

use bytes::Bytes;
use calicohoist_wire::MAX_FRAME_BYTES;
use serde::ser::Error;
use serde::{Deserialize, Deserializer, Serialize, Serializer};

use crate::compression::{CompressedBytes, DecompressionError};

/// Size from which a document is held in compressed form, in bytes.
const MIN_PACKED_BYTES: usize = 64 << 10;

/// A configuration document, compressed if it is large. Clones share the same buffer.
///
/// Snapshots and messages contain the document itself.
#[derive(Clone, PartialEq, Eq)]
pub struct ConfigurationDocument(DocumentForm);

#[derive(Clone, PartialEq, Eq)]
enum DocumentForm {
    Plain(Bytes),
    Packed(Arc<CompressedBytes>),
}

impl ConfigurationDocument {
    /// Returns the document as the operator sent it.
    ///
    /// # Errors
    /// When the compressed form is corrupt.
    pub fn bytes(&self) -> Result<Bytes, DecompressionError> {
        match &self.0 {
            DocumentForm::Plain(bytes) => Ok(bytes.clone()),
            DocumentForm::Packed(packed) => packed.decompress().map(Bytes::from),
        }
    }

    /// Returns the document in the form in which the state holds it.
    pub fn packed(self) -> Self {
        let DocumentForm::Plain(document) = &self.0 else {
            return self;
        };
        let packed = is_compressible(document).then(|| CompressedBytes::compress(document));
        // A snapshot without the document would be a loss of state.
        let intact = packed.filter(|packed| packed.decompress().is_ok_and(|it| it == *document));
        match intact {
            Some(packed) => Self(DocumentForm::Packed(Arc::new(packed))),
            None => self,
        }
    }

    /// Returns the size in memory in bytes.
    pub fn held_bytes(&self) -> usize {
        match &self.0 {
            DocumentForm::Plain(bytes) => bytes.len(),
            DocumentForm::Packed(packed) => packed.compressed_bytes(),
        }
    }

    /// Returns the document in compressed form.
    pub fn compressed(&self) -> CompressedBytes {
        match &self.0 {
            DocumentForm::Plain(bytes) => CompressedBytes::compress(bytes),
            DocumentForm::Packed(packed) => CompressedBytes::clone(packed),
        }
    }
}

impl From<Vec<u8>> for ConfigurationDocument {
    fn from(document: Vec<u8>) -> Self {
        Self(DocumentForm::Plain(document.into())).packed()
    }
}

/// Whether a document is large, and its beginning becomes smaller than half.
fn is_compressible(document: &[u8]) -> bool {
    if document.len() > MAX_FRAME_BYTES {
        return false;
    }
    let sample = document.get(..MIN_PACKED_BYTES);
    sample.is_some_and(|sample| {
        CompressedBytes::compress(sample).compressed_bytes() < sample.len() / 2
    })
}

impl Default for ConfigurationDocument {
    fn default() -> Self {
        Self(DocumentForm::Plain(Bytes::new()))
    }
}

impl PartialEq<[u8]> for ConfigurationDocument {
    fn eq(&self, other: &[u8]) -> bool {
        self.bytes().is_ok_and(|bytes| bytes == other)
    }
}

impl fmt::Debug for ConfigurationDocument {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.0 {
            DocumentForm::Plain(bytes) => write!(formatter, "{bytes:?}"),
            DocumentForm::Packed(packed) => {
                write!(formatter, "{} bytes, compressed", packed.compressed_bytes())
            }
        }
    }
}

impl Serialize for ConfigurationDocument {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_bytes(&self.bytes().map_err(S::Error::custom)?)
    }
}

impl<'de> Deserialize<'de> for ConfigurationDocument {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        // Not packed, since the form of a snapshot is found by decoding it.
        let document: Vec<u8> = serde_bytes::deserialize(deserializer)?;
        Ok(Self(DocumentForm::Plain(document.into())))
    }
}

//! Content digests and the chained digest of a program's history.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::chat::ChatMessage;
use crate::ids::ProgramId;

/// 256-bit BLAKE3 digest.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Digest([u8; 32]);

impl Digest {
    /// Computes the digest of `bytes`.
    pub fn of(bytes: &[u8]) -> Self {
        Self(*blake3::hash(bytes).as_bytes())
    }

    /// Returns the raw digest.
    pub fn as_bytes(&self) -> &[u8; 32] {
        &self.0
    }

    /// Returns the bytes eight bytes as a little-endian integer, for use as hash or seed.
    pub fn prefix(&self) -> u64 {
        let mut bytes = [0; 8];
        bytes.copy_from_slice(&self.0[..8]);
        u64::from_le_bytes(bytes)
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        blake3::Hash::from_bytes(self.0).to_hex().fmt(formatter)
    }
}

impl fmt::Debug for Digest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "Digest({self})")
    }
}

/// Chained digest of a program's message history.
///
/// The chain starts with the program's identifier, so that equal messages in two programs have
/// different digests and histories of different programs are never confused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct HistoryDigest(Digest);

impl HistoryDigest {
    /// Returns the digest of the empty history of `program`.
    pub fn empty(program: &ProgramId) -> Self {
        Self(Digest::of(program.as_str().as_bytes()))
    }

    /// Returns the digest of this history with `message` appended.
    #[must_use]
    pub fn append(&self, message: &ChatMessage) -> Self {
        let mut hasher = blake3::Hasher::new();
        hasher.update(self.0.as_bytes());
        hasher.update(message.role.as_str().as_bytes());
        hasher.update(&[0]);
        hasher.update(message.content.as_bytes());
        Self(Digest(*hasher.finalize().as_bytes()))
    }

    /// Returns the digest of this history with all `messages` appended in order.
    #[must_use]
    pub fn append_all<'a>(self, messages: impl IntoIterator<Item = &'a ChatMessage>) -> Self {
        messages.into_iter().fold(self, |digest, message| digest.append(message))
    }
}

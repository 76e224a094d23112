//! Content digests, and the chained digest of a program's history.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::chat::ChatMessage;
use crate::ids::ProgramId;

/// A 256-bit content digest (BLAKE3).
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Digest([u8; 32]);

impl Digest {
    /// Digest of `bytes`.
    pub fn of(bytes: &[u8]) -> Self {
        Self(*blake3::hash(bytes).as_bytes())
    }

    /// The raw digest.
    pub fn as_bytes(&self) -> &[u8; 32] {
        &self.0
    }

    /// The first eight bytes as a number, for hash tables and seeds.
    pub fn prefix(&self) -> u64 {
        let mut first = [0; 8];
        first.copy_from_slice(&self.0[..8]);
        u64::from_le_bytes(first)
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

/// Digest of a program's whole history so far.
///
/// The program's name is the first link, so that equal messages in two programs
/// have different digests and a mixed history cannot go unseen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct HistoryDigest(Digest);

impl HistoryDigest {
    /// Digest of the empty history of `program`.
    pub fn empty(program: &ProgramId) -> Self {
        Self(Digest::of(program.as_str().as_bytes()))
    }

    /// Digest after `message` was appended.
    #[must_use]
    pub fn append(&self, message: &ChatMessage) -> Self {
        let mut hasher = blake3::Hasher::new();
        hasher.update(self.0.as_bytes());
        hasher.update(message.role.as_str().as_bytes());
        hasher.update(&[0]);
        hasher.update(message.content.as_bytes());
        Self(Digest(*hasher.finalize().as_bytes()))
    }

    /// Digest after all of `messages` were appended in order.
    #[must_use]
    pub fn append_all<'a>(self, messages: impl IntoIterator<Item = &'a ChatMessage>) -> Self {
        messages.into_iter().fold(self, |digest, message| digest.append(message))
    }
}

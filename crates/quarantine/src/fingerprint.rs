//! Identification of a request by its content.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

/// Length of a fingerprint in bytes.
const FINGERPRINT_BYTES: usize = 16;

/// Digest of the content of a request. Every attempt to have the same request served has the same
/// fingerprint, whatever id the client gives to it; requests of different tenants never share one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RequestFingerprint([u8; FINGERPRINT_BYTES]);

/// The parts of a request that remain the same when it is sent again.
#[derive(Clone, Copy, Debug)]
pub struct RequestContent<'a> {
    /// Tenant that sent the request.
    pub tenant: Option<&'a str>,
    /// Program that the request belongs to.
    pub program: Option<&'a str>,
    /// Turn that the request continues.
    pub previous_turn: Option<&'a str>,
    /// HTTP method.
    pub method: &'a str,
    /// Host that the request is addressed to.
    pub host: &'a str,
    /// Path and query.
    pub path: &'a str,
    /// Body as sent by the client.
    pub body: &'a [u8],
}

impl RequestContent<'_> {
    /// Computes the fingerprint.
    pub fn fingerprint(&self) -> RequestFingerprint {
        let Self { tenant, program, previous_turn, method, host, path, body } = *self;
        let mut digest = blake3::Hasher::new();
        for part in [tenant, program, previous_turn] {
            digest.update(&[u8::from(part.is_some())]);
            add_part(&mut digest, part.unwrap_or_default().as_bytes());
        }
        for part in [method.as_bytes(), host.as_bytes(), path.as_bytes(), body] {
            add_part(&mut digest, part);
        }
        let digest = digest.finalize();
        RequestFingerprint(digest.as_bytes().first_chunk().copied().unwrap_or_default())
    }
}

/// Adds a part with its length, so that parts cannot be shifted into each other.
fn add_part(digest: &mut blake3::Hasher, part: &[u8]) {
    digest.update(&(part.len() as u64).to_le_bytes());
    digest.update(part);
}

impl fmt::Display for RequestFingerprint {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(formatter, "{byte:02x}"))
    }
}

/// A fingerprint could not be parsed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("a fingerprint has {} hexadecimal digits", 2 * FINGERPRINT_BYTES)]
pub struct ParseFingerprintError;

impl FromStr for RequestFingerprint {
    type Err = ParseFingerprintError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let is_hex = text.bytes().all(|byte| byte.is_ascii_hexdigit());
        if text.len() != 2 * FINGERPRINT_BYTES || !is_hex {
            return Err(ParseFingerprintError);
        }
        let mut bytes = [0; FINGERPRINT_BYTES];
        for (index, byte) in bytes.iter_mut().enumerate() {
            let digits = &text[2 * index..2 * index + 2];
            *byte = u8::from_str_radix(digits, 16).map_err(|_| ParseFingerprintError)?;
        }
        Ok(Self(bytes))
    }
}

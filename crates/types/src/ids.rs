//! Typed identifiers.
//!
//! Each kind of identifier that crosses a process boundary has its own type, so that the compiler
//! rejects an engine identifier where a program identifier is expected.

use std::borrow::Borrow;
use std::fmt;

use serde::{Deserialize, Serialize};

/// Maximum length in bytes of a name chosen by a caller or operator.
pub const MAX_NAME_BYTES: usize = 128;

/// Checks whether `text` is a valid name: 1 to [`MAX_NAME_BYTES`] bytes of ASCII letters, digits,
/// `-`, `_`, `.` or `:`.
pub fn is_valid_name(text: &str) -> bool {
    let is_valid_length = !text.is_empty() && text.len() <= MAX_NAME_BYTES;
    is_valid_length && text.bytes().all(is_name_byte)
}

fn is_name_byte(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'_' | b'.' | b':')
}

macro_rules! string_id {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(String);

        impl $name {
            /// Wraps a name without validating it.
            pub fn new(text: impl Into<String>) -> Self {
                Self(text.into())
            }

            /// Parses a name; returns `None` unless [`is_valid_name`] accepts it.
            pub fn parse(text: &str) -> Option<Self> {
                is_valid_name(text).then(|| Self(text.to_owned()))
            }

            /// Returns the name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl Borrow<str> for $name {
            fn borrow(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                formatter.write_str(&self.0)
            }
        }
    };
}

string_id!(
    /// Identifies a program: a sequence of dependent calls that share a durable history.
    ProgramId
);
string_id!(
    /// Identifies a tenant, which owns programs and budgets.
    TenantId
);
string_id!(
    /// Identifies a model by its public name, as in `GET /v1/models`.
    ModelId
);
string_id!(
    /// Identifies a model engine (a back end that generates tokens).
    EngineId
);
string_id!(
    /// Identifies a tool service, which has one or more replicas.
    ServiceId
);
string_id!(
    /// Identifies a store or gateway process.
    NodeId
);
string_id!(
    /// Availability zone, a failure domain of machines.
    Zone
);
string_id!(
    /// Group of nearby zones; data may be restricted to a region.
    Region
);
string_id!(
    /// Key under which a back end executes a request at most once.
    IdempotencyKey
);
string_id!(
    /// Identifies an operator's change across retries.
    RequestId
);

/// Identifies a call by its program and its sequence number.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct CallId {
    /// Program that the call belongs to.
    pub program: ProgramId,
    /// Sequence number of the call in its program, starting at 1.
    pub sequence: u64,
}

impl fmt::Display for CallId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}/{}", self.program, self.sequence)
    }
}

/// Identifies an attempt to run a call on a back end. A later attempt fences all earlier ones.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct AttemptId {
    /// Call that is attempted.
    pub call: CallId,
    /// Number of the attempt, starting at 1.
    pub number: u32,
}

impl AttemptId {
    /// Parses the format `PROGRAM/SEQUENCE/NUMBER` written by [`fmt::Display`].
    pub fn parse(text: &str) -> Option<Self> {
        let mut parts = text.split('/');
        let program = ProgramId::parse(parts.next()?)?;
        let sequence = parts.next()?.parse().ok()?;
        let number = parts.next()?.parse().ok()?;
        let is_complete = parts.next().is_none();
        is_complete.then_some(Self { call: CallId { program, sequence }, number })
    }
}

impl fmt::Display for AttemptId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}/{}", self.call, self.number)
    }
}

/// Position in the total order of accepted resource changes; 0 means no change yet.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Revision(pub u64);

impl fmt::Display for Revision {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(formatter)
    }
}

/// Distinguishes successive starts of the same node.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Incarnation(pub u64);

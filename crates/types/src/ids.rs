//! Typed identifiers.
//!
//! Every name that crosses a process boundary has a type of its own, so that an
//! engine cannot be passed where a program is wanted.

use std::borrow::Borrow;
use std::fmt;

use serde::{Deserialize, Serialize};

/// The longest accepted name, in bytes, of any identifier a caller or operator chooses.
pub const MAX_NAME_BYTES: usize = 128;

/// Says whether `text` may be used as a name: 1 to [`MAX_NAME_BYTES`] bytes of
/// ASCII letters, digits, `-`, `_`, `.` or `:`.
pub fn is_valid_name(text: &str) -> bool {
    let length_fits = !text.is_empty() && text.len() <= MAX_NAME_BYTES;
    length_fits && text.bytes().all(is_name_byte)
}

fn is_name_byte(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'_' | b'.' | b':')
}

macro_rules! text_id {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(String);

        impl $name {
            /// Wraps a name that was checked before or made by this project.
            pub fn new(text: impl Into<String>) -> Self {
                Self(text.into())
            }

            /// Parses a name given from outside; `None` unless [`is_valid_name`] holds.
            pub fn parse(text: &str) -> Option<Self> {
                is_valid_name(text).then(|| Self(text.to_owned()))
            }

            /// The name as text.
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

text_id!(
    /// A program: a chain of dependent calls with one durable history.
    ProgramId
);
text_id!(
    /// A tenant that owns programs and budgets.
    TenantId
);
text_id!(
    /// A model by its public name, as in `GET /v1/models`.
    ModelId
);
text_id!(
    /// A model engine (a back end that generates tokens).
    EngineId
);
text_id!(
    /// A named tool service replica set, such as the print service.
    ServiceId
);
text_id!(
    /// A process of the fleet (store or gateway).
    NodeId
);
text_id!(
    /// A zone in which machines fail together.
    Zone
);
text_id!(
    /// Zones that lie near each other; their data may be bound to stay there.
    Region
);
text_id!(
    /// A key under which a back end executes a request at most once.
    IdempotencyKey
);
text_id!(
    /// Identifies one operator change across resends.
    RequestId
);

/// A call by its program and its place in that program, counted from 1.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct CallId {
    /// The program the call belongs to.
    pub program: ProgramId,
    /// Place of the call in its program; the first call has 1.
    pub sequence: u64,
}

impl fmt::Display for CallId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}/{}", self.program, self.sequence)
    }
}

/// One try of one call on one back end. A later attempt fences every earlier one.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct AttemptId {
    /// The call being tried.
    pub call: CallId,
    /// Number of the try, counted from 1.
    pub number: u32,
}

impl AttemptId {
    /// Parses the text form `PROGRAM/SEQUENCE/NUMBER` that [`fmt::Display`] writes.
    pub fn parse(text: &str) -> Option<Self> {
        let mut parts = text.split('/');
        let program = ProgramId::parse(parts.next()?)?;
        let sequence = parts.next()?.parse().ok()?;
        let number = parts.next()?.parse().ok()?;
        let ends_here = parts.next().is_none();
        ends_here.then_some(Self { call: CallId { program, sequence }, number })
    }
}

impl fmt::Display for AttemptId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}/{}", self.call, self.number)
    }
}

/// Position in the one order of accepted resource changes. 0 means "none yet".
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

/// Distinguishes one start of a process from every other start of the same node.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Incarnation(pub u64);

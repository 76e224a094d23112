//! Checksummed frames between processes over asynchronous TCP.
//!
//! The frame format is that of `calicohoist-wire`: length, CRC-32C and a bincode payload. This
//! crate is for asynchronous code, `calicohoist-wire` for blocking code.

pub mod budget;
pub mod frame;
pub mod limit;
pub mod link;
pub mod memory;
pub mod refusal;
pub mod tcp;
pub mod version;
pub mod writer;

pub use calicohoist_wire::FrameError;
pub use frame::{Frame, FrameReader, HEADER_BYTES, SharedField, encode_frame, frame_payload};
pub use limit::{ConnectionLimit, OpenConnection};
pub use link::{Link, LinkHandshake, LinkMemory, LinkMessage};
pub use memory::FrameMemory;
pub use refusal::RefusedFrameLog;
pub use tcp::{accept, bind, connect};
pub use version::{ProtocolVersion, VersionError, VersionRange};
pub use writer::{FrameQueue, QueuedBytes, SendOutcome, spawn_writer};

//! Checked frames between processes over asynchronous TCP.
//!
//! The same frames as those of `calicohoist-wire`: length, CRC-32C and a bincode
//! payload. This crate serves event-driven processes, that one serves threads.

pub mod frame;
pub mod link;
pub mod refusal;
pub mod tcp;
pub mod writer;

pub use calicohoist_wire::FrameError;
pub use frame::{Frame, FrameReader, SharedField, encode_frame};
pub use link::Link;
pub use refusal::RefusalLog;
pub use tcp::{bind, connect};
pub use writer::{FrameQueue, Queued, WaitingBytes, spawn_writer};

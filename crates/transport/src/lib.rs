//! Checked frames between processes over asynchronous TCP.
//!
//! The same frames as those of `calicohoist-wire`: length, CRC-32C and a bincode
//! payload. This crate serves event-driven processes, that one serves threads.

pub mod frame;
pub mod link;
pub mod tcp;

pub use calicohoist_wire::FrameError;
pub use frame::{FrameReader, encode_frame};
pub use link::{Link, spawn_writer};
pub use tcp::{bind, connect};

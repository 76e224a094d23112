//! Framed links between the processes of one fleet.
//!
//! A frame is a length, a CRC-32C and a `bincode` payload. [`Link`] keeps one
//! outgoing connection alive; [`FrameServer`] accepts them and answers on the
//! connection a frame came in on. Both drop frames rather than block when their
//! ring is full: every protocol above repeats what it must.

pub mod frame;
pub mod link;
pub mod server;

pub use frame::{FrameError, MAX_FRAME_BYTES, decode, encode, read_frame, write_frame};
pub use link::Link;
pub use server::{FrameServer, Replier};

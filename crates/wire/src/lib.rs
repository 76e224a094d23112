//! Framed connections between store and gateway processes over blocking TCP.
//!
//! A frame consists of a length, a CRC-32C checksum and a `bincode` payload. [`Link`] is an
//! outgoing connection that reconnects automatically; [`FrameServer`] accepts connections and
//! replies on them. Both drop frames instead of blocking when their queue is full, so protocols
//! on top have to retry.

mod buffer;
pub mod frame;
pub mod link;
pub mod server;

pub use frame::{
    FrameError, MAX_FRAME_BYTES, decode, decode_stored, encode, encode_after, encode_frame,
    read_frame, write_frame,
};
pub use link::Link;
pub use server::{FrameServer, ReplySender};

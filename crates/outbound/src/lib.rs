//! Connections to servers that may misbehave.
//!
//! A server can send bytes without end: in a response head, as interim responses, in a body. This
//! crate limits what such a server costs its client:
//!
//! - [`lane`]: limits and paces the reading of one connection, as a state machine without I/O;
//! - [`pacer`]: the share of processor time for large responses of a process;
//! - `pausable_stream`: TCP stream that the reactor does not watch during pauses;
//! - `socket`: TCP socket that reads within the limits of its lane;
//! - [`closing`]: closing of a connection on request;
//! - [`connection`]: HTTP connection on such a socket;
//! - [`framing`]: heads of responses whose body cannot be read.

pub mod closing;
pub mod connection;
pub mod framing;
pub mod lane;
pub mod pacer;
mod pausable_stream;
mod socket;

pub use closing::Closing;
pub use connection::ServerConnection;
pub use framing::has_readable_body;
pub use lane::{HeadTooLong, ReadLane, UsedBeforeRequest};
pub use pacer::{ReadPacer, ReadShare};

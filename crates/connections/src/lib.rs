//! Server side of HTTP connections.
//!
//! [`accept`] serves the connections of a listener until its [`Drain`] closes them. A request that
//! has arrived is answered before the connection is closed. The drain counts a connection as open
//! until its response is delivered, so that a process knows when it may exit.

mod accept;
mod connection;
mod drain;
mod exchange;
mod linger;
mod peer;
pub mod request_end;
mod shared_stream;
mod socket;

pub use accept::accept;
pub use connection::{ConnectionSettings, RequestContext};
pub use drain::{Drain, DrainStage};

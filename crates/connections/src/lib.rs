//! Server side of HTTP connections.
//!
//! hyper serves the requests of a connection through a `RequestSocket`, which records their progress
//! and sees what hyper cannot: bytes that wait in the kernel, and peers that have only shut down
//! their sending side. To close a connection, the socket reports the end of the stream to hyper
//! between two requests.
//!
//! [`accept`] serves the connections of a listener until its [`Drain`] closes them. A request that
//! has arrived is answered before the connection is closed. The drain counts a connection as open
//! until its response is delivered, so that a process knows when it may exit.

mod accept;
mod connection;
mod delivery;
mod drain;
mod exchange;
mod linger;
mod peer;
pub mod request_end;
mod shared_stream;
mod socket;
mod stop_schedule;

pub use accept::accept;
pub use connection::{ConnectionSettings, RequestContext};
pub use delivery::Delivery;
pub use drain::{Drain, DrainStage};
pub use stop_schedule::StopSchedule;

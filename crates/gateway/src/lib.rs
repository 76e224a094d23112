//! A gateway: callers' HTTP API, engine ownership, and clients of back ends.
//!
//! - [`core`]: everything a gateway decides, as a state machine without I/O;
//! - [`front`]: callers and operators over HTTP;
//! - [`backend`]: engines, services and the platform over HTTP;
//! - [`driver`]: threads and rings around the core.

pub mod backend;
pub mod core;
pub mod driver;
pub mod front;
pub mod view;

pub use core::{Action, Gateway, GatewaySettings, Input};
pub use driver::{GatewayServer, ServerConfig};

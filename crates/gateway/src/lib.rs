//! The gateway: HTTP API for callers, engine queues, and clients of the back ends.
//!
//! - [`core`]: the decisions of a gateway, as a state machine without I/O;
//! - [`front`]: the HTTP API for callers and operators;
//! - [`backend`]: HTTP clients of engines, services and the platform;
//! - [`driver`]: the threads and channels around the core.

pub mod backend;
pub mod core;
pub mod driver;
pub mod front;
pub mod view;

pub use core::{Action, Gateway, GatewaySettings, Input};
pub use driver::{GatewayServer, ServerConfig};

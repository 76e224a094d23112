//! The gateway: HTTP API for callers, engine queues, and clients of the back ends.
//!
//! - [`core`]: the decisions of a gateway, as a state machine without I/O;
//! - [`api`]: the HTTP API for callers and operators;
//! - [`backend`]: HTTP clients of engines, services and the platform;
//! - [`view`]: the part of the core's view that HTTP endpoints read directly;
//! - [`driver`]: the threads and channels around the core.

pub mod api;
pub mod backend;
pub mod core;
pub mod driver;
pub mod view;

pub use core::{Action, Gateway, GatewaySettings, Input};
pub use driver::{ForceStopHandle, GatewayServer, ServerConfig};

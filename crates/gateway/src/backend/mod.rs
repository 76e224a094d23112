//! Clients of engines, services and the platform: each carries out one kind of
//! [`Action`](crate::core::Action) over HTTP and reports [`Input`](crate::core::Input)s.

pub mod engine;
pub mod platform;
pub mod service;

use std::time::Duration;

/// Longest time to connect to a back end.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Longest silence of a control request.
pub const CONTROL_TIMEOUT: Duration = Duration::from_secs(3);

//! HTTP clients of engines, services and the platform. They execute
//! [`Action`](crate::core::Action)s and return results as [`Input`](crate::core::Input)s.

pub mod engine;
pub mod platform;
pub mod service;

use std::time::Duration;

/// Timeout for connecting to a back end.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Read timeout of control requests.
pub const CONTROL_TIMEOUT: Duration = Duration::from_secs(3);

//! HTTP clients of engines, services and the platform. They execute
//! [`Action`](crate::core::Action)s and return results as [`Input`](crate::core::Input)s.

pub mod engine;
pub mod platform;
pub mod service;

use std::time::Duration;

/// Timeout for connecting to a back end.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Time limit of a control request, from connecting to the end of the response.
pub const CONTROL_TIMEOUT: Duration = Duration::from_secs(3);
/// Maximum size of the response to a control request, in bytes.
pub const MAX_CONTROL_RESPONSE_BYTES: u64 = 256 << 10;
/// Maximum size of a list, in bytes.
pub const MAX_LIST_BYTES: u64 = 4 << 20;
/// Maximum size of the result of a job, in bytes.
pub const MAX_JOB_RESULT_BYTES: u64 = 4 << 20;

//! Metrics of a gateway's calls.

use calicohoist_telemetry::metrics::{Counter, Gauge};

/// Calls that ended, by outcome.
pub(super) static CALLS_ENDED: Counter =
    Counter::new("calicohoist_calls_ended_total", "Calls that ended, by outcome", "outcome");

/// Attempts sent to back ends, by whether they resume an earlier attempt.
pub(super) static ATTEMPTS_SENT: Counter =
    Counter::new("calicohoist_attempts_sent_total", "Attempts sent to back ends", "kind");

/// Attempts that failed, by kind of failure.
pub(super) static ATTEMPTS_FAILED: Counter =
    Counter::new("calicohoist_attempts_failed_total", "Attempts that failed, by how", "failure");

/// Number of active calls.
pub(super) static ACTIVE_CALLS: Gauge =
    Gauge::new("calicohoist_calls_under_way", "Calls under way in this process");

/// Configuration revision that this gateway applies.
pub(super) static APPLIED_REVISION: Gauge =
    Gauge::new("calicohoist_applied_revision", "Revision of the configuration");

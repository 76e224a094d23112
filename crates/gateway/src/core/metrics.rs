//! What a gateway counts of its calls.

use calicohoist_telemetry::metrics::{Counter, Gauge};

/// Calls that ended, by what is certain about them.
pub(super) static CALLS_ENDED: Counter =
    Counter::new("calicohoist_calls_ended_total", "Calls that ended, by outcome", "outcome");

/// Attempts that were sent to back ends, by whether they resumed an earlier one.
pub(super) static ATTEMPTS_SENT: Counter =
    Counter::new("calicohoist_attempts_sent_total", "Attempts sent to back ends", "kind");

/// Attempts that failed.
pub(super) static ATTEMPTS_FAILED: Counter =
    Counter::new("calicohoist_attempts_failed_total", "Attempts that failed, by how", "failure");

/// Calls under way.
pub(super) static CALLS_UNDER_WAY: Gauge =
    Gauge::new("calicohoist_calls_under_way", "Calls under way in this process");

/// Revision of the configuration that this gateway acts on.
pub(super) static APPLIED_REVISION: Gauge =
    Gauge::new("calicohoist_applied_revision", "Revision of the configuration");

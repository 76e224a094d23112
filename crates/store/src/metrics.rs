//! Metrics of a store machine.

use calicohoist_telemetry::metrics::{Counter, Gauge};

/// Requests from gateways and tools, by kind.
pub(crate) static REQUESTS: Counter = Counter::new(
    "calicohoist_store_requests_total",
    "Requests of gateways and tools, by kind",
    "kind",
);

/// Number of groups that this machine leads.
pub(crate) static GROUPS_LED: Gauge =
    Gauge::new("calicohoist_store_groups_led", "Groups that this machine leads");

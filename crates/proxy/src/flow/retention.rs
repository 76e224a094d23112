//! How long the ledger is asked to keep turns and accounts.
//!
//! A caller counts the retention of a turn from the last byte of its response, and a request that
//! continues the turn in time takes a while to reach the ledger. The ledger counts from the record,
//! which precedes the last byte, so it is asked for both times in addition.

use std::time::Duration;

use calicohoist_routing::Route;

/// Least time allowed for the delivery of a response, and for the arrival of a request. Covers a leader
/// election.
const MIN_TRANSIT: Duration = Duration::from_secs(1);
/// Longest such time. Covers reading a request body and the wait for its reservation.
const MAX_TRANSIT: Duration = Duration::from_secs(8);

/// Returns the time allowed for the delivery of a response, and again for the arrival of the request
/// that continues its turn.
pub fn transit_time(route: &Route) -> Duration {
    route.timeout.clamp(MIN_TRANSIT, MAX_TRANSIT)
}

/// Returns how long what a turn needs is kept from its start, so that it outlives the turn.
pub fn while_running(route: &Route) -> Duration {
    route.retention.saturating_add(route.timeout).saturating_add(transit_time(route))
}

/// Returns how long a turn that has ended is kept from its record.
pub fn once_ended(route: &Route) -> Duration {
    route.retention.saturating_add(2 * transit_time(route))
}

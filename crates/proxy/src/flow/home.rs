//! Requests that may be served and kept in some regions only.

use std::time::Duration;

use super::call::Call;
use super::refusal::{NotRunReason, Refusal};
use crate::app::App;

/// When a request may come back that has no replica in its homes: about the time between two
/// readings of the list of replicas.
const REPLICA_RETRY_AFTER: Duration = Duration::from_millis(500);
/// The same when only another configuration would help, which an operator has to write.
const CONFIGURATION_RETRY_AFTER: Duration = Duration::from_secs(5);

/// Refuses a request that cannot be served within its homes, before any of it leaves this
/// gateway.
///
/// # Errors
/// When no zone or no replica lies in its homes, or its turns would be kept outside of them, too.
pub fn check(app: &App, call: &Call) -> Result<(), Refusal> {
    let homes = call.homes();
    if !homes.is_restricted() {
        return Ok(());
    }
    let topology = &app.settings.topology;
    if !topology.has_home(&homes) {
        return Err(Refusal::not_run(NotRunReason::NoHome, CONFIGURATION_RETRY_AFTER));
    }
    if call.route.retain && !topology.is_covered_by(&homes) {
        return Err(Refusal::not_run(NotRunReason::NotKeptAtHome, CONFIGURATION_RETRY_AFTER));
    }
    let service = call.service().map(|service| service.name.as_str()).unwrap_or_default();
    if app.fleet.is_listed_in(service, &homes) {
        return Ok(());
    }
    Err(Refusal::not_run(NotRunReason::NoReplicaAtHome, REPLICA_RETRY_AFTER))
}

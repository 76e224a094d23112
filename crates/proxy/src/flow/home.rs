//! Data residency: requests that may be served and stored in certain regions only.

use std::time::Duration;

use super::call::Call;
use super::error::{GatewayError, NotExecutedReason};
use crate::app::App;

/// Retry delay if the service has no replica in the homes. About the interval between readings of
/// the replica list.
const REPLICA_RETRY_AFTER: Duration = Duration::from_millis(500);
/// Retry delay if only a new configuration would help.
const CONFIGURATION_RETRY_AFTER: Duration = Duration::from_secs(5);

/// Rejects a request that cannot be served within its homes, before it is sent anywhere.
///
/// # Errors
/// Returns an error if no zone or replica is in its homes, or if its turns would be stored outside
/// them.
pub fn check(app: &App, call: &Call) -> Result<(), GatewayError> {
    let homes = call.homes();
    if !homes.is_restricted() {
        return Ok(());
    }
    let topology = &app.settings.topology;
    if !topology.has_home(&homes) {
        return Err(GatewayError::not_executed(
            NotExecutedReason::NoHome,
            CONFIGURATION_RETRY_AFTER,
        ));
    }
    if call.route.retain && !topology.is_covered_by(&homes) {
        return Err(GatewayError::not_executed(
            NotExecutedReason::RetainedOutsideHomes,
            CONFIGURATION_RETRY_AFTER,
        ));
    }
    let service = call.service().map(|service| service.name.as_str()).unwrap_or_default();
    if app.fleet.has_replica_in(service, &homes) {
        return Ok(());
    }
    Err(GatewayError::not_executed(NotExecutedReason::NoReplicaInHomes, REPLICA_RETRY_AFTER))
}

//! Changes to the set of drained zones, whose replicas receive no new requests.

use calicohoist_routing::DrainedZones;
use calicohoist_types::Zone;

/// Drains a zone. The version is unchanged if the zone is already drained.
pub fn drain(drained: &mut DrainedZones, zone: Zone) {
    if drained.zones.insert(zone) {
        drained.version += 1;
    }
}

/// Ends the draining of a zone. The version is unchanged if the zone is not drained.
pub fn restore(drained: &mut DrainedZones, zone: &Zone) {
    if drained.zones.remove(zone) {
        drained.version += 1;
    }
}

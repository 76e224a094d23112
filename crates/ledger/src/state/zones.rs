//! The zones whose replicas get nothing new.

use calicohoist_routing::DrainedZones;
use calicohoist_types::Zone;

/// Drains a zone. One that is drained stays so, and keeps its version.
pub fn drain(drained: &mut DrainedZones, zone: Zone) {
    if drained.zones.insert(zone) {
        drained.version += 1;
    }
}

/// Gives a zone back. One that is not drained changes nothing.
pub fn restore(drained: &mut DrainedZones, zone: &Zone) {
    if drained.zones.remove(zone) {
        drained.version += 1;
    }
}

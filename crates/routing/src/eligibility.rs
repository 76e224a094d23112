//! Which replicas may get a request at all, before any of them is preferred.
//!
//! The leader that places turns and the gateway that chooses by itself both ask here, so
//! that neither sends work where the other would not.

use std::collections::BTreeSet;
use std::fmt;

use calicohoist_types::{Region, Zone};
use serde::{Deserialize, Serialize};

use crate::replica::{Replica, ReplicaState};
use crate::topology::Topology;

/// Regions in which a request may be served and its content kept.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct HomeRegions(Option<BTreeSet<Region>>);

impl HomeRegions {
    /// Any region will do.
    pub fn anywhere() -> Self {
        Self(None)
    }

    /// Only these regions.
    pub fn only(regions: impl IntoIterator<Item = Region>) -> Self {
        Self(Some(regions.into_iter().collect()))
    }

    /// Whether some regions are excluded.
    pub fn is_bound(&self) -> bool {
        self.0.is_some()
    }

    /// Whether this region is among them. One that is not known is among none.
    pub fn allows(&self, region: Option<&Region>) -> bool {
        match &self.0 {
            None => true,
            Some(regions) => region.is_some_and(|region| regions.contains(region)),
        }
    }

    /// The regions that are named; none when any will do.
    pub fn regions(&self) -> impl Iterator<Item = &Region> {
        self.0.iter().flatten()
    }

    /// The regions that both allow.
    pub fn intersection(&self, other: &Self) -> Self {
        match (&self.0, &other.0) {
            (None, homes) | (homes, None) => Self(homes.clone()),
            (Some(own), Some(others)) => Self(Some(own & others)),
        }
    }
}

/// The zones whose replicas get nothing new, by order of an operator.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DrainedZones {
    /// Rises with every change; 0 before the first.
    pub version: u64,
    /// The zones.
    pub zones: BTreeSet<Zone>,
}

impl DrainedZones {
    /// No zone is drained.
    pub const fn none() -> Self {
        Self { version: 0, zones: BTreeSet::new() }
    }

    /// Whether this zone is drained.
    pub fn contains(&self, zone: &str) -> bool {
        self.zones.contains(zone)
    }
}

impl fmt::Display for DrainedZones {
    /// The zones with commas between them, a dash when there are none.
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.zones.is_empty() {
            return formatter.write_str("-");
        }
        for (number, zone) in self.zones.iter().enumerate() {
            let comma = if number == 0 { "" } else { "," };
            write!(formatter, "{comma}{zone}")?;
        }
        Ok(())
    }
}

/// Whether a replica may get a request, with the first reason against it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Eligibility {
    /// No reason is against it.
    Eligible,
    /// It is leaving.
    Leaving,
    /// It is in no region where the request may be served.
    OutsideHome,
    /// Its zone is drained.
    ZoneDrained,
}

/// What decides on eligibility besides the replica itself.
#[derive(Clone, Copy, Debug)]
pub struct EligibilityRules<'a> {
    /// Where zones lie.
    pub topology: &'a Topology,
    /// Where the request may be served.
    pub homes: &'a HomeRegions,
    /// Zones that get nothing.
    pub drained: &'a DrainedZones,
}

impl EligibilityRules<'_> {
    /// The first reason against sending the request to `replica`, if there is one.
    pub fn judge(&self, replica: &Replica) -> Eligibility {
        if replica.state != ReplicaState::Ready {
            return Eligibility::Leaving;
        }
        if !self.homes.allows(self.topology.region_of(&replica.zone)) {
            return Eligibility::OutsideHome;
        }
        if self.drained.contains(&replica.zone) {
            return Eligibility::ZoneDrained;
        }
        Eligibility::Eligible
    }

    /// Whether `replica` may get the request.
    pub fn admits(&self, replica: &Replica) -> bool {
        self.judge(replica) == Eligibility::Eligible
    }
}

//! Eligibility of replicas for a request, checked before selection.
//!
//! The leader of the ledger, when it places turns, and gateways, when they select replicas, apply
//! the same rules.

use std::collections::BTreeSet;
use std::fmt;

use calicohoist_types::{Region, Zone};
use serde::{Deserialize, Serialize};

use crate::replica::{Replica, ReplicaState};
use crate::topology::Topology;

/// Regions in which a request may be served and its content stored.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct HomeRegions(Option<BTreeSet<Region>>);

impl HomeRegions {
    /// Allows any region.
    pub fn anywhere() -> Self {
        Self(None)
    }

    /// Allows only these regions.
    pub fn only(regions: impl IntoIterator<Item = Region>) -> Self {
        Self(Some(regions.into_iter().collect()))
    }

    /// Returns whether only some regions are allowed.
    pub fn is_restricted(&self) -> bool {
        self.0.is_some()
    }

    /// Returns whether the region is allowed. An unknown region is allowed only if there is no
    /// restriction.
    pub fn allows(&self, region: Option<&Region>) -> bool {
        match &self.0 {
            None => true,
            Some(regions) => region.is_some_and(|region| regions.contains(region)),
        }
    }

    /// Iterates over the allowed regions; empty if there is no restriction.
    pub fn regions(&self) -> impl Iterator<Item = &Region> {
        self.0.iter().flatten()
    }

    /// Returns the regions that are allowed by both.
    pub fn intersection(&self, other: &Self) -> Self {
        match (&self.0, &other.0) {
            (None, homes) | (homes, None) => Self(homes.clone()),
            (Some(own), Some(others)) => Self(Some(own & others)),
        }
    }
}

/// Zones drained by an operator: their replicas receive no new requests.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DrainedZones {
    /// Version, incremented with every change; initially 0.
    pub version: u64,
    /// Drained zones.
    pub zones: BTreeSet<Zone>,
}

impl DrainedZones {
    /// Creates an empty set with version 0.
    pub const fn none() -> Self {
        Self { version: 0, zones: BTreeSet::new() }
    }

    /// Returns whether the zone is drained.
    pub fn contains(&self, zone: &str) -> bool {
        self.zones.contains(zone)
    }
}

impl fmt::Display for DrainedZones {
    /// Writes the zones separated by commas, or a dash if there are none.
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

/// Whether a replica may serve a request, or the first reason why not.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Eligibility {
    /// The replica may serve the request.
    Eligible,
    /// The replica is draining.
    Draining,
    /// The replica is outside the request's home regions.
    OutsideHome,
    /// The replica's zone is drained.
    ZoneDrained,
}

/// Rules that determine the eligibility of replicas for a request.
#[derive(Clone, Copy, Debug)]
pub struct EligibilityRules<'a> {
    /// Zones and regions of the deployment.
    pub topology: &'a Topology,
    /// Regions in which the request may be served.
    pub homes: &'a HomeRegions,
    /// Drained zones.
    pub drained: &'a DrainedZones,
}

impl EligibilityRules<'_> {
    /// Checks whether `replica` may serve the request.
    pub fn check(&self, replica: &Replica) -> Eligibility {
        if replica.state != ReplicaState::Ready {
            return Eligibility::Draining;
        }
        if self.homes.is_restricted() && !self.homes.allows(self.topology.region_of(&replica.zone))
        {
            return Eligibility::OutsideHome;
        }
        if self.drained.contains(&replica.zone) {
            return Eligibility::ZoneDrained;
        }
        Eligibility::Eligible
    }

    /// Returns whether `replica` may serve the request.
    pub fn admits(&self, replica: &Replica) -> bool {
        self.check(replica) == Eligibility::Eligible
    }
}

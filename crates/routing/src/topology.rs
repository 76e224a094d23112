//! Zones, their regions, and distances between zones.

use std::collections::BTreeMap;
use std::time::Duration;

use calicohoist_types::{Region, Zone};

use crate::eligibility::HomeRegions;

/// Distance between two zones.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Distance {
    /// The same zone.
    SameZone,
    /// Another zone of the same region.
    SameRegion,
    /// A zone of another region, or of an unknown region.
    OtherRegion,
}

impl Distance {
    /// Returns the cost of this distance, given the costs of leaving the zone and the region. The
    /// cost within a zone is zero.
    pub const fn cost(self, same_region: Duration, other_region: Duration) -> Duration {
        match self {
            Self::SameZone => Duration::ZERO,
            Self::SameRegion => same_region,
            Self::OtherRegion => other_region,
        }
    }

    /// Name in logs and metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::SameZone => "same_zone",
            Self::SameRegion => "same_region",
            Self::OtherRegion => "other_region",
        }
    }
}

/// The zones of a deployment with their regions.
///
/// Without any configured regions, all zones belong to one region: distinct zones are at
/// [`Distance::SameRegion`].
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Topology {
    regions: BTreeMap<Zone, Region>,
}

impl Topology {
    /// Creates a topology without zones.
    pub const fn empty() -> Self {
        Self { regions: BTreeMap::new() }
    }

    /// Creates a topology from zones with their regions.
    pub fn new(regions: BTreeMap<Zone, Region>) -> Self {
        Self { regions }
    }

    /// Returns the region of a zone, or `None` if the zone is unknown.
    pub fn region_of(&self, zone: &str) -> Option<&Region> {
        self.regions.get(zone)
    }

    /// Returns whether the zone is listed.
    pub fn contains(&self, zone: &Zone) -> bool {
        self.regions.contains_key(zone)
    }

    /// Iterates over all zones with their regions.
    pub fn zones(&self) -> impl Iterator<Item = (&Zone, &Region)> {
        self.regions.iter()
    }

    /// Returns whether any zone belongs to the region.
    pub fn has_region(&self, region: &Region) -> bool {
        self.regions.values().any(|zone_region| zone_region == region)
    }

    /// Returns whether any zone belongs to one of the home regions. Unrestricted homes always
    /// match, even without any listed zones.
    pub fn has_home(&self, homes: &HomeRegions) -> bool {
        !homes.is_restricted() || self.regions.values().any(|region| homes.allows(Some(region)))
    }

    /// Returns whether every zone belongs to one of the home regions. Without any listed zones,
    /// only unrestricted homes match.
    pub fn is_covered_by(&self, homes: &HomeRegions) -> bool {
        if !homes.is_restricted() {
            return true;
        }
        let mut regions = self.regions.values();
        !self.regions.is_empty() && regions.all(|region| homes.allows(Some(region)))
    }

    /// Returns the distance between two zones.
    pub fn distance(&self, from: &str, to: &str) -> Distance {
        if from == to {
            return Distance::SameZone;
        }
        if self.regions.is_empty() {
            return Distance::SameRegion;
        }
        match (self.region_of(from), self.region_of(to)) {
            (Some(from), Some(to)) if from == to => Distance::SameRegion,
            _ => Distance::OtherRegion,
        }
    }
}

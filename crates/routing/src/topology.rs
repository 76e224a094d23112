//! Where zones lie: which region each belongs to, and how far two of them are apart.

use std::collections::BTreeMap;
use std::time::Duration;

use calicohoist_types::{Region, Zone};

use crate::eligibility::HomeRegions;

/// How far a zone is from another one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Distance {
    /// The same zone.
    SameZone,
    /// Another zone of the same region.
    SameRegion,
    /// A zone of another region, or one whose region is not known.
    OtherRegion,
}

impl Distance {
    /// What a way of this distance costs, given the costs of leaving a zone and a region; nothing
    /// within a zone.
    pub const fn cost(self, same_region: Duration, other_region: Duration) -> Duration {
        match self {
            Self::SameZone => Duration::ZERO,
            Self::SameRegion => same_region,
            Self::OtherRegion => other_region,
        }
    }

    /// One word for logs and metrics.
    pub const fn word(self) -> &'static str {
        match self {
            Self::SameZone => "same_zone",
            Self::SameRegion => "same_region",
            Self::OtherRegion => "other_region",
        }
    }
}

/// The zones of a deployment with their regions.
///
/// A deployment that names no regions is one region: every two of its zones are at
/// [`Distance::SameRegion`].
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Topology {
    regions: BTreeMap<Zone, Region>,
}

impl Topology {
    /// No zone is known.
    pub const fn empty() -> Self {
        Self { regions: BTreeMap::new() }
    }

    /// A topology of these zones.
    pub fn new(regions: BTreeMap<Zone, Region>) -> Self {
        Self { regions }
    }

    /// The region of a zone; `None` when it is not known.
    pub fn region_of(&self, zone: &str) -> Option<&Region> {
        self.regions.get(zone)
    }

    /// Whether this zone exists. Without a list of zones nothing is known of any.
    pub fn contains(&self, zone: &Zone) -> bool {
        self.regions.contains_key(zone)
    }

    /// All zones, each with its region.
    pub fn zones(&self) -> impl Iterator<Item = (&Zone, &Region)> {
        self.regions.iter()
    }

    /// Whether some zone lies in this region.
    pub fn has_region(&self, region: &Region) -> bool {
        self.regions.values().any(|known| known == region)
    }

    /// Whether some zone lies in one of these homes. Homes that allow any region always have one,
    /// also where no zones are listed.
    pub fn has_home(&self, homes: &HomeRegions) -> bool {
        !homes.is_bound() || self.regions.values().any(|region| homes.allows(Some(region)))
    }

    /// Whether every zone lies in one of these homes. Where no zones are listed, only homes that
    /// allow any region cover them.
    pub fn is_covered_by(&self, homes: &HomeRegions) -> bool {
        if !homes.is_bound() {
            return true;
        }
        let mut regions = self.regions.values();
        !self.regions.is_empty() && regions.all(|region| homes.allows(Some(region)))
    }

    /// How far `to` is from `from`.
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

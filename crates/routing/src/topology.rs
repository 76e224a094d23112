//! Where zones lie: which region each belongs to, and how far two of them are apart.

use std::collections::BTreeMap;

use calicohoist_types::{Region, Zone};

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
        self.regions.get(&Zone::new(zone))
    }

    /// Whether this zone exists. Without a list of zones nothing is known of any.
    pub fn contains(&self, zone: &Zone) -> bool {
        self.regions.contains_key(zone)
    }

    /// All zones, each with its region.
    pub fn zones(&self) -> impl Iterator<Item = (&Zone, &Region)> {
        self.regions.iter()
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

//! Recently started (cold) replicas, which accept only limited load.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use calicohoist_types::Zone;
use serde::{Deserialize, Serialize};

use crate::eligibility::DrainedZones;

/// Maximum delay of the replica list. A remaining cold time may be listed too long by this much,
/// and a restarted replica may be listed as cold this much later.
const MAX_LIST_LAG: Duration = Duration::from_millis(800);
/// Maximum time until a change of a replica is known: the delay of the list, the interval between
/// two readings, and the duration of a reading.
pub const LIST_SETTLE_TIME: Duration = Duration::from_millis(2_000);
/// Upper bound on a listed cold time, so that a wrong entry does not keep a replica idle for long.
const MAX_COLD_TIME: Duration = Duration::from_secs(60);
/// Cold time of a new replica whose remaining cold time is not listed.
const DEFAULT_COLD_TIME: Duration = Duration::from_secs(5);
/// Lifetime of a placement at a cold replica. A request sent later would count towards the load of
/// the next second.
pub const COLD_PLACEMENT_LIFETIME: Duration = Duration::from_millis(300);

/// Replica at which the leader has placed a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlacedReplica {
    /// Id of the replica.
    pub id: String,
    /// Deadline for sending the request, or `None` if the leader considers the replica warm. The
    /// leader limits the placements at a cold replica per second, so a late request would exceed
    /// the limit of another second.
    pub send_by: Option<Instant>,
}

impl PlacedReplica {
    /// Creates a placement at a warm replica.
    pub fn warm(id: String) -> Self {
        Self { id, send_by: None }
    }

    /// Creates a placement at a cold replica. The gateway sent its query at `sent_at`, and the
    /// leader placed the request `waited` after receiving it. The network delay of the query is
    /// ignored, so the placement expires at most [`COLD_PLACEMENT_LIFETIME`] after it was made.
    /// Clocks of different machines are not compared.
    pub fn cold(id: String, sent_at: Instant, waited: Duration) -> Self {
        Self { id, send_by: Some(sent_at + waited + COLD_PLACEMENT_LIFETIME) }
    }

    /// Returns whether the request may still be sent to the replica. `is_cold` is the gateway's
    /// own knowledge: a placement made for a warm replica is invalid if the replica is cold.
    pub fn is_valid(&self, is_cold: bool, now: Instant) -> bool {
        match self.send_by {
            Some(send_by) => now < send_by,
            None => !is_cold,
        }
    }
}

/// Load limit of the cold replicas of a service.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct ColdLimit {
    /// Maximum number of requests per second.
    pub per_second: f64,
    /// Time for which a replica is cold after its start.
    pub lasts: Duration,
}

/// By how much the limit of a cold replica may be exceeded within one second.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdTolerance {
    /// Factor by which the limit is multiplied.
    pub overshoot: f64,
    /// Number of requests added to the limit.
    pub slack: f64,
}

impl Default for ColdTolerance {
    /// No tolerance.
    fn default() -> Self {
        Self { overshoot: 1.0, slack: 0.0 }
    }
}

/// Replicas known to be cold, with the end of their cold time.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ColdReplicas {
    /// End of the cold time, by replica id.
    until: BTreeMap<String, Instant>,
}

impl ColdReplicas {
    /// Creates an empty set.
    pub const fn none() -> Self {
        Self { until: BTreeMap::new() }
    }

    /// Marks a replica as cold until `until`. A known later end is kept, since a delayed list may
    /// contain an earlier one.
    pub fn mark_cold(&mut self, replica: &str, until: Instant) {
        let known = self.until.entry(replica.to_owned()).or_insert(until);
        *known = (*known).max(until);
    }

    /// Returns whether a replica is cold.
    pub fn is_cold(&self, replica: &str, now: Instant) -> bool {
        self.until.get(replica).is_some_and(|until| now < *until)
    }

    /// Iterates over the cold replicas with their remaining cold time.
    pub fn remaining(&self, now: Instant) -> impl Iterator<Item = (&str, Duration)> {
        let cold = self.until.iter().filter(move |(_, until)| now < **until);
        cold.map(move |(replica, until)| (replica.as_str(), *until - now))
    }

    /// Returns the cold replicas with their remaining cold time in ms, as sent to gateways.
    pub fn remaining_ms(&self, now: Instant) -> Vec<(String, u32)> {
        let to_ms = |remaining: Duration| u32::try_from(remaining.as_millis()).unwrap_or(u32::MAX);
        self.remaining(now)
            .map(|(replica, remaining)| (replica.to_owned(), to_ms(remaining)))
            .collect()
    }

    /// Removes and returns the replicas whose cold time has ended.
    pub fn expire(&mut self, now: Instant) -> Vec<String> {
        let warm = self.until.iter().filter(|(_, until)| **until <= now);
        let warm: Vec<String> = warm.map(|(replica, _)| replica.clone()).collect();
        self.until.retain(|_, until| now < *until);
        warm
    }
}

/// Changes found in one reading of the replica list.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ColdChange {
    /// Replicas that became cold, or whose cold time was extended.
    pub became_cold: Vec<String>,
    /// Replicas whose cold time has ended.
    pub became_warm: Vec<String>,
}

/// Tracks cold replicas over successive readings of the replica list.
#[derive(Clone, Debug, Default)]
pub struct ColdTracker {
    cold: ColdReplicas,
    /// Replica ids of the last reading; `None` before the first.
    known: Option<BTreeSet<String>>,
}

impl ColdTracker {
    /// Processes a reading that began at `read_at`. Each replica is listed with its remaining cold
    /// time, or `None` if that is unknown. A new replica without one is treated as cold, except in
    /// the first reading, in which the age of all replicas is unknown.
    pub fn update<'a>(
        &mut self,
        listed: impl Iterator<Item = (&'a str, Option<Duration>)>,
        read_at: Instant,
    ) -> ColdChange {
        let mut change =
            ColdChange { became_warm: self.cold.expire(read_at), became_cold: Vec::new() };
        let mut ids = BTreeSet::new();
        for (replica, remaining) in listed {
            let is_new = self.known.as_ref().is_some_and(|known| !known.contains(replica));
            let remaining =
                remaining.unwrap_or(if is_new { DEFAULT_COLD_TIME } else { Duration::ZERO });
            ids.insert(replica.to_owned());
            if self.record(replica, remaining, read_at) {
                change.became_cold.push(replica.to_owned());
            }
        }
        self.known = Some(ids);
        change
    }

    /// Returns the cold replicas as of the last reading.
    pub fn cold(&self) -> &ColdReplicas {
        &self.cold
    }

    /// Records a remaining cold time; returns whether it extends the known one. The recorded end
    /// is later by [`MAX_LIST_LAG`], so that variations of the list's delay do not count as
    /// extensions.
    fn record(&mut self, replica: &str, remaining: Duration, read_at: Instant) -> bool {
        if remaining.is_zero() {
            return false;
        }
        let until = read_at + remaining.min(MAX_COLD_TIME);
        let is_extended = !self.cold.is_cold(replica, until);
        if is_extended {
            self.cold.mark_cold(replica, until + MAX_LIST_LAG);
        }
        is_extended
    }
}

/// Recently undrained zones. Replicas that restarted while the zone was drained may be cold
/// without being listed as such yet.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct UndrainedZones {
    /// Drained zones as of the last update.
    drained: BTreeSet<Zone>,
    /// Time from which the replica list of an undrained zone is reliable, by zone.
    until: BTreeMap<Zone, Instant>,
}

impl UndrainedZones {
    /// Updates the drained zones, and removes zones whose replica list is reliable again.
    pub fn update(&mut self, drained: &DrainedZones, now: Instant) {
        self.until.retain(|_, until| now < *until);
        if self.drained == drained.zones {
            return;
        }
        for zone in self.drained.difference(&drained.zones) {
            self.until.insert(zone.clone(), now + LIST_SETTLE_TIME);
        }
        self.drained.clone_from(&drained.zones);
    }

    /// Returns whether a zone was undrained recently.
    pub fn contains(&self, zone: &str, now: Instant) -> bool {
        self.until.iter().any(|(undrained, until)| undrained.as_str() == zone && now < *until)
    }
}

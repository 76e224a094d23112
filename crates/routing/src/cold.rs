//! Replicas that have just started and bear little work yet.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use calicohoist_types::Zone;
use serde::{Deserialize, Serialize};

use crate::eligibility::DrainedZones;

/// Longest delay of the list of replicas. A time left that it shows is up to this much too long,
/// and a replica that starts again is shown as cold up to this much later.
const LIST_LAG: Duration = Duration::from_millis(800);
/// Time from a change of a replica until a reading that shows it has surely been taken in: the
/// delay of the list, the 0.7 s between two readings, and the reading itself.
pub const LIST_SETTLES: Duration = Duration::from_millis(2_000);
/// Longest time left that is believed: an engine reads its weights in less. Without this bound a
/// wrong list could leave a replica nearly idle for good.
const MOST_COLD: Duration = Duration::from_secs(60);
/// How long a new replica counts as cold where the list says nothing of it.
const ASSUMED_COLD: Duration = Duration::from_secs(5);
/// How long a placement at a cold replica may be used after it was made: a few times the way from
/// the leader to the gateway. Later it would arrive beside those of the next second.
pub const COLD_PLACEMENT_LIFE: Duration = Duration::from_millis(300);

/// The replica where the leader has placed a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlacedReplica {
    /// Its identity.
    pub id: String,
    /// Until when the request may be sent there; `None` at a replica that the leader takes for
    /// warm. The leader limits what it places at a cold one in each second: a request sent much
    /// later would arrive together with those of another second.
    pub send_by: Option<Instant>,
}

impl PlacedReplica {
    /// At a warm replica.
    pub fn warm(id: String) -> Self {
        Self { id, send_by: None }
    }

    /// At a cold replica. The gateway asked at `asked`, and the leader placed the request `waited`
    /// after the question had reached it. The time that the question took on its way is not
    /// counted, so the placement lapses at most [`COLD_PLACEMENT_LIFE`] after it was made. No
    /// clocks of two machines are compared.
    pub fn cold(id: String, asked: Instant, waited: Duration) -> Self {
        Self { id, send_by: Some(asked + waited + COLD_PLACEMENT_LIFE) }
    }

    /// Whether the request may still be sent there. `is_cold` is what the gateway knows: a replica
    /// that the leader took for warm and that is cold gets nothing.
    pub fn holds(&self, is_cold: bool, now: Instant) -> bool {
        match self.send_by {
            Some(send_by) => now < send_by,
            None => !is_cold,
        }
    }
}

/// Requests that a cold replica of a service bears.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct ColdLimit {
    /// Requests a second.
    pub per_second: f64,
    /// How long a replica is cold after its start.
    pub lasts: Duration,
}

/// What may come on top of a cold replica's limit within one second.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdTolerance {
    /// The limit is multiplied by this.
    pub overshoot: f64,
    /// Requests that are added.
    pub slack: f64,
}

impl Default for ColdTolerance {
    /// Exact.
    fn default() -> Self {
        Self { overshoot: 1.0, slack: 0.0 }
    }
}

/// The replicas known to be cold, each until when.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ColdReplicas {
    /// When each of them is warm, by replica.
    until: BTreeMap<String, Instant>,
}

impl ColdReplicas {
    /// No replica is cold.
    pub const fn none() -> Self {
        Self { until: BTreeMap::new() }
    }

    /// Notes that a replica is cold until then at least: what is known already is never
    /// shortened, since a list that lags may show an earlier time.
    pub fn note(&mut self, replica: &str, until: Instant) {
        let known = self.until.entry(replica.to_owned()).or_insert(until);
        *known = (*known).max(until);
    }

    /// Whether a replica is cold.
    pub fn is_cold(&self, replica: &str, now: Instant) -> bool {
        self.until.get(replica).is_some_and(|until| now < *until)
    }

    /// The replicas that are cold, each with the time that is left.
    pub fn left(&self, now: Instant) -> impl Iterator<Item = (&str, Duration)> {
        let cold = self.until.iter().filter(move |(_, until)| now < **until);
        cold.map(move |(replica, until)| (replica.as_str(), *until - now))
    }

    /// The same in whole ms, as it is told to gateways.
    pub fn left_ms(&self, now: Instant) -> Vec<(String, u32)> {
        let in_ms = |left: Duration| u32::try_from(left.as_millis()).unwrap_or(u32::MAX);
        self.left(now).map(|(replica, left)| (replica.to_owned(), in_ms(left))).collect()
    }

    /// Forgets replicas that are warm by now; returns them.
    pub fn expire(&mut self, now: Instant) -> Vec<String> {
        let warm = self.until.iter().filter(|(_, until)| **until <= now);
        let warm: Vec<String> = warm.map(|(replica, _)| replica.clone()).collect();
        self.until.retain(|_, until| now < *until);
        warm
    }
}

/// What one reading has changed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ColdChange {
    /// Replicas that are cold now, or for longer than was known.
    pub became_cold: Vec<String>,
    /// Replicas that are cold no more.
    pub became_warm: Vec<String>,
}

/// Learns which replicas are cold from successive readings of the list.
#[derive(Clone, Debug, Default)]
pub struct ColdWatch {
    cold: ColdReplicas,
    /// The replicas of the last reading; `None` before the first.
    known: Option<BTreeSet<String>>,
}

impl ColdWatch {
    /// Takes in a reading that began at `read_at`: each replica with the time for which it is
    /// still cold, or `None` where the list does not tell. A replica that is listed for the first
    /// time without one counts as cold; in the very first reading all ages are unknown, and the
    /// list is believed.
    pub fn take<'a>(
        &mut self,
        listed: impl Iterator<Item = (&'a str, Option<Duration>)>,
        read_at: Instant,
    ) -> ColdChange {
        let mut change =
            ColdChange { became_warm: self.cold.expire(read_at), became_cold: Vec::new() };
        let mut ids = BTreeSet::new();
        for (replica, left) in listed {
            let is_new = self.known.as_ref().is_some_and(|known| !known.contains(replica));
            let left = left.unwrap_or(if is_new { ASSUMED_COLD } else { Duration::ZERO });
            ids.insert(replica.to_owned());
            if self.note(replica, left, read_at) {
                change.became_cold.push(replica.to_owned());
            }
        }
        self.known = Some(ids);
        change
    }

    /// The replicas that are cold as of the last reading.
    pub fn cold(&self) -> &ColdReplicas {
        &self.cold
    }

    /// Notes a time left; returns whether it is news. The time noted is longer by the delay of the
    /// list, so that the same end of the cold time, read with another delay, is no news.
    fn note(&mut self, replica: &str, left: Duration, read_at: Instant) -> bool {
        if left.is_zero() {
            return false;
        }
        let until = read_at + left.min(MOST_COLD);
        let is_news = !self.cold.is_cold(replica, until);
        if is_news {
            self.cold.note(replica, until + LIST_LAG);
        }
        is_news
    }
}

/// Zones that were given back so lately that the list may not show yet which of their replicas
/// started again, and are cold, while the zone was drained.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ReturnedZones {
    /// The zones that were drained when last told.
    drained: BTreeSet<Zone>,
    /// When the list shows the replicas of a zone that was given back, by zone.
    until: BTreeMap<Zone, Instant>,
}

impl ReturnedZones {
    /// Takes in which zones are drained now, and forgets what was given back long ago.
    pub fn note(&mut self, drained: &DrainedZones, now: Instant) {
        self.until.retain(|_, until| now < *until);
        if self.drained == drained.zones {
            return;
        }
        for zone in self.drained.difference(&drained.zones) {
            self.until.insert(zone.clone(), now + LIST_SETTLES);
        }
        self.drained.clone_from(&drained.zones);
    }

    /// Whether a zone was given back just now. Asked for every replica of every choice: comparing
    /// the few zones one by one spares an allocation of a key.
    pub fn contains(&self, zone: &str, now: Instant) -> bool {
        self.until.iter().any(|(returned, until)| returned.as_str() == zone && now < *until)
    }
}

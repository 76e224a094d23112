//! Replicas that have just started and bear little work yet.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Requests that a cold replica of a service bears.
#[derive(Clone, Copy, Debug, PartialEq)]
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
    until: BTreeMap<String, Instant>,
}

impl ColdReplicas {
    /// No replica is cold.
    pub const fn none() -> Self {
        Self { until: BTreeMap::new() }
    }

    /// Notes that a replica is cold until then, or that it is not when that is past.
    pub fn note(&mut self, replica: &str, until: Instant) {
        self.until.insert(replica.to_owned(), until);
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

    /// Forgets replicas that are warm by now.
    pub fn expire(&mut self, now: Instant) {
        self.until.retain(|_, until| now < *until);
    }
}

//! Speed of replicas relative to others of their service.
//!
//! The replicas of a service may run on different hardware. With equal shares of the turns,
//! programs on slow replicas would be late while fast ones have capacity.
//!
//! [`RelativeSpeedTracker`] compares the best time per token of each replica, which hardly
//! depends on its load. Small differences are ignored, so that turns of a homogeneous service are
//! placed as if all replicas were equal.

use std::time::{Duration, Instant};

use foldhash::HashMap;

use crate::speed::{EngineSpeed, RunSample};

/// Minimum ratio of the slowest to the fastest time per token for a service to count as
/// heterogeneous. The best times of equal engines differ by the requests that they happened to run.
const HETEROGENEITY_THRESHOLD: f64 = 1.4;
/// Maximum ratio of a replica's time per token to the fastest.
const MAX_RELATIVE_TIME: f64 = 8.0;
/// Number of the fastest replicas that are kept for each heterogeneous service.
const FASTEST_REPLICAS: usize = 32;
/// Minimum time between two comparisons.
const COMPARE_INTERVAL: Duration = Duration::from_millis(200);

/// Speed of a replica relative to the others of its service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RelativeSpeed {
    /// Time per token relative to the fastest replica; at least 1.
    pub relative_token_time: f64,
    /// Mean duration of a turn on this replica, in ms; `None` if the service's mean applies.
    pub turn_ms: Option<f64>,
}

impl RelativeSpeed {
    /// Speed of a replica in a homogeneous service.
    pub const EQUAL: Self = Self { relative_token_time: 1.0, turn_ms: None };
}

/// Speed estimate of one replica.
#[derive(Debug)]
struct ReplicaEstimate {
    service: String,
    speed: EngineSpeed,
}

/// A service whose replicas differ in speed; times per token in ms.
#[derive(Clone, Debug)]
struct HeterogeneousService {
    best_ms: f64,
    mean_ms: f64,
    /// The fastest replicas.
    fastest: Vec<String>,
}

/// Compares the replicas of each service.
#[derive(Debug, Default)]
pub struct RelativeSpeedTracker {
    replicas: HashMap<String, ReplicaEstimate>,
    heterogeneous: HashMap<String, HeterogeneousService>,
    last_compared: Option<Instant>,
}

impl RelativeSpeedTracker {
    /// Records a completed turn.
    pub fn record_sample(&mut self, replica: &str, service: &str, sample: RunSample) {
        let new_estimate =
            || ReplicaEstimate { service: service.to_owned(), speed: EngineSpeed::default() };
        let estimate = self.replicas.entry(replica.to_owned()).or_insert_with(new_estimate);
        estimate.speed.record_sample(sample);
    }

    /// Compares the replicas again if the last comparison is old enough.
    pub fn compare(&mut self, now: Instant) {
        if self.last_compared.is_some_and(|at| now < at + COMPARE_INTERVAL) {
            return;
        }
        self.last_compared = Some(now);
        let mut times: HashMap<&str, Vec<(f64, &str)>> = HashMap::default();
        for (replica, estimate) in &self.replicas {
            if let Some(token_ms) = estimate.speed.best_token_ms() {
                times.entry(&estimate.service).or_default().push((token_ms, replica));
            }
        }
        let heterogeneous = times.into_iter().filter_map(|(service, times)| {
            Some((service.to_owned(), HeterogeneousService::from_times(times)?))
        });
        self.heterogeneous = heterogeneous.collect();
    }

    /// Returns the relative speed of a replica. Unknown replicas are assumed to have the mean
    /// speed of the service.
    pub fn get(&self, service: &str, replica: &str) -> RelativeSpeed {
        let Some(heterogeneous) = self.heterogeneous.get(service) else {
            return RelativeSpeed::EQUAL;
        };
        let estimate = self.replicas.get(replica);
        let token_ms = estimate.and_then(|estimate| estimate.speed.best_token_ms());
        let max_ms = heterogeneous.best_ms * MAX_RELATIVE_TIME;
        let token_ms = token_ms.map_or(heterogeneous.mean_ms, |token_ms| token_ms.min(max_ms));
        RelativeSpeed {
            relative_token_time: (token_ms / heterogeneous.best_ms).max(1.0),
            turn_ms: estimate.and_then(|estimate| estimate.speed.mean_turn_ms()),
        }
    }

    /// Returns the mean time per token of a service's replicas relative to the fastest one.
    pub fn mean_relative_token_time(&self, service: &str) -> f64 {
        self.heterogeneous
            .get(service)
            .map_or(1.0, |heterogeneous| heterogeneous.mean_ms / heterogeneous.best_ms)
    }

    /// Iterates over the fastest replicas of a service; empty if it is homogeneous.
    pub fn fastest(&self, service: &str) -> impl Iterator<Item = &str> {
        let fastest = self.heterogeneous.get(service).map(|service| service.fastest.as_slice());
        fastest.unwrap_or_default().iter().map(String::as_str)
    }

    /// Drops the replicas for which `is_listed` is false.
    pub fn retain(&mut self, is_listed: impl Fn(&str) -> bool) {
        self.replicas.retain(|replica, _| is_listed(replica));
    }
}

impl HeterogeneousService {
    /// Compares the times per token of replicas; `None` if the differences are small.
    fn from_times(mut times: Vec<(f64, &str)>) -> Option<Self> {
        let best_ms = times.iter().map(|(token_ms, _)| *token_ms).fold(f64::INFINITY, f64::min);
        let worst_ms = times.iter().map(|(token_ms, _)| *token_ms).fold(0.0, f64::max);
        if worst_ms < best_ms * HETEROGENEITY_THRESHOLD {
            return None;
        }
        let capped = times.iter().map(|(token_ms, _)| token_ms.min(best_ms * MAX_RELATIVE_TIME));
        let mean_ms = capped.sum::<f64>() / times.len() as f64;
        times.sort_unstable_by(|(a, _), (b, _)| a.total_cmp(b));
        times.truncate(FASTEST_REPLICAS);
        let fastest = times.into_iter().map(|(_, replica)| replica.to_owned()).collect();
        Some(Self { best_ms, mean_ms, fastest })
    }
}

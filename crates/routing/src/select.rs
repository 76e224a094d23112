//! Replica selection: least estimated time to first token.
//!
//! The cost of a replica is the estimated wait for a slot, plus the time to process the part of
//! the prompt that it has not cached. All gateways agree by rendezvous hashing (Thaler and
//! Ravishankar, 1998) on the preferred replica of a conversation, which is assumed to have its
//! prompt cached. Another replica is selected only if waiting costs more than processing the
//! prompt again.
//!
//! Requests without a cacheable prompt are balanced by [`spread`].

use std::time::Duration;

use crate::load::{MeanLoad, expected_queue_length};
use crate::topology::Distance;

/// A replica that may be selected.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<'a> {
    /// Id of the replica.
    pub id: &'a str,
    /// Number of requests that the replica runs concurrently.
    pub slots: u32,
    /// Number of outstanding requests of this gateway.
    pub own_load: u32,
    /// Average number of outstanding requests of all other gateways.
    pub other_load: MeanLoad,
    /// Distance from the gateway.
    pub distance: Distance,
    /// Whether there is an idle connection to the replica.
    pub is_connected: bool,
    /// Tie-breaker among replicas with equal cost. It differs between gateways, so that they do
    /// not all select the same replica.
    pub rank: u64,
    /// Sequence number of this gateway's last request to the replica; 0 for none.
    pub last_used: u64,
    /// Additional cost because of recent failures.
    pub penalty: Duration,
}

/// Parameters of the cost estimate.
#[derive(Clone, Copy, Debug)]
pub struct CostWeights {
    /// Typical time for which a request occupies a slot.
    pub service_time: Duration,
    /// Slowdown of a request by each other running request.
    pub per_running: Duration,
    /// Number of prompt tokens that a replica processes per millisecond.
    pub tokens_per_ms: u32,
    /// Cost of leaving the gateway's zone.
    pub zone_crossing: Duration,
    /// Cost of leaving the gateway's region. Corresponds to about one service time, so that
    /// requests stay in the region unless they would wait about that long for a slot.
    pub region_crossing: Duration,
    /// Cost of opening a new connection.
    pub connecting: Duration,
}

impl CostWeights {
    fn crossing_cost(&self, distance: Distance) -> Duration {
        distance.cost(self.zone_crossing, self.region_crossing)
    }
}

impl Default for CostWeights {
    fn default() -> Self {
        Self {
            service_time: Duration::from_millis(80),
            per_running: Duration::from_micros(600),
            tokens_per_ms: 60,
            zone_crossing: Duration::from_millis(1),
            region_crossing: Duration::from_millis(80),
            connecting: Duration::from_millis(3),
        }
    }
}

/// Maximum share of requests that a zone sends to other zones for a shorter wait.
const MAX_REMOTE_SHARE: f64 = 0.5;

/// Cache affinity of a request.
#[derive(Clone, Copy, Debug, Default)]
pub struct Affinity {
    /// Hash of the prompt prefix shared with earlier requests; `None` if there is none.
    pub key: Option<u64>,
    /// Number of tokens that a replica has to process if the prefix is not cached.
    pub tokens: u32,
}

/// Returns the index of the candidate with the lowest cost, or `None` without candidates.
pub fn choose(
    candidates: &[Candidate<'_>],
    affinity: Affinity,
    weights: &CostWeights,
) -> Option<usize> {
    let preferred = affinity.key.and_then(|key| preferred_replica(candidates, key));
    let cost = |index: usize| {
        let candidate = &candidates[index];
        let prompt_time = if preferred == Some(index) || affinity.key.is_none() {
            Duration::ZERO
        } else {
            Duration::from_millis(u64::from(affinity.tokens / weights.tokens_per_ms.max(1)))
        };
        let crossing_cost = weights.crossing_cost(candidate.distance);
        let is_connected = candidate.is_connected;
        let connection_cost = if is_connected { Duration::ZERO } else { weights.connecting };
        waiting_time(candidate, weights)
            + prompt_time
            + crossing_cost
            + connection_cost
            + candidate.penalty
    };
    (0..candidates.len()).min_by_key(|index| (cost(*index), candidates[*index].rank))
}

/// Returns the index of the candidate for a request without affinity, or `None` without
/// candidates. `draw` is a random number of the request, uniformly distributed between 0 and 1.
///
/// In the nearest zone, the candidate with the fewest outstanding requests of this gateway is
/// selected, and among equal ones the least recently used. A farther candidate with fewer
/// outstanding requests is preferred if that outweighs the cost of leaving the zone.
///
/// Load reports about other gateways are too old for the choice between single replicas, so only
/// the average load of zones is compared. If the expected wait is shorter farther away, a
/// proportional share of the requests is sent there. Sending all of them would overload the other
/// zones before the gateways learn of it.
pub fn spread(candidates: &[Candidate<'_>], draw: f64, weights: &CostWeights) -> Option<usize> {
    let order = |index: &usize| {
        let candidate = &candidates[*index];
        (candidate.penalty, candidate.own_load, candidate.last_used, candidate.rank)
    };
    let nearest = candidates.iter().map(|candidate| candidate.distance).min()?;
    let (near, far): (Vec<usize>, Vec<usize>) =
        (0..candidates.len()).partition(|index| candidates[*index].distance == nearest);
    let best = near.iter().copied().min_by_key(order)?;
    let Some(other) = far.iter().copied().min_by_key(order) else {
        return Some(best);
    };
    let local_load = |index: usize| (candidates[index].penalty, candidates[index].own_load);
    if local_load(other) < local_load(best) {
        let crossing_cost = weights.crossing_cost(candidates[other].distance);
        let surplus = candidates[best].own_load.saturating_sub(candidates[other].own_load);
        let gain = weights.service_time * surplus / candidates[best].slots.max(1)
            + candidates[best].penalty.saturating_sub(candidates[other].penalty);
        return Some(if crossing_cost < gain { other } else { best });
    }
    let wait = |indices: &[usize]| mean_wait(candidates, indices, weights);
    let crossing_cost = weights.crossing_cost(candidates[other].distance);
    let gain = wait(&near).saturating_sub(wait(&far) + crossing_cost);
    let share =
        (gain.as_secs_f64() / weights.service_time.as_secs_f64() / 2.0).min(MAX_REMOTE_SHARE);
    Some(if draw < share { other } else { best })
}

/// Returns the expected wait for a slot, averaged over these candidates.
fn mean_wait(candidates: &[Candidate<'_>], indices: &[usize], weights: &CostWeights) -> Duration {
    let waits = indices.iter().map(|index| {
        let candidate = &candidates[*index];
        let slots = candidate.slots.max(1);
        let queue_length = expected_queue_length(candidate.own_load, candidate.other_load, slots);
        weights.service_time.mul_f64(queue_length / f64::from(slots))
    });
    waits.sum::<Duration>() / u32::try_from(indices.len()).unwrap_or(1).max(1)
}

fn waiting_time(candidate: &Candidate<'_>, weights: &CostWeights) -> Duration {
    let slots = candidate.slots.max(1);
    let load = f64::from(candidate.own_load) + candidate.other_load.get();
    let running = load.min(f64::from(slots));
    let queue_length = expected_queue_length(candidate.own_load, candidate.other_load, slots);
    weights.per_running.mul_f64(running)
        + weights.service_time.mul_f64(queue_length / f64::from(slots))
}

/// Returns the candidate with the highest hash of key and id. Candidates in the gateway's region
/// take precedence, so that all gateways of a region agree and a conversation stays in its region.
fn preferred_replica(candidates: &[Candidate<'_>], key: u64) -> Option<usize> {
    let rank = |index: usize| {
        let candidate = &candidates[index];
        let is_near = candidate.distance < Distance::OtherRegion;
        (is_near, stable_hash(&[candidate.id.as_bytes(), &key.to_le_bytes()]))
    };
    (0..candidates.len()).max_by_key(|index| rank(*index))
}

/// Returns a hash that is the same in all processes and releases.
pub fn stable_hash(parts: &[&[u8]]) -> u64 {
    let mut hasher = blake3::Hasher::new();
    for part in parts {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    let digest = hasher.finalize();
    let first = digest.as_bytes().first_chunk::<8>();
    first.map_or(0, |bytes| u64::from_le_bytes(*bytes))
}

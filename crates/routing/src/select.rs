//! The choice of a replica: least estimated time until the first token.
//!
//! The cost of a replica is the time a request would wait there for a slot, plus the
//! time to read what the replica does not hold of the prompt. Which replica holds a
//! line of turns is not looked up: all gateways place it on the same replica by
//! rendezvous hashing (Thaler and Ravishankar, 1998), and leave it only when waiting
//! there costs more than reading the prompt anew elsewhere.

use std::time::Duration;

use crate::topology::Distance;

/// A replica as the choice sees it.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<'a> {
    /// Identity of the replica.
    pub id: &'a str,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Requests believed to run or wait there, of all gateways.
    pub load: u32,
    /// How far it is from the caller.
    pub distance: Distance,
    /// Whether a connection to it is kept and free.
    pub is_connected: bool,
    /// Place among replicas that cost the same. Each gateway has an order of its own:
    /// with one order for all, hundreds of gateways would begin with the same replica.
    pub rank: u64,
    /// Extra time that its recent failures are worth.
    pub penalty: Duration,
}

/// What waiting and reading cost.
#[derive(Clone, Copy, Debug)]
pub struct CostWeights {
    /// Time that one request holds a slot, about.
    pub service_time: Duration,
    /// Slowdown that each running request brings to a further one.
    pub per_running: Duration,
    /// Prompt tokens that a replica reads in a millisecond.
    pub tokens_per_ms: u32,
    /// Cost of leaving the caller's zone.
    pub zone_crossing: Duration,
    /// Cost of leaving the caller's region: each request and its answer go over the link that
    /// is slowest and dearest. About one request's time, so that it stays in the region until
    /// it would wait there for a slot about that long.
    pub region_crossing: Duration,
    /// Cost of a new connection: a way there and back, and a place at the replica.
    pub connecting: Duration,
}

impl CostWeights {
    /// Cost of going so far.
    fn crossing(&self, distance: Distance) -> Duration {
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

/// Where a request would like to run, and what it brings.
#[derive(Clone, Copy, Debug, Default)]
pub struct Affinity {
    /// Hash of what its prompt shares with earlier ones; `None` without any.
    pub key: Option<u64>,
    /// Tokens that a replica without that prompt reads anew.
    pub tokens: u32,
}

/// Index of the cheapest candidate; `None` when there is none.
pub fn choose(
    candidates: &[Candidate<'_>],
    affinity: Affinity,
    weights: &CostWeights,
) -> Option<usize> {
    let home = affinity.key.and_then(|key| home_of(candidates, key));
    let cost = |index: usize| {
        let candidate = &candidates[index];
        let reading = if home == Some(index) || affinity.key.is_none() {
            Duration::ZERO
        } else {
            Duration::from_millis(u64::from(affinity.tokens / weights.tokens_per_ms.max(1)))
        };
        let crossing = weights.crossing(candidate.distance);
        let is_connected = candidate.is_connected;
        let connecting = if is_connected { Duration::ZERO } else { weights.connecting };
        waiting_time(candidate, weights) + reading + crossing + connecting + candidate.penalty
    };
    (0..candidates.len()).min_by_key(|index| (cost(*index), candidates[*index].rank))
}

fn waiting_time(candidate: &Candidate<'_>, weights: &CostWeights) -> Duration {
    let slots = candidate.slots.max(1);
    let running = candidate.load.min(slots);
    let waiting = (candidate.load + 1).saturating_sub(slots);
    weights.per_running * running + weights.service_time * waiting / slots
}

/// The candidate with the highest hash of key and identity. Candidates of the caller's region go
/// before all others: gateways of a region agree on one, and a line of turns stays in its region.
fn home_of(candidates: &[Candidate<'_>], key: u64) -> Option<usize> {
    let rank = |index: usize| {
        let candidate = &candidates[index];
        let is_near = candidate.distance < Distance::OtherRegion;
        (is_near, stable_hash(&[candidate.id.as_bytes(), &key.to_le_bytes()]))
    };
    (0..candidates.len()).max_by_key(|index| rank(*index))
}

/// A hash that is equal in every process and release.
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

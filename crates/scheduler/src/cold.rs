//! Rate limit for replicas that have just started.
//!
//! A cold replica is idle and therefore the cheapest choice for every waiting turn, but fails
//! under the load of a warm one. [`ColdLimiter`] counts placements by replica and keeps the
//! arrivals at a cold replica within its service's limit, taking into account that placed turns
//! arrive with a delay.

use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

use calicohoist_routing::{ColdLimit, ColdTolerance, LIST_SETTLE_TIME, Replica, UndrainedZones};

use crate::placement::FleetView;

/// Window over which the limit is counted.
const RATE_WINDOW: Duration = Duration::from_secs(1);
/// Maximum time between a placement and its arrival at the replica: the lifetime of the placement
/// ([`calicohoist_routing::COLD_PLACEMENT_LIFETIME`]) and the network delay with a new connection.
/// Placements made within a window extended by this time may arrive within a single window.
const MAX_ARRIVAL_DELAY: Duration = Duration::from_millis(500);
/// Time for which a deposed leader may still place turns: the longest election timeout, rounded
/// up.
const LEADER_OVERLAP: Duration = Duration::from_millis(500);
/// Time for which a new leader places no turns on cold replicas, so that the placements of
/// earlier leaders have arrived and left every window.
const TERM_START_HOLD: Duration =
    RATE_WINDOW.saturating_add(MAX_ARRIVAL_DELAY).saturating_add(LEADER_OVERLAP);
/// Cost penalty of a cold replica, as a fraction of the time that a turn takes alone.
pub const COLD_PENALTY: f64 = 0.5;

/// Whether the rate limit admits a turn to a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ColdAdmission {
    /// The replica is warm and not limited.
    Warm,
    /// The replica is cold and below its limit.
    Cold,
    /// The replica is cold and has reached its limit.
    AtLimit,
}

/// Maximum numbers of placements at a cold replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct ColdQuota {
    /// Within [`RATE_WINDOW`]: the limit without the tolerance.
    steady: usize,
    /// Within [`RATE_WINDOW`] plus [`MAX_ARRIVAL_DELAY`], all of which may arrive within one
    /// second: the limit with the tolerance.
    burst: usize,
}

impl ColdQuota {
    fn new(limit: &ColdLimit, tolerance: &ColdTolerance) -> Self {
        // A limit that is NaN admits nothing.
        let burst = (limit.per_second * tolerance.overshoot + tolerance.slack).max(0.0) as usize;
        let steady = (limit.per_second.max(1.0) as usize).min(burst);
        Self { steady, burst }
    }
}

/// Counts placements and limits those at cold replicas.
#[derive(Clone, Debug, Default)]
pub struct ColdLimiter {
    tolerance: ColdTolerance,
    /// Time before which nothing is placed on cold replicas.
    blocked_until: Option<Instant>,
    /// Recent placements by replica, oldest first. Warm replicas are included, since a replica
    /// may turn out to have been cold.
    placements: HashMap<String, VecDeque<Instant>>,
    returned_zones: UndrainedZones,
    /// Failed replicas, each with the time until which it counts as cold because it may have
    /// restarted unnoticed.
    cold_after_failure: HashMap<String, Instant>,
}

impl ColdLimiter {
    /// Creates a limiter without placements.
    pub fn new(tolerance: ColdTolerance) -> Self {
        Self { tolerance, ..Self::default() }
    }

    /// Starts a term as leader. Placements by an earlier leader may still be in flight.
    pub fn begin_term(&mut self, now: Instant) {
        self.placements.clear();
        self.blocked_until = Some(now + TERM_START_HOLD);
    }

    /// Updates the drained zones. The replicas of a zone that is no longer drained count as cold
    /// for a short time.
    pub fn update_drained_zones(&mut self, view: &FleetView<'_>, now: Instant) {
        self.returned_zones.update(view.drained, now);
    }

    /// Marks a replica as failing until `until`; it may restart after that.
    pub fn mark_failing(&mut self, replica: &str, until: Instant) {
        self.cold_after_failure.insert(replica.to_owned(), until + LIST_SETTLE_TIME);
    }

    /// Checks the rate limit of a replica. Services without a limit are not restricted.
    pub fn admit(
        &self,
        replica: &Replica,
        limit: Option<&ColdLimit>,
        view: &FleetView<'_>,
        now: Instant,
    ) -> ColdAdmission {
        let Some(limit) = limit.filter(|_| self.is_cold(replica, view, now)) else {
            return ColdAdmission::Warm;
        };
        let quota = ColdQuota::new(limit, &self.tolerance);
        let is_unblocked = self.blocked_until.is_none_or(|blocked_until| blocked_until <= now);
        let has_capacity = self.placements_within(&replica.id, RATE_WINDOW, now) < quota.steady
            && self.placements_within(&replica.id, RATE_WINDOW + MAX_ARRIVAL_DELAY, now)
                < quota.burst;
        if is_unblocked && has_capacity { ColdAdmission::Cold } else { ColdAdmission::AtLimit }
    }

    /// Records a placement.
    pub fn record_placement(&mut self, replica: &str, limit: Option<&ColdLimit>, now: Instant) {
        if limit.is_none() {
            return;
        }
        let placements = self.placements.entry(replica.to_owned()).or_default();
        placements.push_back(now);
        drop_expired(placements, now);
    }

    /// Drops placements that are too old to count.
    pub fn expire(&mut self, now: Instant) {
        self.placements.retain(|_, placements| {
            drop_expired(placements, now);
            !placements.is_empty()
        });
        self.cold_after_failure.retain(|_, until| now < *until);
    }

    fn is_cold(&self, replica: &Replica, view: &FleetView<'_>, now: Instant) -> bool {
        view.cold.is_cold(&replica.id, now)
            || self.returned_zones.contains(&replica.zone, now)
            || self.cold_after_failure.get(&replica.id).is_some_and(|until| now < *until)
    }

    fn placements_within(&self, replica: &str, span: Duration, now: Instant) -> usize {
        let placements = self.placements.get(replica);
        let newest = placements.into_iter().flat_map(|placements| placements.iter().rev());
        newest.take_while(|at| now < **at + span).count()
    }
}

fn drop_expired(placements: &mut VecDeque<Instant>, now: Instant) {
    while placements.front().is_some_and(|at| *at + RATE_WINDOW + MAX_ARRIVAL_DELAY <= now) {
        placements.pop_front();
    }
}

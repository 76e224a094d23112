//! How many turns a replica gets that has just started.
//!
//! A cold replica fails when it gets as much as the others, and an idle one is the cheapest for
//! every turn that waits. [`ColdGate`] counts what was placed where and lets no more through to a cold
//! replica than its service's limit allows, however late a gateway sends what was placed.

use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

use calicohoist_routing::{ColdLimit, ColdTolerance, LIST_SETTLE_TIME, Replica, UndrainedZones};

use crate::placement::FleetView;

/// The limit is counted over this span.
const WINDOW: Duration = Duration::from_secs(1);
/// Longest time between a placement and its arrival at the replica: its life
/// ([`calicohoist_routing::COLD_PLACEMENT_LIFETIME`]) and the way there with a new connection. What
/// was placed within a window and this may arrive within one window.
const ARRIVAL_SPREAD: Duration = Duration::from_millis(500);
/// A leader that lost its quorum places for so long beside the next one: the longest election
/// timeout, rounded up.
const STEP_DOWN: Duration = Duration::from_millis(500);
/// How long a new leader places nothing at cold replicas. By then all that an earlier leader
/// placed there has arrived, and no longer counts in any window.
const TERM_HOLD: Duration = WINDOW.saturating_add(ARRIVAL_SPREAD).saturating_add(STEP_DOWN);
/// Extra cost of a cold replica, as a share of the time that a turn takes alone. An assumption:
/// nobody measures how slow a cold replica is.
pub const COLD_SLOWNESS: f64 = 0.5;

/// Whether a turn may go to a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ColdAdmission {
    /// The replica is warm.
    Warm,
    /// It is cold, and bears one more.
    Cold,
    /// It is cold, and bears none now.
    Closed,
}

/// Requests that may be placed at a cold replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct ColdQuota {
    /// Within [`WINDOW`]: the limit without its tolerance.
    steady: usize,
    /// Within [`WINDOW`] and [`ARRIVAL_SPREAD`] together, all of which may arrive within one
    /// second: the limit with its tolerance.
    most: usize,
}

impl ColdQuota {
    fn of(limit: &ColdLimit, tolerance: &ColdTolerance) -> Self {
        // A limit that is no number lets nothing through.
        let most = (limit.per_second * tolerance.overshoot + tolerance.slack).max(0.0) as usize;
        let steady = (limit.per_second.max(1.0) as usize).min(most);
        Self { steady, most }
    }
}

/// Counts what is placed at replicas of services with a limit for cold ones.
#[derive(Clone, Debug, Default)]
pub struct ColdGate {
    tolerance: ColdTolerance,
    /// Before this moment cold replicas get nothing.
    opens: Option<Instant>,
    /// What was placed lately, by replica, oldest first; at warm ones too, which may turn out to
    /// have been cold.
    placed: HashMap<String, VecDeque<Instant>>,
    returned: UndrainedZones,
    /// Replicas that failed, each with the time from which the list shows whether they have
    /// started again.
    restarting: HashMap<String, Instant>,
}

impl ColdGate {
    /// A gate that has let nothing through.
    pub fn new(tolerance: ColdTolerance) -> Self {
        Self { tolerance, ..Self::default() }
    }

    /// Begins a term as leader: what an earlier one placed may still be on its way.
    pub fn begin_term(&mut self, now: Instant) {
        self.placed.clear();
        self.opens = Some(now + TERM_HOLD);
    }

    /// Takes in which zones are drained: replicas of one that is given back count as cold for a
    /// moment.
    pub fn note_fleet(&mut self, view: &FleetView<'_>, now: Instant) {
        self.returned.update(view.drained, now);
    }

    /// A replica is known to fail until `until`, and may start again after that.
    pub fn note_failing(&mut self, replica: &str, until: Instant) {
        self.restarting.insert(replica.to_owned(), until + LIST_SETTLE_TIME);
    }

    /// Whether a turn may go there now; without a limit nothing binds.
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
        let quota = ColdQuota::of(limit, &self.tolerance);
        let is_open = self.opens.is_none_or(|opens| opens <= now);
        let has_room = self.placed_within(&replica.id, WINDOW, now) < quota.steady
            && self.placed_within(&replica.id, WINDOW + ARRIVAL_SPREAD, now) < quota.most;
        if is_open && has_room { ColdAdmission::Cold } else { ColdAdmission::Closed }
    }

    /// Counts a turn that is placed now.
    pub fn note_placed(&mut self, replica: &str, limit: Option<&ColdLimit>, now: Instant) {
        if limit.is_none() {
            return;
        }
        let placed = self.placed.entry(replica.to_owned()).or_default();
        placed.push_back(now);
        forget_before(placed, now);
    }

    /// Forgets what lies further back than a limit reaches.
    pub fn expire(&mut self, now: Instant) {
        self.placed.retain(|_, placed| {
            forget_before(placed, now);
            !placed.is_empty()
        });
        self.restarting.retain(|_, until| now < *until);
    }

    fn is_cold(&self, replica: &Replica, view: &FleetView<'_>, now: Instant) -> bool {
        view.cold.is_cold(&replica.id, now)
            || self.returned.contains(&replica.zone, now)
            || self.restarting.get(&replica.id).is_some_and(|until| now < *until)
    }

    fn placed_within(&self, replica: &str, span: Duration, now: Instant) -> usize {
        let placed = self.placed.get(replica);
        let newest = placed.into_iter().flat_map(|placed| placed.iter().rev());
        newest.take_while(|at| now < **at + span).count()
    }
}

fn forget_before(placed: &mut VecDeque<Instant>, now: Instant) {
    while placed.front().is_some_and(|at| *at + WINDOW + ARRIVAL_SPREAD <= now) {
        placed.pop_front();
    }
}

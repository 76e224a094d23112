//! Admission control for turns.
//!
//! [`TurnScheduler`] queues turns while replicas are busy, because every running turn slows down
//! the others on its replica. Turns that can still meet their program's deadline are admitted
//! first, then those of running programs before new ones, then those of more urgent routes.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use calicohoist_routing::{ColdTolerance, Replica};
use serde::{Deserialize, Serialize};

use crate::placement::{ConcurrencyLimit, FleetView, Placement, PlacementRequest, Placer, TurnRun};
use crate::speed::EngineSpeed;

/// Maximum number of waiting turns.
const MAX_WAITING: usize = 1_000;
/// Maximum time that a turn waits.
const MAX_WAIT: Duration = Duration::from_millis(1_800);
/// Maximum wait as a fraction of the time left until the turn's deadline.
const MAX_WAIT_FRACTION: f64 = 0.45;
/// Delay after which a refused turn may be retried.
const RETRY_DELAY: Duration = Duration::from_millis(300);
/// Fraction of the time until its deadline that a new program is expected to run for. A program
/// that has waited for longer than the rest is considered late.
const EXPECTED_RUN_FRACTION: f64 = 0.8;
/// New programs are admitted only to replicas whose turns take at most this many times as long as
/// they would alone.
const MAX_SLOWDOWN: f64 = 2.8;

/// Time for which a new leader waits for load reports from the gateways.
const LOAD_REPORT_TIMEOUT: Duration = Duration::from_millis(60);
/// Time for which turns placed by an earlier leader count as load unless they are reported as
/// ended.
const INHERITED_LOAD_TTL: Duration = Duration::from_millis(1_500);

/// Outcome of scheduling a turn.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Decision {
    /// The turn runs on this replica.
    Run(String),
    /// The turn runs on this replica, which is cold. The decision is void unless the turn is sent
    /// within [`calicohoist_routing::COLD_PLACEMENT_LIFETIME`] after its placement.
    RunCold {
        /// Identity of the replica.
        replica: String,
        /// Time between the request for a placement and the placement, in ms.
        waited_ms: u64,
    },
    /// The leader knows no eligible replica; the gateway chooses one by itself.
    RunAnywhere,
    /// The turn is queued.
    Wait,
    /// The turn is refused and may be retried after this delay.
    Refuse(Duration),
}

/// A queued turn.
#[derive(Clone, Debug)]
struct WaitingTurn {
    request: PlacementRequest,
    /// Time of the latest request for a placement.
    requested_at: Instant,
    expires_at: Instant,
    /// Time by which the turn's program is supposed to end.
    program_deadline: Instant,
    /// Latest start that is expected to meet the program's deadline.
    latest_start: Instant,
}

/// Sort key of waiting turns; the smallest is admitted first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Rank {
    is_late: bool,
    is_new: bool,
    priority: u8,
    program_deadline: Instant,
}

impl WaitingTurn {
    fn new(request: PlacementRequest, now: Instant) -> Self {
        let left = Duration::from_millis(request.left_ms);
        let program_left = request.finish_ms.map_or(left, Duration::from_millis);
        let expected_run = if request.is_under_way {
            Duration::ZERO
        } else {
            program_left.mul_f64(EXPECTED_RUN_FRACTION)
        };
        let program_deadline = now + program_left;
        Self {
            requested_at: now,
            expires_at: now + left.mul_f64(MAX_WAIT_FRACTION).min(MAX_WAIT),
            program_deadline,
            latest_start: program_deadline.checked_sub(expected_run).unwrap_or(now),
            request,
        }
    }

    fn rank(&self, now: Instant) -> Rank {
        Rank {
            is_late: self.latest_start <= now,
            is_new: !self.request.is_under_way,
            priority: self.request.priority,
            program_deadline: self.program_deadline,
        }
    }

    /// Converts a placement into a decision; `None` if no replica has capacity.
    fn decision_for(&self, placement: Placement, now: Instant) -> Option<Decision> {
        match placement {
            Placement::Warm(replica) => Some(Decision::Run(replica)),
            Placement::Cold(replica) => {
                let waited = now.saturating_duration_since(self.requested_at).as_millis();
                let waited_ms = u64::try_from(waited).unwrap_or_default();
                Some(Decision::RunCold { replica, waited_ms })
            }
            Placement::NoReplica => Some(Decision::RunAnywhere),
            Placement::NoCapacity => None,
        }
    }

    /// Whether both turns have the same eligible replicas and the same limit, so that neither can
    /// be placed if the other cannot.
    fn competes_with(&self, other: &Self) -> bool {
        self.request.is_under_way == other.request.is_under_way
            && self.request.service == other.request.service
            && self.request.homes == other.request.homes
            && self.request.version == other.request.version
    }

    fn limit(&self) -> ConcurrencyLimit {
        if self.request.is_under_way {
            ConcurrencyLimit::Unlimited
        } else {
            ConcurrencyLimit::MaxSlowdown(MAX_SLOWDOWN)
        }
    }
}

/// Work done for waiting turns, since the scheduler was created.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct QueueWork {
    /// Waiting turns that were ranked.
    pub ranked: u64,
    /// Searches of the replicas for a waiting turn.
    pub searches: u64,
}

/// Decides when and where turns run.
#[derive(Debug, Default)]
pub struct TurnScheduler {
    placer: Placer,
    waiting: HashMap<String, WaitingTurn>,
    work: QueueWork,
    /// Time before which no decision is made, because load reports are still arriving.
    paused_until: Option<Instant>,
}

impl TurnScheduler {
    /// Creates a scheduler without turns; `cold_tolerance` is added to the rate limits of cold
    /// replicas.
    pub fn new(cold_tolerance: ColdTolerance) -> Self {
        Self { placer: Placer::default().with_cold_tolerance(cold_tolerance), ..Self::default() }
    }

    /// Starts a term as leader. Turns under way are counted from the gateways' reports.
    pub fn begin_term(&mut self, now: Instant) {
        self.placer.begin_term(now);
        self.clear_waiting();
        self.paused_until = Some(now + LOAD_REPORT_TIMEOUT);
    }

    /// Drops the queue when another leader takes over.
    pub fn clear_waiting(&mut self) {
        self.waiting.clear();
    }

    /// Adds the turns that a gateway had under way before this term.
    pub fn add_inherited_load(&mut self, loads: &[(String, u32)], now: Instant) {
        self.placer.add_inherited_load(loads, now, INHERITED_LOAD_TTL);
    }

    /// Records a turn that ran, for the prefix index and the speed estimates.
    pub fn record_run(&mut self, run: &TurnRun) {
        self.placer.record_run(run);
    }

    /// Handles a request to place a turn, which may be repeated.
    pub fn submit(
        &mut self,
        turn: &str,
        request: PlacementRequest,
        view: &FleetView<'_>,
        now: Instant,
    ) -> Decision {
        if let Some(waiting) = self.waiting.get_mut(turn) {
            // The wait is measured from the latest request.
            waiting.requested_at = now;
            return Decision::Wait;
        }
        if self.waiting.len() >= MAX_WAITING {
            return Decision::Refuse(RETRY_DELAY);
        }
        let candidate = WaitingTurn::new(request, now);
        let rank = candidate.rank(now);
        // A warm replica always has capacity for a turn of a running program. Such a turn queues
        // only for cold replicas, behind turns that compete for the same ones.
        let is_ahead = |waiting: &WaitingTurn| {
            let competes = !candidate.request.is_under_way || waiting.competes_with(&candidate);
            competes && waiting.rank(now) < rank
        };
        let must_queue = self.waiting.values().any(is_ahead);
        if self.is_ready(now) && (!must_queue || self.placer.is_placed(turn)) {
            let placement =
                self.placer.place(turn, &candidate.request, view, candidate.limit(), now);
            if let Some(decision) = candidate.decision_for(placement, now) {
                return decision;
            }
        }
        self.waiting.insert(turn.to_owned(), candidate);
        Decision::Wait
    }

    /// Decides on waiting turns in order of rank. A turn for which no replica has capacity stays
    /// queued and does not block turns with other eligible replicas.
    pub fn decide(&mut self, view: &FleetView<'_>, now: Instant) -> Vec<(String, Decision)> {
        let mut decisions =
            if self.is_ready(now) { self.place_waiting(view, now) } else { Vec::new() };
        for (turn, _) in &decisions {
            self.waiting.remove(turn);
        }
        self.expire(now, &mut decisions);
        decisions
    }

    /// Places the waiting turns for which there is capacity. All of them are ranked once.
    fn place_waiting(&mut self, view: &FleetView<'_>, now: Instant) -> Vec<(String, Decision)> {
        let Self { placer, waiting, work, .. } = self;
        work.ranked += waiting.len() as u64;
        let mut ranked: Vec<_> = waiting.iter().collect();
        ranked.sort_unstable_by_key(|(turn, waiting)| (waiting.rank(now), turn.as_str()));
        let mut decisions = Vec::new();
        let mut without_capacity: Vec<&WaitingTurn> = Vec::new();
        for (turn, waiting) in ranked {
            if without_capacity.iter().any(|other| other.competes_with(waiting)) {
                continue;
            }
            work.searches += 1;
            let placement = placer.place(turn, &waiting.request, view, waiting.limit(), now);
            match waiting.decision_for(placement, now) {
                Some(decision) => decisions.push((turn.clone(), decision)),
                None => without_capacity.push(waiting),
            }
        }
        decisions
    }

    /// Records the end of a turn, whether or not it ran; see [`Placer::end_turn`].
    pub fn end_turn(&mut self, turn: &str, ran_at: Option<&str>, now: Instant) {
        self.waiting.remove(turn);
        self.placer.end_turn(turn, ran_at, now);
    }

    /// Marks a replica as failing until `until`.
    pub fn mark_failing(&mut self, replica: &str, until: Instant) {
        self.placer.mark_failing(replica, until);
    }

    /// Drops the state of replicas that are not in `replicas`.
    pub fn retain(&mut self, replicas: &[Replica]) {
        self.placer.retain(replicas);
    }

    /// Returns the speed estimates by service.
    pub fn engine_speeds(&self) -> impl Iterator<Item = (&str, &EngineSpeed)> {
        self.placer.engine_speeds()
    }

    /// Returns the mean time per token of a service's replicas relative to the fastest one.
    pub fn mean_relative_token_time(&self, service: &str) -> f64 {
        self.placer.mean_relative_token_time(service)
    }

    /// Returns the number of waiting turns.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Returns the work done for waiting turns.
    pub fn work(&self) -> QueueWork {
        self.work
    }

    fn is_ready(&self, now: Instant) -> bool {
        self.paused_until.is_none_or(|paused_until| paused_until <= now)
    }

    fn expire(&mut self, now: Instant, decisions: &mut Vec<(String, Decision)>) {
        let is_expired = |waiting: &WaitingTurn| waiting.expires_at <= now;
        let expired = self.waiting.iter().filter(|(_, waiting)| is_expired(waiting));
        let expired: Vec<String> = expired.map(|(turn, _)| turn.clone()).collect();
        for turn in expired {
            self.waiting.remove(&turn);
            decisions.push((turn, Decision::Refuse(RETRY_DELAY)));
        }
    }
}

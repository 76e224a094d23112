//! When a turn runs, and where.
//!
//! Replicas admit what reaches them in the order of arrival, and every turn that runs
//! slows the others down. [`TurnScheduler`] keeps turns back while the replicas are busy
//! and lets them go in an order of its own: what can still be in time before what cannot,
//! programs under way before new ones, urgent routes before others.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use calicohoist_routing::{ColdTolerance, Replica};
use serde::{Deserialize, Serialize};

use crate::placement::{FleetView, Placement, PlacementRequest, Placer, RunLimit, TurnRun};
use crate::speed::EngineSpeed;

/// Turns that may wait at a time.
const MAX_WAITING: usize = 1_000;
/// Longest time that a turn waits.
const MAX_WAIT: Duration = Duration::from_millis(1_800);
/// Share of the time left to a turn that it may wait.
const WAIT_SHARE: f64 = 0.45;
/// When a refused turn may come back: many turns end within this time.
const COME_BACK_AFTER: Duration = Duration::from_millis(300);
/// Share of the time until its finish that a new program needs itself. One that has waited
/// for the rest of it counts as late.
const NEEDED_SHARE: f64 = 0.8;
/// New programs begin while a turn takes at most so many times as long as at its best.
/// Measured: see the rounds in `docs/DECISIONS.md`.
const MOST_SLOWDOWN: f64 = 2.8;

/// How long a new leader waits for the gateways' reports of load.
const REPORTS_WITHIN: Duration = Duration::from_millis(60);
/// How long turns are counted that an earlier leader placed and whose ends nobody tells.
const INHERITED_FOR: Duration = Duration::from_millis(1_500);

/// What becomes of a turn.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Decision {
    /// It runs at this replica.
    Run(String),
    /// It runs at this replica, which is cold, if it is sent there within
    /// [`calicohoist_routing::COLD_PLACEMENT_LIFETIME`] after it was placed.
    RunCold {
        /// The replica.
        replica: String,
        /// Time from the arrival of the question until the turn was placed, in ms.
        waited_ms: u64,
    },
    /// No replica is known to take it; whoever asks may know better.
    RunAnywhere,
    /// It waits.
    Wait,
    /// It does not run now; it may come back after this time.
    Refuse(Duration),
}

/// A turn that waits for a replica.
#[derive(Clone, Debug)]
struct WaitingTurn {
    request: PlacementRequest,
    /// When it was asked for last.
    arrived: Instant,
    give_up: Instant,
    /// When its program should be over.
    finish: Instant,
    /// When it must have begun for that.
    begin_by: Instant,
}

/// Order among waiting turns: the least goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Rank {
    is_late: bool,
    is_new: bool,
    priority: u8,
    finish: Instant,
}

impl WaitingTurn {
    fn new(request: PlacementRequest, now: Instant) -> Self {
        let left = Duration::from_millis(request.left_ms);
        let finish_left = request.finish_ms.map_or(left, Duration::from_millis);
        let needed =
            if request.is_under_way { Duration::ZERO } else { finish_left.mul_f64(NEEDED_SHARE) };
        let finish = now + finish_left;
        Self {
            arrived: now,
            give_up: now + left.mul_f64(WAIT_SHARE).min(MAX_WAIT),
            finish,
            begin_by: finish.checked_sub(needed).unwrap_or(now),
            request,
        }
    }

    fn rank(&self, now: Instant) -> Rank {
        Rank {
            is_late: self.begin_by <= now,
            is_new: !self.request.is_under_way,
            priority: self.request.priority,
            finish: self.finish,
        }
    }

    /// The decision that follows from a placement; `None` while there is no room.
    fn decision(&self, placed: Placement, now: Instant) -> Option<Decision> {
        match placed {
            Placement::At(replica) => Some(Decision::Run(replica)),
            Placement::AtCold(replica) => {
                let waited = now.saturating_duration_since(self.arrived).as_millis();
                let waited_ms = u64::try_from(waited).unwrap_or_default();
                Some(Decision::RunCold { replica, waited_ms })
            }
            Placement::NoReplica => Some(Decision::RunAnywhere),
            Placement::NoRoom => None,
        }
    }

    /// Whether there is no room for this turn when there is none for the other: both may go to
    /// the same replicas, and the same limit holds for both.
    fn needs_same_room(&self, other: &Self) -> bool {
        self.request.service == other.request.service
            && self.request.homes == other.request.homes
            && self.request.is_under_way == other.request.is_under_way
    }

    fn limit(&self) -> RunLimit {
        if self.request.is_under_way {
            RunLimit::Unlimited
        } else {
            RunLimit::Slowdown(MOST_SLOWDOWN)
        }
    }
}

/// Decides when and where turns run, and learns from their ends.
#[derive(Debug, Default)]
pub struct TurnScheduler {
    placer: Placer,
    waiting: HashMap<String, WaitingTurn>,
    /// Before this moment nothing is decided: the loads of replicas are still coming in.
    opens: Option<Instant>,
}

impl TurnScheduler {
    /// A scheduler that knows of no turn, with what may come on top of the limits of cold
    /// replicas.
    pub fn new(cold_tolerance: ColdTolerance) -> Self {
        Self { placer: Placer::default().with_cold_tolerance(cold_tolerance), ..Self::default() }
    }

    /// Begins a term as leader: turns under way are those that gateways will tell of.
    pub fn begin_term(&mut self, now: Instant) {
        self.placer.begin_term(now);
        self.dismiss();
        self.opens = Some(now + REPORTS_WITHIN);
    }

    /// Forgets the turns that wait: another leader decides about them.
    pub fn dismiss(&mut self) {
        self.waiting.clear();
    }

    /// Counts what a gateway has under way since before this term.
    pub fn inherit(&mut self, loads: &[(String, u32)], now: Instant) {
        self.placer.inherit(loads, now, INHERITED_FOR);
    }

    /// Learns what a replica has read.
    pub fn learn(&mut self, run: &TurnRun) {
        self.placer.learn(run);
    }

    /// What becomes of a turn that arrives, or is asked for again.
    pub fn arrive(
        &mut self,
        turn: &str,
        request: PlacementRequest,
        view: &FleetView<'_>,
        now: Instant,
    ) -> Decision {
        if let Some(waiting) = self.waiting.get_mut(turn) {
            // Whoever asks again counts the time from this question on.
            waiting.arrived = now;
            return Decision::Wait;
        }
        if self.waiting.len() >= MAX_WAITING {
            return Decision::Refuse(COME_BACK_AFTER);
        }
        let arrived = WaitingTurn::new(request, now);
        let rank = arrived.rank(now);
        // A turn of a program under way finds room at every warm replica. It waits only for cold
        // ones, and so only behind turns that wait for the same.
        let is_ahead = |waiting: &WaitingTurn| {
            let competes = !arrived.request.is_under_way || waiting.needs_same_room(&arrived);
            competes && waiting.rank(now) < rank
        };
        let must_queue = self.waiting.values().any(is_ahead);
        if self.is_open(now) && (!must_queue || self.placer.is_placed(turn)) {
            let placed = self.placer.place(turn, &arrived.request, view, arrived.limit(), now);
            if let Some(decision) = arrived.decision(placed, now) {
                return decision;
            }
        }
        self.waiting.insert(turn.to_owned(), arrived);
        Decision::Wait
    }

    /// Decides about waiting turns, as far as something can be decided now. A turn without room
    /// is passed over for those that may find some elsewhere, and keeps its rank.
    pub fn decide(&mut self, view: &FleetView<'_>, now: Instant) -> Vec<(String, Decision)> {
        let mut decided = Vec::new();
        let mut passed = Vec::new();
        while self.is_open(now)
            && let Some(turn) = self.first(&passed, now)
        {
            let waiting = &self.waiting[&turn];
            let limit = waiting.limit();
            let placed = self.placer.place(&turn, &waiting.request, view, limit, now);
            let Some(decision) = waiting.decision(placed, now) else {
                passed.push(turn);
                continue;
            };
            self.waiting.remove(&turn);
            decided.push((turn, decision));
        }
        self.give_up(now, &mut decided);
        decided
    }

    /// A turn has ended, whether or not it ever ran; see [`Placer::end`].
    pub fn end(&mut self, turn: &str, ran_at: Option<&str>, now: Instant) {
        self.waiting.remove(turn);
        self.placer.end(turn, ran_at, now);
    }

    /// A replica is known to fail until then.
    pub fn note_failing(&mut self, replica: &str, until: Instant) {
        self.placer.note_failing(replica, until);
    }

    /// Forgets what is known of replicas that are not in `replicas`.
    pub fn retain(&mut self, replicas: &[Replica]) {
        self.placer.retain(replicas);
    }

    /// What is learned of engines, by service.
    pub fn speeds(&self) -> impl Iterator<Item = (&str, &EngineSpeed)> {
        self.placer.speeds()
    }

    /// How many times as long as the fastest the replicas of a service take on the average.
    pub fn spread(&self, service: &str) -> f64 {
        self.placer.spread(service)
    }

    /// Turns that wait.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    fn is_open(&self, now: Instant) -> bool {
        self.opens.is_none_or(|opens| opens <= now)
    }

    /// The waiting turn of the first rank that may find room although the `passed` ones did not.
    fn first(&self, passed: &[String], now: Instant) -> Option<String> {
        let may_find_room = |(_, waiting): &(&String, &WaitingTurn)| {
            !passed.iter().any(|turn| self.waiting[turn].needs_same_room(waiting))
        };
        let candidates = self.waiting.iter().filter(may_find_room);
        let first = candidates.min_by_key(|(turn, waiting)| (waiting.rank(now), *turn));
        first.map(|(turn, _)| turn.clone())
    }

    fn give_up(&mut self, now: Instant, decided: &mut Vec<(String, Decision)>) {
        let is_over = |waiting: &WaitingTurn| waiting.give_up <= now;
        let over = self.waiting.iter().filter(|(_, waiting)| is_over(waiting));
        let over: Vec<String> = over.map(|(turn, _)| turn.clone()).collect();
        for turn in over {
            self.waiting.remove(&turn);
            decided.push((turn, Decision::Refuse(COME_BACK_AFTER)));
        }
    }
}

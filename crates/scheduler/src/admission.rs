//! When a turn runs, and where.
//!
//! Replicas admit what reaches them in the order of arrival, and every turn that runs
//! slows the others down. [`TurnScheduler`] keeps turns back while the replicas are busy
//! and lets them go in an order of its own: what can still be in time before what cannot,
//! programs under way before new ones, urgent routes before others.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use calicohoist_routing::Replica;
use serde::{Deserialize, Serialize};

use crate::overload::{ProgramKind, ProgramLoad};
use crate::placement::{FleetView, Placement, PlacementRequest, Placer, RunLimit, TurnRun};
use crate::shares::KindShares;
use crate::speed::EngineSpeed;

/// Turns that may wait at a time.
const MAX_WAITING: usize = 1_000;
/// Longest time that a turn waits.
const MAX_WAIT: Duration = Duration::from_millis(1_800);
/// Share of the time left to a turn that it may wait.
const WAIT_SHARE: f64 = 0.45;
/// When a refused turn may come back: many turns end within this time.
const COME_BACK_AFTER: Duration = Duration::from_millis(300);
/// A new program is refused at once when the wait forecast for it is so many times as long
/// as it may wait: the forecast doesn't see who gives up and how many turns pause at once.
const CERTAIN_WAITS: f64 = 3.0;
/// Share of the time left to a turn within which it may be told to come back: callers
/// don't wait longer than a third.
const COME_BACK_SHARE: f64 = 0.3;
/// Times to come back differ by this share of them to either side, so that callers who were
/// refused together don't return together.
const COME_BACK_SPREAD: f64 = 0.25;
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
    program: String,
    kind: ProgramKind,
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
    /// Whether its kind gets its part beside others.
    is_served: bool,
    priority: u8,
    finish: Instant,
}

impl WaitingTurn {
    /// `lasts` is how long programs of its kind last, as a share of the time allowed to
    /// them; `None` while that is unknown.
    fn new(
        request: PlacementRequest,
        program: &str,
        kind: ProgramKind,
        lasts: Option<f64>,
        now: Instant,
    ) -> Self {
        let left = Duration::from_millis(request.left_ms);
        let finish_left = request.finish_ms.map_or(left, Duration::from_millis);
        let needed_share = lasts.unwrap_or(NEEDED_SHARE);
        let needed =
            if request.is_under_way { Duration::ZERO } else { finish_left.mul_f64(needed_share) };
        let finish = now + finish_left;
        let begin_by = finish.checked_sub(needed).unwrap_or(now);
        let longest = now + left.mul_f64(WAIT_SHARE).min(MAX_WAIT);
        let knows_better = lasts.is_some() && !request.is_under_way;
        let give_up = if knows_better { longest.min(begin_by) } else { longest };
        Self { give_up, finish, begin_by, program: program.to_owned(), kind, request }
    }

    fn rank(&self, starved: &[ProgramKind], now: Instant) -> Rank {
        Rank {
            is_late: self.begin_by <= now,
            is_new: !self.request.is_under_way,
            is_served: !starved.contains(&self.kind),
            priority: self.request.priority,
            finish: self.finish,
        }
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
    programs: ProgramLoad,
    shares: KindShares,
    /// Kinds that go first because they were let in too seldom.
    starved: Vec<ProgramKind>,
    /// Whether the first that waits had no room. Only the end of a program makes some, which
    /// is looked for now and then: to ask at the end of each turn took the leader 7 µs more
    /// a turn with 44 replicas.
    is_full: bool,
    /// Before this moment nothing is decided: the loads of replicas are still coming in.
    opens: Option<Instant>,
}

impl TurnScheduler {
    /// Begins a term as leader: turns under way are those that gateways will tell of.
    pub fn begin_term(&mut self, now: Instant) {
        self.placer.begin_term();
        self.programs.begin_term();
        self.dismiss();
        self.opens = Some(now + REPORTS_WITHIN);
    }

    /// Forgets the turns that wait: another leader decides about them.
    pub fn dismiss(&mut self) {
        self.waiting.clear();
        self.is_full = false;
    }

    /// Counts what a gateway has under way since before this term.
    pub fn inherit(&mut self, loads: &[(String, u32)], now: Instant) {
        self.placer.inherit(loads, now, INHERITED_FOR);
    }

    /// Learns what a replica has read.
    pub fn learn(&mut self, run: &TurnRun) {
        self.placer.learn(run);
    }

    /// What becomes of a turn that arrives, or is asked for again. It is taken to be a
    /// program of its own.
    pub fn arrive(
        &mut self,
        turn: &str,
        request: PlacementRequest,
        view: &FleetView<'_>,
        now: Instant,
    ) -> Decision {
        self.arrive_of(turn, turn, request, view, now)
    }

    /// What becomes of a turn of a program that arrives, or is asked for again.
    pub fn arrive_of(
        &mut self,
        turn: &str,
        program: &str,
        request: PlacementRequest,
        view: &FleetView<'_>,
        now: Instant,
    ) -> Decision {
        if self.waiting.contains_key(turn) {
            return Decision::Wait;
        }
        if self.waiting.len() >= MAX_WAITING {
            return Decision::Refuse(COME_BACK_AFTER);
        }
        self.sweep(now);
        let is_placed = self.placer.is_placed(turn);
        let kind = ProgramKind { service: request.service.clone(), priority: request.priority };
        let lasts = self.programs.lasts_share(&kind);
        let arrived = WaitingTurn::new(request, program, kind, lasts, now);
        let is_new = !arrived.request.is_under_way && !is_placed;
        if is_new {
            self.shares.note_asked(&arrived.kind, now);
        }
        let rank = arrived.rank(&self.starved, now);
        let goes_first = |waiting: &WaitingTurn| waiting.rank(&self.starved, now) < rank;
        let must_queue = is_new && self.waiting.values().any(goes_first);
        if self.is_open(now) && !must_queue && (!is_new || self.has_room(&arrived, view)) {
            match self.place(turn, &arrived, view, now) {
                Placement::At(replica) => return Decision::Run(replica),
                Placement::NoReplica => return Decision::RunAnywhere,
                Placement::NoRoom => {}
            }
        }
        if is_new && let Some(after) = self.refuses(turn, &arrived, view, now) {
            return Decision::Refuse(after);
        }
        self.waiting.insert(turn.to_owned(), arrived);
        Decision::Wait
    }

    /// Decides about waiting turns, as far as something can be decided now.
    pub fn decide(&mut self, view: &FleetView<'_>, now: Instant) -> Vec<(String, Decision)> {
        self.sweep(now);
        let mut decided = Vec::new();
        if self.is_full {
            return decided;
        }
        while self.is_open(now)
            && let Some(turn) = self.first(now)
        {
            let waiting = &self.waiting[&turn];
            if !waiting.request.is_under_way && !self.has_room(waiting, view) {
                self.is_full = true;
                break;
            }
            let Some(waiting) = self.waiting.remove(&turn) else {
                break;
            };
            let decision = match self.place(&turn, &waiting, view, now) {
                Placement::At(replica) => Decision::Run(replica),
                Placement::NoReplica => Decision::RunAnywhere,
                Placement::NoRoom => {
                    self.waiting.insert(turn, waiting);
                    break;
                }
            };
            decided.push((turn, decision));
        }
        self.give_up(now, &mut decided);
        decided
    }

    fn place(
        &mut self,
        turn: &str,
        waiting: &WaitingTurn,
        view: &FleetView<'_>,
        now: Instant,
    ) -> Placement {
        let placed = self.placer.place(turn, &waiting.request, view, waiting.limit(), now);
        if let Placement::At(_) = placed {
            let is_first = !waiting.request.is_under_way;
            let finish = waiting.request.finish_ms.map(|_| waiting.finish);
            let WaitingTurn { program, kind, .. } = waiting;
            let begun = self.programs.begin_turn(turn, program, kind, finish, is_first, now);
            if begun && is_first {
                self.shares.note_begun(kind, now);
            }
        }
        placed
    }

    /// Turns that engines can carry for one more program of this kind, beyond what is
    /// expected of those under way; `None` while too little is known.
    fn room(&self, waiting: &WaitingTurn, view: &FleetView<'_>) -> Option<f64> {
        let target = self.programs.target(&waiting.kind)?;
        let carried = self.placer.carried(&waiting.request, view, target);
        Some(carried - self.programs.load(&waiting.kind.service))
    }

    /// Whether engines carry what a new program is expected to bring.
    fn has_room(&self, waiting: &WaitingTurn, view: &FleetView<'_>) -> bool {
        let turns = self.programs.turns(&waiting.kind);
        self.room(waiting, view).is_none_or(|room| turns <= room)
    }

    /// When a new program is to come back that would not begin in time if it waited;
    /// `None` when it may wait.
    fn refuses(
        &self,
        turn: &str,
        arrived: &WaitingTurn,
        view: &FleetView<'_>,
        now: Instant,
    ) -> Option<Duration> {
        let room = self.room(arrived, view)?;
        let rank = arrived.rank(&self.starved, now);
        let is_ahead = |other: &&WaitingTurn| {
            other.kind.service == arrived.kind.service && other.rank(&self.starved, now) < rank
        };
        let ahead = self.waiting.values().filter(is_ahead);
        let ahead: f64 = ahead.map(|other| self.programs.turns(&other.kind)).sum();
        let missing = (ahead + self.programs.turns(&arrived.kind) - room).max(0.0);
        let freed_per_s = self.programs.freed_per_s(&arrived.kind.service).max(f64::EPSILON);
        let most = Duration::from_millis(arrived.request.left_ms).mul_f64(COME_BACK_SHARE);
        let wait = Duration::try_from_secs_f64(missing / freed_per_s).unwrap_or(most);
        (now + wait.div_f64(CERTAIN_WAITS) > arrived.begin_by).then(|| {
            let after = wait.max(COME_BACK_AFTER).mul_f64(spread(turn)).min(most);
            after.max(COME_BACK_AFTER / 2)
        })
    }

    fn sweep(&mut self, now: Instant) {
        let placer = &self.placer;
        if self.programs.sweep(|service| placer.speed(service).slowdown(), now) {
            self.starved = self.shares.starved(now);
            self.is_full = false;
        }
    }

    /// A turn has ended, whether or not it ever ran; see [`Placer::end`].
    pub fn end(&mut self, turn: &str, ran_at: Option<&str>, now: Instant) {
        self.waiting.remove(turn);
        self.programs.end_turn(turn, now);
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

    /// Turns that wait.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    fn is_open(&self, now: Instant) -> bool {
        self.opens.is_none_or(|opens| opens <= now)
    }

    fn first(&self, now: Instant) -> Option<String> {
        let first = self
            .waiting
            .iter()
            .min_by_key(|(turn, waiting)| (waiting.rank(&self.starved, now), *turn));
        first.map(|(turn, _)| turn.clone())
    }

    fn give_up(&mut self, now: Instant, decided: &mut Vec<(String, Decision)>) {
        let is_over = |waiting: &WaitingTurn| waiting.give_up <= now;
        let over = self.waiting.iter().filter(|(_, waiting)| is_over(waiting));
        let over: Vec<String> = over.map(|(turn, _)| turn.clone()).collect();
        for turn in over {
            self.waiting.remove(&turn);
            let after = COME_BACK_AFTER.mul_f64(spread(&turn));
            decided.push((turn, Decision::Refuse(after)));
        }
    }
}

/// Factor on the time to come back, from the identity of the turn.
fn spread(turn: &str) -> f64 {
    let hash = blake3::hash(turn.as_bytes());
    let place = f64::from(hash.as_bytes()[0]) / f64::from(u8::MAX);
    1.0 - COME_BACK_SPREAD + 2.0 * COME_BACK_SPREAD * place
}

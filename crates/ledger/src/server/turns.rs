//! Turns of programs at the leader: who waits, and who is told what.

use std::collections::{HashMap, HashSet};
use std::time::{Duration, Instant};

use calicohoist_routing::ColdTolerance;
use calicohoist_scheduler::{Decision, PlacementRequest, TurnRun, TurnScheduler};
use calicohoist_telemetry::{Event, emit};
use parking_lot::Mutex;
use tokio::sync::Notify;

use super::gateways::Back;
use super::list::{FleetSnapshot, Reading};
use crate::commands::SettleTurn;
use crate::protocol::{LedgerResponse, ListDigest};

/// Time between two log lines on the learned rates.
const SPEEDS_INTERVAL: Duration = Duration::from_secs(1);

/// The scheduler with those who wait for its decisions.
#[derive(Default)]
pub struct TurnDesk {
    state: Mutex<DeskState>,
    work: Notify,
}

#[derive(Default)]
struct DeskState {
    scheduler: TurnScheduler,
    /// Who is to be told of a waiting turn.
    backs: HashMap<String, Back>,
    /// The list whose replicas the scheduler was told last.
    list: ListDigest,
    /// The term in which it decides.
    term: u64,
    /// Gateways that have told of their load in this term.
    reported: HashSet<String>,
    /// When the learned rates were logged last.
    told_speeds: Option<Instant>,
}

impl DeskState {
    fn note_list(&mut self, reading: &Reading) {
        if self.list != reading.mark {
            self.list = reading.mark;
            self.scheduler.retain(&reading.list.replicas);
        }
    }

    /// Begins anew when this machine leads in another term than the last time.
    fn note_term(&mut self, term: u64) {
        if self.term != term {
            self.term = term;
            self.reported.clear();
            self.backs.clear();
            self.scheduler.begin_term(Instant::now());
        }
    }

    fn arrive(
        &mut self,
        term: u64,
        turn: &str,
        request: PlacementRequest,
        fleet: &FleetSnapshot,
    ) -> Decision {
        self.note_term(term);
        self.note_list(&fleet.reading);
        self.scheduler.arrive(turn, request, &fleet.view(), Instant::now())
    }

    /// Logs the learned rates now and then.
    fn tell_speeds(&mut self) {
        let now = Instant::now();
        if self.told_speeds.is_some_and(|at| now < at + SPEEDS_INTERVAL) {
            return;
        }
        self.told_speeds = Some(now);
        for (service, speed) in self.scheduler.speeds() {
            emit!(
                Event::EngineSpeed;
                service = service,
                turn_ms = shown(speed.turn_ms()),
                slowdown = shown(speed.slowdown()),
                alone_ms = shown(speed.alone_ms()),
                waiting = self.scheduler.waiting(),
                spread = format!("{:.2}", self.scheduler.spread(service)),
            );
        }
    }

    fn decide(&mut self, fleet: &FleetSnapshot) {
        if self.scheduler.waiting() == 0 {
            return;
        }
        for (turn, decision) in self.scheduler.decide(&fleet.view(), Instant::now()) {
            if let Some(back) = self.backs.remove(&turn) {
                back.send(LedgerResponse::Placed(decision));
            }
        }
    }
}

impl TurnDesk {
    /// A desk with no turn; `tolerance` may come on top of the limits of cold replicas.
    pub fn new(tolerance: ColdTolerance) -> Self {
        let scheduler = TurnScheduler::new(tolerance);
        Self {
            state: Mutex::new(DeskState { scheduler, ..DeskState::default() }),
            ..Self::default()
        }
    }

    /// What becomes of a turn that arrives, or is asked for again.
    pub fn arrive(
        &self,
        term: u64,
        turn: &str,
        request: PlacementRequest,
        fleet: &FleetSnapshot,
    ) -> Decision {
        let decision = self.state.lock().arrive(term, turn, request, fleet);
        if decision == Decision::Wait {
            self.work.notify_one();
        }
        decision
    }

    /// Counts what a gateway has under way, once in each term.
    pub fn note_report(&self, term: u64, gateway: &str, loads: &[(String, u32)]) {
        let mut state = self.state.lock();
        state.note_term(term);
        if state.reported.insert(gateway.to_owned()) {
            state.scheduler.inherit(loads, Instant::now());
        }
    }

    /// A replica is known to fail until then.
    pub fn note_failing(&self, replica: &str, until: Instant) {
        self.state.lock().scheduler.note_failing(replica, until);
    }

    /// Learns where turns ran.
    pub fn learn<'a>(&self, runs: impl Iterator<Item = &'a TurnRun>) {
        let mut state = self.state.lock();
        runs.for_each(|run| state.scheduler.learn(run));
    }

    /// Answers now or once it is decided where the turn runs.
    pub(super) fn place(
        &self,
        term: u64,
        turn: String,
        request: PlacementRequest,
        fleet: &FleetSnapshot,
        back: Back,
    ) {
        let mut state = self.state.lock();
        match state.arrive(term, &turn, request, fleet) {
            Decision::Wait => {
                state.backs.insert(turn, back);
                self.work.notify_one();
            }
            decision => back.send(LedgerResponse::Placed(decision)),
        }
    }

    /// A turn has ended; others may run now.
    pub fn end(&self, settle: &SettleTurn, fleet: &FleetSnapshot) {
        let ran_at = settle.run.as_ref().map(|run| run.replica.as_str());
        let mut state = self.state.lock();
        state.scheduler.end(&settle.turn, ran_at, Instant::now());
        state.backs.remove(&settle.turn);
        state.tell_speeds();
        state.decide(fleet);
    }

    /// Decides what can be decided now.
    pub fn decide(&self, fleet: &FleetSnapshot) {
        let mut state = self.state.lock();
        state.note_list(&fleet.reading);
        state.decide(fleet);
    }

    /// Tells everybody who waits that another machine decides.
    pub fn dismiss(&self, answer: &LedgerResponse) {
        let mut state = self.state.lock();
        state.scheduler.dismiss();
        for (_, back) in state.backs.drain() {
            back.send(answer.clone());
        }
    }

    /// Waits until some turn waits.
    pub async fn wait_for_work(&self) {
        loop {
            let notified = self.work.notified();
            if self.state.lock().scheduler.waiting() > 0 {
                return;
            }
            notified.await;
        }
    }
}

/// A learned figure, with a dash while it is unknown.
fn shown(figure: Option<f64>) -> String {
    figure.map_or_else(|| "-".to_owned(), |figure| format!("{figure:.2}"))
}

//! Placement of turns on the leader: runs the scheduler and answers waiting requests.

use std::collections::{HashMap, HashSet};
use std::time::{Duration, Instant};

use calicohoist_routing::ColdTolerance;
use calicohoist_scheduler::{Decision, PlacementRequest, QueueWork, TurnRun, TurnScheduler};
use calicohoist_telemetry::{Event, emit};
use parking_lot::Mutex;
use tokio::sync::Notify;

use super::duties::{self, Duty};
use super::gateways::Responder;
use super::list::{DiscoverySnapshot, FleetSnapshot};
use crate::commands::SettleTurn;
use crate::protocol::{LedgerResponse, ListDigest};

/// Minimum time between log reports of the estimated engine speeds.
const SPEED_LOG_INTERVAL: Duration = Duration::from_secs(1);

/// The scheduler and the requests that wait for its decisions.
#[derive(Default)]
pub struct TurnDispatcher {
    state: Mutex<DispatcherState>,
    /// Signals that a turn waits.
    waiting: Notify,
    /// Signals that a turn has ended, which may let another one run.
    ended: Notify,
}

#[derive(Default)]
struct DispatcherState {
    scheduler: TurnScheduler,
    /// Responders of waiting turns.
    responders: HashMap<String, Responder>,
    /// Mark of the list last passed to the scheduler.
    list: ListDigest,
    /// Term of the scheduler state.
    term: u64,
    /// Gateways whose load has been reported in this term.
    reported: HashSet<String>,
    /// When the estimated engine speeds were last logged.
    speeds_logged_at: Option<Instant>,
}

impl DispatcherState {
    fn update_list(&mut self, discovery: &DiscoverySnapshot) {
        if self.list != discovery.mark {
            self.list = discovery.mark;
            self.scheduler.retain(&discovery.list.replicas);
        }
    }

    /// Resets the per-term state when the term has changed.
    fn update_term(&mut self, term: u64) {
        if self.term != term {
            self.term = term;
            self.reported.clear();
            self.responders.clear();
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
        self.update_term(term);
        self.update_list(&fleet.discovery);
        self.scheduler.submit(turn, request, &fleet.view(), Instant::now())
    }

    /// Logs the estimated engine speeds, at most once per [`SPEED_LOG_INTERVAL`].
    fn log_speeds(&mut self) {
        let now = Instant::now();
        if self.speeds_logged_at.is_some_and(|at| now < at + SPEED_LOG_INTERVAL) {
            return;
        }
        self.speeds_logged_at = Some(now);
        let QueueWork { ranked, searches } = self.scheduler.work();
        for (service, speed) in self.scheduler.engine_speeds() {
            emit!(
                Event::EngineSpeed;
                service = service,
                turn_ms = format_estimate(speed.mean_turn_ms()),
                slowdown = format_estimate(speed.slowdown()),
                alone_ms = format_estimate(speed.uncontended_turn_ms()),
                waiting = self.scheduler.waiting(),
                ranked = ranked,
                searches = searches,
                spread = format!("{:.2}", self.scheduler.mean_relative_token_time(service)),
            );
        }
    }

    fn decide(&mut self, fleet: &FleetSnapshot) {
        if self.scheduler.waiting() == 0 {
            return;
        }
        for (turn, decision) in self.scheduler.decide(&fleet.view(), Instant::now()) {
            if let Some(responder) = self.responders.remove(&turn) {
                responder.send(LedgerResponse::Placed(decision));
            }
        }
    }
}

impl TurnDispatcher {
    /// Creates a dispatcher without turns. The limits of cold replicas may be exceeded by
    /// `tolerance`.
    pub fn new(tolerance: ColdTolerance) -> Self {
        let scheduler = TurnScheduler::new(tolerance);
        Self {
            state: Mutex::new(DispatcherState { scheduler, ..DispatcherState::default() }),
            ..Self::default()
        }
    }

    /// Decides where a turn runs. The request may be a retry.
    pub fn arrive(
        &self,
        term: u64,
        turn: &str,
        request: PlacementRequest,
        fleet: &FleetSnapshot,
    ) -> Decision {
        let decision =
            duties::timed(Duty::Place, || self.state.lock().arrive(term, turn, request, fleet));
        if decision == Decision::Wait {
            self.waiting.notify_one();
        }
        decision
    }

    /// Returns the work done for waiting turns.
    pub fn work(&self) -> QueueWork {
        self.state.lock().scheduler.work()
    }

    /// Passes the load reported by a gateway to the scheduler, once per term.
    pub fn record_report(&self, term: u64, gateway: &str, loads: &[(String, u32)]) {
        let mut state = self.state.lock();
        state.update_term(term);
        if state.reported.insert(gateway.to_owned()) {
            state.scheduler.add_inherited_load(loads, Instant::now());
        }
    }

    /// Marks a replica as failing until `until`.
    pub fn mark_failing(&self, replica: &str, until: Instant) {
        self.state.lock().scheduler.mark_failing(replica, until);
    }

    /// Passes finished runs to the scheduler.
    pub fn record_runs<'a>(&self, runs: impl Iterator<Item = &'a TurnRun>) {
        let mut state = self.state.lock();
        runs.for_each(|run| state.scheduler.record_run(run));
    }

    /// Places a turn, and answers once its replica is decided.
    pub(super) fn place(
        &self,
        term: u64,
        turn: String,
        request: PlacementRequest,
        fleet: &FleetSnapshot,
        responder: Responder,
    ) {
        let mut state = self.state.lock();
        match state.arrive(term, &turn, request, fleet) {
            Decision::Wait => {
                state.responders.insert(turn, responder);
                self.waiting.notify_one();
            }
            decision => responder.send(LedgerResponse::Placed(decision)),
        }
    }

    /// Removes an ended turn, and wakes [`Self::wait_for_capacity`].
    pub fn end(&self, settle: &SettleTurn, fleet: &FleetSnapshot) {
        duties::timed(Duty::EndTurn, || {
            let ran_at = settle.run.as_ref().map(|run| run.replica.as_str());
            let mut state = self.state.lock();
            state.scheduler.end_turn(&settle.turn, ran_at, Instant::now());
            state.responders.remove(&settle.turn);
            state.log_speeds();
            state.update_list(&fleet.discovery);
        });
        self.ended.notify_one();
    }

    /// Places the waiting turns that can run now.
    pub fn decide(&self, fleet: &FleetSnapshot) {
        duties::timed(Duty::Place, || {
            let mut state = self.state.lock();
            state.update_list(&fleet.discovery);
            state.decide(fleet);
        });
    }

    /// Removes all waiting turns and sends `answer` to each, because this machine no longer leads.
    pub fn cancel_waiting(&self, answer: &LedgerResponse) {
        let mut state = self.state.lock();
        state.scheduler.clear_waiting();
        for (_, responder) in state.responders.drain() {
            responder.send(answer.clone());
        }
    }

    /// Returns once a turn has ended since the last call, or after `timeout`.
    pub async fn wait_for_capacity(&self, timeout: Duration) {
        // Waiting turns also expire while none ends.
        let _ = tokio::time::timeout(timeout, self.ended.notified()).await;
    }

    /// Returns once at least one turn is waiting.
    pub async fn wait_for_work(&self) {
        loop {
            let notified = self.waiting.notified();
            if self.state.lock().scheduler.waiting() > 0 {
                return;
            }
            notified.await;
        }
    }
}

/// Formats an estimate, or a dash if it is unknown.
fn format_estimate(estimate: Option<f64>) -> String {
    estimate.map_or_else(|| "-".to_owned(), |estimate| format!("{estimate:.2}"))
}

//! Reservations, permits and placement of turns.

use std::sync::Arc;
use std::time::{Duration, Instant};

use calicohoist_limiter::{IssueOutcome, PermitAnswer, PermitPurpose, PermitRequest};
use calicohoist_quarantine::CrashRecord;
use calicohoist_scheduler::PlacementRequest;
use calicohoist_telemetry::{Event, emit};
use tokio::runtime::Handle;

use super::{GatewayService, Responder};
use crate::commands::{
    Command, Output, Reservation, ReserveTurn, SettleTurn, clear_commands, find_answer, find_crash,
    is_origin,
};
use crate::protocol::LedgerResponse;
use crate::server::list::{DiscoverySnapshot, FleetSnapshot};
use crate::server::replica::{Request, Response};

/// Interval at which waiting turns are reconsidered while no turn ends.
const PLACEMENT_INTERVAL: Duration = Duration::from_millis(20);
/// Minimum time between two placements of waiting turns. Each takes longer the more turns wait, so
/// their rate must not follow that of the turns that end.
const MIN_PLACEMENT_INTERVAL: Duration = Duration::from_millis(10);

impl GatewayService {
    /// Makes a reservation. Once it is granted, issues the permit and places the turn.
    pub(super) fn reserve(
        &self,
        reserve: ReserveTurn,
        placement: Option<PlacementRequest>,
        permit: Option<PermitRequest>,
        responder: Responder,
    ) {
        if let Some(refusal) = permit.as_ref().and_then(|permit| self.reject_exhausted(permit)) {
            return responder.send(refusal);
        }
        let service = self.clone();
        let turn = reserve.turn.clone();
        let program = reserve.program.clone();
        let reads_origin = reserve.previous.as_deref().is_some_and(is_origin);
        let respond = Box::new(move |response| {
            let mut answer = service.answer(response);
            let LedgerResponse::Reserved {
                reservation, is_under_way, permit: permit_answer, ..
            } = &mut answer
            else {
                return responder.send(answer);
            };
            if *reservation == Reservation::NoSuchTurn
                && reads_origin
                && service.contacts.may_have_pending_writes(Instant::now())
            {
                return responder.send(LedgerResponse::Noted);
            }
            if *reservation != Reservation::Granted {
                return responder.send(answer);
            }
            let purpose = match &program {
                Some(program) if *is_under_way => PermitPurpose::LaterTurn(program),
                Some(program) => PermitPurpose::FirstTurn(program),
                None => PermitPurpose::NoProgram,
            };
            let issued =
                permit.map(|permit| service.limits.issue(service.term(), &permit, purpose));
            let delay = match issued {
                None => Duration::ZERO,
                Some(IssueOutcome::Answer(decided)) => {
                    *permit_answer = Some(decided);
                    if let PermitAnswer::OverLimit(_) = decided {
                        return responder.send(answer);
                    }
                    Duration::ZERO
                }
                Some(IssueOutcome::Delayed(grant, delay)) => {
                    *permit_answer = Some(PermitAnswer::Granted(grant));
                    delay
                }
                Some(IssueOutcome::LogBacklog) => {
                    return responder.send(LedgerResponse::Unavailable);
                }
            };
            let runtime = service.runtime.clone();
            run_after(&runtime, delay, move || {
                responder.send(service.add_placement(answer, &turn, placement))
            });
        });
        self.replica.submit(Request::Reserve(reserve), respond);
    }

    /// Adds the placement decision to the answer to a granted reservation.
    fn add_placement(
        &self,
        mut answer: LedgerResponse,
        turn: &str,
        placement: Option<PlacementRequest>,
    ) -> LedgerResponse {
        if let LedgerResponse::Reserved { decision, is_under_way, .. } = &mut answer
            && let Some(placement) = placement
        {
            let placement = PlacementRequest { is_under_way: *is_under_way, ..placement };
            *decision = Some(self.turns.arrive(self.term(), turn, placement, &self.fleet()));
        }
        answer
    }

    /// Rejects a turn without a reservation if its tenant has exhausted its limit.
    fn reject_exhausted(&self, permit: &PermitRequest) -> Option<LedgerResponse> {
        let status = self.status.borrow();
        let term = status.is_leader.then_some(status.term)?;
        self.limits.reject_exhausted(term, permit).map(LedgerResponse::Permit)
    }

    /// Issues a permit after a quorum has confirmed the leadership. Otherwise a deposed leader and
    /// its successor might both issue permits for the same limit.
    pub(super) fn permit(&self, permit: PermitRequest, responder: Responder) {
        let service = self.clone();
        let respond = Box::new(move |response| {
            let Response::Leads(term) = response else {
                return responder.send(service.answer(response));
            };
            let (answer, delay) =
                match service.limits.issue(term, &permit, PermitPurpose::NoProgram) {
                    IssueOutcome::Answer(answer) => (answer, Duration::ZERO),
                    IssueOutcome::Delayed(grant, delay) => (PermitAnswer::Granted(grant), delay),
                    IssueOutcome::LogBacklog => return responder.send(LedgerResponse::Unavailable),
                };
            run_after(&service.runtime, delay, move || {
                responder.send(LedgerResponse::Permit(answer))
            });
        });
        self.replica.submit(Request::ConfirmLeadership, respond);
    }

    /// Places a turn whose reservation was granted. Answers once its replica is decided.
    pub(super) fn place(&self, turn: String, placement: PlacementRequest, responder: Responder) {
        let status = self.status.borrow().clone();
        if !status.is_leader {
            return responder.send(self.not_leader(status.leader));
        }
        self.turns.place(status.term, turn, placement, &self.fleet(), responder);
    }

    pub(super) fn term(&self) -> u64 {
        self.status.borrow().term
    }

    /// Returns the most recently discovered replicas.
    pub(super) fn discovery(&self) -> DiscoverySnapshot {
        self.list.borrow().clone()
    }

    /// Returns the current state of the fleet.
    pub(super) fn fleet(&self) -> FleetSnapshot {
        FleetSnapshot {
            discovery: self.discovery(),
            drained: Arc::clone(&self.status.borrow().drained),
            topology: Arc::clone(&self.location.topology),
        }
    }

    /// Settles a turn. The scheduler is updated at once, whether or not the command is committed.
    pub(super) fn settle(&self, settle: SettleTurn, responder: Responder) {
        if let Some((newest, replica)) = find_answer(&settle.turn) {
            return self.record_answer(&newest, &replica, responder);
        }
        // A record that ran nowhere, such as the origin of a stream, was not placed.
        if settle.run.is_some() || settle.retained.is_none() {
            self.turns.end(&settle, &self.fleet());
        }
        let service = self.clone();
        let Some(crash) = find_crash(&settle.turn) else {
            let respond = Box::new(move |response| responder.send(service.answer(response)));
            return self.replica.submit(Request::Change(Command::Settle(settle)), respond);
        };
        if !self.crashes.has_room(crash.tenant.as_deref(), Instant::now()) {
            return responder.send(LedgerResponse::Noted);
        }
        // Answered once the other gateways know of the crash, so that none of them sends the next
        // try of the client without a permission.
        let respond = Box::new(move |response| {
            let answer = service.answer(response);
            if !matches!(answer, LedgerResponse::Settled) {
                return responder.send(answer);
            }
            let (term, runtime) = (service.term(), service.runtime.clone());
            runtime.spawn(async move {
                service.receipts.wait_until_received(&service.crashes, term, &crash).await;
                responder.send(answer);
            });
        });
        self.replica.submit(Request::Change(Command::Settle(settle)), respond);
    }

    /// Adds up the answers of all gateways to a request under which replicas have crashed, and clears
    /// the crashes once the answers show that the request is harmless.
    fn record_answer(&self, newest: &CrashRecord, replica: &str, responder: Responder) {
        let status = self.status.borrow().clone();
        if !status.is_leader {
            return responder.send(self.not_leader(status.leader));
        }
        for crash in self.crashes.record_answer(newest, replica, Instant::now()) {
            let [charge, clear] = clear_commands(&crash);
            // The log keeps their order, so no crash is cleared unless its account goes on counting it.
            self.replica.submit(Request::Change(Command::Settle(charge)), Box::new(|_| {}));
            // The gateways learn of it from the log.
            let respond = Box::new(move |response| {
                let is_stored = matches!(response, Response::Changed(Output::Done));
                let CrashRecord { request, replica, .. } = crash;
                emit!(Event::CrashCleared; content = request, replica = replica, stored = is_stored);
            });
            self.replica.submit(Request::Change(Command::Settle(clear)), respond);
        }
        responder.send(LedgerResponse::Noted);
    }

    fn answer(&self, response: Response) -> LedgerResponse {
        match response {
            Response::Reserved { reservation, history, is_under_way } => {
                let (decision, permit) = (None, None);
                LedgerResponse::Reserved { reservation, history, decision, is_under_way, permit }
            }
            Response::Changed(Output::Done) => LedgerResponse::Settled,
            Response::NoRoom => LedgerResponse::Noted,
            Response::NotLeader(leader) => self.not_leader(leader),
            _ => LedgerResponse::Unavailable,
        }
    }

    /// Places waiting turns once others have ended, and periodically. Runs until the process ends.
    pub async fn run_placement(self) {
        loop {
            self.turns.wait_for_work().await;
            let status = self.status.borrow().clone();
            if status.is_leader {
                self.turns.decide(&self.fleet());
            } else {
                self.turns.cancel_waiting(&self.not_leader(status.leader));
            }
            tokio::time::sleep(MIN_PLACEMENT_INTERVAL).await;
            self.turns.wait_for_capacity(PLACEMENT_INTERVAL - MIN_PLACEMENT_INTERVAL).await;
        }
    }
}

/// Runs `action` after `delay`, or immediately if the delay is zero.
fn run_after(runtime: &Handle, delay: Duration, action: impl FnOnce() + Send + 'static) {
    if delay.is_zero() {
        return action();
    }
    runtime.spawn(async move {
        tokio::time::sleep(delay).await;
        action();
    });
}

//! Answers to requests whose commands were applied or whose reads are ready.

use calicohoist_replication::{DiskError, Ticket};
use calicohoist_telemetry::{Event, emit};

use super::origins::{PendingOrigin, resolve_conflict};
use super::pending::{Outcome, PendingRequest};
use super::{GROUP, ReplicaThread, Response, ResponseCallback};
use crate::commands::{Command, Output, Reservation, ReserveTurn, is_origin};
use crate::queries;
use crate::state::{HistoryPiece, LedgerState, StoredBytes};

impl ReplicaThread {
    pub(super) fn answer_all(&mut self, ticket: Ticket, outcome: &Outcome) {
        for request in self.pending.take(ticket) {
            match request {
                PendingRequest::StoreOrigin(origin, respond) => {
                    self.finish_origin(&origin, respond, outcome.clone());
                }
                PendingRequest::Step(term) => self.clock.end_step(term),
                PendingRequest::Seal => self.sealing.end(),
                request => self.answer(request, outcome.clone()),
            }
        }
    }

    /// Answers the request to store an origin, once its conflict is stored if there is one.
    fn finish_origin(
        &mut self,
        origin: &PendingOrigin,
        respond: ResponseCallback,
        outcome: Outcome,
    ) {
        let request = PendingRequest::Change(respond);
        let state = self.node.machine(GROUP).filter(|_| matches!(outcome, Outcome::Output(_)));
        match state.and_then(|state| origin.conflict(state.turns())) {
            Some(conflict) => self.propose(Command::Settle(conflict), request),
            None => self.answer(request, outcome),
        }
    }

    pub(super) fn answer(&self, pending: PendingRequest, outcome: Outcome) {
        let output = match outcome {
            Outcome::NotLeader(leader) => return pending.callback()(Response::NotLeader(leader)),
            Outcome::Lost => return pending.callback()(Response::Lost),
            Outcome::Output(output) => Some(output),
            Outcome::ReadReady => None,
        };
        let Some(state) = self.node.machine(GROUP) else {
            return pending.callback()(Response::Lost);
        };
        match (pending, output) {
            (PendingRequest::Change(respond), Some(output)) => respond(Response::Changed(output)),
            (PendingRequest::Reserve(reserve, respond), Some(Output::Reservation(reservation))) => {
                respond(self.reservation_response(state, &reserve, reservation));
            }
            (PendingRequest::Retire(respond), Some(Output::Retiring(outcome))) => {
                respond(Response::Retiring(outcome));
            }
            (PendingRequest::ReadConfiguration { newer_than, respond }, None) => {
                let configuration = queries::configuration(state)
                    .filter(|configuration| configuration.version > newer_than);
                respond(Response::Configuration(configuration.cloned()));
            }
            (PendingRequest::Confirm(respond), None) => respond(Response::Leads(self.term())),
            (PendingRequest::ReadRetiring(name, respond), None) => {
                respond(Response::Retired(self.is_retired(state, &name)));
            }
            (pending, _) => pending.callback()(Response::Lost),
        }
    }

    fn reservation_response(
        &self,
        state: &LedgerState,
        reserve: &ReserveTurn,
        reservation: Reservation,
    ) -> Response {
        if reservation != Reservation::Granted {
            return without_history(reservation);
        }
        // A gateway that keeps a turn for longer does not need its history.
        if reserve.previous.as_ref() == Some(&reserve.turn) && !is_origin(&reserve.turn) {
            return without_history(reservation);
        }
        // A conflict may have been stored after the request was proposed.
        let previous = resolve_conflict(state.turns(), reserve.previous.as_ref());
        let Some(pieces) = queries::history(state, previous.as_ref()) else {
            // The previous turn expired after the reservation was applied.
            return without_history(Reservation::NoSuchTurn);
        };
        match self.read_history(&pieces) {
            Ok(history) => {
                let is_under_way = is_under_way(state, reserve);
                Response::Reserved { reservation, history, is_under_way }
            }
            Err(error) => {
                emit!(
                    Event::DiskFailed,
                    "cannot read the history of turn {}: {error}",
                    reserve.turn
                );
                Response::Lost
            }
        }
    }

    fn read_history(&self, pieces: &[HistoryPiece<'_>]) -> Result<Vec<u8>, DiskError> {
        let mut history = Vec::new();
        for piece in pieces {
            match piece {
                HistoryPiece::InMemory(bytes) => history.extend_from_slice(bytes),
                HistoryPiece::OnDisk(stored) => {
                    let length = stored.length as usize;
                    let bytes =
                        self.log.read_segment(GROUP, stored.segment, stored.offset, length)?;
                    if !stored.matches(&bytes) {
                        return Err(corrupt_segment(stored));
                    }
                    history.extend(bytes);
                }
            }
        }
        Ok(history)
    }

    /// Returns whether a retiring machine is no longer a member and the group has enough voters
    /// without it. Returns `None` if the machine is not being retired.
    fn is_retired(&self, state: &LedgerState, name: &str) -> Option<bool> {
        if !state.machines().is_retiring(name) {
            return None;
        }
        let number = state.machines().number(name);
        let raft = self.node.raft(GROUP)?;
        let membership = raft.membership();
        let is_member = membership.all().any(|replica| Some(replica.machine) == number);
        let has_enough_voters = membership.voters.len() > 2 * self.tolerated_losses;
        let is_settled = raft.is_membership_committed();
        Some(!is_member && has_enough_voters && is_settled)
    }
}

/// Returns the response to a reservation that was not granted.
pub(super) fn without_history(reservation: Reservation) -> Response {
    Response::Reserved { reservation, history: Vec::new(), is_under_way: false }
}

/// Returns whether the program of a turn has already started with another turn. Without a program
/// account, this is the case if the turn continues from another one.
fn is_under_way(state: &LedgerState, reserve: &ReserveTurn) -> bool {
    match &reserve.program {
        Some(program) => state.accounts().has_other_started_turn(program, &reserve.turn),
        None => reserve.previous.is_some(),
    }
}

fn corrupt_segment(stored: &StoredBytes) -> DiskError {
    DiskError::Corrupt {
        file: format!("segment {}", stored.segment),
        offset: usize::try_from(stored.offset).unwrap_or(usize::MAX),
        problem: "length or checksum mismatch".to_owned(),
    }
}

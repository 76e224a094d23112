//! What the replica thread does with requests: proposes commands, begins reads, and rejects what it
//! cannot take.

use std::time::Duration;

use calicohoist_replication::Raft;
use calicohoist_types::Moment;
use calicohoist_wire::encode;

use super::answers::without_history;
use super::origins::{PendingOrigin, resolve_conflict};
use super::pending::{CommandDigest, Outcome, PendingRequest};
use super::{GROUP, ReplicaThread, Request, Response, ResponseCallback, accounts};
use crate::commands::{Command, Reservation};
use crate::state::LedgerState;

/// Age above which a reservation or read is rejected; less than the timeout of gateways.
const MAX_REQUEST_AGE: Duration = Duration::from_millis(900);
/// Age above which draining or restoring a zone is rejected. After its timeout an operator may
/// have made the opposite change on another machine, which this request would undo.
const MAX_ZONE_CHANGE_AGE: Duration = Duration::from_millis(900);

impl ReplicaThread {
    pub(super) fn on_request(&mut self, request: Request, respond: ResponseCallback) {
        match request {
            Request::Change(mut command) => {
                if let Command::Settle(settle) = &mut command
                    && self.leads()
                    && !self.origins.admit(settle)
                {
                    return respond(Response::NoRoom);
                }
                let request = match PendingOrigin::of(&command) {
                    Some(origin) => PendingRequest::StoreOrigin(origin, respond),
                    None => PendingRequest::Change(respond),
                };
                self.propose(command, request);
            }
            Request::Reserve(mut reserve) => {
                self.origins.limit_extension(&mut reserve);
                let now = self.follow_leadership();
                if let Some(state) = self.node.machine(GROUP) {
                    reserve.previous = resolve_conflict(state.turns(), reserve.previous.as_ref());
                    let lag_ms = self.applied_lag_ms(now);
                    if accounts::is_rejected_at_once(state, &reserve, lag_ms) {
                        return respond(without_history(Reservation::BudgetSpent));
                    }
                    accounts::extend_rejected(state, &mut reserve);
                }
                let command = Command::Reserve(reserve.clone());
                self.propose(command, PendingRequest::Reserve(reserve, respond));
            }
            Request::Retire(name) => match self.retire_command(name) {
                Some(command) => self.propose(command, PendingRequest::Retire(respond)),
                None => self.reject(PendingRequest::Retire(respond)),
            },
            Request::ReadConfiguration { newer_than } => {
                self.read(PendingRequest::ReadConfiguration { newer_than, respond });
            }
            Request::ConfirmLeadership => self.read(PendingRequest::Confirm(respond)),
            Request::ReadRetiring(name) => self.read(PendingRequest::ReadRetiring(name, respond)),
        }
    }

    /// Returns the command to retire a machine, or `None` unless this machine is the leader and
    /// has applied all earlier retirements.
    fn retire_command(&self, name: String) -> Option<Command> {
        // The published status reflects applied entries, whereas Raft may already know of later
        // commits.
        if !self.status.is_leader {
            return None;
        }
        let machines = self.node.machine(GROUP).map(LedgerState::machines);
        let retiring = machines.map(|machines| machines.retiring_numbers()).unwrap_or_default();
        let number = machines.and_then(|machines| machines.number(&name));
        let stays = |machine: &&u32| !retiring.contains(machine) && Some(**machine) != number;
        let now = self.now();
        let standbys = self.node.raft(GROUP).map(|raft| raft.standby_machines(now));
        let standbys = standbys.unwrap_or_default();
        let remaining = self.status.machines.iter().chain(&standbys).filter(stays).count();
        let must_remain = 2 * self.tolerated_losses + 1;
        Some(Command::Retire { name, remaining, must_remain })
    }

    pub(super) fn propose(&mut self, mut command: Command, request: PendingRequest) {
        let Ok(mut encoded) = encode(&command) else {
            return self.answer(request, Outcome::Lost);
        };
        let digest = can_share_outcome(&command).then(|| CommandDigest::of(&encoded));
        let request = match digest {
            Some(digest) => self.pending.join(digest, request),
            None => Some(request),
        };
        let Some(request) = request else {
            return;
        };
        if self.leads() && !self.has_room_for(&command) {
            return request.callback()(Response::Overdue);
        }
        if self.date(&mut command) {
            drop(encoded);
            encoded = match encode(&command) {
                Ok(dated) => dated,
                Err(_) => return self.answer(request, Outcome::Lost),
            };
        }
        let ticket = self.pending.ticket();
        match (self.node.propose(GROUP, encoded, ticket), digest) {
            (Ok(()), Some(digest)) => self.pending.add_command(ticket, digest, request),
            (Ok(()), None) => self.pending.add_unshared(ticket, request),
            (Err(_), _) => self.reject(request),
        }
    }

    /// Returns the time by which the applied state lags, in ms; `None` unless this machine leads and
    /// has applied all steps of the clock.
    fn applied_lag_ms(&self, now: Moment) -> Option<u64> {
        let has_committed = self.node.raft(GROUP).is_some_and(Raft::has_committed_in_term);
        self.clock.applied_lag_ms(now).filter(|_| has_committed)
    }

    /// Writes the durations of a command as the log has them; `false` if it has none.
    fn date(&mut self, command: &mut Command) -> bool {
        let now = self.follow_leadership();
        accounts::extend_account(command, self.charges);
        self.clock.date(command, now)
    }

    /// Returns whether a command may be proposed. Retained turns wait while a quorum is slow, one of
    /// any size if nothing else does, and while many are to be sealed; they would fill the memory of
    /// all machines.
    fn has_room_for(&self, command: &Command) -> bool {
        let bytes = match command {
            Command::Settle(settle) => settle.content_bytes(),
            _ => 0,
        };
        if bytes == 0 {
            return true;
        }
        let uncommitted = self.node.raft(GROUP).map_or(0, Raft::uncommitted_bytes);
        let next = uncommitted + bytes;
        (uncommitted == 0 || next <= self.plan.uncommitted)
            && self.sealing.has_room(self.unsealed_bytes(), next as u64)
    }

    fn read(&mut self, request: PendingRequest) {
        let ticket = self.pending.ticket();
        match self.node.read(GROUP, ticket) {
            Ok(()) => self.pending.add_unshared(ticket, request),
            Err(_) => self.reject(request),
        }
    }

    pub(super) fn reject(&mut self, pending: PendingRequest) {
        if matches!(pending, PendingRequest::Seal) {
            return self.sealing.end();
        }
        let leader = self.node.leader_machine(GROUP);
        let leader = leader.filter(|leader| *leader != self.node.id().machine);
        self.answer(pending, Outcome::NotLeader(leader));
    }

    pub(super) fn propose_without_reply(&mut self, command: Command) {
        self.propose(command, PendingRequest::Change(Box::new(|_| {})));
    }
}

/// Returns whether the requester has timed out. Gateways do not give up on settling turns.
pub(super) fn is_overdue(request: &Request, age: Duration) -> bool {
    match request {
        Request::Reserve(_) | Request::ReadConfiguration { .. } | Request::ConfirmLeadership => {
            age > MAX_REQUEST_AGE
        }
        Request::Change(Command::DrainZone { .. } | Command::RestoreZone { .. }) => {
            age > MAX_ZONE_CHANGE_AGE
        }
        Request::Change(_) | Request::Retire(_) | Request::ReadRetiring(_) => false,
    }
}

/// Returns whether a command may share the outcome of an identical pending one.
///
/// Draining or restoring a zone may not: the opposite command may be in the log between the two,
/// and the later request would be acknowledged although its effect was undone.
fn can_share_outcome(command: &Command) -> bool {
    !matches!(command, Command::DrainZone { .. } | Command::RestoreZone { .. })
}

//! Timeouts and periodic retries of calls.

use std::time::Duration;

use calicohoist_types::{Moment, NotRunReason};

use crate::core::Gateway;
use crate::core::call::{Phase, WaitReason};
use crate::core::message::{BackendFailure, FailureCause};

/// Timeout of a lookup at a replica.
const LOOKUP_TIMEOUT: Duration = Duration::from_secs(5);

/// An action that is due for a call.
enum DueAction {
    RequestAdmission,
    WaitExpired(WaitReason),
    Route,
    Enqueue,
    QueueTimedOut(NotRunReason),
    Stalled,
    LookupTimedOut,
    RefuseWaiting,
    Interrupt,
}

impl Gateway {
    pub(in crate::core) fn tick_calls(&mut self, now: Moment) {
        let ids: Vec<u64> = self.calls.keys().copied().collect();
        for id in ids {
            if let Some(due) = self.due_action(now, id) {
                self.run_due_action(now, id, due);
            }
        }
    }

    fn due_action(&self, now: Moment, id: u64) -> Option<DueAction> {
        let call = self.calls.get(&id)?;
        if let Some(due) = self.due_at_stop(now, &call.phase) {
            return Some(due);
        }
        let queue_timed_out = now.since(call.arrived_at) >= self.settings.queue_timeout;
        match &call.phase {
            Phase::WaitingForTurn { deadline, reason, .. } if now >= *deadline => {
                Some(DueAction::WaitExpired(*reason))
            }
            Phase::WaitingForTurn { retry_at, .. } if now >= *retry_at => {
                Some(DueAction::RequestAdmission)
            }
            Phase::Routing { .. } if queue_timed_out => {
                Some(DueAction::QueueTimedOut(NotRunReason::NoBackend))
            }
            Phase::Routing { retry_at } if now >= *retry_at => Some(DueAction::Route),
            Phase::Queued { .. } if queue_timed_out => {
                Some(DueAction::QueueTimedOut(NotRunReason::Overloaded))
            }
            Phase::Queued { retry_at, owner, engine } => {
                let owner_changed = self.view.owner_of(engine).as_ref() != Some(owner);
                (now >= *retry_at || owner_changed).then_some(DueAction::Enqueue)
            }
            Phase::Running { last_progress }
                if now.since(*last_progress) >= self.settings.stall_timeout =>
            {
                Some(DueAction::Stalled)
            }
            Phase::LookingUp { sent_at } if now.since(*sent_at) >= LOOKUP_TIMEOUT => {
                Some(DueAction::LookupTimedOut)
            }
            _ => None,
        }
    }

    /// Returns what a planned stop demands of a call.
    fn due_at_stop(&self, now: Moment, phase: &Phase) -> Option<DueAction> {
        if self.stop.is_some_and(|stop| stop.is_over(now)) {
            return Some(DueAction::Interrupt);
        }
        if self.has_time_for_attempt(now) {
            return None;
        }
        match phase {
            Phase::WaitingForTurn { .. } => Some(DueAction::RefuseWaiting),
            Phase::Routing { .. } | Phase::Queued { .. } => {
                Some(DueAction::QueueTimedOut(NotRunReason::ShuttingDown))
            }
            _ => None,
        }
    }

    fn run_due_action(&mut self, now: Moment, id: u64, due: DueAction) {
        match due {
            DueAction::RequestAdmission => self.request_admission(now, id),
            DueAction::WaitExpired(WaitReason::SameCall) => {
                self.fail_unknown(now, id, FailureCause::StillRunning);
            }
            DueAction::WaitExpired(WaitReason::Lease) => {
                self.fail_unknown(now, id, FailureCause::StoreUnavailable);
            }
            DueAction::WaitExpired(_) => self.refuse(now, id, NotRunReason::SequenceGap),
            DueAction::Route => self.route(now, id),
            DueAction::Enqueue => self.enqueue_at_current_owner(now, id),
            DueAction::QueueTimedOut(reason) => {
                self.release_slot(now, id);
                self.close(now, id, reason);
            }
            DueAction::Stalled => {
                self.cancel_on_engine(id);
                self.on_attempt_failed(now, id, BackendFailure::Broken);
            }
            DueAction::RefuseWaiting => self.refuse_waiting(now, id),
            DueAction::Interrupt => self.interrupt(now, id),
            DueAction::LookupTimedOut => self.on_attempt_failed(now, id, BackendFailure::NotSeen),
        }
    }

    /// Repeats the slot request to the engine's current owner.
    fn enqueue_at_current_owner(&mut self, now: Moment, id: u64) {
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        if let Phase::Queued { engine, owner, .. } = &mut call.phase {
            match self.view.owner_of(engine) {
                Some(current) => *owner = current,
                None => return,
            }
        }
        self.enqueue(now, id);
    }
}

//! Timeouts and periodic retries of calls.

use std::time::Duration;

use calicohoist_types::{Moment, NotRunReason};

use crate::core::Gateway;
use crate::core::call::{Phase, Waiting};
use crate::core::message::{BackendFailure, FailureCause};

/// Timeout of a lookup at a replica.
const LOOK_UP_TIMEOUT: Duration = Duration::from_secs(5);

/// An action that is due for a call.
enum Due {
    Begin,
    StopWaiting(Waiting),
    Route,
    Enqueue,
    CloseQueued(NotRunReason),
    Stalled,
    LookUpFailed,
}

impl Gateway {
    pub(in crate::core) fn tick_calls(&mut self, now: Moment) {
        let ids: Vec<u64> = self.calls.keys().copied().collect();
        for id in ids {
            if let Some(due) = self.what_is_due(now, id) {
                self.perform_due(now, id, due);
            }
        }
    }

    fn what_is_due(&self, now: Moment, id: u64) -> Option<Due> {
        let call = self.calls.get(&id)?;
        let has_waited_long = now.since(call.since) >= self.settings.queue_timeout;
        match &call.phase {
            Phase::WaitingTurn { until, what, .. } if now >= *until => {
                Some(Due::StopWaiting(*what))
            }
            Phase::WaitingTurn { again_at, .. } if now >= *again_at => Some(Due::Begin),
            Phase::Routing { .. } if has_waited_long => {
                Some(Due::CloseQueued(NotRunReason::NoBackend))
            }
            Phase::Routing { again_at } if now >= *again_at => Some(Due::Route),
            Phase::Queued { .. } if has_waited_long => {
                Some(Due::CloseQueued(NotRunReason::Overloaded))
            }
            Phase::Queued { again_at, owner, engine } => {
                let owner_changed = self.view.owner_of(engine).as_ref() != Some(owner);
                (now >= *again_at || owner_changed).then_some(Due::Enqueue)
            }
            Phase::Running { progress } if now.since(*progress) >= self.settings.stall_timeout => {
                Some(Due::Stalled)
            }
            Phase::LookingUp { since } if now.since(*since) >= LOOK_UP_TIMEOUT => {
                Some(Due::LookUpFailed)
            }
            _ => None,
        }
    }

    fn perform_due(&mut self, now: Moment, id: u64, due: Due) {
        match due {
            Due::Begin => self.begin(now, id),
            Due::StopWaiting(Waiting::SameCall) => {
                self.fail_unknown(now, id, FailureCause::StillRunning);
            }
            Due::StopWaiting(Waiting::Lease) => {
                self.fail_unknown(now, id, FailureCause::StoreUnavailable);
            }
            Due::StopWaiting(_) => self.refuse(now, id, NotRunReason::SequenceGap),
            Due::Route => self.route(now, id),
            Due::Enqueue => self.enqueue_at_owner(now, id),
            Due::CloseQueued(reason) => {
                self.release_slot(now, id);
                self.close(now, id, reason);
            }
            Due::Stalled => {
                self.cancel_on_engine(id);
                self.on_attempt_failed(now, id, BackendFailure::Broken);
            }
            Due::LookUpFailed => self.on_attempt_failed(now, id, BackendFailure::NotSeen),
        }
    }

    /// Repeats the slot request to the engine's current owner.
    fn enqueue_at_owner(&mut self, now: Moment, id: u64) {
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

//! Back-end events, retries, and recovery of attempts of other gateways.

use calicohoist_quarantine::MAX_CRASHES;
use calicohoist_scheduler::backoff;
use calicohoist_store::broken_rules::{Rule, is_broken};
use calicohoist_store::commands::program::ProgramCommand;
use calicohoist_store::state::programs::{Backend, StoredAnswer};
use calicohoist_telemetry::{Event, emit};
use calicohoist_types::{AttemptId, Moment};
use rand::RngExt;

use super::route::{engine_task, service_task};
use crate::core::call::{Phase, Target};
use crate::core::message::{Action, BackendEvent, BackendFailure, FailureCause};
use crate::core::metrics::ATTEMPTS_FAILED;
use crate::core::{Gateway, PendingRequest};

impl Gateway {
    pub(in crate::core) fn on_backend_event(
        &mut self,
        now: Moment,
        attempt: AttemptId,
        event: BackendEvent,
    ) {
        // Ignore events of attempts that were replaced.
        let Some(id) = self.by_attempt.get(&attempt).copied() else {
            return;
        };
        let Some(call) = self.calls.get(&id) else {
            return;
        };
        if !matches!(call.phase, Phase::Running { .. } | Phase::LookingUp { .. }) {
            return;
        }
        match event {
            BackendEvent::Text { offset, text } => self.on_text(now, id, offset, &text),
            BackendEvent::Done { finish_reason, usage } => {
                let answer = StoredAnswer {
                    text: call.text.clone(),
                    finish_reason,
                    usage,
                    backend: match &call.target {
                        Some(target) => target.backend.clone(),
                        None => return,
                    },
                };
                self.complete(now, id, answer);
            }
            BackendEvent::Failed(failure) => self.on_attempt_failed(now, id, failure),
        }
    }

    fn on_text(&mut self, now: Moment, id: u64, offset: usize, text: &str) {
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        let known_len = call.text.len();
        if offset > known_len
            || call.text.get(offset..) != text.get(..known_len - offset.min(known_len))
        {
            // A gap, or text that differs from the text received before.
            emit!(
                Event::FrameMismatch,
                "{:?}: text differs or has a gap at byte {offset}",
                call.attempt
            );
            return self.on_attempt_failed(now, id, BackendFailure::Broken);
        }
        call.text.push_str(&text[known_len - offset..]);
        call.phase = Phase::Running { last_progress: now };
        self.forward_text(now, id);
    }

    pub(super) fn on_attempt_failed(&mut self, now: Moment, id: u64, failure: BackendFailure) {
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        emit!(
            Event::AttemptFailed,
            "{:?}: {failure:?}",
            call.attempt.as_ref().map(AttemptId::to_string)
        );
        ATTEMPTS_FAILED.inc(failure.as_str());
        let was_lookup = matches!(call.phase, Phase::LookingUp { .. });
        if let Some(target) =
            call.target.as_ref().filter(|_| failure != BackendFailure::NothingToResume)
        {
            call.excluded.insert(backend_name(&target.backend));
        }
        let repeatable = call.admission.as_ref().is_some_and(|admission| admission.repeatable)
            || is_broken(Rule::RepeatOnlyRepeatable);
        // An attempt that resumes a stream runs nothing itself, but the earlier
        // attempt may have run.
        let is_resumption = call.resumes.is_some();
        let never_sent = match failure {
            BackendFailure::NotStarted => !was_lookup && (repeatable || !is_resumption),
            BackendFailure::NothingToResume => repeatable,
            _ => false,
        };
        let was_received = !never_sent || is_resumption;
        call.lost_back_ends += usize::from(was_received);
        let may_run_again = !was_received || call.lost_back_ends < MAX_CRASHES;
        self.release_slot(now, id);
        let may_retry =
            may_run_again && (never_sent || (repeatable && !was_lookup && self.retries.withdraw()));
        if may_retry {
            self.retry(now, id, never_sent);
        } else {
            self.give_up(now, id, FailureCause::BackendLost);
        }
    }

    /// Requests another attempt from the store.
    pub(super) fn retry(&mut self, now: Moment, id: u64, never_sent: bool) {
        self.release_slot(now, id);
        let by = self.settings.node.clone();
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        let Some(attempt) = call.attempt.clone() else {
            return;
        };
        call.phase = Phase::Retrying;
        call.resumes = None;
        let program = attempt.call.program.clone();
        let command = ProgramCommand::Retry { attempt, by, never_sent };
        self.send_command(now, PendingRequest::Call(id), &program, command);
    }

    pub(super) fn start_retry(&mut self, now: Moment, id: u64, next: AttemptId) {
        let jitter = self.random.random::<f64>();
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        if let Some(old) = call.attempt.replace(next.clone()) {
            self.by_attempt.remove(&old);
        }
        self.by_attempt.insert(next.clone(), id);
        call.target = None;
        call.phase = Phase::Routing { retry_at: now + backoff(next.number - 1, jitter) };
        if let Some(admission) = &mut call.admission {
            admission.attempt = next;
        }
    }

    /// Recovers an attempt that another gateway may have sent.
    pub(super) fn recover_attempt(&mut self, now: Moment, id: u64, backend: Backend) {
        let address = match &backend {
            Backend::Engine(engine) => self.view.engine(engine).map(|spec| spec.address),
            Backend::Replica(name) => self.view.replica(name).map(|spec| spec.address),
        };
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        let repeatable = call.admission.as_ref().is_some_and(|admission| admission.repeatable);
        let Some(address) = address else {
            return if repeatable {
                call.resumes = None;
                self.route(now, id)
            } else {
                self.give_up(now, id, FailureCause::BackendLost)
            };
        };
        let is_engine = matches!(backend, Backend::Engine(_));
        let target = Target { backend, address };
        match (repeatable, is_engine) {
            // The engine may still have the stream: resume it with a new dispatch record.
            (true, true) => self.dispatch(now, id, target),
            (true, false) => {
                call.resumes = None;
                self.route(now, id);
            }
            (false, true) => {
                call.target = Some(target);
                call.phase = Phase::Running { last_progress: now };
                if let Some(task) = engine_task(call) {
                    self.actions.push(Action::RunOnEngine(Box::new(task)));
                }
            }
            (false, false) => {
                call.target = Some(target);
                call.phase = Phase::LookingUp { sent_at: now };
                if let Some(task) = service_task(call, true) {
                    self.actions.push(Action::RunOnService(Box::new(task)));
                }
            }
        }
    }

    pub(super) fn give_up(&mut self, now: Moment, id: u64, cause: FailureCause) {
        self.release_slot(now, id);
        let by = self.settings.node.clone();
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        let Some(attempt) = call.attempt.clone() else {
            return;
        };
        call.phase = Phase::GivingUp;
        call.failure_cause = Some(cause);
        let program = attempt.call.program.clone();
        let command = ProgramCommand::GiveUp { attempt, by };
        self.send_command(now, PendingRequest::Call(id), &program, command);
    }

    /// Handles the cancellation of the attempt's program.
    pub(in crate::core) fn on_cancel(&mut self, now: Moment, attempt: &AttemptId) {
        let Some(id) = self.by_attempt.get(attempt).copied() else {
            return;
        };
        self.cancel_on_engine(id);
        if let Some(call) = self.calls.get_mut(&id) {
            call.cancelled = true;
        }
        self.report_recorded_outcome(now, id);
    }

    /// Cancels the running attempt on its engine.
    pub(super) fn cancel_on_engine(&mut self, id: u64) {
        let Some(call) = self.calls.get(&id) else {
            return;
        };
        let is_running = matches!(call.phase, Phase::Running { .. });
        if let (true, Some(target), Some(attempt)) = (is_running, &call.target, &call.attempt)
            && matches!(target.backend, Backend::Engine(_))
        {
            self.actions.push(Action::CancelOnEngine {
                attempt: call.resumes.clone().unwrap_or_else(|| attempt.clone()),
                address: target.address,
            });
        }
    }
}

/// Returns the name of a back end.
pub(super) fn backend_name(backend: &Backend) -> String {
    match backend {
        Backend::Engine(engine) => engine.as_str().to_owned(),
        Backend::Replica(name) => name.clone(),
    }
}

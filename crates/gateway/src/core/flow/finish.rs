//! Storing answers, closing calls and sending results to callers.

use calicohoist_store::commands::program::{ProgramCommand, ProgramError};
use calicohoist_store::state::programs::StoredAnswer;
use calicohoist_telemetry::{Event, emit};
use calicohoist_types::{AttemptId, CallId, Moment, NotRunReason, Outcome};

use super::run::backend_name;
use crate::core::call::{Call, Phase};
use crate::core::message::{
    Action, CallerEvent, Completion, Failure, FailureCause, PeerMessage, Ticket,
};
use crate::core::metrics::CALLS_ENDED;
use crate::core::{Gateway, PendingRequest};

impl Gateway {
    /// Stores the complete answer; the caller gets its end once it is durable.
    pub(super) fn complete(&mut self, now: Moment, id: u64, answer: StoredAnswer) {
        let by = self.settings.node.clone();
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        let Some(attempt) = call.attempt.clone() else {
            return;
        };
        let is_single_call = call.is_single_call;
        call.phase = Phase::Completing;
        call.answer = Some(answer.clone());
        self.release_slot(now, id);
        let program = attempt.call.program.clone();
        let command =
            ProgramCommand::Complete { attempt, by, answer, ends_program: is_single_call };
        self.send_command(now, PendingRequest::Call(id), &program, command);
    }

    pub(super) fn finish(&mut self, now: Moment, id: u64) {
        let Some(call) = self.calls.get(&id) else {
            return;
        };
        if let (Some(attempt), Some(answer)) = (call.attempt.clone(), call.answer.clone()) {
            self.finish_stored(now, id, attempt, answer);
        }
    }

    /// Sends the rest of a stored answer and ends the call.
    pub(super) fn finish_stored(
        &mut self,
        now: Moment,
        id: u64,
        attempt: AttemptId,
        answer: StoredAnswer,
    ) {
        if let Some(call) = self.calls.get_mut(&id) {
            call.attempt.get_or_insert_with(|| attempt.clone());
            call.text = answer.text.clone();
        }
        self.forward_text(now, id);
        self.notify_admitted(id);
        let completion = Completion {
            attempt,
            finish_reason: answer.finish_reason,
            usage: answer.usage,
            backend: backend_name(&answer.backend),
        };
        self.end_call(now, id, &CallerEvent::Finished(completion));
    }

    /// Sends each listener the text that it has not received.
    ///
    /// Sends nothing before there is text, because until then a failure can
    /// still set the HTTP status.
    pub(super) fn forward_text(&mut self, _now: Moment, id: u64) {
        let has_text = self.calls.get(&id).is_some_and(|call| !call.text.is_empty());
        if !has_text {
            return;
        }
        self.notify_admitted(id);
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        for listener in &mut call.listeners {
            let unsent = call.text.get(listener.sent_bytes..).unwrap_or_default();
            if !unsent.is_empty() {
                let event = CallerEvent::Text(unsent.to_owned());
                listener.sent_bytes = call.text.len();
                self.actions.push(Action::ToCaller(listener.ticket, event));
            }
        }
    }

    fn notify_admitted(&mut self, id: u64) {
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        let Some(attempt) = &call.attempt else {
            return;
        };
        for listener in call.listeners.iter_mut().filter(|listener| !listener.admitted_sent) {
            listener.admitted_sent = true;
            let event = CallerEvent::Admitted(attempt.clone());
            self.actions.push(Action::ToCaller(listener.ticket, event));
        }
    }

    /// Closes a call whose current attempt was not dispatched.
    pub(super) fn close(&mut self, now: Moment, id: u64, reason: NotRunReason) {
        let by = self.settings.node.clone();
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        let Some(attempt) = call.attempt.clone() else {
            return;
        };
        call.phase = Phase::Closing(reason);
        let program = attempt.call.program.clone();
        let command = ProgramCommand::Close { attempt, by, reason };
        self.send_command(now, PendingRequest::Call(id), &program, command);
    }

    /// Closes the sequence number of a call that was not admitted.
    pub(super) fn refuse(&mut self, now: Moment, id: u64, reason: NotRunReason) {
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        let sequence = call.request.as_ref().and_then(|request| request.sequence);
        let Some(sequence) = sequence else {
            return self.fail_unknown(now, id, FailureCause::StillRunning);
        };
        call.phase = Phase::Closing(reason);
        let program = call.program.clone();
        let command = ProgramCommand::Refuse {
            call: CallId { program: program.clone(), sequence },
            tenant: call.tenant.clone(),
            key: call.key.clone(),
            reason,
        };
        self.send_command(now, PendingRequest::Call(id), &program, command);
    }

    pub(super) fn record_call_id(&mut self, id: u64, call_id: CallId) {
        if let Some(call) = self.calls.get_mut(&id) {
            call.attached_to.get_or_insert(call_id);
        }
    }

    pub(super) fn fail_not_run(&mut self, now: Moment, id: u64, reason: NotRunReason) {
        self.fail(now, id, Outcome::NotRun, FailureCause::NotRun(reason));
    }

    pub(super) fn fail_unknown(&mut self, now: Moment, id: u64, cause: FailureCause) {
        emit!(Event::OutcomeUnknown, "{cause:?}");
        self.release_slot(now, id);
        self.fail(now, id, Outcome::Unknown, cause);
    }

    /// Ends a call whose outcome a stopping gateway cannot await.
    ///
    /// The store keeps the attempt, so that another gateway can take it over.
    pub(super) fn interrupt(&mut self, now: Moment, id: u64) {
        self.interrupted_calls += 1;
        self.fail_unknown(now, id, FailureCause::GatewayStopped);
    }

    pub(super) fn fail_given_up(&mut self, now: Moment, id: u64) {
        let cause = self.calls.get_mut(&id).and_then(|call| call.failure_cause.take());
        self.fail_unknown(now, id, cause.unwrap_or(FailureCause::BackendLost));
    }

    /// Fails a call that the store refused to admit.
    pub(super) fn fail_refused(&mut self, now: Moment, id: u64, error: &ProgramError) {
        let (outcome, cause) = match error {
            ProgramError::KeyMismatch => (Outcome::NotRun, FailureCause::KeyMismatch),
            ProgramError::NotActive(_) => (Outcome::NotRun, FailureCause::ProgramOver),
            ProgramError::PromptTooLong(_) => (Outcome::NotRun, FailureCause::PromptTooLong),
            ProgramError::Stale => (Outcome::Unknown, FailureCause::TakenOver),
            _ => (Outcome::NotRun, FailureCause::UnknownProgram),
        };
        self.fail(now, id, outcome, cause);
    }

    pub(super) fn fail(&mut self, now: Moment, id: u64, outcome: Outcome, cause: FailureCause) {
        let call_id = self.calls.get(&id).and_then(Call::call_id);
        let failure = Failure { outcome, cause, call: call_id };
        self.end_call(now, id, &CallerEvent::Failed(failure));
    }

    fn end_call(&mut self, _now: Moment, id: u64, event: &CallerEvent) {
        let Some(call) = self.calls.remove(&id) else {
            return;
        };
        let outcome = match event {
            CallerEvent::Failed(failure) => failure.outcome,
            _ => Outcome::Completed,
        };
        CALLS_ENDED.inc(outcome.as_str());
        if let Some(attempt) = &call.attempt
            && self.by_attempt.get(attempt) == Some(&id)
        {
            self.by_attempt.remove(attempt);
        }
        for listener in call.listeners {
            self.by_ticket.remove(&listener.ticket);
            self.actions.push(Action::ToCaller(listener.ticket, event.clone()));
        }
    }

    /// Releases the call's slot or its queue entry.
    pub(super) fn release_slot(&mut self, now: Moment, id: u64) {
        let Some(call) = self.calls.get(&id) else {
            return;
        };
        let queued = match &call.phase {
            Phase::Queued { engine, .. } => Some((engine.clone(), call.attempt.clone())),
            _ => None,
        };
        let held = call.held_slot().map(|(engine, attempt)| (engine, Some(attempt)));
        let Some((engine, Some(attempt))) = held.or(queued) else {
            return;
        };
        if let Some(owner) = self.view.owner_of(&engine) {
            self.send_peer_message(now, owner, PeerMessage::Release { attempt, engine });
        }
    }

    pub(in crate::core) fn on_caller_disconnected(&mut self, ticket: Ticket) {
        let Some(id) = self.by_ticket.remove(&ticket) else {
            return;
        };
        if let Some(call) = self.calls.get_mut(&id) {
            emit!(Event::CallerGone, "{}", call.program);
            call.listeners.retain(|listener| listener.ticket != ticket);
        }
    }
}

impl Call {
    /// Returns the ID of the call, if known.
    fn call_id(&self) -> Option<CallId> {
        let attempted = self.attempt.as_ref().map(|attempt| attempt.call.clone());
        attempted.or_else(|| self.attached_to.clone())
    }
}

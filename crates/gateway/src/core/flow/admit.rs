//! Admission of calls, waiting for earlier calls, and takeover of calls.

use std::time::Duration;

use calicohoist_store::broken_rules::{Rule, is_broken};
use calicohoist_store::commands::program::{Admission, BeginCall, NewProgram, ProgramCommand};
use calicohoist_store::queries::program::{CallView, ProgramAnswer, ProgramQuery};
use calicohoist_store::state::programs::CallTarget;
use calicohoist_store::{NodeRef, StoreReply};
use calicohoist_telemetry::{Event, emit};
use calicohoist_types::{
    AttemptId, CallId, ChatMessage, IdempotencyKey, Moment, NotRunReason, Outcome, ProgramId,
    RequestId, Role, TenantId,
};
use rand::RngExt;

use crate::core::call::{Call, Listener, Phase, WaitReason};
use crate::core::message::{
    Action, CallPayload, CallRequest, CallerEvent, Failure, FailureCause, Ticket,
};
use crate::core::{Gateway, PendingRequest, program_answer};

/// Time between admission requests while a call waits.
const TURN_POLL_INTERVAL: Duration = Duration::from_millis(25);
/// Token limit of service calls, which generate no tokens.
const SERVICE_MAX_TOKENS: u64 = 0;

impl Gateway {
    pub(in crate::core) fn on_call(&mut self, now: Moment, ticket: Ticket, request: CallRequest) {
        if let Some(failure) = self.early_refusal(now, &request) {
            self.actions.push(Action::ToCaller(ticket, CallerEvent::Failed(failure)));
            return;
        }
        let is_single_call = request.program.is_none();
        let key = request.key.clone().unwrap_or_else(|| self.make_key());
        let program = request
            .program
            .clone()
            .unwrap_or_else(|| single_call_program_id(&request.tenant, &key));
        let mut call = Call::new(request.tenant.clone(), program, key, ticket, now);
        call.is_single_call = is_single_call;
        call.request = Some(request);
        let id = self.insert_call(call, ticket);
        self.request_admission(now, id);
    }

    /// Returns a failure if the request can be refused without contacting the store.
    fn early_refusal(&self, now: Moment, request: &CallRequest) -> Option<Failure> {
        let cause = if self.stop.is_some() {
            FailureCause::NotRun(NotRunReason::ShuttingDown)
        } else if self.calls.len() >= self.settings.max_calls {
            FailureCause::NotRun(NotRunReason::Overloaded)
        } else if self.view.applied().0 == 0 && !self.view.has_lease(now) {
            FailureCause::NotRun(NotRunReason::NoBackend)
        } else {
            match &request.payload {
                CallPayload::Model { model, .. } if self.view.model(model).is_none() => {
                    FailureCause::UnknownModel(model.clone())
                }
                CallPayload::Service { service, .. } if !self.view.has_service(service) => {
                    FailureCause::UnknownService(service.clone())
                }
                _ => return None,
            }
        };
        Some(Failure { outcome: outcome_before_admission(request), cause, call: None })
    }

    /// Fails a call that waits for admission when a stop leaves no time to run it.
    pub(super) fn refuse_waiting(&mut self, now: Moment, id: u64) {
        let request = self.calls.get(&id).and_then(|call| call.request.as_ref());
        match request.map(outcome_before_admission) {
            Some(outcome) => {
                self.fail(now, id, outcome, FailureCause::NotRun(NotRunReason::ShuttingDown));
            }
            None => self.fail_unknown(now, id, FailureCause::StillRunning),
        }
    }

    fn make_key(&mut self) -> IdempotencyKey {
        IdempotencyKey::new(format!("auto-{:016x}", self.random.random::<u64>()))
    }

    fn insert_call(&mut self, call: Call, ticket: Ticket) -> u64 {
        self.next_call += 1;
        let id = self.next_call;
        self.calls.insert(id, call);
        self.by_ticket.insert(ticket, id);
        id
    }

    /// Sends the admission request, or the status query of an attached call.
    pub(super) fn request_admission(&mut self, now: Moment, id: u64) {
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        call.phase = Phase::Admitting;
        if call.attached_to.is_some() {
            return self.ask_about_call(now, id);
        }
        let Some(request) = call.request.clone() else {
            return;
        };
        if !self.view.has_lease(now) && !is_broken(Rule::UseCurrentLimits) {
            // Without a lease the limits may be outdated.
            return self.wait(now, id, WaitReason::Lease, self.settings.gap_timeout);
        }
        let program = call.program.clone();
        let begin = BeginCall {
            program: program.clone(),
            create: call
                .is_single_call
                .then(|| self.new_single_call_program(id, &request))
                .flatten(),
            tenant: request.tenant.clone(),
            sequence: request.sequence,
            key: self.calls[&id].key.clone(),
            target: target_of(&request.payload),
            repeatable: request.repeatable,
            messages: messages_of(&request.payload),
            max_tokens: self.max_tokens(&request.payload),
            max_prompt_tokens: self.max_prompt_tokens(&request.payload),
            by: self.settings.node.clone(),
        };
        let command = ProgramCommand::Begin(Box::new(begin));
        self.send_command(now, PendingRequest::Call(id), &program, command);
    }

    fn new_single_call_program(&self, id: u64, request: &CallRequest) -> Option<NewProgram> {
        let call = self.calls.get(&id)?;
        let limits = self.view.tenant(&request.tenant);
        Some(NewProgram {
            id: call.program.clone(),
            parent: None,
            request: RequestId::new(call.key.as_str()),
            tenant: request.tenant.clone(),
            budget_tokens: limits.default_program_tokens,
            max_calls: 1,
            lifetime_millis: None,
        })
    }

    fn max_tokens(&self, payload: &CallPayload) -> u64 {
        match payload {
            CallPayload::Model { model, max_tokens, .. } => {
                let limit = self.view.model(model).map_or(0, |spec| spec.max_output_tokens);
                max_tokens.unwrap_or(limit).min(limit)
            }
            CallPayload::Service { .. } => SERVICE_MAX_TOKENS,
        }
    }

    fn max_prompt_tokens(&self, payload: &CallPayload) -> u64 {
        match payload {
            CallPayload::Model { model, .. } => {
                self.view.model(model).map_or(0, |spec| spec.max_prompt_tokens)
            }
            CallPayload::Service { .. } => u64::MAX,
        }
    }

    pub(super) fn wait_for_turn(&mut self, now: Moment, id: u64, is_running: bool) {
        let (reason, timeout) = if is_running {
            (WaitReason::RunningCall, self.settings.duplicate_timeout)
        } else {
            (WaitReason::EarlierCall, self.settings.gap_timeout)
        };
        self.wait(now, id, reason, timeout);
    }

    fn wait(&mut self, now: Moment, id: u64, reason: WaitReason, timeout: Duration) {
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        call.phase = Phase::WaitingForTurn {
            retry_at: now + TURN_POLL_INTERVAL,
            deadline: call.arrived_at + timeout,
            reason,
        };
    }

    /// Handles a request that is already running in this or another gateway.
    pub(super) fn on_already_running(
        &mut self,
        now: Moment,
        id: u64,
        attempt: AttemptId,
        by: &NodeRef,
    ) {
        if *by == self.settings.node {
            return match self.by_attempt.get(&attempt).copied() {
                Some(other) if other != id => self.merge_into(now, id, other),
                // The call was admitted for this gateway, but the store's reply was lost.
                _ => self.claim(now, id, attempt),
            };
        }
        if self.view.is_lease_expired(now, by) {
            emit!(Event::CallTakenOver, "{attempt} from {}", by.node);
            return self.claim(now, id, attempt);
        }
        self.wait(now, id, WaitReason::SameCall, self.settings.duplicate_timeout);
    }

    /// Moves the listeners of `id` to the call that is already running.
    fn merge_into(&mut self, now: Moment, id: u64, other: u64) {
        let Some(joining) = self.calls.remove(&id) else {
            return;
        };
        for listener in &joining.listeners {
            self.by_ticket.insert(listener.ticket, other);
        }
        if let Some(call) = self.calls.get_mut(&other) {
            call.listeners.extend(joining.listeners);
        }
        self.forward_text(now, other);
    }

    pub(super) fn claim(&mut self, now: Moment, id: u64, attempt: AttemptId) {
        let by = self.settings.node.clone();
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        call.phase = Phase::Claiming;
        call.resumes = Some(attempt.clone());
        let program = attempt.call.program.clone();
        let command = ProgramCommand::Claim { attempt, by };
        self.send_command(now, PendingRequest::Call(id), &program, command);
    }

    pub(super) fn on_admitted(&mut self, now: Moment, id: u64, admission: Box<Admission>) {
        let attempt = admission.attempt.clone();
        let previous = admission.previous.clone();
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        self.by_attempt.insert(attempt.clone(), id);
        // Which of the attempts of another gateway were received is not recorded.
        call.lost_back_ends = attempt.number.saturating_sub(1) as usize;
        call.attempt = Some(attempt);
        call.admission = Some(admission);
        if previous.is_none() {
            // No attempt was sent, so there is no stream to resume.
            call.resumes = None;
        }
        self.retries.deposit();
        self.forward_text(now, id);
        match previous {
            Some(backend) => self.recover_attempt(now, id, backend),
            None => self.route(now, id),
        }
    }

    pub(in crate::core) fn on_attach(
        &mut self,
        now: Moment,
        ticket: Ticket,
        tenant: TenantId,
        call_id: CallId,
        offset: usize,
    ) {
        let offset = if is_broken(Rule::ResumeAtOffset) { 0 } else { offset };
        let is_same = |call: &Call| {
            let attempt = call.attempt.as_ref();
            call.tenant == tenant && attempt.is_some_and(|attempt| attempt.call == call_id)
        };
        let running = self.calls.iter().find(|(_, call)| is_same(call)).map(|(id, _)| *id);
        if let Some(id) = running {
            self.by_ticket.insert(ticket, id);
            if let Some(call) = self.calls.get_mut(&id) {
                call.listeners.push(Listener { ticket, sent_bytes: offset, admitted_sent: false });
            }
            return self.forward_text(now, id);
        }
        let key = self.make_key();
        let mut call = Call::new(tenant, call_id.program.clone(), key, ticket, now);
        call.attached_to = Some(call_id);
        call.listeners[0].sent_bytes = offset;
        let id = self.insert_call(call, ticket);
        self.request_admission(now, id);
    }

    /// Queries and reports the recorded outcome after the record changed elsewhere.
    pub(super) fn report_recorded_outcome(&mut self, now: Moment, id: u64) {
        self.release_slot(now, id);
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        call.phase = Phase::Admitting;
        if let Some(attempt) = call.attempt.take() {
            self.by_attempt.remove(&attempt);
            call.attached_to = Some(attempt.call);
        }
        if call.attached_to.is_none() {
            return self.fail_unknown(now, id, FailureCause::TakenOver);
        }
        self.ask_about_call(now, id);
    }

    fn ask_about_call(&mut self, now: Moment, id: u64) {
        let Some(call) = self.calls.get(&id) else {
            return;
        };
        let Some(call_id) = call.attached_to.clone() else {
            return;
        };
        let group = self.groups.group_of(&call_id.program);
        let query = ProgramQuery::Call { call: call_id, tenant: call.tenant.clone() };
        self.send_query(now, PendingRequest::Attach(id), group, query);
    }

    pub(in crate::core) fn on_attach_answer(
        &mut self,
        now: Moment,
        id: u64,
        reply: Option<StoreReply>,
    ) {
        match program_answer(reply) {
            None => self.fail_unknown(now, id, FailureCause::StoreUnavailable),
            Some(ProgramAnswer::Call(view)) => self.on_call_view(now, id, view),
            Some(_) => self.fail(now, id, Outcome::NotRun, FailureCause::UnknownProgram),
        }
    }

    fn on_call_view(&mut self, now: Moment, id: u64, view: CallView) {
        let Some(call_id) = self.calls.get(&id).and_then(|call| call.attached_to.clone()) else {
            return;
        };
        let attempt = AttemptId { call: call_id, number: view.attempts };
        match (view.outcome, view.answer) {
            (Some(Outcome::Completed), Some(answer)) => {
                self.finish_stored(now, id, attempt, answer);
            }
            (Some(Outcome::NotRun), _) => {
                let reason = view.reason.unwrap_or(NotRunReason::ProgramEnded);
                self.fail_not_run(now, id, reason);
            }
            (Some(_), _) => self.fail_unknown(now, id, FailureCause::BackendLost),
            (None, _) => self.on_already_running(now, id, attempt, &view.by),
        }
    }
}

/// Returns the outcome of a request that was not admitted.
///
/// A request with the caller's idempotency key may be a resend of one that ran, so only a request
/// without a key is certain not to have run.
fn outcome_before_admission(request: &CallRequest) -> Outcome {
    if request.key.is_some() { Outcome::Unknown } else { Outcome::NotRun }
}

/// Returns the ID of a single-call program; resends get the same ID.
fn single_call_program_id(tenant: &TenantId, key: &IdempotencyKey) -> ProgramId {
    let digest = calicohoist_types::Digest::of(format!("{tenant}\n{key}").as_bytes());
    ProgramId::new(format!("call-{:016x}", digest.prefix()))
}

fn target_of(payload: &CallPayload) -> CallTarget {
    match payload {
        CallPayload::Model { model, .. } => CallTarget::Model(model.clone()),
        CallPayload::Service { service, .. } => CallTarget::Service(service.clone()),
    }
}

fn messages_of(payload: &CallPayload) -> Vec<ChatMessage> {
    match payload {
        CallPayload::Model { messages, .. } => messages.clone(),
        CallPayload::Service { input, .. } => vec![ChatMessage::new(Role::User, input)],
    }
}

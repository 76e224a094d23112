//! Commands that change programs and their calls.
//!
//! The states of a call are `Admitted → Dispatched → Completed`; before dispatch it can also
//! be closed as *not run*, and a dispatched call whose answer is lost becomes *unknown*.
//! Every transition carries its attempt and gateway, so that commands of a gateway whose call
//! was taken over are rejected as stale.

use calicohoist_types::{
    AttemptId, CallId, ChatMessage, EngineId, HistoryDigest, IdempotencyKey, NotRunReason,
    ProgramId, RequestId, TenantId,
};
use serde::{Deserialize, Serialize};

use crate::broken_rules::{Rule, is_broken};
use crate::protocol::NodeRef;
use crate::state::programs::{
    Backend, Budget, CHILD_SEPARATOR, CallRecord, CallState, CallTarget, ClosedKey, EarlierAttempt,
    MAX_CHILDREN, MAX_CLOSED_KEYS, MAX_DEPTH, ProgramRecord, ProgramShard, ProgramState,
    StoredAnswer, depth_of, root_of,
};

/// Retention period of ended programs, in milliseconds.
pub const RETENTION_MILLIS: u64 = 10 * 60 * 1_000;
/// Maximum number of programs that one housekeeping command cancels, and that it removes.
const HOUSEKEEPING_BATCH: usize = 256;

/// Parameters of a new program.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NewProgram {
    /// Id of a root program; ignored for sub-agents, whose ids are derived from the parent's.
    pub id: ProgramId,
    /// The program that starts this one, if it is a sub-agent.
    pub parent: Option<ProgramId>,
    /// Request id, used to deduplicate resends.
    pub request: RequestId,
    /// Tenant that owns the program.
    pub tenant: TenantId,
    /// Token budget of the whole tree; ignored for sub-agents.
    pub budget_tokens: u64,
    /// Maximum number of calls.
    pub max_calls: u64,
    /// Time after creation at which the program is cancelled, in milliseconds.
    pub lifetime_millis: Option<u64>,
}

/// Request to admit a call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BeginCall {
    /// The program.
    pub program: ProgramId,
    /// Program to create first if it does not exist.
    pub create: Option<NewProgram>,
    /// The caller's tenant; programs of other tenants are reported as missing.
    pub tenant: TenantId,
    /// Sequence number; `None` selects the call with the same key or else the next number.
    pub sequence: Option<u64>,
    /// Idempotency key supplied by the caller or generated for this request.
    pub key: IdempotencyKey,
    /// Target of the call.
    pub target: CallTarget,
    /// Whether the call may be executed more than once.
    pub repeatable: bool,
    /// Messages to append to the history.
    pub messages: Vec<ChatMessage>,
    /// Maximum number of tokens to generate.
    pub max_tokens: u64,
    /// Maximum prompt length of the model, in tokens.
    pub max_prompt_tokens: u64,
    /// The gateway that will run the call.
    pub by: NodeRef,
}

/// Commands for a program group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ProgramCommand {
    /// Creates a program.
    Create(NewProgram),
    /// Admits a call.
    Begin(Box<BeginCall>),
    /// Marks an attempt as possibly sent. Must be committed before the first byte is sent.
    Dispatch {
        /// The attempt.
        attempt: AttemptId,
        /// Gateway of the attempt.
        by: NodeRef,
        /// Backend that the attempt will be sent to.
        backend: Backend,
        /// Whether the attempt resumes the response of an earlier one on the same backend.
        resumes: bool,
    },
    /// Starts a new attempt after a failed one.
    Retry {
        /// The failed attempt.
        attempt: AttemptId,
        /// Gateway of the attempt.
        by: NodeRef,
        /// Whether the failed attempt is known not to have reached its backend.
        never_sent: bool,
    },
    /// Takes over a call from a gateway that has failed.
    Claim {
        /// The attempt of the failed gateway.
        attempt: AttemptId,
        /// The gateway that takes over the call.
        by: NodeRef,
    },
    /// Completes a call and stores its answer.
    Complete {
        /// The attempt.
        attempt: AttemptId,
        /// Gateway of the attempt.
        by: NodeRef,
        /// The answer.
        answer: StoredAnswer,
        /// Whether to end the program as well.
        ends_program: bool,
    },
    /// Closes a call that was not dispatched as not run.
    Close {
        /// The attempt.
        attempt: AttemptId,
        /// Gateway of the attempt.
        by: NodeRef,
        /// Reason why the call is not run.
        reason: NotRunReason,
    },
    /// Closes the key of a call that was not admitted, so that it can no longer run.
    Refuse {
        /// The call.
        call: CallId,
        /// The caller's tenant.
        tenant: TenantId,
        /// The idempotency key.
        key: IdempotencyKey,
        /// Reason why the call is not run.
        reason: NotRunReason,
    },
    /// Marks a call as unknown because the outcome of an attempt cannot be determined.
    GiveUp {
        /// The attempt.
        attempt: AttemptId,
        /// Gateway of the attempt.
        by: NodeRef,
    },
    /// Ends a program that has no running call, and cancels its sub-agents.
    End {
        /// The program.
        program: ProgramId,
        /// The caller's tenant.
        tenant: TenantId,
    },
    /// Cancels a program, its sub-agents and their running calls.
    Cancel {
        /// The program.
        program: ProgramId,
        /// The caller's tenant.
        tenant: TenantId,
    },
    /// Records that an engine has released the memory of a program.
    Released {
        /// The engine.
        engine: EngineId,
        /// The program.
        program: ProgramId,
    },
    /// Cancels programs past their deadline and removes those past the retention period.
    Housekeeping,
}

/// Parameters for running an admitted call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Admission {
    /// The attempt to run.
    pub attempt: AttemptId,
    /// Target of the call.
    pub target: CallTarget,
    /// Whether the call may be executed more than once.
    pub repeatable: bool,
    /// Full prompt: for models, the history followed by the call's messages.
    pub prompt: Vec<ChatMessage>,
    /// Number of tokens in the prompt.
    pub prompt_tokens: u64,
    /// Digest of the history followed by the call's messages.
    pub digest: HistoryDigest,
    /// Maximum number of tokens to generate, limited by the available budget.
    pub max_tokens: u64,
    /// Engines that may cache the history, with the number of tokens last recorded there.
    pub holdings: Vec<(EngineId, u64)>,
    /// Tokens computed for the program so far (attained service).
    pub attained_tokens: u64,
    /// Backend that the taken-over attempt had been dispatched to.
    pub previous: Option<Backend>,
}

/// Outcome of [`ProgramCommand::Begin`], [`ProgramCommand::Claim`] and
/// [`ProgramCommand::Refuse`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum BeginOutcome {
    /// The call was admitted and can run.
    Admitted(Box<Admission>),
    /// The call has already completed.
    Answered(AttemptId, StoredAnswer),
    /// The call was closed and will not run.
    NotRun(CallId, NotRunReason),
    /// The call may have run; its outcome is unknown.
    Unknown(AttemptId),
    /// The call is already running for another request.
    Running {
        /// The attempt.
        attempt: AttemptId,
        /// Gateway of the attempt.
        by: NodeRef,
    },
    /// An earlier call has not arrived or not finished; the request should be retried.
    NotYet {
        /// Sequence number of the next call to run.
        expected: u64,
        /// Whether a call of the program is running.
        is_running: bool,
    },
}

/// Reason why a command was rejected. Calls and budgets remain unchanged.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ProgramError {
    /// The program or call does not exist for this tenant.
    Missing,
    /// The id is in use by a program that another request created.
    Exists,
    /// The program has ended or was cancelled.
    NotActive(ProgramState),
    /// The call with this sequence number is running.
    Busy(u64),
    /// The sequence number was used with a different idempotency key.
    KeyMismatch,
    /// The attempt is not current or not in the required state.
    Stale,
    /// The call may have run and must not be retried.
    NotRepeatable,
    /// The budget does not cover another attempt.
    BudgetExhausted,
    /// An earlier attempt may have run, so the call cannot be closed as not run.
    MayHaveRun,
    /// Sub-agents are nested too deeply.
    TooDeep,
    /// The program has started too many sub-agents.
    TooManyChildren,
    /// The prompt exceeds the model's maximum length; holds its length in tokens.
    PromptTooLong(u64),
}

/// Result of a [`ProgramCommand`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ProgramOutput {
    /// The program exists under this id.
    Created(ProgramId),
    /// Outcome of admitting, claiming or refusing a call.
    Begin(BeginOutcome),
    /// The new attempt.
    Retry(AttemptId),
    /// The command succeeded.
    Done,
    /// The program was cancelled; holds the attempts that were running and their gateways.
    Cancelled(Vec<(AttemptId, NodeRef)>),
    /// The command was rejected.
    Refused(ProgramError),
}

type CommandResult = Result<ProgramOutput, ProgramError>;

impl ProgramShard {
    /// Applies a command that was proposed at `at`, in Unix milliseconds.
    pub(crate) fn apply(&mut self, at: u64, command: ProgramCommand) -> ProgramOutput {
        self.clock = self.clock.max(at);
        let result = match command {
            ProgramCommand::Create(new) => self.create(new).map(ProgramOutput::Created),
            ProgramCommand::Begin(begin) => self.begin(*begin).map(ProgramOutput::Begin),
            ProgramCommand::Dispatch { attempt, by, backend, resumes } => {
                self.dispatch(&attempt, &by, backend, resumes)
            }
            ProgramCommand::Retry { attempt, by, never_sent } => {
                self.retry(&attempt, &by, never_sent)
            }
            ProgramCommand::Claim { attempt, by } => self.claim(&attempt, by),
            ProgramCommand::Complete { attempt, by, answer, ends_program } => {
                self.complete(&attempt, &by, answer, ends_program)
            }
            ProgramCommand::Close { attempt, by, reason } => self.close(&attempt, &by, reason),
            ProgramCommand::Refuse { call, tenant, key, reason } => {
                self.refuse(call, &tenant, key, reason)
            }
            ProgramCommand::GiveUp { attempt, by } => self.give_up(&attempt, &by),
            ProgramCommand::End { program, tenant } => self.end(&program, &tenant),
            ProgramCommand::Cancel { program, tenant } => self.cancel(&program, &tenant),
            ProgramCommand::Released { engine, program } => {
                self.confirm_release(&engine, &program);
                Ok(ProgramOutput::Done)
            }
            ProgramCommand::Housekeeping => {
                self.housekeeping();
                Ok(ProgramOutput::Done)
            }
        };
        result.unwrap_or_else(ProgramOutput::Refused)
    }

    fn create(&mut self, new: NewProgram) -> Result<ProgramId, ProgramError> {
        match new.parent.clone() {
            Some(parent) => self.create_child(&parent, new),
            None => self.create_root(new),
        }
    }

    fn create_root(&mut self, new: NewProgram) -> Result<ProgramId, ProgramError> {
        if let Some(existing) = self.programs.get(&new.id) {
            // A root is listed among its own children, keyed by its creation request.
            let is_resend = existing.children.get(&new.request) == Some(&new.id);
            return if is_resend { Ok(new.id) } else { Err(ProgramError::Exists) };
        }
        let id = new.id.clone();
        let request = new.request.clone();
        self.insert_program(id.clone(), new);
        if let Some(record) = self.programs.get_mut(&id) {
            record.children.insert(request, id.clone());
        }
        Ok(id)
    }

    fn create_child(
        &mut self,
        parent: &ProgramId,
        mut new: NewProgram,
    ) -> Result<ProgramId, ProgramError> {
        let record = self.active_record_mut(parent, &new.tenant)?;
        if let Some(existing) = record.children.get(&new.request) {
            return Ok(existing.clone());
        }
        if depth_of(parent) >= MAX_DEPTH {
            return Err(ProgramError::TooDeep);
        }
        let number = record.children.len() as u64 + 1;
        if number > MAX_CHILDREN {
            return Err(ProgramError::TooManyChildren);
        }
        let id = ProgramId::new(format!("{parent}{CHILD_SEPARATOR}{number}"));
        record.children.insert(new.request.clone(), id.clone());
        new.budget_tokens = 0;
        self.insert_program(id.clone(), new);
        Ok(id)
    }

    fn insert_program(&mut self, id: ProgramId, new: NewProgram) {
        let deadline_at = new.lifetime_millis.map(|lifetime| self.clock + lifetime);
        if let Some(deadline) = deadline_at {
            self.deadlines.insert((deadline, id.clone()));
        }
        let record = ProgramRecord {
            tenant: new.tenant,
            parent: new.parent,
            state: ProgramState::Active,
            created_at: self.clock,
            deadline_at,
            budget: Budget { limit: new.budget_tokens, ..Budget::default() },
            max_calls: new.max_calls,
            next_sequence: 1,
            calls: Default::default(),
            history: Vec::new(),
            history_tokens: 0,
            digest: HistoryDigest::empty(&id),
            holdings: Default::default(),
            attained_tokens: 0,
            children: Default::default(),
        };
        self.programs.insert(id, record);
    }

    fn visible_record_mut(
        &mut self,
        program: &ProgramId,
        tenant: &TenantId,
    ) -> Result<&mut ProgramRecord, ProgramError> {
        let record = self.programs.get_mut(program);
        let visible = record.filter(|record| record.tenant == *tenant);
        visible.ok_or(ProgramError::Missing)
    }

    fn active_record_mut(
        &mut self,
        program: &ProgramId,
        tenant: &TenantId,
    ) -> Result<&mut ProgramRecord, ProgramError> {
        let record = self.visible_record_mut(program, tenant)?;
        match record.state {
            ProgramState::Active => Ok(record),
            state => Err(ProgramError::NotActive(state)),
        }
    }

    fn begin(&mut self, mut begin: BeginCall) -> Result<BeginOutcome, ProgramError> {
        if let Some(new) = begin.create.take()
            && !self.programs.contains_key(&begin.program)
        {
            self.create(new)?;
        }
        let record = self.visible_record_mut(&begin.program, &begin.tenant)?;
        let sequence = begin.sequence.unwrap_or_else(|| {
            let same_key = record.calls.iter().find(|(_, call)| call.key == begin.key);
            same_key.map_or(record.next_sequence, |(sequence, _)| *sequence)
        });
        let call = CallId { program: begin.program.clone(), sequence };
        if let Some(existing) = record.calls.get(&sequence)
            && let Some(outcome) = recorded_outcome(&call, existing, &begin.key)?
        {
            return Ok(outcome);
        }
        if let Some(reason) = refusal_reason(record) {
            return Ok(self.close_key(call, begin, reason));
        }
        if sequence > record.next_sequence && !is_broken(Rule::WaitForTurn) {
            let expected = record.next_sequence;
            let is_running = record.running_call().is_some();
            return Ok(BeginOutcome::NotYet { expected, is_running });
        }
        self.admit(call, begin)
    }

    fn admit(&mut self, call: CallId, begin: BeginCall) -> Result<BeginOutcome, ProgramError> {
        let Some(record) = self.programs.get(&call.program) else {
            return Err(ProgramError::Missing);
        };
        let is_model = matches!(begin.target, CallTarget::Model(_));
        let message_tokens: u64 = begin.messages.iter().map(ChatMessage::tokens).sum();
        let prompt_tokens = if is_model { record.history_tokens + message_tokens } else { 0 };
        if prompt_tokens > begin.max_prompt_tokens {
            return Err(ProgramError::PromptTooLong(prompt_tokens));
        }
        let available = self.budget_mut(&call.program).map_or(0, |budget| budget.available());
        let max_tokens = begin.max_tokens.min(available.saturating_sub(prompt_tokens));
        if is_model && max_tokens == 0 {
            return Ok(self.close_key(call, begin, NotRunReason::BudgetExhausted));
        }
        let reserved = if is_model { prompt_tokens + max_tokens } else { 0 };
        if let Some(budget) = self.budget_mut(&call.program) {
            budget.reserved += reserved;
        }
        let existing = self.call_mut(&call);
        let closed =
            existing.map(|existing| std::mem::take(&mut existing.closed)).unwrap_or_default();
        let previous_attempt = self.call_mut(&call).map_or(0, |existing| existing.attempt);
        let record = CallRecord {
            target: begin.target,
            repeatable: begin.repeatable,
            key: begin.key,
            attempt: previous_attempt + 1,
            by: begin.by,
            reserved,
            messages: begin.messages,
            state: CallState::Admitted,
            earlier: None,
            closed,
        };
        let program = call.program.clone();
        if let Some(program_record) = self.programs.get_mut(&program) {
            program_record.calls.insert(call.sequence, record);
        }
        self.admission(&call, None)
    }

    /// Builds the admission for the current attempt of `call`.
    fn admission(
        &self,
        call: &CallId,
        previous: Option<Backend>,
    ) -> Result<BeginOutcome, ProgramError> {
        let record = self.programs.get(&call.program).ok_or(ProgramError::Missing)?;
        let call_record = record.calls.get(&call.sequence).ok_or(ProgramError::Missing)?;
        let is_model = matches!(call_record.target, CallTarget::Model(_));
        // Services receive only the call's messages, without the history.
        let history = record.history.iter().take(if is_model { usize::MAX } else { 0 });
        let prompt: Vec<ChatMessage> = history.chain(&call_record.messages).cloned().collect();
        let message_tokens: u64 = call_record.messages.iter().map(ChatMessage::tokens).sum();
        let prompt_tokens =
            if is_model { record.history_tokens + message_tokens } else { message_tokens };
        let holdings = record.holdings.iter().map(|(engine, tokens)| (engine.clone(), *tokens));
        Ok(BeginOutcome::Admitted(Box::new(Admission {
            attempt: AttemptId { call: call.clone(), number: call_record.attempt },
            target: call_record.target.clone(),
            repeatable: call_record.repeatable,
            digest: record.digest.append_all(&call_record.messages),
            prompt,
            prompt_tokens,
            max_tokens: call_record.reserved.saturating_sub(prompt_tokens),
            holdings: holdings.collect(),
            attained_tokens: record.attained_tokens,
            previous,
        })))
    }

    /// Closes the key of `begin`, so that a delayed duplicate of the request cannot run.
    fn close_key(&mut self, call: CallId, begin: BeginCall, reason: NotRunReason) -> BeginOutcome {
        let Some(record) = self.programs.get_mut(&call.program) else {
            return BeginOutcome::NotRun(call, reason);
        };
        let closed = ClosedKey { key: begin.key.clone(), reason };
        let entry = record.calls.entry(call.sequence).or_insert_with(|| CallRecord {
            target: begin.target,
            repeatable: begin.repeatable,
            key: begin.key,
            attempt: 0,
            by: begin.by,
            reserved: 0,
            messages: Vec::new(),
            state: CallState::NotRun(reason),
            earlier: None,
            closed: Vec::new(),
        });
        push_closed_key(entry, closed);
        BeginOutcome::NotRun(call, reason)
    }

    fn refuse(
        &mut self,
        call: CallId,
        tenant: &TenantId,
        key: IdempotencyKey,
        reason: NotRunReason,
    ) -> CommandResult {
        let record = self.visible_record_mut(&call.program, tenant)?;
        if let Some(existing) = record.calls.get(&call.sequence)
            && let Some(outcome) = recorded_outcome(&call, existing, &key)?
        {
            return Ok(ProgramOutput::Begin(outcome));
        }
        let begin = BeginCall {
            program: call.program.clone(),
            create: None,
            tenant: tenant.clone(),
            sequence: Some(call.sequence),
            key,
            target: CallTarget::Service(calicohoist_types::ServiceId::new("none")),
            repeatable: true,
            messages: Vec::new(),
            max_tokens: 0,
            max_prompt_tokens: 0,
            by: NodeRef::unassigned(),
        };
        Ok(ProgramOutput::Begin(self.close_key(call, begin, reason)))
    }

    fn dispatch(
        &mut self,
        attempt: &AttemptId,
        by: &NodeRef,
        backend: Backend,
        resumes: bool,
    ) -> CommandResult {
        let program = &attempt.call.program;
        let state = self.programs.get(program).map(|record| record.state);
        let call = self.current_call_mut(attempt, by).ok_or(ProgramError::Stale)?;
        match &call.state {
            CallState::Dispatched(prior) if *prior == backend => return Ok(ProgramOutput::Done),
            CallState::Admitted => {}
            _ => return Err(ProgramError::Stale),
        }
        if state != Some(ProgramState::Active) {
            return Err(ProgramError::NotActive(state.unwrap_or(ProgramState::Ended)));
        }
        if !resumes {
            self.charge_lost_attempt(&attempt.call)?;
        }
        let call = self.current_call_mut(attempt, by).ok_or(ProgramError::Stale)?;
        call.state = CallState::Dispatched(backend.clone());
        let message_tokens: u64 = call.messages.iter().map(ChatMessage::tokens).sum();
        if let (Backend::Engine(engine), Some(record)) = (backend, self.programs.get_mut(program)) {
            record.holdings.insert(engine, record.history_tokens + message_tokens);
        }
        Ok(ProgramOutput::Done)
    }

    /// Charges the budget for an earlier attempt whose answer was lost. The attempt may have
    /// used its whole reservation, so that amount is spent; the reservation itself is kept for
    /// the next attempt.
    fn charge_lost_attempt(&mut self, call_id: &CallId) -> Result<(), ProgramError> {
        let call = self.call_mut(call_id).ok_or(ProgramError::Missing)?;
        let is_uncharged = call.earlier.as_ref().is_some_and(|earlier| !earlier.charged);
        let reserved = if is_uncharged { call.reserved } else { 0 };
        let budget = self.budget_mut(&call_id.program).ok_or(ProgramError::Missing)?;
        if budget.available() < reserved {
            return Err(ProgramError::BudgetExhausted);
        }
        if !is_broken(Rule::ChargeLostAttempts) {
            budget.spent += reserved;
        }
        let earlier = self.call_mut(call_id).and_then(|call| call.earlier.as_mut());
        if let Some(earlier) = earlier {
            earlier.charged = true;
        }
        Ok(())
    }

    fn retry(&mut self, attempt: &AttemptId, by: &NodeRef, never_sent: bool) -> CommandResult {
        let call = self.call_mut(&attempt.call).ok_or(ProgramError::Missing)?;
        let next = AttemptId { call: attempt.call.clone(), number: attempt.number + 1 };
        let is_resend = call.attempt == next.number && call.by == *by && call.is_running();
        if is_resend {
            return Ok(ProgramOutput::Retry(next));
        }
        if call.attempt != attempt.number || call.by != *by || !call.is_running() {
            return Err(ProgramError::Stale);
        }
        let was_sent = matches!(call.state, CallState::Dispatched(_)) && !never_sent;
        if was_sent && !call.repeatable && !is_broken(Rule::RepeatOnlyRepeatable) {
            return Err(ProgramError::NotRepeatable);
        }
        if let (CallState::Dispatched(backend), true) = (&call.state, was_sent) {
            call.earlier = Some(EarlierAttempt { backend: backend.clone(), charged: false });
        }
        call.attempt = next.number;
        call.state = CallState::Admitted;
        Ok(ProgramOutput::Retry(next))
    }

    fn claim(&mut self, attempt: &AttemptId, by: NodeRef) -> CommandResult {
        let call = self.call_mut(&attempt.call).ok_or(ProgramError::Missing)?;
        let previous = match &call.state {
            CallState::Dispatched(backend) | CallState::Unknown(backend) => Some(backend.clone()),
            _ => None,
        };
        let is_open = call.is_running() || matches!(call.state, CallState::Unknown(_));
        let is_resend = call.attempt == attempt.number + 1 && call.by == by && is_open;
        if !is_resend {
            if call.attempt != attempt.number || !is_open {
                return Err(ProgramError::Stale);
            }
            call.attempt += 1;
            call.by = by;
            // A non-repeatable call stays dispatched, since only its backend knows the outcome.
            if call.repeatable && call.is_running() {
                if let Some(backend) = previous.clone() {
                    call.earlier = Some(EarlierAttempt { backend, charged: false });
                }
                call.state = CallState::Admitted;
            }
        }
        self.admission(&attempt.call, previous).map(ProgramOutput::Begin)
    }

    fn complete(
        &mut self,
        attempt: &AttemptId,
        by: &NodeRef,
        answer: StoredAnswer,
        ends_program: bool,
    ) -> CommandResult {
        let program = attempt.call.program.clone();
        let call = self.call_mut(&attempt.call).ok_or(ProgramError::Missing)?;
        if call.attempt != attempt.number || call.by != *by {
            return Err(ProgramError::Stale);
        }
        match &call.state {
            CallState::Completed(_) => return Ok(ProgramOutput::Done),
            CallState::Dispatched(_) | CallState::Unknown(_) => {}
            CallState::Admitted | CallState::NotRun(_) => return Err(ProgramError::Stale),
        }
        let was_unknown = matches!(call.state, CallState::Unknown(_));
        let reserved = std::mem::take(&mut call.reserved);
        let messages = call.messages.clone();
        let is_model = matches!(call.target, CallTarget::Model(_));
        call.state = CallState::Completed(answer.clone());
        self.settle_reservation(&program, reserved, answer.usage.total());
        let Some(record) = self.programs.get_mut(&program) else {
            return Err(ProgramError::Missing);
        };
        let computed = answer.usage.total().saturating_sub(answer.usage.cached_tokens);
        record.attained_tokens += computed;
        let is_in_order = record.next_sequence == attempt.call.sequence;
        if is_in_order {
            record.next_sequence += 1;
        }
        if is_model && is_in_order && !was_unknown && !is_broken(Rule::KeepAnswers) {
            record.append_history(messages, &answer.text);
        }
        if let (Backend::Engine(engine), true) = (&answer.backend, is_model) {
            record.holdings.insert(engine.clone(), answer.usage.total());
        }
        let is_active = record.state == ProgramState::Active;
        if !is_active {
            self.schedule_releases(&program);
        } else if ends_program {
            self.finish_program(&program, ProgramState::Ended);
        }
        Ok(ProgramOutput::Done)
    }

    fn settle_reservation(&mut self, program: &ProgramId, reserved: u64, spent: u64) {
        if let Some(budget) = self.budget_mut(program) {
            budget.reserved = budget.reserved.saturating_sub(reserved);
            budget.spent += spent;
        }
    }

    fn close(&mut self, attempt: &AttemptId, by: &NodeRef, reason: NotRunReason) -> CommandResult {
        let call = self.call_mut(&attempt.call).ok_or(ProgramError::Missing)?;
        if call.state == CallState::NotRun(reason) && call.attempt == attempt.number {
            return Ok(ProgramOutput::Done);
        }
        let call = self.current_call_mut(attempt, by).ok_or(ProgramError::Stale)?;
        let skip_checks = is_broken(Rule::KeepMayHaveRun);
        if !skip_checks && !matches!(call.state, CallState::Admitted) {
            return Err(ProgramError::Stale);
        }
        if !skip_checks && call.earlier.is_some() {
            return Err(ProgramError::MayHaveRun);
        }
        let reserved = std::mem::take(&mut call.reserved);
        call.messages.clear();
        call.state = CallState::NotRun(reason);
        let key = call.key.clone();
        push_closed_key(call, ClosedKey { key, reason });
        self.settle_reservation(&attempt.call.program, reserved, 0);
        Ok(ProgramOutput::Done)
    }

    fn give_up(&mut self, attempt: &AttemptId, by: &NodeRef) -> CommandResult {
        let call = self.call_mut(&attempt.call).ok_or(ProgramError::Missing)?;
        if call.attempt != attempt.number || call.by != *by {
            return Err(ProgramError::Stale);
        }
        match &call.state {
            CallState::Dispatched(backend) => call.state = CallState::Unknown(backend.clone()),
            CallState::Admitted => {
                let earlier = call.earlier.as_ref().ok_or(ProgramError::Stale)?;
                call.state = CallState::Unknown(earlier.backend.clone());
            }
            CallState::Unknown(_) => return Ok(ProgramOutput::Done),
            _ => return Err(ProgramError::Stale),
        }
        if let Some(record) = self.programs.get_mut(&attempt.call.program)
            && record.next_sequence == attempt.call.sequence
        {
            record.next_sequence += 1;
        }
        Ok(ProgramOutput::Done)
    }

    fn end(&mut self, program: &ProgramId, tenant: &TenantId) -> CommandResult {
        let record = self.visible_record_mut(program, tenant)?;
        match record.state {
            ProgramState::Ended => return Ok(ProgramOutput::Done),
            ProgramState::Cancelled => {
                return Err(ProgramError::NotActive(ProgramState::Cancelled));
            }
            ProgramState::Active => {}
        }
        if let Some((sequence, _)) = record.running_call() {
            return Err(ProgramError::Busy(sequence));
        }
        // The results of sub-agents that are still active can no longer be used.
        self.cancel_tree(program, false);
        self.finish_program(program, ProgramState::Ended);
        Ok(ProgramOutput::Done)
    }

    fn cancel(&mut self, program: &ProgramId, tenant: &TenantId) -> CommandResult {
        self.visible_record_mut(program, tenant)?;
        Ok(ProgramOutput::Cancelled(self.cancel_tree(program, true)))
    }

    /// Cancels the sub-agents of `program`, and `program` itself if `with_root`. Returns the
    /// attempts that were running.
    fn cancel_tree(&mut self, program: &ProgramId, with_root: bool) -> Vec<(AttemptId, NodeRef)> {
        let prefix = format!("{program}{CHILD_SEPARATOR}");
        let is_in_tree =
            |id: &ProgramId| (with_root && id == program) || id.as_str().starts_with(&prefix);
        let tree = self.programs.range(program.clone()..).map(|(id, _)| id);
        let members: Vec<ProgramId> = tree
            .take_while(|id| id.as_str().starts_with(program.as_str()))
            .filter(|id| is_in_tree(id))
            .cloned()
            .collect();
        members.iter().filter_map(|member| self.cancel_program(member)).collect()
    }

    fn cancel_program(&mut self, program: &ProgramId) -> Option<(AttemptId, NodeRef)> {
        let record = self.programs.get_mut(program)?;
        if record.state != ProgramState::Active {
            return None;
        }
        let running = record.running_call().map(|(sequence, call)| {
            let attempt = AttemptId {
                call: CallId { program: program.clone(), sequence },
                number: call.attempt,
            };
            (attempt, call.by.clone())
        });
        if let Some((attempt, by)) = &running {
            // A call that was not dispatched is closed as not run. Otherwise its outcome is
            // unknown, and its reservation is kept until its gateway reports the usage.
            let closed = self.close(attempt, by, NotRunReason::ProgramCancelled);
            if closed.is_err() {
                let _ = self.give_up(attempt, by);
            }
        }
        self.finish_program(program, ProgramState::Cancelled);
        running
    }

    fn finish_program(&mut self, program: &ProgramId, state: ProgramState) {
        let clock = self.clock;
        let Some(record) = self.programs.get_mut(program) else {
            return;
        };
        record.state = state;
        if let Some(deadline) = record.deadline_at {
            self.deadlines.remove(&(deadline, program.clone()));
        }
        self.ended.insert((clock, program.clone()));
        self.schedule_releases(program);
    }

    fn schedule_releases(&mut self, program: &ProgramId) {
        let Some(record) = self.programs.get(program) else {
            return;
        };
        let engines: Vec<EngineId> = record.holdings.keys().cloned().collect();
        for engine in engines {
            self.schedule_release(engine, program.clone());
        }
    }

    fn confirm_release(&mut self, engine: &EngineId, program: &ProgramId) {
        if let Some(programs) = self.releases.get_mut(engine) {
            programs.remove(program);
            if programs.is_empty() {
                self.releases.remove(engine);
            }
        }
        if let Some(record) = self.programs.get_mut(program)
            && record.state != ProgramState::Active
        {
            record.holdings.remove(engine);
        }
    }

    fn housekeeping(&mut self) {
        let now = (self.clock, ProgramId::new(""));
        let overdue = self.deadlines.range(..now).take(HOUSEKEEPING_BATCH);
        let overdue: Vec<ProgramId> = overdue.map(|(_, program)| program.clone()).collect();
        for program in overdue {
            self.cancel_tree(&program, true);
        }
        let cutoff = (self.clock.saturating_sub(RETENTION_MILLIS), ProgramId::new(""));
        let expired: Vec<(u64, ProgramId)> =
            self.ended.range(..cutoff).take(HOUSEKEEPING_BATCH).cloned().collect();
        for (at, program) in expired {
            self.remove_ended(at, &program);
        }
    }

    /// Removes an ended program unless an engine has yet to release its memory.
    fn remove_ended(&mut self, at: u64, program: &ProgramId) {
        let holds_memory =
            self.programs.get(program).is_some_and(|record| !record.holdings.is_empty());
        if holds_memory {
            return;
        }
        self.programs.remove(program);
        self.ended.remove(&(at, program.clone()));
    }
}

impl ProgramRecord {
    fn append_history(&mut self, messages: Vec<ChatMessage>, answer: &str) {
        let reply = ChatMessage::new(calicohoist_types::Role::Assistant, answer);
        for message in messages.into_iter().chain(std::iter::once(reply)) {
            self.digest = self.digest.append(&message);
            self.history_tokens += message.tokens();
            self.history.push(message);
        }
    }
}

fn push_closed_key(call: &mut CallRecord, closed: ClosedKey) {
    if call.closed.len() >= MAX_CLOSED_KEYS {
        call.closed.remove(0);
    }
    call.closed.push(closed);
}

/// Returns the outcome that a call already recorded at this sequence number implies for
/// `key`, or `None` if `key` may be admitted.
fn recorded_outcome(
    call: &CallId,
    existing: &CallRecord,
    key: &IdempotencyKey,
) -> Result<Option<BeginOutcome>, ProgramError> {
    if let Some(closed) = existing.closed.iter().find(|closed| closed.key == *key) {
        return Ok(Some(BeginOutcome::NotRun(call.clone(), closed.reason)));
    }
    let attempt = AttemptId { call: call.clone(), number: existing.attempt };
    let has_same_key = existing.key == *key;
    match &existing.state {
        CallState::NotRun(_) => Ok(None),
        _ if !has_same_key => Err(ProgramError::KeyMismatch),
        CallState::Admitted | CallState::Dispatched(_) => {
            Ok(Some(BeginOutcome::Running { attempt, by: existing.by.clone() }))
        }
        CallState::Completed(answer) => Ok(Some(BeginOutcome::Answered(attempt, answer.clone()))),
        CallState::Unknown(_) => Ok(Some(BeginOutcome::Unknown(attempt))),
    }
}

fn refusal_reason(record: &ProgramRecord) -> Option<NotRunReason> {
    match record.state {
        ProgramState::Ended => Some(NotRunReason::ProgramEnded),
        ProgramState::Cancelled => Some(NotRunReason::ProgramCancelled),
        ProgramState::Active if record.next_sequence > record.max_calls => {
            Some(NotRunReason::TooManyCalls)
        }
        ProgramState::Active => None,
    }
}

/// Returns whether callers may use `program` as the id of a root program.
pub fn is_root_name(program: &ProgramId) -> bool {
    !program.as_str().contains(CHILD_SEPARATOR) && root_of(program) == *program
}

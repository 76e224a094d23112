//! Changes of programs and their calls.
//!
//! A call goes `Admitted → Dispatched → Completed`, or is closed as *not run*
//! before its dispatch. Every step names its attempt and gateway, so that a
//! gateway that was replaced while it was silent changes nothing any more.

use calicohoist_types::{
    AttemptId, CallId, ChatMessage, EngineId, HistoryDigest, IdempotencyKey, NotRunReason,
    ProgramId, RequestId, TenantId,
};
use serde::{Deserialize, Serialize};

use crate::broken::{Rule, is_broken};
use crate::protocol::NodeRef;
use crate::state::programs::{
    Backend, Budget, CHILD_SEPARATOR, CallRecord, CallState, CallTarget, ClosedKey, EarlierAttempt,
    MAX_CHILDREN, MAX_CLOSED_KEYS, MAX_DEPTH, ProgramRecord, ProgramShard, ProgramState,
    StoredAnswer, depth_of, root_of,
};

/// Ended programs are kept this long, in milliseconds, for callers that ask again.
pub const RETENTION_MILLIS: u64 = 10 * 60 * 1_000;
/// Most programs that one housekeeping command touches.
const HOUSEKEEPING_BATCH: usize = 256;

/// A program to create.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NewProgram {
    /// Name of a root. The name of a sub-agent is given by its parent's record.
    pub id: ProgramId,
    /// The program that starts it.
    pub parent: Option<ProgramId>,
    /// Identifies the creation across resends.
    pub request: RequestId,
    /// Its tenant.
    pub tenant: TenantId,
    /// Most tokens of the whole tree; not used for sub-agents.
    pub budget_tokens: u64,
    /// Most calls.
    pub max_calls: u64,
    /// Cancelled this long after creation, in milliseconds.
    pub lifetime_millis: Option<u64>,
}

/// A call that asks to be admitted.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BeginCall {
    /// The program.
    pub program: ProgramId,
    /// Creates the program first if it is missing.
    pub create: Option<NewProgram>,
    /// The caller's tenant; another tenant's program is as good as missing.
    pub tenant: TenantId,
    /// Place of the call; `None` takes the next.
    pub sequence: Option<u64>,
    /// The caller's key, or one made for this request.
    pub key: IdempotencyKey,
    /// What it asks for.
    pub target: CallTarget,
    /// Whether it may run more than once.
    pub repeatable: bool,
    /// Messages to add to the history.
    pub messages: Vec<ChatMessage>,
    /// Most tokens to generate.
    pub max_tokens: u64,
    /// Longest prompt the model takes, in tokens.
    pub max_prompt_tokens: u64,
    /// The gateway that will run it.
    pub by: NodeRef,
}

/// Commands for a group of programs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ProgramCommand {
    /// Creates a program.
    Create(NewProgram),
    /// Admits a call.
    Begin(Box<BeginCall>),
    /// Marks an attempt as possibly sent. Must be durable before the first byte is.
    Dispatch {
        /// The attempt.
        attempt: AttemptId,
        /// Its gateway.
        by: NodeRef,
        /// Where it will be sent.
        backend: Backend,
        /// It only asks for the rest of an attempt that was sent there before.
        resumes: bool,
    },
    /// Starts another attempt after one that failed.
    Retry {
        /// The failed attempt.
        attempt: AttemptId,
        /// Its gateway.
        by: NodeRef,
        /// The back end certainly saw nothing of it.
        never_sent: bool,
    },
    /// Takes a call over from a gateway that is gone.
    Claim {
        /// The attempt of the other gateway.
        attempt: AttemptId,
        /// The gateway that takes over.
        by: NodeRef,
    },
    /// Stores the answer.
    Complete {
        /// The attempt.
        attempt: AttemptId,
        /// Its gateway.
        by: NodeRef,
        /// The answer.
        answer: StoredAnswer,
        /// Ends the program, too.
        ends_program: bool,
    },
    /// Closes a call that was not dispatched.
    Close {
        /// The attempt.
        attempt: AttemptId,
        /// Its gateway.
        by: NodeRef,
        /// Why.
        reason: NotRunReason,
    },
    /// Closes a place for a key that was never admitted.
    Refuse {
        /// The call.
        call: CallId,
        /// The caller's tenant.
        tenant: TenantId,
        /// The key.
        key: IdempotencyKey,
        /// Why.
        reason: NotRunReason,
    },
    /// Gives up on learning what became of a dispatched attempt.
    GiveUp {
        /// The attempt.
        attempt: AttemptId,
        /// Its gateway.
        by: NodeRef,
    },
    /// Ends a program without a call under way.
    End {
        /// The program.
        program: ProgramId,
        /// The caller's tenant.
        tenant: TenantId,
    },
    /// Cancels a program with its sub-agents and calls.
    Cancel {
        /// The program.
        program: ProgramId,
        /// The caller's tenant.
        tenant: TenantId,
    },
    /// An engine confirmed that it holds nothing of a program any more.
    Released {
        /// The engine.
        engine: EngineId,
        /// The program.
        program: ProgramId,
    },
    /// Cancels programs past their deadline and forgets those that ended long ago.
    Housekeeping,
}

/// What an admitted call needs to run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Admission {
    /// The attempt to run.
    pub attempt: AttemptId,
    /// What it asks for.
    pub target: CallTarget,
    /// Whether it may run more than once.
    pub repeatable: bool,
    /// The whole prompt: the history and the call's own messages.
    pub prompt: Vec<ChatMessage>,
    /// Tokens of the whole prompt.
    pub prompt_tokens: u64,
    /// Digest of the whole prompt.
    pub digest: HistoryDigest,
    /// Most tokens to generate, cut to what the budget allows.
    pub max_tokens: u64,
    /// Engines that may hold the history, with prompt tokens last sent there.
    pub holdings: Vec<(EngineId, u64)>,
    /// Tokens computed for the program so far.
    pub attained_tokens: u64,
    /// Where an attempt that was taken over had been sent.
    pub previous: Option<Backend>,
}

/// Answer to [`ProgramCommand::Begin`] and [`ProgramCommand::Claim`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum BeginOutcome {
    /// Run it.
    Admitted(Box<Admission>),
    /// It ran before.
    Answered(AttemptId, StoredAnswer),
    /// It was closed and will not run.
    NotRun(CallId, NotRunReason),
    /// It may have run.
    Unknown(AttemptId),
    /// Another request of this call is under way.
    Running {
        /// The attempt.
        attempt: AttemptId,
        /// Its gateway.
        by: NodeRef,
    },
    /// An earlier call has not finished or not arrived; ask again.
    NotYet {
        /// The place whose turn it is.
        expected: u64,
        /// Whether the call in that place is under way.
        is_running: bool,
    },
}

/// Why a command was refused. Nothing was changed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ProgramError {
    /// There is no such program for this tenant.
    Missing,
    /// The name is taken by another creation.
    Exists,
    /// The program has ended or was cancelled.
    NotActive(ProgramState),
    /// A call is under way.
    Busy(u64),
    /// The place was used under another key.
    KeyMismatch,
    /// The attempt is not the newest one, or not under way.
    Stale,
    /// The call may not be tried again.
    NotRepeatable,
    /// The budget does not pay for another attempt.
    BudgetExhausted,
    /// An earlier attempt may have run, so the call cannot be closed as not run.
    MayHaveRun,
    /// Sub-agents are nested too deeply.
    TooDeep,
    /// The program has started too many sub-agents.
    TooManyChildren,
    /// The prompt is longer than the model takes, in tokens.
    PromptTooLong(u64),
}

/// Result of a [`ProgramCommand`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ProgramOutput {
    /// The program exists under this name.
    Created(ProgramId),
    /// What became of a call that asked to be admitted.
    Begin(BeginOutcome),
    /// The next attempt.
    Retry(AttemptId),
    /// Done.
    Done,
    /// The program was cancelled; these attempts were under way.
    Cancelled(Vec<(AttemptId, NodeRef)>),
    /// Refused.
    Refused(ProgramError),
}

type Applied = Result<ProgramOutput, ProgramError>;

impl ProgramShard {
    /// Applies one command at `at`, in milliseconds of Unix time.
    pub(crate) fn apply(&mut self, at: u64, command: ProgramCommand) -> ProgramOutput {
        self.clock = self.clock.max(at);
        let applied = match command {
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
                self.released(&engine, &program);
                Ok(ProgramOutput::Done)
            }
            ProgramCommand::Housekeeping => {
                self.housekeeping();
                Ok(ProgramOutput::Done)
            }
        };
        applied.unwrap_or_else(ProgramOutput::Refused)
    }

    fn create(&mut self, new: NewProgram) -> Result<ProgramId, ProgramError> {
        match new.parent.clone() {
            Some(parent) => self.create_child(&parent, new),
            None => self.create_root(new),
        }
    }

    fn create_root(&mut self, new: NewProgram) -> Result<ProgramId, ProgramError> {
        if let Some(existing) = self.programs.get(&new.id) {
            // The creation itself is remembered as the child "of nobody".
            let is_resend = existing.children.get(&new.request) == Some(&new.id);
            return if is_resend { Ok(new.id) } else { Err(ProgramError::Exists) };
        }
        let id = new.id.clone();
        let request = new.request.clone();
        self.insert(id.clone(), new);
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
        let record = self.active(parent, &new.tenant)?;
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
        self.insert(id.clone(), new);
        Ok(id)
    }

    fn insert(&mut self, id: ProgramId, new: NewProgram) {
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

    fn visible(
        &mut self,
        program: &ProgramId,
        tenant: &TenantId,
    ) -> Result<&mut ProgramRecord, ProgramError> {
        let found = self.programs.get_mut(program);
        let visible = found.filter(|record| record.tenant == *tenant);
        visible.ok_or(ProgramError::Missing)
    }

    fn active(
        &mut self,
        program: &ProgramId,
        tenant: &TenantId,
    ) -> Result<&mut ProgramRecord, ProgramError> {
        let record = self.visible(program, tenant)?;
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
        let record = self.visible(&begin.program, &begin.tenant)?;
        let sequence = begin.sequence.unwrap_or_else(|| {
            let same_key = record.calls.iter().find(|(_, call)| call.key == begin.key);
            same_key.map_or(record.next_sequence, |(sequence, _)| *sequence)
        });
        let call = CallId { program: begin.program.clone(), sequence };
        if let Some(known) = record.calls.get(&sequence)
            && let Some(outcome) = known_outcome(&call, known, &begin.key)?
        {
            return Ok(outcome);
        }
        if let Some(reason) = reason_to_refuse(record) {
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
        let own_tokens: u64 = begin.messages.iter().map(ChatMessage::tokens).sum();
        let prompt_tokens = if is_model { record.history_tokens + own_tokens } else { 0 };
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
        let earlier = self.call_mut(&call);
        let closed = earlier.map(|earlier| std::mem::take(&mut earlier.closed)).unwrap_or_default();
        let previous_attempt = self.call_mut(&call).map_or(0, |earlier| earlier.attempt);
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
        if let Some(found) = self.programs.get_mut(&program) {
            found.calls.insert(call.sequence, record);
        }
        self.admission(&call, None)
    }

    /// What the newest attempt of `call` needs to run.
    fn admission(
        &self,
        call: &CallId,
        previous: Option<Backend>,
    ) -> Result<BeginOutcome, ProgramError> {
        let record = self.programs.get(&call.program).ok_or(ProgramError::Missing)?;
        let found = record.calls.get(&call.sequence).ok_or(ProgramError::Missing)?;
        let is_model = matches!(found.target, CallTarget::Model(_));
        // A service gets only its own input, not the conversation.
        let history = record.history.iter().take(if is_model { usize::MAX } else { 0 });
        let prompt: Vec<ChatMessage> = history.chain(&found.messages).cloned().collect();
        let own_tokens: u64 = found.messages.iter().map(ChatMessage::tokens).sum();
        let prompt_tokens = if is_model { record.history_tokens + own_tokens } else { own_tokens };
        let holdings = record.holdings.iter().map(|(engine, tokens)| (engine.clone(), *tokens));
        Ok(BeginOutcome::Admitted(Box::new(Admission {
            attempt: AttemptId { call: call.clone(), number: found.attempt },
            target: found.target.clone(),
            repeatable: found.repeatable,
            digest: record.digest.append_all(&found.messages),
            prompt,
            prompt_tokens,
            max_tokens: found.reserved.saturating_sub(prompt_tokens),
            holdings: holdings.collect(),
            attained_tokens: record.attained_tokens,
            previous,
        })))
    }

    /// Closes `begin`'s key at its place, so that a late duplicate cannot run.
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
        remember_closed(entry, closed);
        BeginOutcome::NotRun(call, reason)
    }

    fn refuse(
        &mut self,
        call: CallId,
        tenant: &TenantId,
        key: IdempotencyKey,
        reason: NotRunReason,
    ) -> Applied {
        let record = self.visible(&call.program, tenant)?;
        if let Some(known) = record.calls.get(&call.sequence)
            && let Some(outcome) = known_outcome(&call, known, &key)?
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
            by: NodeRef::nobody(),
        };
        Ok(ProgramOutput::Begin(self.close_key(call, begin, reason)))
    }

    fn dispatch(
        &mut self,
        attempt: &AttemptId,
        by: &NodeRef,
        backend: Backend,
        resumes: bool,
    ) -> Applied {
        let program = &attempt.call.program;
        let state = self.programs.get(program).map(|record| record.state);
        let call = self.current(attempt, by).ok_or(ProgramError::Stale)?;
        match &call.state {
            CallState::Dispatched(known) if *known == backend => return Ok(ProgramOutput::Done),
            CallState::Admitted => {}
            _ => return Err(ProgramError::Stale),
        }
        if state != Some(ProgramState::Active) {
            return Err(ProgramError::NotActive(state.unwrap_or(ProgramState::Ended)));
        }
        if !resumes {
            self.charge_lost_attempt(&attempt.call)?;
        }
        let call = self.current(attempt, by).ok_or(ProgramError::Stale)?;
        call.state = CallState::Dispatched(backend.clone());
        let own: u64 = call.messages.iter().map(ChatMessage::tokens).sum();
        if let (Backend::Engine(engine), Some(record)) = (backend, self.programs.get_mut(program)) {
            record.holdings.insert(engine, record.history_tokens + own);
        }
        Ok(ProgramOutput::Done)
    }

    /// Charges the budget for an attempt that was sent and whose answer was lost:
    /// it may have used all that was set aside for it. What is set aside then
    /// covers the next attempt.
    fn charge_lost_attempt(&mut self, place: &CallId) -> Result<(), ProgramError> {
        let call = self.call_mut(place).ok_or(ProgramError::Missing)?;
        let is_uncharged = call.earlier.as_ref().is_some_and(|earlier| !earlier.charged);
        let reserved = if is_uncharged { call.reserved } else { 0 };
        let budget = self.budget_mut(&place.program).ok_or(ProgramError::Missing)?;
        if budget.available() < reserved {
            return Err(ProgramError::BudgetExhausted);
        }
        if !is_broken(Rule::ChargeLostAttempts) {
            budget.spent += reserved;
        }
        let earlier = self.call_mut(place).and_then(|call| call.earlier.as_mut());
        if let Some(earlier) = earlier {
            earlier.charged = true;
        }
        Ok(())
    }

    fn retry(&mut self, attempt: &AttemptId, by: &NodeRef, never_sent: bool) -> Applied {
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

    fn claim(&mut self, attempt: &AttemptId, by: NodeRef) -> Applied {
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
            // A request that must not run twice keeps its mark: only its back end
            // can tell what became of it.
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
    ) -> Applied {
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
        self.settle(&program, reserved, answer.usage.total());
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
            self.release_all(&program);
        } else if ends_program {
            self.finish(&program, ProgramState::Ended);
        }
        Ok(ProgramOutput::Done)
    }

    fn settle(&mut self, program: &ProgramId, reserved: u64, spent: u64) {
        if let Some(budget) = self.budget_mut(program) {
            budget.reserved = budget.reserved.saturating_sub(reserved);
            budget.spent += spent;
        }
    }

    fn close(&mut self, attempt: &AttemptId, by: &NodeRef, reason: NotRunReason) -> Applied {
        let call = self.call_mut(&attempt.call).ok_or(ProgramError::Missing)?;
        if call.state == CallState::NotRun(reason) && call.attempt == attempt.number {
            return Ok(ProgramOutput::Done);
        }
        let call = self.current(attempt, by).ok_or(ProgramError::Stale)?;
        let may_close = is_broken(Rule::KeepMayHaveRun);
        if !may_close && !matches!(call.state, CallState::Admitted) {
            return Err(ProgramError::Stale);
        }
        if !may_close && call.earlier.is_some() {
            return Err(ProgramError::MayHaveRun);
        }
        let reserved = std::mem::take(&mut call.reserved);
        call.messages.clear();
        call.state = CallState::NotRun(reason);
        let key = call.key.clone();
        remember_closed(call, ClosedKey { key, reason });
        self.settle(&attempt.call.program, reserved, 0);
        Ok(ProgramOutput::Done)
    }

    fn give_up(&mut self, attempt: &AttemptId, by: &NodeRef) -> Applied {
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

    fn end(&mut self, program: &ProgramId, tenant: &TenantId) -> Applied {
        let record = self.visible(program, tenant)?;
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
        // Sub-agents that were left running have no one to report to any more.
        self.cancel_tree(program, false);
        self.finish(program, ProgramState::Ended);
        Ok(ProgramOutput::Done)
    }

    fn cancel(&mut self, program: &ProgramId, tenant: &TenantId) -> Applied {
        self.visible(program, tenant)?;
        Ok(ProgramOutput::Cancelled(self.cancel_tree(program, true)))
    }

    /// Cancels the sub-agents of `program`, and itself if `with_root`; returns
    /// the attempts that were under way.
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
        members.iter().filter_map(|member| self.cancel_one(member)).collect()
    }

    fn cancel_one(&mut self, program: &ProgramId) -> Option<(AttemptId, NodeRef)> {
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
            // Not dispatched: it never ran. Dispatched: nobody knows yet, and the
            // reservation stays until its gateway reports what was used.
            let closed = self.close(attempt, by, NotRunReason::ProgramCancelled);
            if closed.is_err() {
                let _ = self.give_up(attempt, by);
            }
        }
        self.finish(program, ProgramState::Cancelled);
        running
    }

    fn finish(&mut self, program: &ProgramId, state: ProgramState) {
        let clock = self.clock;
        let Some(record) = self.programs.get_mut(program) else {
            return;
        };
        record.state = state;
        if let Some(deadline) = record.deadline_at {
            self.deadlines.remove(&(deadline, program.clone()));
        }
        self.ended.insert((clock, program.clone()));
        self.release_all(program);
    }

    fn release_all(&mut self, program: &ProgramId) {
        let Some(record) = self.programs.get(program) else {
            return;
        };
        let engines: Vec<EngineId> = record.holdings.keys().cloned().collect();
        for engine in engines {
            self.order_release(engine, program.clone());
        }
    }

    fn released(&mut self, engine: &EngineId, program: &ProgramId) {
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
        let due = (self.clock, ProgramId::new(""));
        let overdue = self.deadlines.range(..due).take(HOUSEKEEPING_BATCH);
        let overdue: Vec<ProgramId> = overdue.map(|(_, program)| program.clone()).collect();
        for program in overdue {
            self.cancel_tree(&program, true);
        }
        let oldest = (self.clock.saturating_sub(RETENTION_MILLIS), ProgramId::new(""));
        let old: Vec<(u64, ProgramId)> =
            self.ended.range(..oldest).take(HOUSEKEEPING_BATCH).cloned().collect();
        for (at, program) in old {
            self.forget(at, &program);
        }
    }

    /// Forgets an ended program unless an engine has still to release its memory
    /// or its tree still runs.
    fn forget(&mut self, at: u64, program: &ProgramId) {
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

fn remember_closed(call: &mut CallRecord, closed: ClosedKey) {
    if call.closed.len() >= MAX_CLOSED_KEYS {
        call.closed.remove(0);
    }
    call.closed.push(closed);
}

/// What an earlier request at the same place means for `key`; `None` when the
/// place is free for it.
fn known_outcome(
    call: &CallId,
    known: &CallRecord,
    key: &IdempotencyKey,
) -> Result<Option<BeginOutcome>, ProgramError> {
    if let Some(closed) = known.closed.iter().find(|closed| closed.key == *key) {
        return Ok(Some(BeginOutcome::NotRun(call.clone(), closed.reason)));
    }
    let attempt = AttemptId { call: call.clone(), number: known.attempt };
    let has_same_key = known.key == *key;
    match &known.state {
        CallState::NotRun(_) => Ok(None),
        _ if !has_same_key => Err(ProgramError::KeyMismatch),
        CallState::Admitted | CallState::Dispatched(_) => {
            Ok(Some(BeginOutcome::Running { attempt, by: known.by.clone() }))
        }
        CallState::Completed(answer) => Ok(Some(BeginOutcome::Answered(attempt, answer.clone()))),
        CallState::Unknown(_) => Ok(Some(BeginOutcome::Unknown(attempt))),
    }
}

fn reason_to_refuse(record: &ProgramRecord) -> Option<NotRunReason> {
    match record.state {
        ProgramState::Ended => Some(NotRunReason::ProgramEnded),
        ProgramState::Cancelled => Some(NotRunReason::ProgramCancelled),
        ProgramState::Active if record.next_sequence > record.max_calls => {
            Some(NotRunReason::TooManyCalls)
        }
        ProgramState::Active => None,
    }
}

/// Whether `program` may be chosen by a caller as the name of a root.
pub fn is_root_name(program: &ProgramId) -> bool {
    !program.as_str().contains(CHILD_SEPARATOR) && root_of(program) == *program
}

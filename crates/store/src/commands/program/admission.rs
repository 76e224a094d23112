//! Admission of calls, and calls that are refused.

use calicohoist_types::{AttemptId, CallId, ChatMessage, IdempotencyKey, NotRunReason, TenantId};

use super::{Admission, BeginCall, BeginOutcome, CommandResult, ProgramError, ProgramOutput};
use crate::broken_rules::{Rule, is_broken};
use crate::protocol::NodeRef;
use crate::state::programs::{
    Backend, CallRecord, CallState, CallTarget, ClosedKey, MAX_CLOSED_KEYS, ProgramRecord,
    ProgramShard, ProgramState,
};

impl ProgramShard {
    pub(super) fn begin(&mut self, mut begin: BeginCall) -> Result<BeginOutcome, ProgramError> {
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
    pub(super) fn admission(
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

    pub(super) fn refuse(
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
}

pub(super) fn push_closed_key(call: &mut CallRecord, closed: ClosedKey) {
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

//! Attempts of admitted calls, from dispatch to completion.

use calicohoist_types::{AttemptId, CallId, ChatMessage, NotRunReason, ProgramId};

use super::admission::push_closed_key;
use super::{CommandResult, ProgramError, ProgramOutput};
use crate::broken_rules::{Rule, is_broken};
use crate::protocol::NodeRef;
use crate::state::programs::{
    Backend, CallState, CallTarget, ClosedKey, EarlierAttempt, ProgramRecord, ProgramShard,
    ProgramState, StoredAnswer,
};

impl ProgramShard {
    pub(super) fn dispatch(
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

    pub(super) fn retry(
        &mut self,
        attempt: &AttemptId,
        by: &NodeRef,
        never_sent: bool,
    ) -> CommandResult {
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

    pub(super) fn claim(&mut self, attempt: &AttemptId, by: NodeRef) -> CommandResult {
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

    pub(super) fn complete(
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

    pub(super) fn close(
        &mut self,
        attempt: &AttemptId,
        by: &NodeRef,
        reason: NotRunReason,
    ) -> CommandResult {
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

    pub(super) fn give_up(&mut self, attempt: &AttemptId, by: &NodeRef) -> CommandResult {
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

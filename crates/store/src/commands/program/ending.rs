//! The end of programs: by their callers, past their deadline, and once nothing is kept of them.

use calicohoist_types::{AttemptId, CallId, EngineId, NotRunReason, ProgramId, TenantId};

use super::{CommandResult, HOUSEKEEPING_BATCH, ProgramError, ProgramOutput, RETENTION_MILLIS};
use crate::protocol::NodeRef;
use crate::state::programs::{CHILD_SEPARATOR, ProgramShard, ProgramState};

impl ProgramShard {
    pub(super) fn end(&mut self, program: &ProgramId, tenant: &TenantId) -> CommandResult {
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

    pub(super) fn cancel(&mut self, program: &ProgramId, tenant: &TenantId) -> CommandResult {
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

    pub(super) fn finish_program(&mut self, program: &ProgramId, state: ProgramState) {
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

    pub(super) fn schedule_releases(&mut self, program: &ProgramId) {
        let Some(record) = self.programs.get(program) else {
            return;
        };
        let engines: Vec<EngineId> = record.holdings.keys().cloned().collect();
        for engine in engines {
            self.schedule_release(engine, program.clone());
        }
    }

    pub(super) fn confirm_release(&mut self, engine: &EngineId, program: &ProgramId) {
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

    pub(super) fn housekeeping(&mut self) {
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

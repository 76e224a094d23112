//! Creation of programs and their children.

use calicohoist_types::{HistoryDigest, ProgramId};

use super::{NewProgram, ProgramError};
use crate::state::programs::{
    Budget, CHILD_SEPARATOR, MAX_CHILDREN, MAX_DEPTH, ProgramRecord, ProgramShard, ProgramState,
    depth_of,
};

impl ProgramShard {
    pub(super) fn create(&mut self, new: NewProgram) -> Result<ProgramId, ProgramError> {
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
}

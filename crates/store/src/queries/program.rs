//! Reading programs and calls.

use calicohoist_types::{
    CallId, ChatMessage, EngineId, NotRunReason, Outcome, ProgramId, TenantId, Usage,
};
use serde::{Deserialize, Serialize};

use crate::protocol::NodeRef;
use crate::state::programs::{
    Budget, CallRecord, CallState, ProgramRecord, ProgramShard, ProgramState, StoredAnswer, root_of,
};

/// Queries for a group of programs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ProgramQuery {
    /// A program as its caller may see it.
    Get {
        /// The program.
        program: ProgramId,
        /// The caller's tenant.
        tenant: TenantId,
    },
    /// The conversation of a program.
    History {
        /// The program.
        program: ProgramId,
        /// The caller's tenant.
        tenant: TenantId,
    },
    /// One call.
    Call {
        /// The call.
        call: CallId,
        /// The caller's tenant.
        tenant: TenantId,
    },
    /// Ended programs that engines have still to release.
    Releases {
        /// The engines.
        engines: Vec<EngineId>,
        /// Most programs of one engine.
        limit: usize,
    },
    /// Which of these programs are not active.
    NotActive(Vec<ProgramId>),
}

/// Answers to [`ProgramQuery`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ProgramAnswer {
    /// There is no such program or call for this tenant.
    Missing,
    /// A program.
    Program(ProgramView),
    /// A conversation.
    History(Vec<ChatMessage>),
    /// A call.
    Call(CallView),
    /// Engines with programs to release.
    Releases(Vec<(EngineId, ProgramId)>),
    /// Programs.
    Programs(Vec<ProgramId>),
}

/// A program as its caller may see it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProgramView {
    /// Its name.
    pub id: ProgramId,
    /// Its state.
    pub state: ProgramState,
    /// The program that started it.
    pub parent: Option<ProgramId>,
    /// Place of the next call.
    pub next_sequence: u64,
    /// Tokens of its whole tree.
    pub budget: Budget,
    /// Messages in its conversation.
    pub history_messages: usize,
    /// Engines that may hold its history.
    pub engines: Vec<EngineId>,
    /// Its calls.
    pub calls: Vec<CallView>,
}

/// A call as its caller may see it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallView {
    /// Its place.
    pub sequence: u64,
    /// What became of it; `None` while it runs.
    pub outcome: Option<Outcome>,
    /// Why it was not run.
    pub reason: Option<NotRunReason>,
    /// Attempts so far.
    pub attempts: u32,
    /// The gateway that runs or ran it.
    pub by: NodeRef,
    /// The answer, when only one call was asked for.
    pub answer: Option<StoredAnswer>,
    /// Tokens used.
    pub usage: Option<Usage>,
}

impl CallView {
    fn new(sequence: u64, call: &CallRecord, with_answer: bool) -> Self {
        let (outcome, reason, answer) = match &call.state {
            CallState::Admitted | CallState::Dispatched(_) => (None, None, None),
            CallState::Completed(answer) => (Some(Outcome::Completed), None, Some(answer)),
            CallState::NotRun(reason) => (Some(Outcome::NotRun), Some(*reason), None),
            CallState::Unknown(_) => (Some(Outcome::Unknown), None, None),
        };
        Self {
            sequence,
            outcome,
            reason,
            attempts: call.attempt,
            by: call.by.clone(),
            usage: answer.map(|answer| answer.usage),
            answer: answer.filter(|_| with_answer).cloned(),
        }
    }
}

impl ProgramShard {
    pub(crate) fn answer(&self, query: ProgramQuery) -> ProgramAnswer {
        match query {
            ProgramQuery::Get { program, tenant } => self.view(&program, &tenant),
            ProgramQuery::History { program, tenant } => {
                let record = self.visible_record(&program, &tenant);
                record.map_or(ProgramAnswer::Missing, |record| {
                    ProgramAnswer::History(record.history.clone())
                })
            }
            ProgramQuery::Call { call, tenant } => self.call_view(&call, &tenant),
            ProgramQuery::Releases { engines, limit } => self.pending_releases(&engines, limit),
            ProgramQuery::NotActive(programs) => {
                let is_over = |program: &ProgramId| !self.is_active(program);
                ProgramAnswer::Programs(programs.into_iter().filter(is_over).collect())
            }
        }
    }

    fn visible_record(&self, program: &ProgramId, tenant: &TenantId) -> Option<&ProgramRecord> {
        let record = self.programs.get(program);
        record.filter(|record| record.tenant == *tenant)
    }

    fn is_active(&self, program: &ProgramId) -> bool {
        let state = self.programs.get(program).map(|record| record.state);
        state == Some(ProgramState::Active)
    }

    fn view(&self, program: &ProgramId, tenant: &TenantId) -> ProgramAnswer {
        let Some(record) = self.visible_record(program, tenant) else {
            return ProgramAnswer::Missing;
        };
        let root = self.programs.get(&root_of(program)).unwrap_or(record);
        let calls = record.calls.iter();
        ProgramAnswer::Program(ProgramView {
            id: program.clone(),
            state: record.state,
            parent: record.parent.clone(),
            next_sequence: record.next_sequence,
            budget: root.budget,
            history_messages: record.history.len(),
            engines: record.holdings.keys().cloned().collect(),
            calls: calls.map(|(sequence, call)| CallView::new(*sequence, call, false)).collect(),
        })
    }

    fn call_view(&self, call: &CallId, tenant: &TenantId) -> ProgramAnswer {
        let record = self.visible_record(&call.program, tenant);
        let found = record.and_then(|record| record.calls.get(&call.sequence));
        found.map_or(ProgramAnswer::Missing, |found| {
            ProgramAnswer::Call(CallView::new(call.sequence, found, true))
        })
    }

    fn pending_releases(&self, engines: &[EngineId], limit: usize) -> ProgramAnswer {
        let mut pending = Vec::new();
        for engine in engines {
            let programs = self.releases.get(engine).into_iter().flatten();
            pending.extend(programs.take(limit).map(|program| (engine.clone(), program.clone())));
        }
        ProgramAnswer::Releases(pending)
    }
}

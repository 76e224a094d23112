//! Queries for programs and calls.

use calicohoist_types::{
    CallId, ChatMessage, EngineId, NotRunReason, Outcome, ProgramId, TenantId, Usage,
};
use serde::{Deserialize, Serialize};

use crate::protocol::NodeRef;
use crate::state::programs::{
    Budget, CallRecord, CallState, ProgramRecord, ProgramShard, ProgramState, StoredAnswer, root_of,
};

/// Queries for a program group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ProgramQuery {
    /// Returns a program.
    Get {
        /// The program.
        program: ProgramId,
        /// The caller's tenant.
        tenant: TenantId,
    },
    /// Returns the conversation history of a program.
    History {
        /// The program.
        program: ProgramId,
        /// The caller's tenant.
        tenant: TenantId,
    },
    /// Returns a call with its answer.
    Call {
        /// The call.
        call: CallId,
        /// The caller's tenant.
        tenant: TenantId,
    },
    /// Returns ended programs whose memory the engines have yet to release.
    Releases {
        /// The engines.
        engines: Vec<EngineId>,
        /// Maximum number of programs per engine.
        limit: usize,
    },
    /// Returns those of the given programs that are not active.
    NotActive(Vec<ProgramId>),
}

/// Answers to [`ProgramQuery`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ProgramAnswer {
    /// The program or call does not exist for this tenant.
    Missing,
    /// A program.
    Program(ProgramView),
    /// A conversation history.
    History(Vec<ChatMessage>),
    /// A call.
    Call(CallView),
    /// Pairs of an engine and a program whose memory it has to release.
    Releases(Vec<(EngineId, ProgramId)>),
    /// Programs that are not active.
    Programs(Vec<ProgramId>),
}

/// The caller-visible part of a program.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProgramView {
    /// Id of the program.
    pub id: ProgramId,
    /// Lifecycle state.
    pub state: ProgramState,
    /// The program that started this one, if it is a sub-agent.
    pub parent: Option<ProgramId>,
    /// Sequence number of the next call.
    pub next_sequence: u64,
    /// Token budget of the whole tree.
    pub budget: Budget,
    /// Number of messages in the history.
    pub history_messages: usize,
    /// Engines that may cache the history.
    pub engines: Vec<EngineId>,
    /// Calls, without their answers.
    pub calls: Vec<CallView>,
}

/// The caller-visible part of a call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallView {
    /// Sequence number.
    pub sequence: u64,
    /// Outcome; `None` while the call is running.
    pub outcome: Option<Outcome>,
    /// Reason why the call was not run.
    pub reason: Option<NotRunReason>,
    /// Number of attempts.
    pub attempts: u32,
    /// The gateway of the latest attempt.
    pub by: NodeRef,
    /// The answer; omitted in a [`ProgramView`].
    pub answer: Option<StoredAnswer>,
    /// Token usage of a completed call.
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
            ProgramQuery::Get { program, tenant } => self.program_view(&program, &tenant),
            ProgramQuery::History { program, tenant } => {
                let record = self.visible_record(&program, &tenant);
                record.map_or(ProgramAnswer::Missing, |record| {
                    ProgramAnswer::History(record.history.clone())
                })
            }
            ProgramQuery::Call { call, tenant } => self.call_view(&call, &tenant),
            ProgramQuery::Releases { engines, limit } => self.pending_releases(&engines, limit),
            ProgramQuery::NotActive(programs) => {
                let is_not_active = |program: &ProgramId| !self.is_active(program);
                ProgramAnswer::Programs(programs.into_iter().filter(is_not_active).collect())
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

    fn program_view(&self, program: &ProgramId, tenant: &TenantId) -> ProgramAnswer {
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
        let call_record = record.and_then(|record| record.calls.get(&call.sequence));
        call_record.map_or(ProgramAnswer::Missing, |call_record| {
            ProgramAnswer::Call(CallView::new(call.sequence, call_record, true))
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

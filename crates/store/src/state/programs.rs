//! State of programs: calls, conversation histories, token budgets and engine memory.
//!
//! A program is the sequence of dependent model and tool calls of one agent. Its sub-agents are
//! programs of their own.

use std::collections::{BTreeMap, BTreeSet};

use calicohoist_types::{
    AttemptId, CallId, ChatMessage, EngineId, HistoryDigest, IdempotencyKey, ModelId, NotRunReason,
    ProgramId, RequestId, ServiceId, TenantId, Usage,
};
use serde::{Deserialize, Serialize};

use crate::broken_rules::{Rule, is_broken};
use crate::protocol::NodeRef;

/// Separates the name of a program from the number of its sub-agent.
pub const CHILD_SEPARATOR: char = '.';
/// Maximum nesting depth of sub-agents; a root has depth 0.
pub const MAX_DEPTH: usize = 4;
/// Maximum number of direct sub-agents per program.
pub const MAX_CHILDREN: u64 = 64;
/// Maximum number of closed keys retained per call.
pub const MAX_CLOSED_KEYS: usize = 64;

/// Returns the root of the tree that `program` belongs to.
pub fn root_of(program: &ProgramId) -> ProgramId {
    let text = program.as_str();
    let root = text.split(CHILD_SEPARATOR).next().unwrap_or(text);
    ProgramId::new(root)
}

/// Returns the nesting depth of `program`.
pub fn depth_of(program: &ProgramId) -> usize {
    program.as_str().matches(CHILD_SEPARATOR).count()
}

/// Lifecycle state of a program.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ProgramState {
    /// The program accepts calls.
    Active,
    /// The program was ended by its caller.
    Ended,
    /// The program was cancelled or exceeded its deadline.
    Cancelled,
}

/// Token budget shared by a root program and all its sub-agents.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Budget {
    /// Maximum number of tokens the tree may use.
    pub limit: u64,
    /// Tokens used by finished calls or charged for lost attempts.
    pub spent: u64,
    /// Tokens reserved for running calls and calls of unknown outcome.
    pub reserved: u64,
}

impl Budget {
    /// Returns the tokens that are neither spent nor reserved.
    pub fn available(&self) -> u64 {
        self.limit.saturating_sub(self.spent + self.reserved)
    }
}

/// Target of a call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CallTarget {
    /// Text generation by a model.
    Model(ModelId),
    /// A request to a tool service.
    Service(ServiceId),
}

/// Backend that executes an attempt.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Backend {
    /// A model engine.
    Engine(EngineId),
    /// A replica of a service, identified by its resource name.
    Replica(String),
}

/// State of a call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CallState {
    /// The current attempt has not been sent to a backend.
    Admitted,
    /// The current attempt may have reached this backend.
    Dispatched(Backend),
    /// The call completed and its answer is stored.
    Completed(StoredAnswer),
    /// The call did not run and will not run under its current key.
    NotRun(NotRunReason),
    /// The outcome is unknown: the call may have run on this backend.
    Unknown(Backend),
}

/// Answer of a completed call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredAnswer {
    /// The complete text.
    pub text: String,
    /// Finish reason as defined by the OpenAI API, such as `stop` or `length`.
    pub finish_reason: String,
    /// Token usage.
    pub usage: Usage,
    /// Backend that executed the call.
    pub backend: Backend,
}

/// One call of a program.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallRecord {
    /// Target of the call.
    pub target: CallTarget,
    /// Whether the call may be executed more than once.
    pub repeatable: bool,
    /// Idempotency key of the call.
    pub key: IdempotencyKey,
    /// Number of the current attempt.
    pub attempt: u32,
    /// The gateway that runs the current attempt.
    pub by: NodeRef,
    /// Tokens reserved for the call.
    pub reserved: u64,
    /// Messages that the call appends to the history before its answer.
    pub messages: Vec<ChatMessage>,
    /// Current state.
    pub state: CallState,
    /// Latest replaced attempt that may have run.
    pub earlier: Option<EarlierAttempt>,
    /// Keys closed as not run at this sequence number.
    pub closed: Vec<ClosedKey>,
}

/// A dispatched attempt that was replaced by a later one. Its token usage is unknown.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EarlierAttempt {
    /// Backend that the attempt was sent to.
    pub backend: Backend,
    /// Whether the attempt was charged to the budget; until then the call's reservation
    /// covers it.
    pub charged: bool,
}

impl CallRecord {
    /// Returns whether the current attempt is in progress.
    pub fn is_running(&self) -> bool {
        matches!(self.state, CallState::Admitted | CallState::Dispatched(_))
    }
}

/// An idempotency key whose request was permanently refused.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClosedKey {
    /// The key.
    pub key: IdempotencyKey,
    /// Reason for the refusal.
    pub reason: NotRunReason,
}

/// Stored state of one program.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProgramRecord {
    /// Tenant that owns the program.
    pub tenant: TenantId,
    /// The program that started this one, if it is a sub-agent.
    pub parent: Option<ProgramId>,
    /// Lifecycle state.
    pub state: ProgramState,
    /// Creation time in Unix milliseconds.
    pub created_at: u64,
    /// Time in Unix milliseconds after which the program is cancelled.
    pub deadline_at: Option<u64>,
    /// Token budget of the tree; only used in the root's record.
    pub budget: Budget,
    /// Maximum number of calls.
    pub max_calls: u64,
    /// Sequence number of the next call.
    pub next_sequence: u64,
    /// Calls by sequence number.
    pub calls: BTreeMap<u64, CallRecord>,
    /// Conversation history.
    pub history: Vec<ChatMessage>,
    /// Number of tokens in the history.
    pub history_tokens: u64,
    /// Chained digest of the history.
    pub digest: HistoryDigest,
    /// Engines that may cache the history, with the number of tokens last recorded there.
    pub holdings: BTreeMap<EngineId, u64>,
    /// Tokens computed for the program so far (attained service).
    pub attained_tokens: u64,
    /// Sub-agents by the id of the request that created them. A root also lists itself here
    /// under its own creation request.
    pub children: BTreeMap<RequestId, ProgramId>,
}

impl ProgramRecord {
    /// Returns the running call and its sequence number, if any.
    pub fn running_call(&self) -> Option<(u64, &CallRecord)> {
        let last = self.calls.iter().next_back()?;
        last.1.is_running().then_some((*last.0, last.1))
    }
}

/// The programs of one group.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ProgramShard {
    pub(crate) programs: BTreeMap<ProgramId, ProgramRecord>,
    /// Ended and cancelled programs whose memory each engine has yet to release.
    pub(crate) releases: BTreeMap<EngineId, BTreeSet<ProgramId>>,
    /// Latest command timestamp, in Unix milliseconds.
    pub(crate) clock: u64,
    /// Active programs with a deadline, ordered by deadline.
    pub(crate) deadlines: BTreeSet<(u64, ProgramId)>,
    /// Ended and cancelled programs, ordered by end time.
    pub(crate) ended: BTreeSet<(u64, ProgramId)>,
}

impl ProgramShard {
    /// Returns the record of `program`.
    pub fn get(&self, program: &ProgramId) -> Option<&ProgramRecord> {
        self.programs.get(program)
    }

    /// Returns the number of stored programs, including ended ones.
    pub fn len(&self) -> usize {
        self.programs.len()
    }

    /// Returns whether no program is stored.
    pub fn is_empty(&self) -> bool {
        self.programs.is_empty()
    }

    /// Returns the latest command timestamp, in Unix milliseconds.
    pub fn clock(&self) -> u64 {
        self.clock
    }

    pub(crate) fn call_mut(&mut self, call: &CallId) -> Option<&mut CallRecord> {
        let record = self.programs.get_mut(&call.program)?;
        record.calls.get_mut(&call.sequence)
    }

    /// Returns the call of `attempt` if `attempt` is current, in progress and run by `by`.
    pub(crate) fn current_call_mut(
        &mut self,
        attempt: &AttemptId,
        by: &NodeRef,
    ) -> Option<&mut CallRecord> {
        let call = self.call_mut(&attempt.call)?;
        let is_current = call.attempt == attempt.number && call.by == *by && call.is_running();
        is_current.then_some(call)
    }

    pub(crate) fn budget_mut(&mut self, program: &ProgramId) -> Option<&mut Budget> {
        let root = root_of(program);
        self.programs.get_mut(&root).map(|record| &mut record.budget)
    }

    /// Records that `engine` must release the memory of an ended program.
    pub(crate) fn schedule_release(&mut self, engine: EngineId, program: ProgramId) {
        if !is_broken(Rule::ReleaseMemory) {
            self.releases.entry(engine).or_default().insert(program);
        }
    }
}

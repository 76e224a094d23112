//! Programs: records, calls, histories, budgets and engine memory.

use std::collections::{BTreeMap, BTreeSet};

use calicohoist_types::{
    AttemptId, CallId, ChatMessage, EngineId, HistoryDigest, IdempotencyKey, ModelId, NotRunReason,
    ProgramId, RequestId, ServiceId, TenantId, Usage,
};
use serde::{Deserialize, Serialize};

use crate::broken::{Rule, is_broken};
use crate::protocol::NodeRef;

/// Separates the names of a program and its sub-agent.
pub const CHILD_SEPARATOR: char = '.';
/// Deepest nesting of sub-agents; a root has depth 0.
pub const MAX_DEPTH: usize = 4;
/// Most sub-agents that one program may start.
pub const MAX_CHILDREN: u64 = 64;
/// Closed keys remembered for one place in a program.
pub const MAX_CLOSED_KEYS: usize = 64;

/// The root of a program's tree.
pub fn root_of(program: &ProgramId) -> ProgramId {
    let text = program.as_str();
    let root = text.split(CHILD_SEPARATOR).next().unwrap_or(text);
    ProgramId::new(root)
}

/// How many parents a program has.
pub fn depth_of(program: &ProgramId) -> usize {
    program.as_str().matches(CHILD_SEPARATOR).count()
}

/// Life of a program.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ProgramState {
    /// It takes calls.
    Active,
    /// Its caller ended it.
    Ended,
    /// It was cancelled, or passed its deadline.
    Cancelled,
}

/// Tokens of a whole tree of programs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Budget {
    /// Most tokens the tree may use.
    pub limit: u64,
    /// Tokens used by finished calls.
    pub spent: u64,
    /// Tokens set aside for calls under way or of unknown outcome.
    pub reserved: u64,
}

impl Budget {
    /// Tokens neither used nor set aside.
    pub fn available(&self) -> u64 {
        self.limit.saturating_sub(self.spent + self.reserved)
    }
}

/// What a call asks for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CallTarget {
    /// Generation by a model.
    Model(ModelId),
    /// A request to a tool service.
    Service(ServiceId),
}

/// A back end an attempt was sent to.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Backend {
    /// A model engine.
    Engine(EngineId),
    /// A replica of a service, by the name of its resource.
    Replica(String),
}

/// Where a call stands.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CallState {
    /// Admitted; nothing was sent to a back end in this attempt.
    Admitted,
    /// The attempt may have reached this back end.
    Dispatched(Backend),
    /// It ran; the answer is stored.
    Completed(StoredAnswer),
    /// It did not run and never will under its present key.
    NotRun(NotRunReason),
    /// It may have run, on this back end.
    Unknown(Backend),
}

/// The stored answer of a completed call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredAnswer {
    /// The whole text.
    pub text: String,
    /// Why generation ended, in the OpenAI shape (`stop`, `length`).
    pub finish_reason: String,
    /// Tokens used.
    pub usage: Usage,
    /// Where it ran.
    pub backend: Backend,
}

/// One call of a program.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallRecord {
    /// What it asks for.
    pub target: CallTarget,
    /// Whether it may run more than once.
    pub repeatable: bool,
    /// The caller's key.
    pub key: IdempotencyKey,
    /// Number of the newest attempt.
    pub attempt: u32,
    /// The gateway that runs the newest attempt.
    pub by: NodeRef,
    /// Tokens set aside for it.
    pub reserved: u64,
    /// Messages the call adds to the history before its answer.
    pub messages: Vec<ChatMessage>,
    /// Where it stands.
    pub state: CallState,
    /// The newest earlier attempt that may have run.
    pub earlier: Option<EarlierAttempt>,
    /// Earlier keys of this place that were closed as not run.
    pub closed: Vec<ClosedKey>,
}

/// An attempt that was sent and replaced, so that nobody knows what it used.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EarlierAttempt {
    /// Where it was sent.
    pub backend: Backend,
    /// Whether the budget was charged for it; until then the call's reservation
    /// covers it.
    pub charged: bool,
}

impl CallRecord {
    /// Whether an attempt is under way.
    pub fn is_running(&self) -> bool {
        matches!(self.state, CallState::Admitted | CallState::Dispatched(_))
    }
}

/// A key whose request was refused for good.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClosedKey {
    /// The key.
    pub key: IdempotencyKey,
    /// Why it was refused.
    pub reason: NotRunReason,
}

/// One program.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProgramRecord {
    /// Its tenant.
    pub tenant: TenantId,
    /// The program that started it.
    pub parent: Option<ProgramId>,
    /// Its state.
    pub state: ProgramState,
    /// When it was created, in milliseconds of Unix time.
    pub created_at: u64,
    /// When it is cancelled at the latest, in milliseconds of Unix time.
    pub deadline_at: Option<u64>,
    /// Tokens of the tree; held by the root only.
    pub budget: Budget,
    /// Most calls.
    pub max_calls: u64,
    /// Place of the next call.
    pub next_sequence: u64,
    /// Its calls by place.
    pub calls: BTreeMap<u64, CallRecord>,
    /// Its conversation so far.
    pub history: Vec<ChatMessage>,
    /// Tokens of the conversation, counted once for each message.
    pub history_tokens: u64,
    /// Chained digest of the conversation.
    pub digest: HistoryDigest,
    /// Engines that may hold its history, and the prompt tokens last sent there.
    pub holdings: BTreeMap<EngineId, u64>,
    /// Tokens computed for it so far: the service it has attained.
    pub attained_tokens: u64,
    /// Sub-agents by the request that started them.
    pub children: BTreeMap<RequestId, ProgramId>,
}

impl ProgramRecord {
    /// The call that is under way, if any.
    pub fn running_call(&self) -> Option<(u64, &CallRecord)> {
        let last = self.calls.iter().next_back()?;
        last.1.is_running().then_some((*last.0, last.1))
    }
}

/// The programs of one group.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ProgramShard {
    pub(crate) programs: BTreeMap<ProgramId, ProgramRecord>,
    /// Programs that have ended, by engines that may still hold their memory.
    pub(crate) releases: BTreeMap<EngineId, BTreeSet<ProgramId>>,
    /// Latest time seen in a command.
    pub(crate) clock: u64,
    /// Programs with a deadline, by deadline.
    pub(crate) deadlines: BTreeSet<(u64, ProgramId)>,
    /// Programs that have ended, by time.
    pub(crate) ended: BTreeSet<(u64, ProgramId)>,
}

impl ProgramShard {
    /// The record of `program`.
    pub fn get(&self, program: &ProgramId) -> Option<&ProgramRecord> {
        self.programs.get(program)
    }

    /// Number of programs kept, ended ones included.
    pub fn len(&self) -> usize {
        self.programs.len()
    }

    /// Whether no program is kept.
    pub fn is_empty(&self) -> bool {
        self.programs.is_empty()
    }

    /// Latest time seen in a command, in milliseconds of Unix time.
    pub fn clock(&self) -> u64 {
        self.clock
    }

    pub(crate) fn call_mut(&mut self, call: &CallId) -> Option<&mut CallRecord> {
        let record = self.programs.get_mut(&call.program)?;
        record.calls.get_mut(&call.sequence)
    }

    /// The call of `attempt` if that attempt is the newest one and still under way.
    pub(crate) fn current(&mut self, attempt: &AttemptId, by: &NodeRef) -> Option<&mut CallRecord> {
        let call = self.call_mut(&attempt.call)?;
        let is_current = call.attempt == attempt.number && call.by == *by && call.is_running();
        is_current.then_some(call)
    }

    pub(crate) fn budget_mut(&mut self, program: &ProgramId) -> Option<&mut Budget> {
        let root = root_of(program);
        self.programs.get_mut(&root).map(|record| &mut record.budget)
    }

    /// Remembers that `engine` must release what it holds of an ended program.
    pub(crate) fn order_release(&mut self, engine: EngineId, program: ProgramId) {
        if !is_broken(Rule::ReleaseMemory) {
            self.releases.entry(engine).or_default().insert(program);
        }
    }
}

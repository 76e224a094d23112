//! What callers, engines and services recorded during a run.

use calicohoist_emulator::{EngineRecord, ServiceRecord};
use calicohoist_types::{ChatMessage, Moment, Outcome, Usage};
use serde::{Deserialize, Serialize};

/// What a call asked for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Asked {
    /// Generation.
    Model {
        /// The model.
        model: String,
        /// Messages added to the conversation.
        messages: Vec<ChatMessage>,
    },
    /// A tool service.
    Service {
        /// The service.
        service: String,
        /// Its input.
        input: String,
    },
}

/// How one try of a caller ended, as the caller saw it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TryEnd {
    /// A whole answer.
    Answered {
        /// Its text.
        text: String,
        /// Why generation ended.
        finish_reason: String,
        /// Tokens, as reported.
        usage: Usage,
    },
    /// A typed refusal or error.
    Refused {
        /// What it said of the request.
        outcome: Outcome,
        /// Its code.
        code: String,
    },
    /// The connection ended before the answer did.
    Cut,
    /// No connection came about.
    NotConnected,
    /// The caller itself hung up, to resume elsewhere.
    HungUp,
}

/// One try of a call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallTry {
    /// The program.
    pub program: String,
    /// Place in the program.
    pub sequence: u64,
    /// The caller's key.
    pub key: String,
    /// What it asked for.
    pub asked: Asked,
    /// Whether it may run more than once.
    pub repeatable: bool,
    /// Index of the gateway.
    pub gateway: usize,
    /// When it was sent.
    pub sent: Moment,
    /// When it ended.
    pub ended: Moment,
    /// How it ended.
    pub end: TryEnd,
}

/// One program as its caller saw it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProgramTrace {
    /// Its name.
    pub id: String,
    /// The root of its tree.
    pub root: String,
    /// Tokens of the whole tree; 0 for sub-agents.
    pub budget: u64,
    /// When its first call was sent.
    pub started: Moment,
    /// When its caller was told that it ended.
    pub ended: Option<Moment>,
    /// Whether all its calls were answered.
    pub completed: bool,
}

/// A back end that was taken out of service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DrainEvent {
    /// The engine.
    pub engine: String,
    /// When.
    pub at: Moment,
}

/// A planned stop of a gateway.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StopEvent {
    /// Index of the gateway.
    pub gateway: usize,
    /// When it was asked to stop.
    pub began: Moment,
    /// When it had stopped.
    pub ended: Moment,
    /// Whether it says that nothing was cut.
    pub complete: bool,
}

/// One look at whether a change of the configuration holds at a gateway.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigProbe {
    /// Revision of the change.
    pub revision: u64,
    /// Index of the gateway.
    pub gateway: usize,
    /// When the change was accepted.
    pub accepted: Moment,
    /// When it was reported in force.
    pub in_force: Moment,
    /// Whether the gateway behaved by the change.
    pub held: bool,
}

/// Memory an engine still held when the run was over.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Holding {
    /// The engine.
    pub engine: String,
    /// The program.
    pub program: String,
    /// Tokens.
    pub tokens: u64,
}

/// Everything that was recorded.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct History {
    /// Programs.
    pub programs: Vec<ProgramTrace>,
    /// Tries of calls.
    pub tries: Vec<CallTry>,
    /// Requests that engines took.
    pub engine_records: Vec<EngineRecord>,
    /// Keys that services executed.
    pub service_records: Vec<ServiceRecord>,
    /// Memory held at the end.
    pub holdings: Vec<Holding>,
    /// Back ends taken out of service.
    pub drains: Vec<DrainEvent>,
    /// Planned stops.
    pub stops: Vec<StopEvent>,
    /// Looks at the configuration.
    pub probes: Vec<ConfigProbe>,
    /// Winners of each race of two operators that named the same version.
    pub races: Vec<u32>,
}

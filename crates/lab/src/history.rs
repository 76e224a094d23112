//! Records of callers, engines and services during a run.

use calicohoist_emulator::{EngineRecord, ServiceRecord};
use calicohoist_types::{ChatMessage, Moment, Outcome, Usage};
use serde::{Deserialize, Serialize};

/// Input of a call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CallInput {
    /// A generation by a model.
    Model {
        /// The model.
        model: String,
        /// Messages added to the conversation.
        messages: Vec<ChatMessage>,
    },
    /// A call of a tool service.
    Service {
        /// The service.
        service: String,
        /// The input.
        input: String,
    },
}

/// Result of a request, as its caller observed it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CallResult {
    /// A complete answer.
    Answered {
        /// The text.
        text: String,
        /// Why generation ended.
        finish_reason: String,
        /// Token usage reported to the caller.
        usage: Usage,
    },
    /// An error response.
    Refused {
        /// Whether the call may have run.
        outcome: Outcome,
        /// The error code.
        code: String,
    },
    /// The connection closed before the answer was complete.
    Cut,
    /// No connection could be established.
    NotConnected,
    /// The caller closed the connection.
    HungUp,
}

/// One request of a caller for a call; retries are recorded separately.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallTry {
    /// The program.
    pub program: String,
    /// Sequence number of the call in its program.
    pub sequence: u64,
    /// Idempotency key.
    pub key: String,
    /// Input of the call.
    pub asked: CallInput,
    /// Whether the call may run more than once.
    pub repeatable: bool,
    /// Index of the gateway.
    pub gateway: usize,
    /// Time of sending.
    pub sent: Moment,
    /// Time of the result.
    pub ended: Moment,
    /// The result.
    pub end: CallResult,
}

/// One program, as its caller observed it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProgramTrace {
    /// Id of the program.
    pub id: String,
    /// Id of the root of its program tree.
    pub root: String,
    /// Token budget of the program tree; 0 for sub-agents.
    pub budget: u64,
    /// Start time.
    pub started: Moment,
    /// Time at which its end was confirmed to the caller.
    pub ended: Option<Moment>,
    /// Whether all calls were answered and the program ended.
    pub completed: bool,
}

/// A drain or an announced removal of an engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DrainEvent {
    /// The engine.
    pub engine: String,
    /// Time of the drain or announcement.
    pub at: Moment,
}

/// A graceful shutdown of a gateway.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StopEvent {
    /// Index of the gateway.
    pub gateway: usize,
    /// Time of the request to stop.
    pub began: Moment,
    /// Time at which it had stopped.
    pub ended: Moment,
    /// Whether the gateway finished all its calls.
    pub complete: bool,
}

/// A probe whether a gateway applies a configuration change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigProbe {
    /// Revision of the change.
    pub revision: u64,
    /// Index of the gateway.
    pub gateway: usize,
    /// Time at which the change was accepted.
    pub accepted: Moment,
    /// Time at which the change was reported as in force.
    pub in_force: Moment,
    /// Whether the gateway applied the change.
    pub held: bool,
}

/// Cache of a program that an engine held at the end of the run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Holding {
    /// The engine.
    pub engine: String,
    /// The program.
    pub program: String,
    /// Number of cached tokens.
    pub tokens: u64,
}

/// All records of a run.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct History {
    /// Programs.
    pub programs: Vec<ProgramTrace>,
    /// Requests for calls, including retries.
    pub tries: Vec<CallTry>,
    /// Attempts executed by engines.
    pub engine_records: Vec<EngineRecord>,
    /// Jobs executed by services.
    pub service_records: Vec<ServiceRecord>,
    /// Engine cache held at the end of the run.
    pub holdings: Vec<Holding>,
    /// Drained or removed engines.
    pub drains: Vec<DrainEvent>,
    /// Graceful shutdowns of gateways.
    pub stops: Vec<StopEvent>,
    /// Configuration probes.
    pub probes: Vec<ConfigProbe>,
    /// Number of accepted writes of each pair of conflicting writes.
    pub races: Vec<u32>,
}

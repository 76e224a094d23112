//! Inputs and actions of the core, and the messages between gateways.

use std::net::SocketAddr;
use std::time::Duration;

use calicohoist_store::{StoreReply, StoreRequest};
use calicohoist_types::{
    AttemptId, CallId, ChatMessage, EngineId, IdempotencyKey, MachineStatus, ModelId, Moment,
    NodeId, NotRunReason, Outcome, ProgramId, ServiceId, TenantId, Usage,
};
use serde::{Deserialize, Serialize};

/// Identifies a caller's request within a gateway.
pub type Ticket = u64;

/// Payload of a call.
#[derive(Clone, Debug, PartialEq)]
pub enum CallPayload {
    /// A chat completion by a model.
    Model {
        /// The model.
        model: ModelId,
        /// Messages to append to the program's history.
        messages: Vec<ChatMessage>,
        /// Maximum number of tokens to generate, if the caller set a limit.
        max_tokens: Option<u64>,
    },
    /// A request to a tool service.
    Service {
        /// The service.
        service: ServiceId,
        /// Input of the service.
        input: String,
    },
}

/// A call as received from a caller.
#[derive(Clone, Debug, PartialEq)]
pub struct CallRequest {
    /// The caller's tenant.
    pub tenant: TenantId,
    /// The program of the call; `None` creates a program for this call only.
    pub program: Option<ProgramId>,
    /// Sequence number within the program; `None` takes the next one.
    pub sequence: Option<u64>,
    /// Idempotency key, if the caller sent one.
    pub key: Option<IdempotencyKey>,
    /// Whether the call may run more than once.
    pub repeatable: bool,
    /// Payload of the call.
    pub payload: CallPayload,
}

/// Progress of a call, as sent to its caller.
#[derive(Clone, Debug, PartialEq)]
pub enum CallerEvent {
    /// The call was admitted with this attempt.
    Admitted(AttemptId),
    /// The next part of the answer.
    Text(String),
    /// The answer is complete and durable.
    Finished(Completion),
    /// The call failed.
    Failed(Failure),
    /// The store's reply to [`Input::StoreRequest`]; `None` after a timeout.
    StoreReply(Option<Box<StoreReply>>),
}

/// Final data of a complete answer.
#[derive(Clone, Debug, PartialEq)]
pub struct Completion {
    /// The attempt that produced the answer.
    pub attempt: AttemptId,
    /// Why generation ended.
    pub finish_reason: String,
    /// Token usage.
    pub usage: Usage,
    /// Name of the back end that produced the answer.
    pub backend: String,
}

/// Reason for a failed call.
#[derive(Clone, Debug, PartialEq)]
pub struct Failure {
    /// Whether the call ran, as far as known.
    pub outcome: Outcome,
    /// Cause of the failure.
    pub cause: FailureCause,
    /// ID of the call, if one was assigned.
    pub call: Option<CallId>,
}

/// Cause of a call's failure.
#[derive(Clone, Debug, PartialEq)]
pub enum FailureCause {
    /// The call was closed without running.
    NotRun(NotRunReason),
    /// The model does not exist.
    UnknownModel(ModelId),
    /// The service does not exist.
    UnknownService(ServiceId),
    /// The tenant has no such program.
    UnknownProgram,
    /// The sequence number was used with another idempotency key.
    KeyMismatch,
    /// The program has ended or was cancelled.
    ProgramOver,
    /// The prompt exceeds the model's limit.
    PromptTooLong,
    /// The store did not reply in time.
    StoreUnavailable,
    /// The connection to the back end was lost and the outcome is unknown.
    BackendLost,
    /// Another gateway took the call over.
    TakenOver,
    /// A duplicate of the request is running and did not finish in time.
    StillRunning,
    /// The gateway stopped before the outcome was known; the call may go on.
    GatewayStopped,
}

/// An event of an attempt, as reported by its back end.
#[derive(Clone, Debug, PartialEq)]
pub enum BackendEvent {
    /// The next part of the answer.
    Text {
        /// Byte offset of the text in the answer.
        offset: usize,
        /// The text.
        text: String,
    },
    /// The answer is complete.
    Done {
        /// Why generation ended.
        finish_reason: String,
        /// Token usage.
        usage: Usage,
    },
    /// The attempt failed.
    Failed(BackendFailure),
}

/// Failure of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BackendFailure {
    /// The back end did not receive the attempt, or refused it before starting.
    NotStarted,
    /// The back end has no such attempt to resume.
    NothingToResume,
    /// The connection failed; the back end may have run the attempt.
    Broken,
    /// The back end has no record of the idempotency key.
    NotSeen,
}

impl BackendFailure {
    /// Returns the metric label value.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::NotStarted => "not_started",
            Self::NothingToResume => "nothing_to_resume",
            Self::Broken => "broken",
            Self::NotSeen => "not_seen",
        }
    }
}

/// A message between gateways.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// Requests a slot from the owner of an engine; repeated until answered.
    Enqueue {
        /// The attempt.
        attempt: AttemptId,
        /// The engine.
        engine: EngineId,
        /// Tokens computed for the program so far.
        attained_tokens: u64,
        /// Tokens in the prompt.
        prompt_tokens: u64,
    },
    /// Grants a slot.
    Granted {
        /// The attempt.
        attempt: AttemptId,
        /// The engine.
        engine: EngineId,
    },
    /// Refuses a slot; the call has to be routed again.
    Refused {
        /// The attempt.
        attempt: AttemptId,
        /// The engine.
        engine: EngineId,
        /// Whether the queue was full.
        overloaded: bool,
    },
    /// Releases a slot or removes the attempt from the queue.
    Release {
        /// The attempt.
        attempt: AttemptId,
        /// The engine.
        engine: EngineId,
    },
    /// Lists all slots that the sender holds on an engine.
    Holding {
        /// The engine.
        engine: EngineId,
        /// The attempts.
        attempts: Vec<AttemptId>,
    },
    /// Cancels an attempt whose program was cancelled.
    Cancel {
        /// The attempt.
        attempt: AttemptId,
    },
}

/// An attempt to run on an engine.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineTask {
    /// The attempt.
    pub attempt: AttemptId,
    /// The engine.
    pub engine: EngineId,
    /// The engine's address.
    pub address: SocketAddr,
    /// The model.
    pub model: ModelId,
    /// The full prompt, including the history.
    pub prompt: Vec<ChatMessage>,
    /// Part of the answer that earlier attempts produced.
    pub continuation: String,
    /// Maximum number of tokens in the full answer.
    pub max_tokens: u64,
    /// Scheduling priority; lower values run first.
    pub priority: u64,
    /// Earlier attempt whose stream is resumed instead of starting a new one.
    pub resume: Option<AttemptId>,
}

/// An attempt to run on, or look up at, a replica of a service.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceTask {
    /// The attempt.
    pub attempt: AttemptId,
    /// The replica's address.
    pub address: SocketAddr,
    /// The service.
    pub service: ServiceId,
    /// Idempotency key at the replica.
    pub key: IdempotencyKey,
    /// Input of the service.
    pub input: String,
    /// Looks up the result of an earlier request without executing anything.
    pub lookup_only: bool,
}

/// Status that an engine reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EngineReport {
    /// Whether the engine is leaving and takes no new work.
    pub leaving: bool,
}

/// An input of the core.
#[derive(Debug)]
pub enum Input {
    /// A new call from a caller.
    Call(Ticket, Box<CallRequest>),
    /// A caller's request for the answer of an existing call.
    Attach {
        /// The caller.
        ticket: Ticket,
        /// The caller's tenant.
        tenant: TenantId,
        /// The call.
        call: CallId,
        /// Byte offset in the answer to start from.
        offset: usize,
    },
    /// A caller's request to the store.
    StoreRequest(Ticket, Box<StoreRequest>),
    /// The caller disconnected.
    CallerDisconnected(Ticket),
    /// A reply from a store machine.
    StoreReply {
        /// ID of the request.
        id: u64,
        /// The reply.
        reply: StoreReply,
    },
    /// A message from another gateway.
    Peer {
        /// The sender.
        from: NodeId,
        /// The message.
        message: PeerMessage,
    },
    /// An event of an attempt.
    Backend(AttemptId, BackendEvent),
    /// Result of releasing a program's cache memory on an engine.
    CacheReleased {
        /// The engine.
        engine: EngineId,
        /// The program.
        program: ProgramId,
        /// Whether the engine confirmed the release.
        confirmed: bool,
    },
    /// The programs that have cache memory on an engine.
    CacheListing {
        /// The engine.
        engine: EngineId,
        /// The programs.
        programs: Vec<ProgramId>,
    },
    /// Result of a probe; `None` when the engine did not answer.
    EngineProbe {
        /// The engine.
        engine: EngineId,
        /// The engine's report.
        report: Option<EngineReport>,
    },
    /// The platform's machine list.
    Platform {
        /// When the reading began. The list may be newer.
        asked_at: Moment,
        /// The list; `None` when it could not be read.
        list: Option<Vec<MachineStatus>>,
    },
    /// Begins a planned stop, or shortens one that has begun.
    Stop {
        /// Time in which calls must end.
        call_time: Duration,
    },
}

/// An action for the driver to execute.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a request to a store machine.
    ToStore {
        /// The machine.
        machine: u32,
        /// ID of the request.
        id: u64,
        /// The request.
        request: Box<StoreRequest>,
    },
    /// Send a message to another gateway.
    ToPeer {
        /// The receiver.
        to: NodeId,
        /// Its address.
        address: SocketAddr,
        /// The message.
        message: PeerMessage,
    },
    /// Send an event to a caller.
    ToCaller(Ticket, CallerEvent),
    /// Run an attempt on an engine.
    RunOnEngine(Box<EngineTask>),
    /// Cancel an attempt on an engine.
    CancelOnEngine {
        /// The attempt.
        attempt: AttemptId,
        /// The engine's address.
        address: SocketAddr,
    },
    /// Run an attempt on a replica, or look one up.
    RunOnService(Box<ServiceTask>),
    /// Release a program's cache memory on an engine.
    ReleaseCache {
        /// The engine.
        engine: EngineId,
        /// Its address.
        address: SocketAddr,
        /// The program.
        program: ProgramId,
    },
    /// List the programs in an engine's cache.
    ListCache {
        /// The engine.
        engine: EngineId,
        /// Its address.
        address: SocketAddr,
    },
    /// Query the status of an engine.
    ProbeEngine {
        /// The engine.
        engine: EngineId,
        /// Its address.
        address: SocketAddr,
    },
    /// Report that the planned stop is complete.
    Stopped {
        /// Calls that ended before their outcome was known.
        interrupted_calls: usize,
    },
}

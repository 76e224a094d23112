//! What goes into the core and what comes out of it.

use std::net::SocketAddr;

use calicohoist_store::{StoreReply, StoreRequest};
use calicohoist_types::{
    AttemptId, CallId, ChatMessage, EngineId, IdempotencyKey, MachineStatus, ModelId, NodeId,
    NotRunReason, Outcome, ProgramId, ServiceId, TenantId, Usage,
};
use serde::{Deserialize, Serialize};

/// Names one caller's request inside a gateway.
pub type Ticket = u64;

/// What a call asks for.
#[derive(Clone, Debug, PartialEq)]
pub enum Work {
    /// Generation by a model.
    Model {
        /// The model.
        model: ModelId,
        /// Messages to add to the history.
        messages: Vec<ChatMessage>,
        /// Most tokens to generate, if the caller set a limit.
        max_tokens: Option<u64>,
    },
    /// A request to a tool service.
    Service {
        /// The service.
        service: ServiceId,
        /// Its input.
        input: String,
    },
}

/// A call as a caller issued it.
#[derive(Clone, Debug, PartialEq)]
pub struct CallRequest {
    /// The caller's tenant.
    pub tenant: TenantId,
    /// Its program; `None` makes a program of one call.
    pub program: Option<ProgramId>,
    /// Its place; `None` takes the next.
    pub sequence: Option<u64>,
    /// The caller's key, if it gave one.
    pub key: Option<IdempotencyKey>,
    /// Whether it may run more than once.
    pub repeatable: bool,
    /// What it asks for.
    pub work: Work,
}

/// What becomes of a call, told to its caller.
#[derive(Clone, Debug, PartialEq)]
pub enum CallerEvent {
    /// The call was admitted as this attempt.
    Admitted(AttemptId),
    /// More of the answer.
    Text(String),
    /// The answer is whole and stored.
    Finished(Finish),
    /// There will be no answer.
    Failed(Failure),
    /// Answer of the store to [`Input::Ask`]; `None` when it did not answer in time.
    Store(Option<Box<StoreReply>>),
}

/// End of a whole answer.
#[derive(Clone, Debug, PartialEq)]
pub struct Finish {
    /// The attempt whose answer it is.
    pub attempt: AttemptId,
    /// Why generation ended.
    pub finish_reason: String,
    /// Tokens used.
    pub usage: Usage,
    /// Where it ran.
    pub backend: String,
}

/// Why there is no answer.
#[derive(Clone, Debug, PartialEq)]
pub struct Failure {
    /// What became of the call.
    pub outcome: Outcome,
    /// What went wrong.
    pub cause: FailureCause,
    /// The call, where it has a place.
    pub call: Option<CallId>,
}

/// What went wrong with a call.
#[derive(Clone, Debug, PartialEq)]
pub enum FailureCause {
    /// It was closed without running.
    NotRun(NotRunReason),
    /// There is no such model.
    UnknownModel(ModelId),
    /// There is no such service.
    UnknownService(ServiceId),
    /// There is no such program for this tenant.
    UnknownProgram,
    /// The place in the program was used under another key.
    KeyMismatch,
    /// The program has ended or was cancelled.
    ProgramOver,
    /// The prompt is longer than the model takes.
    PromptTooLong,
    /// The store gave no answer in time.
    StoreUnavailable,
    /// The back end did not say what became of it.
    BackendLost,
    /// Another gateway took the call over.
    TakenOver,
    /// The same request is under way elsewhere and did not finish in time.
    StillRunning,
}

/// What a back end reports of an attempt.
#[derive(Clone, Debug, PartialEq)]
pub enum BackendEvent {
    /// More text, from this byte of the answer on.
    Text {
        /// Where it starts, in bytes.
        offset: usize,
        /// The text.
        text: String,
    },
    /// The answer is whole.
    Done {
        /// Why generation ended.
        finish_reason: String,
        /// Tokens used.
        usage: Usage,
    },
    /// The attempt failed.
    Failed(BackendFailure),
}

/// How an attempt failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BackendFailure {
    /// The back end certainly saw nothing of it, or refused before it started.
    NotStarted,
    /// The back end has no such attempt to resume.
    NothingToResume,
    /// The connection broke; the back end may have run it.
    Broken,
    /// The back end has no record of the key.
    NotSeen,
}

impl BackendFailure {
    /// Its name, for metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::NotStarted => "not_started",
            Self::NothingToResume => "nothing_to_resume",
            Self::Broken => "broken",
            Self::NotSeen => "not_seen",
        }
    }
}

/// What gateways say to each other.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// Asks the owner of an engine for a slot; repeated until answered.
    Enqueue {
        /// The attempt.
        attempt: AttemptId,
        /// The engine.
        engine: EngineId,
        /// Tokens computed for its program so far.
        attained_tokens: u64,
        /// Tokens of its prompt.
        prompt_tokens: u64,
    },
    /// A slot was given.
    Granted {
        /// The attempt.
        attempt: AttemptId,
        /// The engine.
        engine: EngineId,
    },
    /// No slot will be given: ask another engine or owner.
    Refused {
        /// The attempt.
        attempt: AttemptId,
        /// The engine.
        engine: EngineId,
        /// Whether the queue was full.
        overloaded: bool,
    },
    /// A slot or place in the queue is not needed any more.
    Release {
        /// The attempt.
        attempt: AttemptId,
        /// The engine.
        engine: EngineId,
    },
    /// All slots that the sender holds on an engine.
    Holding {
        /// The engine.
        engine: EngineId,
        /// The attempts.
        attempts: Vec<AttemptId>,
    },
    /// The program of this attempt was cancelled.
    Cancel {
        /// The attempt.
        attempt: AttemptId,
    },
}

/// A model call to send to an engine.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineOrder {
    /// The attempt.
    pub attempt: AttemptId,
    /// The engine.
    pub engine: EngineId,
    /// Its address.
    pub address: SocketAddr,
    /// The model.
    pub model: ModelId,
    /// The whole prompt.
    pub prompt: Vec<ChatMessage>,
    /// Text of the answer that an earlier attempt produced already.
    pub continuation: String,
    /// Most tokens of the whole answer.
    pub max_tokens: u64,
    /// Smaller goes first.
    pub priority: u64,
    /// Resumes the stream of this earlier attempt instead of starting one.
    pub resume: Option<AttemptId>,
}

/// A request to send to a replica of a service.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceOrder {
    /// The attempt.
    pub attempt: AttemptId,
    /// Its address.
    pub address: SocketAddr,
    /// The service.
    pub service: ServiceId,
    /// The key under which the replica counts it.
    pub key: IdempotencyKey,
    /// Its input.
    pub input: String,
    /// Only asks what became of the key; executes nothing.
    pub only_look_up: bool,
}

/// What an engine says of itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EngineReport {
    /// It is leaving and takes no new work.
    pub leaving: bool,
}

/// What goes into the core.
#[derive(Debug)]
pub enum Input {
    /// A caller issues a call.
    Call(Ticket, Box<CallRequest>),
    /// A caller wants the answer of a call from a byte on.
    Attach {
        /// The caller.
        ticket: Ticket,
        /// Its tenant.
        tenant: TenantId,
        /// The call.
        call: CallId,
        /// The first byte wanted.
        offset: usize,
    },
    /// A caller's request that only the store has to answer.
    Ask(Ticket, Box<StoreRequest>),
    /// A caller went away.
    CallerGone(Ticket),
    /// A store machine answered a try.
    StoreReply {
        /// The try.
        id: u64,
        /// The answer.
        reply: StoreReply,
    },
    /// Another gateway says something.
    Peer {
        /// The sender.
        from: NodeId,
        /// The message.
        message: PeerMessage,
    },
    /// A back end reports of an attempt.
    Backend(AttemptId, BackendEvent),
    /// An engine released a program's memory, or failed to.
    CacheReleased {
        /// The engine.
        engine: EngineId,
        /// The program.
        program: ProgramId,
        /// Whether it confirmed.
        confirmed: bool,
    },
    /// Programs an engine holds memory of.
    CacheListing {
        /// The engine.
        engine: EngineId,
        /// The programs.
        programs: Vec<ProgramId>,
    },
    /// What an engine says of itself; `None` when it did not answer.
    EngineProbe {
        /// The engine.
        engine: EngineId,
        /// Its report.
        report: Option<EngineReport>,
    },
    /// The platform's list; `None` when it could not be read.
    Platform(Option<Vec<MachineStatus>>),
    /// A planned stop begins.
    Stop,
}

/// What the driver must do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a request to a store machine.
    ToStore {
        /// The machine.
        machine: u32,
        /// Names the try.
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
    /// Tell a caller.
    ToCaller(Ticket, CallerEvent),
    /// Send a model call.
    RunOnEngine(Box<EngineOrder>),
    /// Cancel an attempt on an engine.
    CancelOnEngine {
        /// The attempt.
        attempt: AttemptId,
        /// The engine's address.
        address: SocketAddr,
    },
    /// Send a service request, or look one up.
    RunOnService(Box<ServiceOrder>),
    /// Have an engine release a program's memory.
    ReleaseCache {
        /// The engine.
        engine: EngineId,
        /// Its address.
        address: SocketAddr,
        /// The program.
        program: ProgramId,
    },
    /// List what an engine holds.
    ListCache {
        /// The engine.
        engine: EngineId,
        /// Its address.
        address: SocketAddr,
    },
    /// Ask an engine about itself.
    ProbeEngine {
        /// The engine.
        engine: EngineId,
        /// Its address.
        address: SocketAddr,
    },
    /// The planned stop is complete.
    Stopped,
}

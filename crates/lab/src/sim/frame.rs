//! Messages of the simulation and the nodes that exchange them.

use calicohoist_gateway::core::message::{
    BackendEvent, CallRequest, CallerEvent, EngineReport, EngineTask, PeerMessage, ServiceTask,
    Ticket,
};
use calicohoist_replication::{GroupMessage, ReplicaId};
use calicohoist_store::{StoreReply, StoreRequest};
use calicohoist_types::{AttemptId, CallId, MachineStatus, Moment, NodeId, ProgramId, TenantId};

/// A node of the fleet or an external participant.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Actor {
    /// A store machine.
    Store(usize),
    /// A gateway.
    Gateway(usize),
    /// An engine.
    Engine(usize),
    /// A service replica.
    Replica(usize),
    /// The platform.
    Platform,
    /// All callers and operators.
    Client,
}

/// Counter of the starts of a node. Frames for an earlier generation are dropped, because they
/// would have travelled on connections of the previous process.
pub type Generation = u64;

/// A request of a client to a gateway.
#[derive(Clone, Debug)]
pub enum ClientRequest {
    /// Submits a call.
    Call(Box<CallRequest>),
    /// Resumes the response of a call at a byte offset.
    Attach {
        /// The caller's tenant.
        tenant: TenantId,
        /// The call.
        call: CallId,
        /// The byte offset.
        offset: usize,
    },
    /// A request that the gateway forwards to the store.
    Store(Box<StoreRequest>),
    /// Closes the connection.
    Disconnect,
}

/// An event at a client for one of its requests.
#[derive(Clone, Debug)]
pub enum ClientEvent {
    /// An event sent by the gateway.
    FromGateway(CallerEvent),
    /// The connection was closed.
    Disconnected,
    /// The client timed out and closed the connection.
    TimedOut,
    /// The connection was refused.
    ConnectionRefused,
}

/// A message between nodes.
#[derive(Clone, Debug)]
pub enum Frame {
    /// Replication messages between store machines.
    StorePeer {
        /// The sender.
        from: ReplicaId,
        /// The messages.
        messages: Vec<GroupMessage>,
    },
    /// A request from a gateway to a store machine.
    StoreRequest {
        /// The gateway.
        gateway: usize,
        /// Generation of the gateway.
        generation: Generation,
        /// Identifies the request.
        id: u64,
        /// The request.
        request: Box<StoreRequest>,
    },
    /// A reply from a store machine to a gateway.
    StoreReply {
        /// Generation of the gateway.
        generation: Generation,
        /// Identifies the request.
        id: u64,
        /// The reply.
        reply: StoreReply,
    },
    /// A message between gateways.
    GatewayPeer {
        /// The sender.
        from: NodeId,
        /// The message.
        message: PeerMessage,
    },
    /// Starts or resumes an attempt on an engine.
    EngineRun {
        /// The gateway.
        gateway: usize,
        /// Generation of the gateway.
        generation: Generation,
        /// The order.
        order: Box<EngineTask>,
    },
    /// Cancels an attempt on an engine.
    EngineCancel(AttemptId),
    /// Releases the cache of a program on an engine.
    EngineRelease {
        /// The gateway.
        gateway: usize,
        /// Generation of the gateway.
        generation: Generation,
        /// The program.
        program: ProgramId,
    },
    /// Requests the list of programs cached by an engine.
    EngineList {
        /// The gateway.
        gateway: usize,
        /// Generation of the gateway.
        generation: Generation,
    },
    /// Requests the load report of an engine.
    EngineProbe {
        /// The gateway.
        gateway: usize,
        /// Generation of the gateway.
        generation: Generation,
    },
    /// Runs a job on a service replica.
    ServiceRun {
        /// The gateway.
        gateway: usize,
        /// Generation of the gateway.
        generation: Generation,
        /// The order.
        order: Box<ServiceTask>,
    },
    /// An event of an attempt, from a back end to a gateway.
    Backend {
        /// Generation of the gateway.
        generation: Generation,
        /// The attempt.
        attempt: AttemptId,
        /// The event.
        event: BackendEvent,
    },
    /// The reply of an engine to a cache release.
    Released {
        /// Generation of the gateway.
        generation: Generation,
        /// The engine.
        engine: usize,
        /// The program.
        program: ProgramId,
        /// Whether the engine confirmed the release.
        confirmed: bool,
    },
    /// The reply of an engine with its cached programs.
    Listing {
        /// Generation of the gateway.
        generation: Generation,
        /// The engine.
        engine: usize,
        /// The programs.
        programs: Vec<ProgramId>,
    },
    /// The reply of an engine to a probe.
    Report {
        /// Generation of the gateway.
        generation: Generation,
        /// The engine.
        engine: usize,
        /// The report, or `None` if the engine did not answer.
        report: Option<EngineReport>,
    },
    /// The platform's list of machines, sent to a gateway.
    Machines {
        /// Generation of the gateway.
        generation: Generation,
        /// When the gateway asked for the list.
        asked_at: Moment,
        /// The machines.
        list: Vec<MachineStatus>,
    },
    /// A request from a client to a gateway.
    Client {
        /// Identifies the request.
        ticket: Ticket,
        /// The request.
        request: ClientRequest,
    },
    /// An event for a client.
    ClientEvent {
        /// Identifies the request.
        ticket: Ticket,
        /// The event.
        event: ClientEvent,
    },
}

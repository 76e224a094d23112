//! Everything that travels in the simulation, and who can send it.

use calicohoist_gateway::core::message::{
    BackendEvent, CallRequest, CallerEvent, EngineReport, EngineTask, PeerMessage, ServiceTask,
    Ticket,
};
use calicohoist_replication::{GroupMessage, ReplicaId};
use calicohoist_store::{StoreReply, StoreRequest};
use calicohoist_types::{AttemptId, CallId, MachineStatus, NodeId, ProgramId, TenantId};

/// A part of the fleet, or somebody outside it.
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
    /// Everybody who calls: callers and operators.
    Client,
}

/// One start of a gateway; what belongs to an earlier start is dropped, as it
/// would be with that start's connections.
pub type Start = u64;

/// What a client asks of a gateway.
#[derive(Clone, Debug)]
pub enum ClientRequest {
    /// A call.
    Call(Box<CallRequest>),
    /// The answer of a call from a byte on.
    Attach {
        /// The caller's tenant.
        tenant: TenantId,
        /// The call.
        call: CallId,
        /// The byte.
        offset: usize,
    },
    /// Something only the store has to answer.
    Ask(Box<StoreRequest>),
    /// Hangs up.
    Gone,
}

/// What a client hears.
#[derive(Clone, Debug)]
pub enum ClientNews {
    /// An event of its request.
    Event(CallerEvent),
    /// The connection broke.
    Cut,
    /// Nothing came for long, so the client hung up.
    TimedOut,
    /// No connection came about.
    NotConnected,
}

/// One thing that travels.
#[derive(Clone, Debug)]
pub enum Frame {
    /// Between store machines.
    StorePeer {
        /// The sender.
        from: ReplicaId,
        /// The messages.
        messages: Vec<GroupMessage>,
    },
    /// From a gateway to a store machine.
    StoreRequest {
        /// The gateway.
        gateway: usize,
        /// Its start.
        start: Start,
        /// Names the try.
        id: u64,
        /// The request.
        request: Box<StoreRequest>,
    },
    /// Back.
    StoreReply {
        /// The gateway's start.
        start: Start,
        /// Names the try.
        id: u64,
        /// The answer.
        reply: StoreReply,
    },
    /// Between gateways.
    GatewayPeer {
        /// The sender.
        from: NodeId,
        /// The message.
        message: PeerMessage,
    },
    /// From a gateway to an engine.
    EngineRun {
        /// The gateway.
        gateway: usize,
        /// Its start.
        start: Start,
        /// The order.
        order: Box<EngineTask>,
    },
    /// From a gateway to an engine.
    EngineCancel(AttemptId),
    /// From a gateway to an engine.
    EngineRelease {
        /// The gateway.
        gateway: usize,
        /// Its start.
        start: Start,
        /// The program.
        program: ProgramId,
    },
    /// From a gateway to an engine.
    EngineList {
        /// The gateway.
        gateway: usize,
        /// Its start.
        start: Start,
    },
    /// From a gateway to an engine.
    EngineProbe {
        /// The gateway.
        gateway: usize,
        /// Its start.
        start: Start,
    },
    /// From a gateway to a replica.
    ServiceRun {
        /// The gateway.
        gateway: usize,
        /// Its start.
        start: Start,
        /// The order.
        order: Box<ServiceTask>,
    },
    /// From a back end to a gateway.
    Backend {
        /// The gateway's start.
        start: Start,
        /// The attempt.
        attempt: AttemptId,
        /// The event.
        event: BackendEvent,
    },
    /// From an engine to a gateway.
    Released {
        /// The gateway's start.
        start: Start,
        /// The engine.
        engine: usize,
        /// The program.
        program: ProgramId,
        /// Whether it confirmed.
        confirmed: bool,
    },
    /// From an engine to a gateway.
    Listing {
        /// The gateway's start.
        start: Start,
        /// The engine.
        engine: usize,
        /// The programs.
        programs: Vec<ProgramId>,
    },
    /// From an engine to a gateway.
    Report {
        /// The gateway's start.
        start: Start,
        /// The engine.
        engine: usize,
        /// The report.
        report: Option<EngineReport>,
    },
    /// From the platform to a gateway.
    Machines {
        /// The gateway's start.
        start: Start,
        /// The list.
        list: Vec<MachineStatus>,
    },
    /// From a client to a gateway.
    Client {
        /// Names the request.
        ticket: Ticket,
        /// The request.
        request: ClientRequest,
    },
    /// Back.
    News {
        /// Names the request.
        ticket: Ticket,
        /// What is heard.
        news: ClientNews,
    },
}

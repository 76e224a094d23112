//! What gateways and store machines say to each other.

use std::net::SocketAddr;
use std::time::Duration;

use calicohoist_replication::{GroupId, GroupMessage, ReplicaId};
use calicohoist_types::{EngineId, Incarnation, NodeId, Revision, Zone};
use serde::{Deserialize, Serialize};

use crate::commands::{Command, Output};
use crate::queries::resource::Update;
use crate::queries::{Answer, Query};

/// One start of one gateway.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct NodeRef {
    /// The gateway.
    pub node: NodeId,
    /// Its start.
    pub incarnation: Incarnation,
}

impl NodeRef {
    /// Stands where no gateway took part.
    pub fn nobody() -> Self {
        Self { node: NodeId::new("nobody"), incarnation: Incarnation(0) }
    }
}

/// Load of one engine as its owner sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineLoad {
    /// The engine.
    pub engine: EngineId,
    /// Calls running.
    pub running: u32,
    /// Calls waiting at the owner.
    pub waiting: u32,
    /// Prompt tokens of the calls waiting.
    pub waiting_tokens: u64,
    /// Whether it takes new work.
    pub accepts: bool,
}

/// What a gateway tells the leader of group 0 a few times a second.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The gateway.
    pub from: NodeRef,
    /// Where other gateways reach it.
    pub peer_address: SocketAddr,
    /// Its zone.
    pub zone: Zone,
    /// Revision of the configuration it acts on.
    pub applied: Revision,
    /// Version of the list of nodes it knows.
    pub nodes_version: u64,
    /// Load of the engines it owns.
    pub loads: Vec<EngineLoad>,
    /// Version of the loads of all engines it knows.
    pub loads_version: u64,
    /// It is stopping: it takes no new work and owns no engine.
    pub stopping: bool,
}

/// A gateway as others see it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeInfo {
    /// The gateway.
    pub node: NodeRef,
    /// Where other gateways reach it.
    pub peer_address: SocketAddr,
    /// Its zone.
    pub zone: Zone,
    /// It is stopping.
    pub stopping: bool,
}

/// What brings a gateway's loads from one version to a later one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadsUpdate {
    /// The version it brings to.
    pub version: u64,
    /// Whether `changed` is everything, so that other loads are to be forgotten.
    pub is_whole: bool,
    /// Loads that are new or changed.
    pub changed: Vec<EngineLoad>,
    /// Engines without a load any more.
    pub gone: Vec<EngineId>,
}

/// Answer to a [`Heartbeat`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeartbeatReply {
    /// The lease runs this long from the sending of the heartbeat.
    pub lease: Duration,
    /// Version of `nodes`.
    pub nodes_version: u64,
    /// All gateways with a lease; `None` when the receiver knows this version.
    pub nodes: Option<Vec<NodeInfo>>,
    /// Whether a gateway that is not listed certainly has no lease.
    pub nodes_complete: bool,
    /// Loads of engines that the gateway lacks.
    pub loads: LoadsUpdate,
    /// Changes of the configuration that the gateway lacks.
    pub update: Update,
    /// Every node acts on this revision or a later one.
    pub in_force: Revision,
}

/// Status of one group on one store machine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupStatus {
    /// The group.
    pub group: GroupId,
    /// Whether the machine leads it.
    pub is_leader: bool,
    /// The machine that leads it, as far as known.
    pub leader: Option<u32>,
    /// Its term.
    pub term: u64,
    /// Highest committed index.
    pub commit: u64,
    /// Voters.
    pub voters: Vec<ReplicaId>,
    /// Replicas that catch up.
    pub learners: Vec<ReplicaId>,
    /// Every machine has a caught-up voter: another may be lost.
    pub fully_replicated: bool,
}

/// Status of the fleet as the leader of group 0 sees it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetStatus {
    /// Newest accepted revision.
    pub revision: Revision,
    /// Every node acts on this revision or a later one.
    pub in_force: Revision,
    /// Nodes with a lease, with the revision each acts on.
    pub nodes: Vec<(NodeRef, Revision)>,
}

/// A request to a store machine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StoreRequest {
    /// Changes state; needs a majority.
    Command(GroupId, Command),
    /// Reads state from the leader.
    Query(GroupId, Query),
    /// Renews a gateway's lease.
    Heartbeat(Box<Heartbeat>),
    /// Asks the leader of group 0 about nodes and revisions.
    FleetStatus,
    /// Asks this machine about its groups.
    GroupStatus,
}

impl StoreRequest {
    /// Name of its kind, for metrics.
    pub const fn kind(&self) -> &'static str {
        match self {
            Self::Command(..) => "command",
            Self::Query(..) => "query",
            Self::Heartbeat(_) => "heartbeat",
            Self::FleetStatus | Self::GroupStatus => "status",
        }
    }
}

/// Answer to a [`StoreRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StoreReply {
    /// Result of a command.
    Output(Output),
    /// Answer to a query.
    Answer(Answer),
    /// The lease.
    Heartbeat(Box<HeartbeatReply>),
    /// The fleet.
    FleetStatus(FleetStatus),
    /// The groups.
    GroupStatus(Vec<GroupStatus>),
    /// Ask the machine named, or any other.
    NotLeader(Option<u32>),
    /// The command may or may not take effect.
    Lost,
    /// The machine takes no writes (for instance since its disk is full).
    Unavailable,
}

/// One frame on a link to a store machine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StoreFrame {
    /// From another store machine.
    Peer {
        /// The sender.
        from: ReplicaId,
        /// Messages of its groups.
        messages: Vec<GroupMessage>,
    },
    /// From a gateway or tool.
    Request {
        /// Names the request on this connection.
        id: u64,
        /// The request.
        request: StoreRequest,
    },
    /// From a store machine with an empty folder: has this fleet started before?
    AskStarted {
        /// The machine that asks.
        machine: u32,
    },
}

/// One frame back on a link to a store machine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StoreBack {
    /// Answer to [`StoreFrame::Request`].
    Reply {
        /// The request.
        id: u64,
        /// The answer.
        reply: StoreReply,
    },
    /// Answer to [`StoreFrame::AskStarted`].
    Started {
        /// The machine that answers.
        machine: u32,
        /// Its log holds entries, so the fleet has started before.
        started: bool,
    },
}

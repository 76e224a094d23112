//! Messages exchanged between gateways, tools and store machines.
//!
//! Nodes are gateways. The leader of group 0, which stores the resources, also grants the gateways
//! their leases and collects their loads.

use std::net::SocketAddr;
use std::time::Duration;

use calicohoist_replication::{GroupId, GroupMessage, ReplicaId};
use calicohoist_types::{EngineId, Incarnation, NodeId, Revision, Zone};
use serde::{Deserialize, Serialize};

use crate::commands::{Command, Output};
use crate::queries::resource::ResourceUpdate;
use crate::queries::{Answer, Query};

/// Identifies one run of a gateway process.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct NodeRef {
    /// Id of the gateway.
    pub node: NodeId,
    /// Distinguishes restarts of the same gateway.
    pub incarnation: Incarnation,
}

impl NodeRef {
    /// Returns a placeholder for records that no gateway is assigned to.
    pub fn unassigned() -> Self {
        Self { node: NodeId::new("nobody"), incarnation: Incarnation(0) }
    }
}

/// Load of one engine as reported by the gateway that owns it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineLoad {
    /// The engine.
    pub engine: EngineId,
    /// Number of running calls.
    pub running: u32,
    /// Number of calls queued at the owner.
    pub waiting: u32,
    /// Total prompt tokens of the queued calls.
    pub waiting_tokens: u64,
    /// Whether the engine accepts new calls.
    pub accepts: bool,
}

/// Periodic message from a gateway to the leader of group 0 that renews the gateway's lease.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The sending gateway.
    pub from: NodeRef,
    /// Address at which other gateways reach the sender.
    pub peer_address: SocketAddr,
    /// Availability zone of the sender.
    pub zone: Zone,
    /// Configuration revision that the sender has applied.
    pub applied: Revision,
    /// Version of the list of gateways that the sender has.
    pub nodes_version: u64,
    /// Loads of the engines that the sender owns.
    pub loads: Vec<EngineLoad>,
    /// Version of the engine loads that the sender has.
    pub loads_version: u64,
    /// Whether the sender is shutting down; it then accepts no new work and owns no engine.
    pub stopping: bool,
}

/// Public information about a gateway.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeInfo {
    /// The gateway, with its incarnation.
    pub node: NodeRef,
    /// Address at which other gateways reach it.
    pub peer_address: SocketAddr,
    /// Availability zone.
    pub zone: Zone,
    /// Whether the gateway is shutting down.
    pub stopping: bool,
}

/// Incremental or full update of the engine loads known to a gateway.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadsUpdate {
    /// Version of the loads after applying the update.
    pub version: u64,
    /// Whether `changed` holds all loads and replaces those known before.
    pub is_whole: bool,
    /// New and changed loads.
    pub changed: Vec<EngineLoad>,
    /// Engines that no longer report a load.
    pub gone: Vec<EngineId>,
}

/// Response to a [`Heartbeat`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeartbeatReply {
    /// Lease duration, counted from the time the heartbeat was sent.
    pub lease: Duration,
    /// Version of `nodes`.
    pub nodes_version: u64,
    /// Known gateways that hold a lease; `None` if the receiver already has this version.
    pub nodes: Option<Vec<NodeInfo>>,
    /// Whether the list of gateways is complete. It can be incomplete after a change of the
    /// leader: leases are not replicated, so a new leader learns them from the next heartbeats.
    pub nodes_complete: bool,
    /// Engine loads that changed since the receiver's version.
    pub loads: LoadsUpdate,
    /// Configuration changes since the receiver's revision.
    pub update: ResourceUpdate,
    /// Highest revision that every gateway with a lease has applied.
    pub in_force: Revision,
}

/// Status of one group on one store machine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupStatus {
    /// The group.
    pub group: GroupId,
    /// Whether this machine leads the group.
    pub is_leader: bool,
    /// Machine number of the leader, if known.
    pub leader: Option<u32>,
    /// Current Raft term.
    pub term: u64,
    /// Highest committed log index.
    pub commit: u64,
    /// Voting replicas.
    pub voters: Vec<ReplicaId>,
    /// Non-voting replicas that are catching up.
    pub learners: Vec<ReplicaId>,
    /// Whether every machine has a caught-up voter.
    pub fully_replicated: bool,
}

/// Status of the gateways as known to the leader of group 0.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetStatus {
    /// Latest accepted revision.
    pub revision: Revision,
    /// Highest revision that every gateway with a lease has applied.
    pub in_force: Revision,
    /// Gateways that hold a lease, with the revision each has applied.
    pub nodes: Vec<(NodeRef, Revision)>,
}

/// A request to a store machine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StoreRequest {
    /// Changes state; requires a quorum.
    Command(GroupId, Command),
    /// Reads state through the leader.
    Query(GroupId, Query),
    /// Renews a gateway's lease.
    Heartbeat(Box<Heartbeat>),
    /// Requests the gateways and their revisions from the leader of group 0.
    FleetStatus,
    /// Requests the status of all groups on the receiving machine.
    GroupStatus,
}

impl StoreRequest {
    /// Returns the request kind, used as a metric label.
    pub const fn kind(&self) -> &'static str {
        match self {
            Self::Command(..) => "command",
            Self::Query(..) => "query",
            Self::Heartbeat(_) => "heartbeat",
            Self::FleetStatus | Self::GroupStatus => "status",
        }
    }
}

/// Response to a [`StoreRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StoreReply {
    /// Result of a command.
    Output(Output),
    /// Answer to a query.
    Answer(Answer),
    /// Response to a heartbeat.
    Heartbeat(Box<HeartbeatReply>),
    /// Status of the gateways.
    FleetStatus(FleetStatus),
    /// Status of all groups on the machine.
    GroupStatus(Vec<GroupStatus>),
    /// The machine does not lead the group; holds the leader's machine number if known.
    NotLeader(Option<u32>),
    /// The outcome of the request is unknown; a command may still take effect.
    Lost,
    /// The machine cannot serve the request.
    Unavailable,
}

/// Frame sent to a store machine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StoreFrame {
    /// Replication messages from another store machine.
    Peer {
        /// The sender.
        from: ReplicaId,
        /// Messages of one or more groups.
        messages: Vec<GroupMessage>,
    },
    /// Request from a gateway or tool.
    Request {
        /// Request id, unique per connection.
        id: u64,
        /// The request.
        request: StoreRequest,
    },
    /// Asks whether the store has started before. Sent by a machine without stored state.
    AskStarted {
        /// The asking machine.
        machine: u32,
    },
}

/// Frame sent back by a store machine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StoreReplyFrame {
    /// Response to [`StoreFrame::Request`].
    Reply {
        /// Id of the request.
        id: u64,
        /// The response.
        reply: StoreReply,
    },
    /// Response to [`StoreFrame::AskStarted`].
    Started {
        /// The responding machine.
        machine: u32,
        /// Whether its log holds entries, which means that the store has started before.
        started: bool,
    },
}

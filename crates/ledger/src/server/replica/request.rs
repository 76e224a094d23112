//! Requests to the replica thread and its responses.

use std::sync::Arc;
use std::time::Instant;

use calicohoist_replication::{GroupMessage, ReplicaId};
use calicohoist_routing::DrainedZones;
use crossbeam::channel::Sender;
use tokio::sync::oneshot;

use super::held::HeldBytes;
use super::input_memory::{InputMemory, InputPermit};
use crate::commands::{Command, Output, Reservation, ReserveTurn, RetiringOutcome};
use crate::server::peers::{PeerInfo, VersionSkew};
use crate::state::VersionedConfiguration;

/// A request to the replica thread.
#[derive(Debug)]
pub enum Request {
    /// Apply a command to the state.
    Change(Command),
    /// Make a reservation and read the history of the turn.
    Reserve(ReserveTurn),
    /// Read the configuration, after a quorum has confirmed the leadership, if it is newer than a
    /// given version.
    ReadConfiguration {
        /// Version known to the requester; 0 for none.
        newer_than: u64,
    },
    /// Confirm with a quorum that this machine is the leader.
    ConfirmLeadership,
    /// Retire a machine.
    Retire(String),
    /// Read whether a retiring machine is empty.
    ReadRetiring(String),
}

impl Request {
    /// Size of the retained turn in the request, in bytes; 0 without one.
    pub(super) fn content_bytes(&self) -> usize {
        match self {
            Self::Change(Command::Settle(settle)) => settle.content_bytes(),
            Self::Change(_)
            | Self::Reserve(_)
            | Self::ReadConfiguration { .. }
            | Self::ConfirmLeadership
            | Self::Retire(_)
            | Self::ReadRetiring(_) => 0,
        }
    }
}

/// A response of the replica thread.
#[derive(Clone, Debug)]
pub enum Response {
    /// The command was applied.
    Changed(Output),
    /// Outcome of a reservation.
    Reserved {
        /// Whether the turn may run.
        reservation: Reservation,
        /// Content of the preceding turns, if granted.
        history: Vec<u8>,
        /// Whether the program has already started with another turn.
        is_under_way: bool,
    },
    /// The configuration; `None` when there is no newer one.
    Configuration(Option<VersionedConfiguration>),
    /// Outcome of retiring a machine.
    Retiring(RetiringOutcome),
    /// Whether a retiring machine is empty; `None` if it is not being retired.
    Retired(Option<bool>),
    /// The zone does not exist.
    UnknownZone,
    /// There is no room for another record of this kind, which was not proposed.
    NoRoom,
    /// A ledger machine may not support the command, which was not proposed.
    FleetLags(VersionSkew),
    /// This machine is the leader in this term.
    Leads(u64),
    /// This machine is not the leader; names the leader if it is known.
    NotLeader(Option<u32>),
    /// The request was not started, because it waited too long or the queue was full.
    Overdue,
    /// The outcome is unknown: the change may or may not be applied.
    Lost,
}

/// Callback for a response. It runs on the replica thread and must not block.
pub type ResponseCallback = Box<dyn FnOnce(Response) + Send>;

pub(super) enum Input {
    Messages { from: ReplicaId, messages: Vec<GroupMessage> },
    PeerConnected(PeerInfo),
    Request { request: Request, respond: ResponseCallback, enqueued_at: Instant },
    TransferLeadership,
}

/// An input that waits for the replica thread.
pub(super) struct QueuedInput {
    pub(super) input: Input,
    /// Returned once the replica thread has handled the input.
    pub(super) memory: Option<InputPermit>,
}

impl From<Input> for QueuedInput {
    fn from(input: Input) -> Self {
        Self { input, memory: None }
    }
}

/// Status of the Raft group, published to other tasks.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct GroupStatus {
    /// Current term.
    pub term: u64,
    /// The presumed leader. `None` if unknown, or if it is this machine and `is_leader` is not set
    /// yet.
    pub leader: Option<u32>,
    /// Whether this machine is the leader and has applied all entries committed by earlier
    /// leaders. A machine that has just won an election may not have applied them yet.
    pub is_leader: bool,
    /// Version of the applied configuration.
    pub configuration: u64,
    /// Member machines of the group.
    pub machines: Vec<u32>,
    /// Drained zones, as applied here.
    pub drained: Arc<DrainedZones>,
}

impl GroupStatus {
    /// Records that this machine no longer takes part in the group.
    pub(super) fn leave(&mut self) {
        self.is_leader = false;
        self.leader = None;
    }
}

/// Handle for sending input to the replica thread.
#[derive(Clone)]
pub struct ReplicaHandle {
    pub(super) inputs: Sender<QueuedInput>,
    pub(super) memory: InputMemory,
    pub(super) held: Arc<HeldBytes>,
}

impl ReplicaHandle {
    /// Returns the size of the requests that wait for the replica thread, in bytes.
    pub fn request_bytes(&self) -> usize {
        self.memory.request_bytes()
    }

    /// Returns the size of the messages that wait for the replica thread, in bytes.
    pub fn message_bytes(&self) -> usize {
        self.memory.message_bytes()
    }

    /// Returns what the replica holds, as counted last.
    pub fn held(&self) -> &HeldBytes {
        &self.held
    }

    /// Delivers messages of another replica. They are dropped if the queue is full.
    pub fn deliver_messages(&self, from: ReplicaId, messages: Vec<GroupMessage>) {
        if let Some(memory) = self.memory.admit_messages(&messages) {
            let input = Input::Messages { from, messages };
            let _ = self.inputs.try_send(QueuedInput { input, memory: Some(memory) });
        }
    }

    /// Delivers the name and zone of another machine.
    pub fn register_peer(&self, info: PeerInfo) {
        let _ = self.inputs.try_send(Input::PeerConnected(info).into());
    }

    /// Submits a request. If the queue is full, responds with [`Response::Overdue`] immediately.
    pub fn submit(&self, request: Request, respond: ResponseCallback) {
        let Some(memory) = self.memory.admit_request(&request) else {
            return respond(Response::Overdue);
        };
        let input = Input::Request { request, respond, enqueued_at: Instant::now() };
        let queued = QueuedInput { input, memory: Some(memory) };
        if let Err(rejected) = self.inputs.try_send(queued)
            && let Input::Request { respond, .. } = rejected.into_inner().input
        {
            respond(Response::Overdue);
        }
    }

    /// Submits a request and waits for the response.
    pub async fn call(&self, request: Request) -> Response {
        let (sender, receiver) = oneshot::channel();
        self.submit(
            request,
            Box::new(move |response| {
                let _ = sender.send(response);
            }),
        );
        receiver.await.unwrap_or(Response::Lost)
    }

    /// Transfers the leadership to another replica.
    pub fn transfer_leadership(&self) {
        let _ = self.inputs.try_send(Input::TransferLeadership.into());
    }
}

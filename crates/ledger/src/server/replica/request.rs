//! The way into the replica's thread: what is asked, and what it answers.

use std::sync::Arc;
use std::time::Instant;

use calicohoist_replication::{GroupMessage, ReplicaId};
use calicohoist_routing::DrainedZones;
use crossbeam::channel::Sender;
use tokio::sync::oneshot;

use crate::commands::{Command, Output, Reservation, ReserveTurn, RetiringOutcome};
use crate::server::peers::{FleetLag, PeerCard};
use crate::state::HeldConfiguration;

/// What is asked of the replica.
#[derive(Debug)]
pub enum Request {
    /// Change the state.
    Change(Command),
    /// Reserve, and read the history with it.
    Reserve(ReserveTurn),
    /// Read the configuration, with a quorum behind it, if its version is higher than this.
    ReadConfiguration {
        /// The version that the asker holds; 0 for none.
        newer_than: u64,
    },
    /// Make sure that this machine leads, with a quorum behind it.
    ConfirmLeadership,
    /// Empty a machine.
    Retire(String),
    /// Whether a machine is empty.
    ReadRetiring(String),
}

/// What the replica answers.
#[derive(Clone, Debug)]
pub enum Response {
    /// The change was made.
    Changed(Output),
    /// What came of a reservation.
    Reserved {
        /// Whether the turn may run.
        reservation: Reservation,
        /// What was said before, when granted.
        history: Vec<u8>,
        /// Whether its program has begun with an earlier turn.
        is_under_way: bool,
    },
    /// The configuration; `None` when there is no newer one.
    Configuration(Option<HeldConfiguration>),
    /// What came of retiring.
    Retiring(RetiringOutcome),
    /// Whether a machine that is being emptied is empty; `None` when it is not being emptied.
    Retired(Option<bool>),
    /// No zone of that name exists.
    UnknownZone,
    /// Some machine of the ledger may not know this kind of change; it was not begun.
    FleetLags(FleetLag),
    /// This machine leads in this term.
    Leads(u64),
    /// Another machine leads.
    NotLeader(Option<u32>),
    /// It waited for longer than its asker does, and was not begun.
    Overdue,
    /// It may or may not be done in the end.
    Lost,
}

/// Takes the response on the replica's thread; must not wait.
pub type Respond = Box<dyn FnOnce(Response) + Send>;

pub(super) enum Input {
    Frame { from: ReplicaId, messages: Vec<GroupMessage> },
    Greeting(PeerCard),
    Request { request: Request, respond: Respond, asked: Instant },
    HandOver,
}

/// What other tasks may know of the group at any time.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Standing {
    /// Current term.
    pub term: u64,
    /// Machine believed to lead; `None` while this one is about to, see `is_leader`.
    pub leader: Option<u32>,
    /// Whether it is this one, with all applied that earlier leaders committed: a machine that has
    /// just won an election may know nothing of it since its last snapshot.
    pub is_leader: bool,
    /// Version of the configuration applied here.
    pub configuration: u64,
    /// Machines of the group.
    pub machines: Vec<u32>,
    /// Zones whose replicas get nothing, as applied here.
    pub drained: Arc<DrainedZones>,
}

/// The way into the thread.
#[derive(Clone)]
pub struct ReplicaHandle {
    pub(super) inputs: Sender<Input>,
}

impl ReplicaHandle {
    /// Hands in messages of another replica; dropped when the ring is full.
    pub fn frame(&self, from: ReplicaId, messages: Vec<GroupMessage>) {
        let _ = self.inputs.try_send(Input::Frame { from, messages });
    }

    /// Hands in the name and the zone of another machine.
    pub fn greeting(&self, card: PeerCard) {
        let _ = self.inputs.try_send(Input::Greeting(card));
    }

    /// Asks something; a full ring answers at once that it is not begun.
    pub fn ask(&self, request: Request, respond: Respond) {
        let input = Input::Request { request, respond, asked: Instant::now() };
        if let Err(refused) = self.inputs.try_send(input)
            && let Input::Request { respond, .. } = refused.into_inner()
        {
            respond(Response::Overdue);
        }
    }

    /// Asks something and waits for the response.
    pub async fn call(&self, request: Request) -> Response {
        let (sender, receiver) = oneshot::channel();
        self.ask(
            request,
            Box::new(move |response| {
                let _ = sender.send(response);
            }),
        );
        receiver.await.unwrap_or(Response::Lost)
    }

    /// Gives the leadership to another replica.
    pub fn hand_over(&self) {
        let _ = self.inputs.try_send(Input::HandOver);
    }
}

//! Questions of gateways.
//!
//! - [`news`]: what they watch for, and what they report along with it;
//! - [`older`]: what those of older builds are told;
//! - [`shared`]: answers that are the same for all of them;
//! - [`turns`]: whether, when and where a request runs.

mod news;
mod older;
mod shared;
mod turns;

use std::sync::Arc;
use std::time::{Duration, Instant};

use calicohoist_routing::{Distance, Topology};
use calicohoist_scheduler::PlacementRequest;
use calicohoist_telemetry::metrics::{Counter, Gauge};
use calicohoist_telemetry::{Event, emit};
use calicohoist_transport::version::accept_offer;
use calicohoist_transport::{
    Frame, FrameError, FrameQueue, FrameReader, ProtocolVersion, QueuedBytes, RefusedFrameLog,
    SendOutcome, VersionError, spawn_writer, tcp,
};
use parking_lot::Mutex;
use tokio::net::{TcpListener, TcpStream};
use tokio::runtime::Handle;
use tokio::sync::watch;

use super::failures::FailureDesk;
use super::limits::LimitDesk;
use super::list::Reading;
use super::loads::LoadBoard;
use super::preference::ZoneLoads;
use super::replica::{ReplicaHandle, Standing};
use super::traffic::{self, Peer};
use super::turns::TurnDesk;
use crate::protocol::{Answer, Ask, NEWEST, Question, Reply, SPOKEN};
use older::OlderGateways;
use shared::{SharedAnswer, SharedAnswers};

/// How long a gateway that looks for a leader is kept waiting while nobody leads: what it
/// would do meanwhile is ask again.
const FIND_HOLD: Duration = Duration::from_millis(150);
const USER_TIMEOUT: Duration = Duration::from_millis(2_000);

static REFUSALS: RefusedFrameLog = RefusedFrameLog::new("gateway");

static ANSWERED_BYTES: Counter = Counter::new(
    "calicohoist_ledger_answered_bytes_total",
    "Bytes of answers to gateways, by what takes most of them",
    "answer",
);
static WAITING: Gauge = Gauge::new(
    "calicohoist_ledger_waiting_bytes",
    "Bytes of answers that wait for gateways to take them",
);

/// Where a ledger machine is, and where its askers are.
#[derive(Debug)]
pub struct HubPlace {
    /// Zone of this machine.
    pub zone: String,
    /// Where zones lie.
    pub topology: Arc<Topology>,
    /// Turns by the zone of their gateways.
    pub loads: Arc<Mutex<ZoneLoads>>,
}

/// What all connections of gateways share.
#[derive(Clone)]
pub struct Hub {
    replica: ReplicaHandle,
    standing: watch::Receiver<Standing>,
    list: watch::Receiver<Reading>,
    loads: Arc<Mutex<LoadBoard>>,
    /// Turns of programs; of use on the leader only, which alone grants reservations.
    turns: Arc<TurnDesk>,
    /// Limits of tenants; of use on the leader only.
    limits: Arc<LimitDesk>,
    /// Replicas that fail; of use on the leader only.
    failures: Arc<FailureDesk>,
    /// Answers that wait on all connections.
    waiting: QueuedBytes,
    shared: Arc<Mutex<SharedAnswers>>,
    older: OlderGateways,
    /// Where this machine and its askers are.
    place: Arc<HubPlace>,
    /// Runs what the replica's thread must not wait for.
    runtime: Handle,
}

impl Hub {
    /// Answers from `replica` and the readings of the list; made within a runtime.
    pub fn new(
        replica: ReplicaHandle,
        standing: watch::Receiver<Standing>,
        list: watch::Receiver<Reading>,
        turns: Arc<TurnDesk>,
        limits: Arc<LimitDesk>,
        place: HubPlace,
    ) -> Self {
        Self {
            replica,
            standing,
            list,
            loads: Arc::default(),
            turns,
            limits,
            failures: Arc::default(),
            waiting: QueuedBytes::default(),
            shared: Arc::default(),
            older: OlderGateways::default(),
            place: Arc::new(place),
            runtime: Handle::current(),
        }
    }

    fn not_leader(&self, leader: Option<u32>) -> Answer {
        Answer::NotLeader { leader, machines: self.standing.borrow().machines.clone() }
    }

    /// Who leads, as soon as somebody does.
    async fn find_leader(&self) -> Answer {
        let mut standing = self.standing.clone();
        let known = standing.wait_for(|standing| standing.leader.is_some());
        let _ = tokio::time::timeout(FIND_HOLD, known).await;
        let standing = self.standing.borrow().clone();
        if standing.is_leader {
            return Answer::Leads { machines: standing.machines };
        }
        Answer::NotLeader { leader: standing.leader, machines: standing.machines }
    }
}

/// Takes connections of gateways.
pub async fn accept(listener: TcpListener, hub: Hub) {
    loop {
        if let Ok((stream, address)) = listener.accept().await
            && tcp::configure(&stream, USER_TIMEOUT).is_ok()
        {
            let hub = hub.clone();
            tokio::spawn(async move {
                if let Err(error) = serve(stream, hub).await {
                    REFUSALS.record_version_error(address, &error);
                }
            });
        }
    }
}

async fn serve(stream: TcpStream, hub: Hub) -> Result<(), VersionError> {
    let (input, mut output) = stream.into_split();
    let mut frames = FrameReader::new(input);
    let version = accept_offer(&mut frames, &mut output, SPOKEN).await?;
    let older = (version < NEWEST).then(|| Arc::new(hub.clone()));
    let replies = spawn_writer(output, hub.waiting.clone());
    let mut distance = None;
    loop {
        let Ask { number, question } = Ask::read(&mut frames, version).await?;
        let question = match &older {
            Some(hub) => hub.older.read(question, &hub.fleet()),
            None => question,
        };
        if let Some(placement) = placement_in(&question) {
            distance = Some(hub.place.topology.distance(&hub.place.zone, &placement.zone));
            hub.place.loads.lock().note(&placement.zone, Instant::now());
        }
        traffic::note(Peer::Asker, word_of(&question), distance, frames.last_frame_len());
        let (replies, waiting) = (replies.clone(), hub.waiting.clone());
        let back = Back { number, replies, waiting, distance, version, older: older.clone() };
        match question {
            Question::Reserve { reserve, placement, permit } => {
                hub.reserve(reserve, placement, permit, back);
            }
            Question::Permit(permit) => hub.permit(permit, back),
            Question::Place { turn, placement } => hub.place(turn, placement, back),
            Question::Settle(settle) => hub.settle(settle, back),
            Question::ReportFailure { replica } => hub.note_failure(&replica, back),
            Question::FindLeader => {
                let hub = hub.clone();
                tokio::spawn(async move { back.send(hub.find_leader().await) });
            }
            Question::Watch(seen) => {
                let hub = hub.clone();
                tokio::spawn(async move { hub.watch(seen, back).await });
            }
        }
    }
}

/// The placement that a question asks for, which names the asker's zone.
fn placement_in(question: &Question) -> Option<&PlacementRequest> {
    match question {
        Question::Reserve { placement, .. } => placement.as_ref(),
        Question::Place { placement, .. } => Some(placement),
        _ => None,
    }
}

fn word_of(question: &Question) -> &'static str {
    match question {
        Question::Reserve { .. } => "reserve",
        Question::Permit(_) => "permit",
        Question::Place { .. } => "place",
        Question::Settle(_) => "settle",
        Question::Watch(_) => "watch",
        Question::ReportFailure { .. } => "failure",
        Question::FindLeader => "find_leader",
    }
}

/// The way back to the asker.
pub(super) struct Back {
    number: u64,
    replies: FrameQueue,
    waiting: QueuedBytes,
    /// How far the asker is, once that is known.
    distance: Option<Distance>,
    version: ProtocolVersion,
    /// Translates for an asker of an older build.
    older: Option<Arc<Hub>>,
}

impl Back {
    /// A connection that does not take its answers is closed; its owner asks again.
    pub(super) fn send(self, answer: Answer) {
        let answer = match &self.older {
            Some(hub) => hub.older.tell(answer, &hub.fleet()),
            None => answer,
        };
        let bulk = bulk_of(&answer);
        let frame = Reply { number: self.number, answer }.encode(self.version);
        self.send_frame(bulk, frame);
    }

    /// Whether the asker is of an older build.
    fn is_older(&self) -> bool {
        self.older.is_some()
    }

    /// Sends an answer that other connections send, too, and that is the same in all versions.
    fn send_shared(self, answer: &SharedAnswer) {
        let frame = Frame::with_shared(&self.number, &answer.encoded);
        self.send_frame(answer.bulk, frame);
    }

    fn send_if_encoded(self, answer: Result<SharedAnswer, FrameError>) {
        match answer {
            Ok(answer) => self.send_shared(&answer),
            Err(error) => {
                emit!(Event::AnswerTooLong; error = error);
                self.send(Answer::Unavailable);
            }
        }
    }

    fn send_frame(self, bulk: &'static str, frame: Result<Frame, FrameError>) {
        match frame {
            Ok(frame) => {
                ANSWERED_BYTES.add(bulk, frame.len() as u64);
                traffic::note(Peer::Gateway, bulk, self.distance, frame.len());
                let queued = self.replies.send(frame);
                WAITING.set(self.waiting.get() as u64);
                if queued == SendOutcome::Overflowed {
                    emit!(Event::AnswersNotTaken; answer = bulk, waiting = self.waiting.get());
                }
            }
            // The asker gives up at its deadline; other answers go on.
            Err(error) => emit!(Event::AnswerTooLong; answer = bulk, error = error),
        }
    }
}

/// What takes most of an answer's bytes.
fn bulk_of(answer: &Answer) -> &'static str {
    match answer {
        Answer::Configuration { .. } => "configuration",
        Answer::List { .. } => "list",
        Answer::News(_) => "loads",
        Answer::Reserved { .. } => "history",
        Answer::Permit(_)
        | Answer::Placed(_)
        | Answer::Settled
        | Answer::Noted
        | Answer::Leads { .. }
        | Answer::NotLeader { .. }
        | Answer::Unavailable
        | Answer::DrainedZones(_) => "short",
    }
}

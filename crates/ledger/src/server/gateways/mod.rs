//! The service for gateways.
//!
//! - [`bulk`]: limit on the large answers that are under way;
//! - [`histories`]: memory of histories that wait for their turn on a connection;
//! - [`legacy`]: translation for gateways running older builds;
//! - [`shared`]: answers that are encoded once for all gateways;
//! - [`turns`]: reservations, permits and placement;
//! - [`updates`]: long polling for updates, and the load reports sent with it.

pub mod bulk;
pub mod histories;
mod legacy;
mod shared;
mod turns;
mod updates;

use std::net::IpAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use calicohoist_routing::{Distance, Topology};
use calicohoist_scheduler::PlacementRequest;
use calicohoist_telemetry::metrics::{Counter, Gauge};
use calicohoist_telemetry::{Event, emit};
use calicohoist_transport::version::accept_offer;
use calicohoist_transport::{
    ConnectionLimit, Frame, FrameError, FrameQueue, FrameReader, ProtocolVersion, QueuedBytes,
    RefusedFrameLog, SendOutcome, VersionError, spawn_writer, tcp,
};
use parking_lot::Mutex;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::runtime::Handle;
use tokio::sync::{oneshot, watch};

use super::contacts::GatewayContacts;
use super::crashes::CrashBoard;
use super::failures::FailureTracker;
use super::limits::TenantLimiter;
use super::list::DiscoverySnapshot;
use super::loads::LoadAggregator;
use super::memory::MachineMemory;
use super::preference::ZoneLoads;
use super::receipts::CrashReceipts;
use super::replica::{GroupStatus, ReplicaHandle};
use super::traffic::{self, Peer};
use super::turns::TurnDispatcher;
use crate::protocol::{
    LIST_PATCH_VERSION, LedgerRequest, LedgerResponse, REPLICA_VERSIONS_VERSION, RequestEnvelope,
    ResponseEnvelope, SUPPORTED_VERSIONS,
};
use bulk::BulkLimiter;
use histories::WaitingHistories;
use legacy::LegacyGateways;
use shared::{ListForm, SharedAnswer, SharedAnswers};

/// How long a request for the leader is held while there is none.
const FIND_LEADER_TIMEOUT: Duration = Duration::from_millis(150);
const USER_TIMEOUT: Duration = Duration::from_millis(2_000);
/// Maximum number of open connections of gateways. Each needs one.
const MAX_CONNECTIONS: usize = 2_048;

static REFUSALS: RefusedFrameLog = RefusedFrameLog::new("gateway");

static ANSWERED_BYTES: Counter = Counter::new(
    "calicohoist_ledger_answered_bytes_total",
    "Bytes of answers to gateways, by what takes most of them",
    "answer",
);
static QUEUED_BYTES: Gauge = Gauge::new(
    "calicohoist_ledger_waiting_bytes",
    "Bytes of answers that wait for gateways to take them",
);

/// Location of a ledger machine and of the gateways that send turns to it.
#[derive(Debug)]
pub struct ServiceLocation {
    /// Zone of this machine.
    pub zone: String,
    /// Regions of the zones.
    pub topology: Arc<Topology>,
    /// Turns by the zone of the gateway.
    pub loads: Arc<Mutex<ZoneLoads>>,
}

/// Answers the questions of gateways. All connections share it.
#[derive(Clone)]
pub struct GatewayService {
    replica: ReplicaHandle,
    status: watch::Receiver<GroupStatus>,
    list: watch::Receiver<DiscoverySnapshot>,
    loads: Arc<Mutex<LoadAggregator>>,
    /// Placement of turns; used on the leader only.
    turns: Arc<TurnDispatcher>,
    /// Tenant limits; used on the leader only.
    limits: Arc<TenantLimiter>,
    /// Failing replicas; used on the leader only.
    failures: Arc<FailureTracker>,
    /// Replicas that crashed under requests.
    crashes: Arc<CrashBoard>,
    /// Which of these each gateway has received.
    receipts: Arc<CrashReceipts>,
    /// Which gateways watch; used on the leader only.
    contacts: Arc<GatewayContacts>,
    memory: MachineMemory,
    shared: Arc<Mutex<SharedAnswers>>,
    /// Limits the configurations under way. Separate from the lists, which take longer.
    bulk_configurations: BulkLimiter,
    bulk_lists: BulkLimiter,
    legacy: LegacyGateways,
    location: Arc<ServiceLocation>,
    /// Runs delayed work, because the replica thread must not block.
    runtime: Handle,
}

impl GatewayService {
    /// Creates the service. Must be called within a Tokio runtime.
    pub fn new(
        replica: ReplicaHandle,
        status: watch::Receiver<GroupStatus>,
        list: watch::Receiver<DiscoverySnapshot>,
        turns: Arc<TurnDispatcher>,
        limits: Arc<TenantLimiter>,
        crashes: Arc<CrashBoard>,
        location: ServiceLocation,
    ) -> Self {
        Self {
            replica,
            status,
            list,
            loads: Arc::default(),
            turns,
            limits,
            failures: Arc::default(),
            crashes,
            receipts: Arc::default(),
            contacts: Arc::default(),
            memory: MachineMemory::default(),
            shared: Arc::default(),
            bulk_configurations: BulkLimiter::default(),
            bulk_lists: BulkLimiter::default(),
            legacy: LegacyGateways::default(),
            location: Arc::new(location),
            runtime: Handle::current(),
        }
    }

    /// Shares the memory of a machine.
    pub fn with_memory(self, memory: MachineMemory) -> Self {
        Self { memory, ..self }
    }

    fn not_leader(&self, leader: Option<u32>) -> LedgerResponse {
        LedgerResponse::NotLeader { leader, machines: self.status.borrow().machines.clone() }
    }

    /// Answers with the leader, waiting a short time for one to be elected.
    async fn find_leader(&self) -> LedgerResponse {
        let mut status = self.status.clone();
        let has_leader = status.wait_for(|status| status.leader.is_some());
        let _ = tokio::time::timeout(FIND_LEADER_TIMEOUT, has_leader).await;
        let status = self.status.borrow().clone();
        if status.is_leader {
            return LedgerResponse::Leads { machines: status.machines };
        }
        LedgerResponse::NotLeader { leader: status.leader, machines: status.machines }
    }
}

/// Accepts connections from gateways.
pub async fn accept(listener: TcpListener, service: GatewayService) {
    let limit = ConnectionLimit::new(MAX_CONNECTIONS);
    loop {
        let (stream, address) = tcp::accept(&listener).await;
        let Some(open) = limit.open(address) else {
            continue;
        };
        let configured =
            tcp::configure(&stream, USER_TIMEOUT).and_then(|()| tcp::keep_alive(&stream));
        if let Err(error) = configured {
            // The gateway has reset the connection meanwhile.
            emit!(Event::ConnectionFailed, "cannot configure a connection: {error}");
            continue;
        }
        let service = service.clone();
        tokio::spawn(async move {
            if let Err(error) = serve(stream, address.ip(), service).await {
                REFUSALS.record_version_error(address, &error);
            }
            drop(open);
        });
    }
}

async fn serve(
    stream: TcpStream,
    gateway: IpAddr,
    service: GatewayService,
) -> Result<(), VersionError> {
    let (input, mut output) = stream.into_split();
    let mut frames = FrameReader::with_memory(input, &service.memory.received_frames, gateway);
    let result = match accept_offer(&mut frames, &mut output, SUPPORTED_VERSIONS).await {
        Ok(version) => answer(&mut frames, output, version, service).await.map_err(Into::into),
        Err(error) => Err(error),
    };
    if let Err(VersionError::Malformed(error)) = &result {
        frames.pause_after(error).await;
    }
    result
}

/// Answers the questions of a connection until it fails.
async fn answer(
    frames: &mut FrameReader<OwnedReadHalf>,
    output: OwnedWriteHalf,
    version: ProtocolVersion,
    service: GatewayService,
) -> Result<(), FrameError> {
    let legacy = (version == ProtocolVersion::LEGACY).then(|| Arc::new(service.clone()));
    let replies = spawn_writer(output, service.memory.queued_frames.clone());
    let histories = WaitingHistories::new(service.memory.histories.clone());
    let mut distance = None;
    loop {
        let RequestEnvelope { number, question } = RequestEnvelope::read(frames, version).await?;
        let question = match &legacy {
            Some(service) => service.legacy.translate_question(question, &service.fleet()),
            None => question,
        };
        if let Some(placement) = placement_request(&question) {
            distance =
                Some(service.location.topology.distance(&service.location.zone, &placement.zone));
            service.location.loads.lock().record(&placement.zone, Instant::now());
        }
        traffic::record(Peer::Asker, question_kind(&question), distance, frames.last_frame_len());
        let responder = Responder {
            number,
            replies: replies.clone(),
            queued_bytes: service.memory.queued_frames.clone(),
            histories: histories.clone(),
            runtime: service.runtime.clone(),
            distance,
            version,
            legacy: legacy.clone(),
        };
        match question {
            LedgerRequest::Reserve { reserve, placement, permit } => {
                service.reserve(reserve, placement, permit, responder);
            }
            LedgerRequest::Permit(permit) => service.permit(permit, responder),
            LedgerRequest::Place { turn, placement } => service.place(turn, placement, responder),
            LedgerRequest::Settle(settle) => service.settle(settle, responder),
            LedgerRequest::ReportFailure { replica } => service.report_failure(&replica, responder),
            LedgerRequest::FindLeader => {
                let service = service.clone();
                tokio::spawn(async move { responder.send(service.find_leader().await) });
            }
            LedgerRequest::Watch(seen) => {
                let service = service.clone();
                tokio::spawn(async move { service.watch(seen, responder).await });
            }
            // Unwrapped when read, unless a peer wraps a request twice.
            LedgerRequest::ForVersion { .. } | LedgerRequest::WatchCrashes { .. } => {
                responder.send(LedgerResponse::Unavailable)
            }
        }
    }
}

/// Returns the placement request of a question, if any.
fn placement_request(question: &LedgerRequest) -> Option<&PlacementRequest> {
    match question {
        LedgerRequest::Reserve { placement, .. } => placement.as_ref(),
        LedgerRequest::Place { placement, .. } => Some(placement),
        _ => None,
    }
}

fn question_kind(question: &LedgerRequest) -> &'static str {
    match question {
        LedgerRequest::Reserve { .. } => "reserve",
        LedgerRequest::Permit(_) => "permit",
        LedgerRequest::Place { .. } => "place",
        LedgerRequest::Settle(_) => "settle",
        LedgerRequest::Watch(_) | LedgerRequest::WatchCrashes { .. } => "watch",
        LedgerRequest::ReportFailure { .. } => "failure",
        LedgerRequest::FindLeader => "find_leader",
        LedgerRequest::ForVersion { request, .. } => question_kind(request),
    }
}

/// Sends the answer to a question.
pub(super) struct Responder {
    number: u64,
    replies: FrameQueue,
    queued_bytes: QueuedBytes,
    histories: WaitingHistories,
    runtime: Handle,
    /// Distance to the gateway, once known.
    distance: Option<Distance>,
    version: ProtocolVersion,
    /// Translates answers for a gateway running an older build.
    legacy: Option<Arc<GatewayService>>,
}

impl Responder {
    /// Queues the answer. A connection whose queue overflows is closed, and the gateway retries.
    pub(super) fn send(self, answer: LedgerResponse) {
        let answer = match &self.legacy {
            Some(service) => service.legacy.translate_answer(answer, &service.fleet()),
            None => match &answer {
                LedgerResponse::Reserved { history, .. }
                    if history.len() >= histories::MIN_BYTES =>
                {
                    let bytes = history.len();
                    return self.send_history(answer, bytes);
                }
                _ => answer,
            },
        };
        let kind = answer_kind(&answer);
        let frame = ResponseEnvelope { number: self.number, answer }.encode(self.version);
        self.send_frame(kind, frame);
    }

    /// Queues an answer with a long history after those before it. If too many wait, the gateway
    /// asks again after a pause.
    fn send_history(self, answer: LedgerResponse, bytes: usize) {
        let Some(admitted) = self.histories.admit(bytes, &self.queued_bytes) else {
            return self.send(LedgerResponse::Unavailable);
        };
        let kind = answer_kind(&answer);
        let frame = ResponseEnvelope { number: self.number, answer }.encode(self.version);
        let runtime = self.runtime.clone();
        runtime.spawn(async move {
            match frame {
                Ok(frame) => {
                    self.record(kind, &frame);
                    self.replies.send_in_turn(frame).await;
                }
                Err(error) => emit!(Event::AnswerTooLong; answer = kind, error = error),
            }
            drop(admitted);
        });
    }

    fn record(&self, kind: &'static str, frame: &Frame) {
        ANSWERED_BYTES.add(kind, frame.len() as u64);
        traffic::record(Peer::Gateway, kind, self.distance, frame.len());
    }

    /// Returns whether the gateway runs an older build.
    fn is_legacy(&self) -> bool {
        self.legacy.is_some()
    }

    /// Returns whether the gateway supports the answers added with list patches.
    fn supports_list_patches(&self) -> bool {
        self.version >= LIST_PATCH_VERSION
    }

    /// Returns the form in which the gateway receives lists.
    fn list_form(&self) -> ListForm {
        if self.version >= REPLICA_VERSIONS_VERSION {
            ListForm::Versioned
        } else if self.supports_list_patches() {
            ListForm::Packed
        } else {
            ListForm::Plain
        }
    }

    /// Sends an answer shared with other connections. It must be the same in all versions that the
    /// gateway may use. `written` is dropped once the answer has been written.
    fn send_shared(self, answer: &SharedAnswer, written: oneshot::Sender<()>) {
        let frame = Frame::with_shared(&self.number, &answer.encoded);
        self.queue_frame(answer.kind, frame, |replies, frame| {
            replies.send_with_notice(frame, written)
        });
    }

    fn send_frame(self, kind: &'static str, frame: Result<Frame, FrameError>) {
        self.queue_frame(kind, frame, FrameQueue::send);
    }

    fn queue_frame(
        self,
        kind: &'static str,
        frame: Result<Frame, FrameError>,
        queue: impl FnOnce(&FrameQueue, Frame) -> SendOutcome,
    ) {
        match frame {
            Ok(frame) => {
                self.record(kind, &frame);
                let queued = queue(&self.replies, frame);
                QUEUED_BYTES.set(self.queued_bytes.get() as u64);
                if queued == SendOutcome::Overflowed {
                    emit!(Event::AnswersNotTaken; answer = kind, waiting = self.queued_bytes.get());
                }
            }
            // The gateway's request times out. Other answers are not affected.
            Err(error) => emit!(Event::AnswerTooLong; answer = kind, error = error),
        }
    }
}

/// Returns the metric label of an answer: the content that makes up most of its size.
fn answer_kind(answer: &LedgerResponse) -> &'static str {
    match answer {
        LedgerResponse::Configuration { .. } => "configuration",
        LedgerResponse::List { .. }
        | LedgerResponse::PackedList { .. }
        | LedgerResponse::VersionedList { .. } => "list",
        LedgerResponse::ListChanges { .. } | LedgerResponse::VersionedChanges { .. } => {
            "list_changes"
        }
        LedgerResponse::News(_) | LedgerResponse::Update(_) => "loads",
        LedgerResponse::Reserved { .. } => "history",
        LedgerResponse::Crashes { .. } => "crashes",
        LedgerResponse::Permit(_)
        | LedgerResponse::Placed(_)
        | LedgerResponse::Settled
        | LedgerResponse::Noted
        | LedgerResponse::Leads { .. }
        | LedgerResponse::NotLeader { .. }
        | LedgerResponse::Unavailable
        | LedgerResponse::DrainedZones(_) => "short",
    }
}

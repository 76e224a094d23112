//! A multiplexed connection to a ledger machine.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use calicohoist_transport::{
    FrameQueue, FrameReader, ProtocolVersion, QueuedBytes, RefusedFrameLog, SendOutcome,
    spawn_writer, version,
};
use parking_lot::Mutex;
use tokio::net::tcp::OwnedReadHalf;
use tokio::sync::oneshot;

use crate::protocol::{
    LedgerRequest, LedgerResponse, RequestEnvelope, ResponseEnvelope, SUPPORTED_VERSIONS,
};

static REFUSALS: RefusedFrameLog = RefusedFrameLog::new("ledger");

const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// TCP user timeout: the connection fails if sent data stays unacknowledged for this long.
const USER_TIMEOUT: Duration = Duration::from_millis(1_000);

/// A handle to a connection.
#[derive(Clone)]
pub(super) struct Connection {
    requests: FrameQueue,
    state: Arc<ConnectionState>,
    version: ProtocolVersion,
    opened_at: Instant,
}

struct ConnectionState {
    is_open: AtomicBool,
    /// Response channels of the requests in flight, by number.
    pending: Mutex<HashMap<u64, oneshot::Sender<LedgerResponse>>>,
    /// When bytes were last received, even of an incomplete response. A large response may take
    /// longer than the response timeout to arrive and must not be requested again meanwhile: one of
    /// 2.6 MB that took 4 s had not arrived after 60 s of repeated requests.
    last_received: Mutex<Instant>,
}

impl Connection {
    /// Connects to `address`; returns `None` if the connection fails or times out.
    pub(super) async fn open(address: SocketAddr) -> Option<Self> {
        let opened =
            version::connect(address, CONNECT_TIMEOUT, USER_TIMEOUT, SUPPORTED_VERSIONS).await;
        let (stream, version) =
            opened.inspect_err(|error| REFUSALS.record_version_error(address, error)).ok()?;
        let (input, output) = stream.into_split();
        let state = ConnectionState {
            is_open: AtomicBool::new(true),
            pending: Mutex::default(),
            last_received: Mutex::new(Instant::now()),
        };
        let requests = spawn_writer(output, QueuedBytes::default());
        let connection =
            Self { requests, state: Arc::new(state), version, opened_at: Instant::now() };
        let state = Arc::clone(&connection.state);
        tokio::spawn(read_responses(FrameReader::new(input), version, state, address));
        Some(connection)
    }

    /// Returns whether the connection is still usable.
    pub(super) fn is_open(&self) -> bool {
        self.state.is_open.load(Ordering::Relaxed)
    }

    /// Returns whether the machine may support later versions than the legacy one by which it was
    /// connected at least `ttl` ago.
    pub(super) fn is_outdated(&self, ttl: Duration) -> bool {
        self.version == ProtocolVersion::LEGACY && self.opened_at.elapsed() >= ttl
    }

    /// Returns the negotiated protocol version.
    pub(super) fn version(&self) -> ProtocolVersion {
        self.version
    }

    /// Returns when bytes were last received.
    pub(super) fn last_received(&self) -> Instant {
        *self.state.last_received.lock()
    }

    /// Sends a request; returns `None` if the connection is closed or its queue is full.
    pub(super) fn send(&self, number: u64, request: &LedgerRequest) -> Option<PendingResponse> {
        let (sender, receiver) = oneshot::channel();
        if self.version == ProtocolVersion::LEGACY
            && let Some(response) = request.local_response_for_v1()
        {
            let _ = sender.send(response);
            return Some(PendingResponse { number, receiver, state: Arc::clone(&self.state) });
        }
        let frame =
            RequestEnvelope { number, question: request.clone() }.encode(self.version).ok()?;
        self.state.pending.lock().insert(number, sender);
        let pending = PendingResponse { number, receiver, state: Arc::clone(&self.state) };
        if !self.is_open() {
            return None;
        }
        (self.requests.send(frame) == SendOutcome::Queued).then_some(pending)
    }
}

/// A request in flight; dropping it discards the response.
pub(super) struct PendingResponse {
    number: u64,
    receiver: oneshot::Receiver<LedgerResponse>,
    state: Arc<ConnectionState>,
}

impl PendingResponse {
    /// Waits for the response; returns `None` if the connection is closed first.
    pub(super) async fn receive(&mut self) -> Option<LedgerResponse> {
        (&mut self.receiver).await.ok()
    }
}

impl Drop for PendingResponse {
    fn drop(&mut self) {
        self.state.pending.lock().remove(&self.number);
    }
}

async fn read_responses(
    mut frames: FrameReader<OwnedReadHalf>,
    version: ProtocolVersion,
    state: Arc<ConnectionState>,
    address: SocketAddr,
) {
    let record_received = |_| *state.last_received.lock() = Instant::now();
    let error = loop {
        let read = ResponseEnvelope::read(&mut frames, version, record_received).await;
        let ResponseEnvelope { number, answer } = match read {
            Ok(reply) => reply,
            Err(error) => break error,
        };
        if let Some(sender) = state.pending.lock().remove(&number) {
            let _ = sender.send(answer);
        }
    };
    REFUSALS.record(address, &error);
    // Rejects new requests before the pending ones are cancelled.
    state.is_open.store(false, Ordering::Relaxed);
    state.pending.lock().clear();
}

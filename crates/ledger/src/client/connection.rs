//! A multiplexed connection to a ledger machine.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Weak};
use std::time::{Duration, Instant};

use calicohoist_transport::{
    FrameError, FrameQueue, FrameReader, ProtocolVersion, QueuedBytes, RefusedFrameLog,
    SendOutcome, spawn_writer, version,
};
use parking_lot::Mutex;
use tokio::net::tcp::OwnedReadHalf;
use tokio::sync::oneshot;

use super::progress::{ReceivedBytes, ResponseProgress};
use crate::protocol::{
    LedgerRequest, LedgerResponse, RequestEnvelope, ResponseEnvelope, SUPPORTED_VERSIONS,
};

static REFUSALS: RefusedFrameLog = RefusedFrameLog::new("ledger");

const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Length from which a request waits for those before it, so that a few turns with long inputs that
/// end at the same moment don't overflow the queue, which closes the connection.
const MIN_BYTES_IN_TURN: usize = 16 << 10;
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
    progress: ResponseProgress,
    /// Tells the reader that the connection is no longer used.
    _in_use: oneshot::Sender<()>,
}

impl Connection {
    /// Connects to `address`; returns `None` if the connection fails or times out.
    pub(super) async fn open(address: SocketAddr) -> Option<Self> {
        let opened =
            version::connect(address, CONNECT_TIMEOUT, USER_TIMEOUT, SUPPORTED_VERSIONS).await;
        let (stream, version) =
            opened.inspect_err(|error| REFUSALS.record_version_error(address, error)).ok()?;
        let (input, output) = stream.into_split();
        let (in_use, released) = oneshot::channel();
        let state = ConnectionState {
            is_open: AtomicBool::new(true),
            pending: Mutex::default(),
            progress: ResponseProgress::new(),
            _in_use: in_use,
        };
        let requests = spawn_writer(output, QueuedBytes::default());
        let connection =
            Self { requests, state: Arc::new(state), version, opened_at: Instant::now() };
        let reader = ResponseReader {
            frames: FrameReader::new(input),
            version,
            state: Arc::downgrade(&connection.state),
            received: ReceivedBytes::default(),
        };
        tokio::spawn(reader.run(released, address));
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

    /// Returns when the machine last made progress with a response.
    pub(super) fn last_progress(&self) -> Instant {
        self.state.progress.last()
    }

    /// Sends a request; returns `None` if the connection is closed or its queue is full.
    pub(super) async fn send(
        &self,
        number: u64,
        request: &LedgerRequest,
    ) -> Option<PendingResponse> {
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
        let outcome = match frame.len() {
            MIN_BYTES_IN_TURN.. => self.requests.send_in_turn(frame).await,
            _ => self.requests.send(frame),
        };
        (outcome == SendOutcome::Queued).then_some(pending)
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

/// Reads the responses of a connection while it is used.
struct ResponseReader {
    frames: FrameReader<OwnedReadHalf>,
    version: ProtocolVersion,
    state: Weak<ConnectionState>,
    received: ReceivedBytes,
}

impl ResponseReader {
    async fn run(mut self, released: oneshot::Receiver<()>, address: SocketAddr) {
        let error = tokio::select! {
            // The sender is dropped with the last handle and the last request in flight.
            _ = released => return,
            error = self.read_until_error() => error,
        };
        REFUSALS.record(address, &error);
        if let Some(state) = self.state.upgrade() {
            // Rejects new requests before the pending ones are cancelled.
            state.is_open.store(false, Ordering::Relaxed);
            state.pending.lock().clear();
        }
    }

    async fn read_until_error(&mut self) -> FrameError {
        loop {
            if let Err(error) = self.read_response().await {
                return error;
            }
            if self.received.exceed_responses() {
                return FrameError::Unrequested;
            }
        }
    }

    async fn read_response(&mut self) -> Result<(), FrameError> {
        let Self { frames, version, state, received } = self;
        let on_bytes = |count| {
            if let Some(state) = state.upgrade() {
                state.progress.record_bytes(received, count);
            }
        };
        let response = ResponseEnvelope::read(frames, *version, on_bytes).await?;
        let Some(state) = state.upgrade() else {
            return Ok(());
        };
        let awaited = state.pending.lock().remove(&response.number);
        if let Some(sender) = awaited {
            state.progress.record_response(received);
            // The request may have been given up meanwhile.
            let _ = sender.send(response.answer);
        }
        Ok(())
    }
}

//! One connection to a ledger machine, shared by all questions to it.

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

use crate::protocol::{Answer, Ask, Question, Reply, SPOKEN};

static REFUSALS: RefusedFrameLog = RefusedFrameLog::new("ledger");

/// Within one zone or the next a connection opens in a few milliseconds.
const CONNECT_PATIENCE: Duration = Duration::from_millis(250);
/// Written bytes that stay unacknowledged for so long break the connection.
const USER_TIMEOUT: Duration = Duration::from_millis(1_000);

/// An open connection.
#[derive(Clone)]
pub(super) struct Connection {
    questions: FrameQueue,
    state: Arc<ConnectionState>,
    version: ProtocolVersion,
}

struct ConnectionState {
    is_open: AtomicBool,
    /// Who waits for which answer.
    waiting: Mutex<HashMap<u64, oneshot::Sender<Answer>>>,
    /// When bytes of an answer came last, to whichever question. A whole answer may be long under
    /// way: one of 2.6 MB that took 4 s was asked for again and again, and had not come after 60 s.
    heard: Mutex<Instant>,
}

impl Connection {
    /// Connects; `None` when the machine refuses or stays silent.
    pub(super) async fn open(address: SocketAddr) -> Option<Self> {
        let opened = version::connect(address, CONNECT_PATIENCE, USER_TIMEOUT, SPOKEN).await;
        let (stream, version) =
            opened.inspect_err(|error| REFUSALS.record_version_error(address, error)).ok()?;
        let (input, output) = stream.into_split();
        let state = ConnectionState {
            is_open: AtomicBool::new(true),
            waiting: Mutex::default(),
            heard: Mutex::new(Instant::now()),
        };
        let questions = spawn_writer(output, QueuedBytes::default());
        let connection = Self { questions, state: Arc::new(state), version };
        let state = Arc::clone(&connection.state);
        tokio::spawn(read_answers(FrameReader::new(input), version, state, address));
        Some(connection)
    }

    /// Whether it has not broken.
    pub(super) fn is_open(&self) -> bool {
        self.state.is_open.load(Ordering::Relaxed)
    }

    /// Version of the protocol that is spoken on it.
    pub(super) fn version(&self) -> ProtocolVersion {
        self.version
    }

    /// When the machine last showed that it answers.
    pub(super) fn heard(&self) -> Instant {
        *self.state.heard.lock()
    }

    /// Sends a question; `None` when the connection is broken or its queue is full.
    pub(super) fn ask(&self, number: u64, question: &Question) -> Option<PendingAnswer> {
        let (sender, receiver) = oneshot::channel();
        if self.version == ProtocolVersion::LEGACY
            && let Some(answer) = question.answer_for_v1()
        {
            let _ = sender.send(answer);
            return Some(PendingAnswer { number, receiver, state: Arc::clone(&self.state) });
        }
        let frame = Ask { number, question: question.clone() }.encode(self.version).ok()?;
        self.state.waiting.lock().insert(number, sender);
        let pending = PendingAnswer { number, receiver, state: Arc::clone(&self.state) };
        if !self.is_open() {
            return None;
        }
        (self.questions.send(frame) == SendOutcome::Queued).then_some(pending)
    }
}

/// The answer that a question waits for; dropped, it is forgotten.
pub(super) struct PendingAnswer {
    number: u64,
    receiver: oneshot::Receiver<Answer>,
    state: Arc<ConnectionState>,
}

impl PendingAnswer {
    /// The answer; `None` when the connection broke.
    pub(super) async fn answer(&mut self) -> Option<Answer> {
        (&mut self.receiver).await.ok()
    }
}

impl Drop for PendingAnswer {
    fn drop(&mut self) {
        self.state.waiting.lock().remove(&self.number);
    }
}

async fn read_answers(
    mut frames: FrameReader<OwnedReadHalf>,
    version: ProtocolVersion,
    state: Arc<ConnectionState>,
    address: SocketAddr,
) {
    let note_sign_of_life = || *state.heard.lock() = Instant::now();
    let error = loop {
        let read = Reply::read(&mut frames, version, note_sign_of_life).await;
        let Reply { number, answer } = match read {
            Ok(reply) => reply,
            Err(error) => break error,
        };
        if let Some(sender) = state.waiting.lock().remove(&number) {
            let _ = sender.send(answer);
        }
    };
    REFUSALS.record(address, &error);
    // Whoever waits sees that the connection broke, and nobody begins to.
    state.is_open.store(false, Ordering::Relaxed);
    state.waiting.lock().clear();
}

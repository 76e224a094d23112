//! The asking side, in a gateway.
//!
//! [`LedgerClient`] asks the machine that it believes to lead, and finds another when
//! that machine refuses, breaks the connection or stays silent. Connections to machines
//! that were asked before are kept: during an election the leader changes often. All
//! questions may be repeated, so it repeats them until their deadline.

mod targets;

use std::collections::HashMap;
use std::net::Ipv4Addr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use calicohoist_telemetry::{Event, emit};
use calicohoist_transport::{FrameReader, encode_frame, spawn_writer, tcp};
use parking_lot::Mutex;
use tokio::sync::{mpsc, oneshot};

use crate::protocol::{Answer, Ask, Question, Reply};
use crate::server::{machine_address, machine_number};
pub use targets::Targets;

const CONNECT_PATIENCE: Duration = Duration::from_millis(250);
const USER_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Silence after which a question is asked elsewhere.
const ANSWER_PATIENCE: Duration = Duration::from_millis(250);
/// A watch is held on purpose, so it may stay silent for longer.
const WATCH_PATIENCE: Duration = Duration::from_millis(1_000);
/// A turn waits for a replica on purpose, too.
const PLACE_PATIENCE: Duration = Duration::from_millis(2_200);
const RETRY_PAUSE: Duration = Duration::from_millis(25);

/// Why a question has no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum AskError {
    /// No machine answered in time; nothing is known of the question's effect.
    #[error("no leader answered in time")]
    Deadline,
}

/// Asks the ledger.
#[derive(Clone)]
pub struct LedgerClient {
    shared: Arc<Shared>,
}

struct Shared {
    port: u16,
    state: Mutex<State>,
    /// Held while a connection is opened, so that one task opens it for all.
    opening: tokio::sync::Mutex<()>,
}

struct State {
    targets: Targets,
    connections: HashMap<u32, Connection>,
    next_number: u64,
}

#[derive(Clone)]
struct Connection {
    questions: mpsc::Sender<Vec<u8>>,
    waiting: Waiting,
    is_open: Arc<AtomicBool>,
}

/// Who waits for which answer.
type Waiting = Arc<Mutex<HashMap<u64, oneshot::Sender<Answer>>>>;

impl LedgerClient {
    /// Asks the machines at `seeds` first; all listen on `port`.
    pub fn new(seeds: &[Ipv4Addr], port: u16) -> Self {
        let seeds = seeds.iter().copied().map(machine_number).collect();
        let state =
            State { targets: Targets::new(seeds), connections: HashMap::new(), next_number: 0 };
        let shared =
            Shared { port, state: Mutex::new(state), opening: tokio::sync::Mutex::new(()) };
        Self { shared: Arc::new(shared) }
    }

    /// Asks until there is an answer from a leader, or `deadline` has come.
    ///
    /// # Errors
    /// [`AskError::Deadline`].
    pub async fn ask(&self, question: &Question, deadline: Instant) -> Result<Answer, AskError> {
        let patience = match question {
            Question::Watch(_) => WATCH_PATIENCE,
            Question::Place { .. } => PLACE_PATIENCE,
            Question::Reserve { .. } | Question::Settle { .. } => ANSWER_PATIENCE,
        };
        while Instant::now() < deadline {
            let left = deadline.saturating_duration_since(Instant::now());
            let asked = self.shared.state.lock().targets.current();
            let attempt = self.ask_once(asked, question);
            let may_go_on = match tokio::time::timeout(patience.min(left), attempt).await {
                Ok(Some(Answer::NotLeader { leader, machines })) => {
                    self.learn_machines(machines);
                    self.move_on(asked, leader)
                }
                Ok(Some(Answer::Unavailable)) => false,
                Ok(Some(answer)) => return Ok(answer),
                Ok(None) | Err(_) => {
                    self.drop_connection(asked);
                    self.move_on(asked, None)
                }
            };
            if !may_go_on {
                tokio::time::sleep(RETRY_PAUSE.min(left)).await;
            }
        }
        Err(AskError::Deadline)
    }

    /// `None` when there is no connection or it broke.
    async fn ask_once(&self, machine: u32, question: &Question) -> Option<Answer> {
        let connection = self.connection(machine).await?;
        let number = {
            let mut state = self.shared.state.lock();
            state.next_number += 1;
            state.next_number
        };
        let frame = encode_frame(&Ask { number, question: question.clone() }).ok()?;
        let (sender, receiver) = oneshot::channel();
        connection.waiting.lock().insert(number, sender);
        let forget = Forget { number, waiting: connection.waiting.clone() };
        if !connection.is_open.load(Ordering::Relaxed) {
            return None;
        }
        connection.questions.try_send(frame).ok()?;
        let answer = receiver.await.ok();
        drop(forget);
        answer
    }

    async fn connection(&self, machine: u32) -> Option<Connection> {
        if let Some(connection) = self.open_connection(machine) {
            return Some(connection);
        }
        let _opening = self.shared.opening.lock().await;
        if let Some(connection) = self.open_connection(machine) {
            return Some(connection);
        }
        let address = machine_address(machine, self.shared.port);
        let stream = tcp::connect(address, CONNECT_PATIENCE, USER_TIMEOUT).await.ok()?;
        let (input, output) = stream.into_split();
        let connection = Connection {
            questions: spawn_writer(output),
            waiting: Arc::default(),
            is_open: Arc::new(AtomicBool::new(true)),
        };
        tokio::spawn(read_answers(FrameReader::new(input), connection.clone()));
        self.shared.state.lock().connections.insert(machine, connection.clone());
        emit!(Event::LedgerConnected; machine = address);
        Some(connection)
    }

    fn open_connection(&self, machine: u32) -> Option<Connection> {
        let state = self.shared.state.lock();
        let connection = state.connections.get(&machine)?;
        connection.is_open.load(Ordering::Relaxed).then(|| connection.clone())
    }

    /// Notes the machines that a member knows.
    pub fn learn_machines(&self, machines: Vec<u32>) {
        self.shared.state.lock().targets.learn(machines);
    }

    /// Turns to another machine; returns whether it may be asked at once.
    fn move_on(&self, asked: u32, hint: Option<u32>) -> bool {
        self.shared.state.lock().targets.refused(asked, hint, Instant::now())
    }

    fn drop_connection(&self, machine: u32) {
        let dropped = self.shared.state.lock().connections.remove(&machine);
        if dropped.is_some() {
            let address = machine_address(machine, self.shared.port);
            emit!(Event::LedgerLost; machine = address);
        }
    }
}

/// Forgets a question that nobody waits for any more.
struct Forget {
    number: u64,
    waiting: Waiting,
}

impl Drop for Forget {
    fn drop(&mut self) {
        self.waiting.lock().remove(&self.number);
    }
}

async fn read_answers(
    mut frames: FrameReader<tokio::net::tcp::OwnedReadHalf>,
    connection: Connection,
) {
    while let Ok(Reply { number, answer }) = frames.next().await {
        if let Some(sender) = connection.waiting.lock().remove(&number) {
            let _ = sender.send(answer);
        }
    }
    // Whoever waits sees that the connection broke, and nobody begins to.
    connection.is_open.store(false, Ordering::Relaxed);
    connection.waiting.lock().clear();
}

//! The asking side, in a gateway.
//!
//! [`LedgerClient`] keeps one connection to the machine that it believes to lead, and
//! finds another when that machine refuses, breaks the connection or stays silent.
//! All questions may be repeated, so it repeats them until their deadline.

use std::collections::HashMap;
use std::net::Ipv4Addr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use calicohoist_telemetry::{Event, emit};
use calicohoist_transport::{FrameReader, encode_frame, spawn_writer, tcp};
use parking_lot::Mutex;
use tokio::sync::{mpsc, oneshot};

use crate::protocol::{Answer, Ask, Question, Reply};
use crate::server::{machine_address, machine_number};

const CONNECT_PATIENCE: Duration = Duration::from_millis(250);
const USER_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Silence after which a question is asked elsewhere.
const ANSWER_PATIENCE: Duration = Duration::from_millis(300);
/// A watch is held on purpose, so it may stay silent for longer.
const WATCH_PATIENCE: Duration = Duration::from_millis(1_000);
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
    seeds: Vec<u32>,
    state: Mutex<State>,
    /// Held while a connection is opened, so that one task opens it for all.
    opening: tokio::sync::Mutex<()>,
}

struct State {
    machines: Vec<u32>,
    target: u32,
    connection: Option<Connection>,
    next_number: u64,
}

#[derive(Clone)]
struct Connection {
    machine: u32,
    questions: mpsc::Sender<Vec<u8>>,
    waiting: Arc<Mutex<HashMap<u64, oneshot::Sender<Answer>>>>,
}

impl LedgerClient {
    /// Asks the machines at `seeds` first; all listen on `port`.
    pub fn new(seeds: &[Ipv4Addr], port: u16) -> Self {
        let seeds: Vec<u32> = seeds.iter().copied().map(machine_number).collect();
        let target = seeds.first().copied().unwrap_or_default();
        let state = State { machines: seeds.clone(), target, connection: None, next_number: 0 };
        let shared =
            Shared { port, seeds, state: Mutex::new(state), opening: tokio::sync::Mutex::new(()) };
        Self { shared: Arc::new(shared) }
    }

    /// Asks until there is an answer from a leader, or `deadline` has come.
    ///
    /// # Errors
    /// [`AskError::Deadline`].
    pub async fn ask(&self, question: &Question, deadline: Instant) -> Result<Answer, AskError> {
        let patience = match question {
            Question::Watch(_) => WATCH_PATIENCE,
            Question::Reserve(_) | Question::Settle(_) => ANSWER_PATIENCE,
        };
        while Instant::now() < deadline {
            let left = deadline.saturating_duration_since(Instant::now());
            let asked = self.shared.state.lock().target;
            let attempt = self.ask_once(question);
            match tokio::time::timeout(patience.min(left), attempt).await {
                Ok(Some(Answer::NotLeader { leader, machines })) => {
                    if self.redirect(asked, leader, machines) {
                        continue;
                    }
                }
                Ok(Some(Answer::Unavailable)) => {}
                Ok(Some(answer)) => return Ok(answer),
                Ok(None) | Err(_) => self.give_up(asked),
            }
            tokio::time::sleep(RETRY_PAUSE.min(left)).await;
        }
        Err(AskError::Deadline)
    }

    /// `None` when there is no connection or it broke.
    async fn ask_once(&self, question: &Question) -> Option<Answer> {
        let connection = self.connection().await?;
        let number = {
            let mut state = self.shared.state.lock();
            state.next_number += 1;
            state.next_number
        };
        let frame = encode_frame(&Ask { number, question: question.clone() }).ok()?;
        let (sender, receiver) = oneshot::channel();
        connection.waiting.lock().insert(number, sender);
        let forget = Forget { number, waiting: connection.waiting.clone() };
        connection.questions.try_send(frame).ok()?;
        let answer = receiver.await.ok();
        drop(forget);
        answer
    }

    async fn connection(&self) -> Option<Connection> {
        if let Some(connection) = self.open_connection() {
            return Some(connection);
        }
        let _opening = self.shared.opening.lock().await;
        if let Some(connection) = self.open_connection() {
            return Some(connection);
        }
        let machine = self.shared.state.lock().target;
        let address = machine_address(machine, self.shared.port);
        let stream = tcp::connect(address, CONNECT_PATIENCE, USER_TIMEOUT).await.ok()?;
        let (input, output) = stream.into_split();
        let waiting = Arc::default();
        let connection =
            Connection { machine, questions: spawn_writer(output), waiting: Arc::clone(&waiting) };
        tokio::spawn(read_answers(FrameReader::new(input), waiting));
        self.shared.state.lock().connection = Some(connection.clone());
        emit!(Event::LedgerConnected; machine = address);
        Some(connection)
    }

    fn open_connection(&self) -> Option<Connection> {
        let state = self.shared.state.lock();
        let connection = state.connection.as_ref()?;
        let is_usable = connection.machine == state.target && !connection.questions.is_closed();
        is_usable.then(|| connection.clone())
    }

    /// Turns to the leader that another machine named; `false` when it named none.
    fn redirect(&self, asked: u32, leader: Option<u32>, machines: Vec<u32>) -> bool {
        self.learn_machines(machines);
        match leader {
            Some(leader) => {
                let mut state = self.shared.state.lock();
                let is_other = leader != asked;
                if state.target == asked {
                    state.target = leader;
                }
                is_other
            }
            None => {
                self.give_up(asked);
                false
            }
        }
    }

    /// Notes the machines that a leader knows.
    pub fn learn_machines(&self, machines: Vec<u32>) {
        if !machines.is_empty() {
            self.shared.state.lock().machines = machines;
        }
    }

    /// Turns to the machine after `asked`, unless another question did so already.
    fn give_up(&self, asked: u32) {
        let mut state = self.shared.state.lock();
        if state.target != asked {
            return;
        }
        let mut known = state.machines.clone();
        known.extend(self.shared.seeds.iter().filter(|seed| !state.machines.contains(seed)));
        let at = known.iter().position(|machine| *machine == state.target);
        let next = at.map_or(0, |at| at + 1) % known.len().max(1);
        if let Some(machine) = known.get(next) {
            state.target = *machine;
        }
        if state.connection.take().is_some() {
            let address = machine_address(asked, self.shared.port);
            emit!(Event::LedgerLost; machine = address);
        }
    }
}

/// Forgets a question that nobody waits for any more.
struct Forget {
    number: u64,
    waiting: Arc<Mutex<HashMap<u64, oneshot::Sender<Answer>>>>,
}

impl Drop for Forget {
    fn drop(&mut self) {
        self.waiting.lock().remove(&self.number);
    }
}

async fn read_answers(
    mut frames: FrameReader<tokio::net::tcp::OwnedReadHalf>,
    waiting: Arc<Mutex<HashMap<u64, oneshot::Sender<Answer>>>>,
) {
    while let Ok(Reply { number, answer }) = frames.next().await {
        if let Some(sender) = waiting.lock().remove(&number) {
            let _ = sender.send(answer);
        }
    }
    // Whoever waits sees that the connection broke.
    waiting.lock().clear();
}

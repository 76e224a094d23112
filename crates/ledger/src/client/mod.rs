//! The asking side, in a gateway.
//!
//! [`LedgerClient`] asks the machine that leads. All questions may be repeated, so it
//! repeats them until their deadline; but a leader that is slow must not be asked more
//! often because of it. Three things keep that so:
//!
//! - One question at a time looks for a leader, with a message that costs nothing; the
//!   others wait for what it finds.
//! - A leader that stays silent is left only when another machine no longer names it as
//!   the leader. As long as it does, the question and the connection stay.
//! - Pauses between tries grow, and differ from gateway to gateway.

mod connection;
mod targets;
mod timing;

use std::collections::HashMap;
use std::net::Ipv4Addr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use calicohoist_telemetry::{Event, emit};
use parking_lot::Mutex;
use rand::RngExt;
use tokio::time::timeout;

use crate::protocol::{Answer, Question};
use crate::server::{machine_address, machine_number};
use connection::Connection;
pub use targets::Targets;
pub use timing::ClientTiming;

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
    timing: ClientTiming,
    state: Mutex<State>,
    /// Held while a connection is opened, so that one task opens it for all.
    opening: tokio::sync::Mutex<()>,
    /// Held by the question that looks for a leader, for all.
    searching: tokio::sync::Mutex<()>,
}

struct State {
    targets: Targets,
    connections: HashMap<u32, Connection>,
    next_number: u64,
    /// Until when a silent leader counts as leading.
    vouched_until: Option<Instant>,
}

/// How one try of a question ended.
enum Attempt {
    Answered(Answer),
    /// The leader cannot tell now; it may be asked again after a pause.
    Unavailable,
    /// It does not lead, is gone, or stayed silent.
    Left,
}

impl LedgerClient {
    /// Asks the machines at `seeds` first; all listen on `port`.
    pub fn new(seeds: &[Ipv4Addr], port: u16) -> Self {
        Self::with_timing(seeds, port, ClientTiming::default())
    }

    /// The same, with other times.
    pub fn with_timing(seeds: &[Ipv4Addr], port: u16, timing: ClientTiming) -> Self {
        let seeds = seeds.iter().copied().map(machine_number).collect();
        let state = State {
            targets: Targets::new(seeds, rand::rng().random()),
            connections: HashMap::new(),
            next_number: 0,
            vouched_until: None,
        };
        let shared = Shared {
            port,
            timing,
            state: Mutex::new(state),
            opening: tokio::sync::Mutex::new(()),
            searching: tokio::sync::Mutex::new(()),
        };
        Self { shared: Arc::new(shared) }
    }

    /// Asks until there is an answer from a leader, or `deadline` has come.
    ///
    /// # Errors
    /// [`AskError::Deadline`].
    pub async fn ask(&self, question: &Question, deadline: Instant) -> Result<Answer, AskError> {
        let until_deadline = deadline.saturating_duration_since(Instant::now());
        let asked = timeout(until_deadline, self.ask_until_answered(question)).await;
        asked.map_err(|_| AskError::Deadline)
    }

    async fn ask_until_answered(&self, question: &Question) -> Answer {
        let mut pause = self.shared.timing.first_pause;
        loop {
            let leader = self.leader().await;
            match self.attempt(leader, question).await {
                Attempt::Answered(answer) => return answer,
                Attempt::Left => {}
                Attempt::Unavailable => self.rest(&mut pause).await,
            }
        }
    }

    /// The machine that leads; looks for it when it is not known.
    async fn leader(&self) -> u32 {
        if let Some(leader) = self.known_leader() {
            return leader;
        }
        let _searching = self.shared.searching.lock().await;
        let mut pause = self.shared.timing.first_pause;
        loop {
            if let Some(leader) = self.known_leader() {
                return leader;
            }
            if !self.search().await {
                self.rest(&mut pause).await;
            }
        }
    }

    fn known_leader(&self) -> Option<u32> {
        self.shared.state.lock().targets.leader()
    }

    /// Asks the next machine whether it leads; returns whether there is another one to be
    /// asked at once.
    async fn search(&self) -> bool {
        let asked = self.shared.state.lock().targets.current();
        match self.ask_who_leads(asked).await {
            Some(Answer::Leads { machines }) => {
                let mut state = self.shared.state.lock();
                state.targets.learn(machines);
                state.targets.confirm(asked);
                true
            }
            Some(Answer::NotLeader { leader, machines }) => {
                self.learn_machines(machines);
                self.move_on(asked, leader)
            }
            _ => {
                self.drop_connection(asked);
                self.move_on(asked, None)
            }
        }
    }

    async fn ask_who_leads(&self, machine: u32) -> Option<Answer> {
        let asking = async {
            let connection = self.connection(machine).await?;
            connection.ask(self.next_number(), &Question::FindLeader)?.answer().await
        };
        timeout(self.shared.timing.search_patience, asking).await.ok().flatten()
    }

    /// Asks `leader` once, and waits while it is there.
    async fn attempt(&self, leader: u32, question: &Question) -> Attempt {
        let Some(connection) = self.connection(leader).await else {
            return self.leave(leader);
        };
        let Some(mut pending) = connection.ask(self.next_number(), question) else {
            return self.leave(leader);
        };
        let asked = Instant::now();
        let most_silence = self.shared.timing.most_silence;
        let mut patience = self.shared.timing.patience_for(question);
        loop {
            let silent_since = connection.heard().max(asked);
            let silent_for = silent_since.elapsed();
            if silent_for >= patience {
                if patience >= most_silence || !self.is_vouched_for(leader).await {
                    return self.leave(leader);
                }
                patience = (patience * 2).min(most_silence);
            }
            let wait = patience.saturating_sub(silent_for);
            match timeout(wait, pending.answer()).await {
                Ok(Some(Answer::NotLeader { leader: hint, machines })) => {
                    self.learn_machines(machines);
                    self.move_on(leader, hint);
                    return Attempt::Left;
                }
                Ok(Some(Answer::Unavailable)) => return Attempt::Unavailable,
                Ok(Some(answer)) => return Attempt::Answered(answer),
                Ok(None) => return self.leave(leader),
                Err(_) => {}
            }
        }
    }

    /// Whether another machine names the silent `leader` as the leader.
    async fn is_vouched_for(&self, leader: u32) -> bool {
        let _searching = self.shared.searching.lock().await;
        let other = {
            let state = self.shared.state.lock();
            if state.targets.leader() != Some(leader) {
                return false;
            }
            if state.vouched_until.is_some_and(|until| Instant::now() < until) {
                return true;
            }
            state.targets.longest_not_asked(leader)
        };
        let Some(other) = other else {
            return false;
        };
        let answer = self.ask_who_leads(other).await;
        let named = match answer {
            Some(Answer::NotLeader { leader: named, .. }) => named,
            Some(Answer::Leads { .. }) => Some(other),
            _ => None,
        };
        let is_named = named == Some(leader);
        emit!(
            Event::LedgerSilent;
            machine = machine_address(leader, self.shared.port),
            asked = machine_address(other, self.shared.port),
            is_named = is_named,
        );
        if is_named {
            self.shared.state.lock().vouched_until =
                Some(Instant::now() + self.shared.timing.vouched_for);
        } else if named.is_none() {
            // Whoever does not answer is not asked first the next time.
            self.shared.state.lock().targets.refused(other, None, Instant::now());
        }
        is_named
    }

    fn leave(&self, machine: u32) -> Attempt {
        self.drop_connection(machine);
        self.move_on(machine, None);
        Attempt::Left
    }

    fn next_number(&self) -> u64 {
        let mut state = self.shared.state.lock();
        state.next_number += 1;
        state.next_number
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
        let connection = Connection::open(address).await?;
        self.shared.state.lock().connections.insert(machine, connection.clone());
        emit!(Event::LedgerConnected; machine = address, version = connection.version());
        Some(connection)
    }

    fn open_connection(&self, machine: u32) -> Option<Connection> {
        let state = self.shared.state.lock();
        let connection = state.connections.get(&machine)?;
        connection.is_open().then(|| connection.clone())
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

    /// Sleeps for about `pause`, and makes the next one longer.
    async fn rest(&self, pause: &mut Duration) {
        let share = rand::rng().random_range(0.5..1.5);
        tokio::time::sleep(pause.mul_f64(share)).await;
        *pause = (*pause * 2).min(self.shared.timing.longest_pause);
    }
}

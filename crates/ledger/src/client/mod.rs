//! Ledger client that gateways use.
//!
//! [`LedgerClient`] sends requests to the leader and retries them until their deadline, which is
//! safe because they are idempotent. To keep retries from overloading a slow leader:
//!
//! - Only one request at a time searches for the leader, with an inexpensive message; the others
//!   wait for its result.
//! - An unresponsive leader is abandoned only if another machine no longer names it as the leader.
//!   Until then, the request and the connection are kept.
//! - Retries use exponential backoff with jitter.

mod connection;
mod leader_tracker;
mod progress;
mod timing;

use std::collections::HashMap;
use std::net::Ipv4Addr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use calicohoist_telemetry::{Event, emit};
use calicohoist_transport::ProtocolVersion;
use parking_lot::Mutex;
use rand::RngExt;
use tokio::time::timeout;

use crate::protocol::{LedgerRequest, LedgerResponse};
use crate::server::{machine_address, machine_number};
use connection::Connection;
pub use leader_tracker::LeaderTracker;
pub use timing::ClientTiming;

/// An error returned by [`LedgerClient::request`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RequestError {
    /// No leader responded before the deadline; whether the request took effect is unknown.
    #[error("no ledger leader responded before the deadline")]
    DeadlineExceeded,
}

/// A client of the ledger; clones share connections and the known leader.
#[derive(Clone)]
pub struct LedgerClient {
    shared: Arc<Shared>,
}

struct Shared {
    port: u16,
    timing: ClientTiming,
    state: Mutex<State>,
    /// Held while a connection is opened, so that concurrent requests share it.
    connect_lock: tokio::sync::Mutex<()>,
    /// Held by the request that searches for the leader.
    search_lock: tokio::sync::Mutex<()>,
}

struct State {
    tracker: LeaderTracker,
    connections: HashMap<u32, Connection>,
    /// Number of connections that were given up.
    dropped_connections: u64,
    next_number: u64,
    /// Time until which the confirmation of the leader by another machine is valid.
    leader_confirmed_until: Option<Instant>,
}

/// A response with the version of the connection on which it arrived.
#[derive(Clone, Debug)]
pub struct VersionedResponse {
    /// The response.
    pub response: LedgerResponse,
    /// Version of the connection.
    pub version: ProtocolVersion,
    /// When the request was sent that was answered, after any retries.
    pub sent_at: Instant,
}

/// Outcome of a single attempt to send a request.
enum Attempt {
    Answered(VersionedResponse),
    /// The leader cannot answer at present; retried after a backoff.
    Unavailable,
    /// The machine does not lead, is unreachable or timed out.
    Abandoned,
}

impl LedgerClient {
    /// Creates a client that contacts the machines at `seeds` first; all machines listen on
    /// `port`.
    pub fn new(seeds: &[Ipv4Addr], port: u16) -> Self {
        Self::with_timing(seeds, port, ClientTiming::default())
    }

    /// Creates a client with the given timing.
    pub fn with_timing(seeds: &[Ipv4Addr], port: u16, timing: ClientTiming) -> Self {
        let seeds = seeds.iter().copied().map(machine_number).collect();
        let state = State {
            tracker: LeaderTracker::new(seeds, rand::rng().random()),
            connections: HashMap::new(),
            dropped_connections: 0,
            next_number: 0,
            leader_confirmed_until: None,
        };
        let shared = Shared {
            port,
            timing,
            state: Mutex::new(state),
            connect_lock: tokio::sync::Mutex::new(()),
            search_lock: tokio::sync::Mutex::new(()),
        };
        Self { shared: Arc::new(shared) }
    }

    /// Sends a request to the leader and retries it until `deadline`.
    ///
    /// # Errors
    /// Returns [`RequestError::DeadlineExceeded`] if no leader responds before `deadline`.
    pub async fn request(
        &self,
        request: &LedgerRequest,
        deadline: Instant,
    ) -> Result<LedgerResponse, RequestError> {
        self.request_versioned(request, deadline).await.map(|answer| answer.response)
    }

    /// The same as [`Self::request`], with the version of the connection.
    ///
    /// # Errors
    /// See [`Self::request`].
    pub async fn request_versioned(
        &self,
        request: &LedgerRequest,
        deadline: Instant,
    ) -> Result<VersionedResponse, RequestError> {
        let until_deadline = deadline.saturating_duration_since(Instant::now());
        let result = timeout(until_deadline, self.retry_until_answered(request)).await;
        result.map_err(|_| RequestError::DeadlineExceeded)
    }

    async fn retry_until_answered(&self, request: &LedgerRequest) -> VersionedResponse {
        let mut backoff = self.shared.timing.initial_backoff;
        loop {
            let leader = self.leader().await;
            match self.attempt(leader, request).await {
                Attempt::Answered(answer) => return answer,
                Attempt::Abandoned => {}
                Attempt::Unavailable => self.back_off(&mut backoff).await,
            }
        }
    }

    /// Returns the leader, and searches for it if it is not known.
    async fn leader(&self) -> u32 {
        if let Some(leader) = self.known_leader() {
            return leader;
        }
        let _search_guard = self.shared.search_lock.lock().await;
        let mut backoff = self.shared.timing.initial_backoff;
        loop {
            if let Some(leader) = self.known_leader() {
                return leader;
            }
            if !self.probe_target().await {
                self.back_off(&mut backoff).await;
            }
        }
    }

    fn known_leader(&self) -> Option<u32> {
        self.shared.state.lock().tracker.leader()
    }

    /// Asks the current target whether it leads. Returns whether the next target may be contacted
    /// without backoff.
    async fn probe_target(&self) -> bool {
        let target = self.shared.state.lock().tracker.current();
        match self.find_leader_via(target).await {
            Some(LedgerResponse::Leads { machines }) => {
                let mut state = self.shared.state.lock();
                state.tracker.update_members(machines);
                state.tracker.confirm_leader(target);
                true
            }
            Some(LedgerResponse::NotLeader { leader, machines }) => {
                self.update_members(machines);
                self.record_refusal(target, leader)
            }
            _ => {
                self.drop_connection(target);
                self.record_refusal(target, None)
            }
        }
    }

    async fn find_leader_via(&self, machine: u32) -> Option<LedgerResponse> {
        // Opening a connection takes several round trips and has timeouts of its own. An opening that
        // is cut short begins anew with the next search, and never succeeds on a slow link.
        let connection = self.connection(machine).await?;
        let mut pending = connection.send(self.next_number(), &LedgerRequest::FindLeader).await?;
        timeout(self.shared.timing.find_leader_timeout, pending.receive()).await.ok().flatten()
    }

    /// Sends the request to `leader` once and waits while its leadership is confirmed.
    async fn attempt(&self, leader: u32, request: &LedgerRequest) -> Attempt {
        let Some(connection) = self.connection(leader).await else {
            return self.abandon(leader);
        };
        let begun_at = Instant::now();
        let Some(mut pending) = connection.send(self.next_number(), request).await else {
            return self.abandon(leader);
        };
        let sent_at = Instant::now();
        let max_silence = self.shared.timing.max_silence;
        let mut silence_limit = self.shared.timing.timeout_for(request);
        loop {
            let silent_since = connection.last_progress().max(sent_at);
            let silent_for = silent_since.elapsed();
            if silent_for >= silence_limit {
                if silence_limit >= max_silence || !self.is_leader_confirmed(leader).await {
                    return self.abandon(leader);
                }
                silence_limit = (silence_limit * 2).min(max_silence);
            }
            let wait = silence_limit.saturating_sub(silent_for);
            match timeout(wait, pending.receive()).await {
                Ok(Some(LedgerResponse::NotLeader { leader: hint, machines })) => {
                    self.update_members(machines);
                    self.record_refusal(leader, hint);
                    return Attempt::Abandoned;
                }
                Ok(Some(LedgerResponse::Unavailable)) => return Attempt::Unavailable,
                Ok(Some(response)) => {
                    let version = connection.version();
                    let answer = VersionedResponse { response, version, sent_at: begun_at };
                    return Attempt::Answered(answer);
                }
                Ok(None) => return self.abandon(leader),
                Err(_) => {}
            }
        }
    }

    /// Returns whether another machine confirms the unresponsive `leader`.
    async fn is_leader_confirmed(&self, leader: u32) -> bool {
        let _search_guard = self.shared.search_lock.lock().await;
        let other = {
            let state = self.shared.state.lock();
            if state.tracker.leader() != Some(leader) {
                return false;
            }
            if state.leader_confirmed_until.is_some_and(|until| Instant::now() < until) {
                return true;
            }
            state.tracker.least_recently_refused(leader)
        };
        let Some(other) = other else {
            return false;
        };
        let response = self.find_leader_via(other).await;
        let named = match response {
            Some(LedgerResponse::NotLeader { leader: named, .. }) => named,
            Some(LedgerResponse::Leads { .. }) => Some(other),
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
            self.shared.state.lock().leader_confirmed_until =
                Some(Instant::now() + self.shared.timing.leader_confirmation_ttl);
        } else if named.is_none() {
            // Makes the next check contact another machine first.
            self.shared.state.lock().tracker.record_refusal(other, None, Instant::now());
        }
        is_named
    }

    fn abandon(&self, machine: u32) -> Attempt {
        self.drop_connection(machine);
        self.record_refusal(machine, None);
        Attempt::Abandoned
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
        let _connect_guard = self.shared.connect_lock.lock().await;
        if let Some(connection) = self.open_connection(machine) {
            return Some(connection);
        }
        let address = machine_address(machine, self.shared.port);
        // Requests in flight on a replaced connection are still answered there.
        let connection = Connection::open(address).await?;
        self.shared.state.lock().connections.insert(machine, connection.clone());
        emit!(Event::LedgerConnected; machine = address, version = connection.version());
        Some(connection)
    }

    fn open_connection(&self, machine: u32) -> Option<Connection> {
        let state = self.shared.state.lock();
        let connection = state.connections.get(&machine)?;
        let is_usable = connection.is_open()
            && !connection.is_outdated(self.shared.timing.legacy_connection_ttl);
        is_usable.then(|| connection.clone())
    }

    /// Updates the known members of the group.
    pub fn update_members(&self, machines: Vec<u32>) {
        self.shared.state.lock().tracker.update_members(machines);
    }

    /// Returns the number of connections that were given up so far. While it is unchanged, answers
    /// come from the same leader.
    pub fn dropped_connections(&self) -> u64 {
        self.shared.state.lock().dropped_connections
    }

    /// Selects another target after `machine` refused a request or failed. Returns whether it may
    /// be contacted without backoff.
    fn record_refusal(&self, machine: u32, hint: Option<u32>) -> bool {
        self.shared.state.lock().tracker.record_refusal(machine, hint, Instant::now())
    }

    fn drop_connection(&self, machine: u32) {
        let dropped = {
            let mut state = self.shared.state.lock();
            let dropped = state.connections.remove(&machine);
            state.dropped_connections += u64::from(dropped.is_some());
            dropped
        };
        if dropped.is_some() {
            let address = machine_address(machine, self.shared.port);
            emit!(Event::LedgerLost; machine = address);
        }
    }

    /// Sleeps for `backoff` with jitter, then doubles it up to the maximum.
    async fn back_off(&self, backoff: &mut Duration) {
        let jitter = rand::rng().random_range(0.5..1.5);
        tokio::time::sleep(backoff.mul_f64(jitter)).await;
        *backoff = (*backoff * 2).min(self.shared.timing.max_backoff);
    }
}

//! Connection pool for replicas.
//!
//! A connection carries one request at a time. It is kept only after a complete response, and
//! reused only well within the replica's keep-alive time: if the replica closes the connection
//! while a request is being sent, it is unknown whether the request ran. The same holds if bytes behind the
//! last response arrive while a request is being sent, so a replica that sends such bytes gets each request
//! on a new connection for a time.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use calicohoist_outbound::{ReadPacer, ReadShare, ServerConnection};
use calicohoist_routing::StartTime;
use calicohoist_telemetry::{Event, emit};
use calicohoist_transport::tcp;
use http_body_util::Full;
use parking_lot::Mutex;

/// Maximum number of idle connections per replica.
const MAX_IDLE_PER_REPLICA: usize = 16;
/// Keep-alive time if the replica does not specify one.
const DEFAULT_KEEP_ALIVE: Duration = Duration::from_secs(4);
/// Idle connections are closed this long before the keep-alive time ends.
const KEEP_ALIVE_MARGIN: Duration = Duration::from_millis(700);
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
const USER_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Time for which no connection is kept to a replica that has sent bytes nobody asked for.
const UNREQUESTED_BYTES_MEMORY: Duration = Duration::from_mins(1);
/// Maximum time for an idle connection to become ready.
const READY_TIMEOUT: Duration = Duration::from_millis(5);

/// Connection to a replica.
pub type ReplicaConnection = ServerConnection<Full<Bytes>>;

/// A connection that is ready for a request.
#[derive(Debug)]
pub struct PooledConnection {
    /// Sends requests on the connection.
    pub sender: ReplicaConnection,
    /// Whether the connection has carried a request before.
    pub is_reused: bool,
    /// Start time that the process at the other end has reported on this connection, if it was asked.
    pub start: Option<StartTime>,
}

#[derive(Debug)]
struct IdleConnection {
    sender: ReplicaConnection,
    start: Option<StartTime>,
    usable_until: Instant,
}

impl IdleConnection {
    fn is_usable(&self, now: Instant) -> bool {
        self.usable_until > now && !self.sender.is_closed()
    }
}

/// Idle connections to one replica.
#[derive(Debug, Default)]
struct ReplicaConnections {
    idle: Vec<IdleConnection>,
    /// Time until which no connection is kept.
    unkept_until: Option<Instant>,
}

impl ReplicaConnections {
    /// Closes connections that cannot be used any more.
    fn remove_unusable(&mut self, replica: &str, now: Instant) {
        if self.idle.iter().any(|idle| idle.sender.has_unrequested_bytes()) {
            self.keep_none(replica, now);
        }
        self.idle.retain(|idle| idle.is_usable(now));
    }

    /// Closes all connections, and keeps none for a time.
    fn keep_none(&mut self, replica: &str, now: Instant) {
        if self.keeps_connections(now) {
            emit!(Event::UnrequestedBytes; replica = replica);
        }
        self.idle.clear();
        self.unkept_until = Some(now + UNREQUESTED_BYTES_MEMORY);
    }

    fn keeps_connections(&self, now: Instant) -> bool {
        self.unkept_until.is_none_or(|unkept_until| unkept_until <= now)
    }

    /// Takes a connection whose response is complete.
    fn push(&mut self, replica: &str, connection: IdleConnection, now: Instant) {
        if connection.sender.has_unrequested_bytes() {
            self.keep_none(replica, now);
        }
        if !self.keeps_connections(now) || connection.sender.is_closed() {
            return;
        }
        if self.idle.len() >= MAX_IDLE_PER_REPLICA {
            self.idle.remove(0);
        }
        self.idle.push(connection);
    }

    fn has_usable(&self, now: Instant) -> bool {
        self.idle.iter().any(|idle| idle.is_usable(now))
    }
}

/// Idle connections by replica id.
#[derive(Debug)]
pub struct Pool {
    replicas: Mutex<HashMap<String, ReplicaConnections>>,
    /// Shared by all connections to replicas.
    pacer: Arc<ReadPacer>,
}

impl Default for Pool {
    fn default() -> Self {
        Self { replicas: Mutex::default(), pacer: ReadPacer::new(ReadShare::OF_REPLICAS) }
    }
}

/// Which connections [`Pool::check_out`] may return.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Checkout {
    /// An idle connection, or a new one if there is none.
    Any,
    /// A new connection.
    New,
}

impl Pool {
    /// Returns a connection to a replica.
    ///
    /// # Errors
    /// Returns an error if a new connection cannot be opened; nothing was sent in that case.
    pub async fn check_out(
        &self,
        replica: &str,
        address: SocketAddr,
        checkout: Checkout,
    ) -> io::Result<PooledConnection> {
        if checkout == Checkout::Any
            && let Some(connection) = self.idle_connection(replica).await
        {
            return Ok(connection);
        }
        self.open(address).await
    }

    /// Opens a connection.
    ///
    /// # Errors
    /// Returns an error if the replica refuses the connection or does not respond in time.
    pub(super) async fn open(&self, address: SocketAddr) -> io::Result<PooledConnection> {
        let stream = tcp::connect(address, CONNECT_TIMEOUT, USER_TIMEOUT).await?;
        let sender = ServerConnection::open(stream, &self.pacer).await.map_err(io::Error::other)?;
        Ok(PooledConnection { sender, is_reused: false, start: None })
    }

    /// Returns the most recently used idle connection that is ready.
    async fn idle_connection(&self, replica: &str) -> Option<PooledConnection> {
        loop {
            let IdleConnection { mut sender, start, .. } = self.pop(replica)?;
            let ready = tokio::time::timeout(READY_TIMEOUT, sender.ready()).await;
            if matches!(ready, Ok(Ok(()))) {
                return Some(PooledConnection { sender, is_reused: true, start });
            }
        }
    }

    fn pop(&self, replica: &str) -> Option<IdleConnection> {
        let mut replicas = self.replicas.lock();
        let connections = replicas.get_mut(replica)?;
        connections.remove_unusable(replica, Instant::now());
        connections.idle.pop()
    }

    /// Returns a connection to the pool after a complete response. `keep_alive` is the time that
    /// the replica announced, if any.
    pub fn check_in(
        &self,
        replica: &str,
        connection: PooledConnection,
        keep_alive: Option<Duration>,
    ) {
        let PooledConnection { sender, start, .. } = connection;
        sender.end_response();
        let keep_alive = keep_alive.unwrap_or(DEFAULT_KEEP_ALIVE).saturating_sub(KEEP_ALIVE_MARGIN);
        let now = Instant::now();
        let connection = IdleConnection { sender, start, usable_until: now + keep_alive };
        let mut replicas = self.replicas.lock();
        replicas.entry(replica.to_owned()).or_default().push(replica, connection, now);
    }

    /// Closes a connection on which nothing of a request was sent, since it was not idle before.
    pub fn discard(&self, replica: &str, connection: &PooledConnection) {
        if connection.sender.has_unrequested_bytes() {
            let mut replicas = self.replicas.lock();
            replicas.entry(replica.to_owned()).or_default().keep_none(replica, Instant::now());
        }
    }

    /// Returns whether there is a usable idle connection to the replica.
    pub fn has_idle(&self, replica: &str) -> bool {
        let now = Instant::now();
        let replicas = self.replicas.lock();
        replicas.get(replica).is_some_and(|connections| connections.has_usable(now))
    }

    /// Returns the ids of replicas with a usable idle connection.
    pub fn connected(&self) -> Vec<String> {
        let now = Instant::now();
        let replicas = self.replicas.lock();
        let usable = replicas.iter().filter(|(_, connections)| connections.has_usable(now));
        usable.map(|(replica, _)| replica.clone()).collect()
    }

    /// Closes connections to replicas that are not listed, and expired ones.
    pub fn retain(&self, is_listed: impl Fn(&str) -> bool) {
        let now = Instant::now();
        let mut replicas = self.replicas.lock();
        replicas.retain(|replica, _| is_listed(replica));
        for (replica, connections) in replicas.iter_mut() {
            connections.remove_unusable(replica, now);
        }
    }
}

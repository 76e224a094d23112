//! State shared by all requests of a process.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use calicohoist_connections::{Drain, DrainStage};
use calicohoist_ledger::client::LedgerClient;
use calicohoist_ledger::protocol::CRASH_RECORDS_VERSION;
use calicohoist_limiter::PermitCache;
use calicohoist_quarantine::CrashTable;
use calicohoist_routing::{CostWeights, KeySecret, RouteTable};
use calicohoist_transport::ProtocolVersion;
use parking_lot::Mutex;
use tokio::sync::{Semaphore, watch};

use crate::dialect::Dialect;
use crate::fleet::Fleet;
use crate::memory::MemoryBudget;
use crate::response_times::ResponseTimes;
use crate::sends::OpenSends;
use crate::settings::ProxySettings;
use crate::upstream::Pool;

/// Maximum time since the leader's last answer for which the routing table counts as current.
/// Covers several watch intervals, but is shorter than the time in which a configuration change
/// must be applied everywhere.
const MAX_LEADER_SILENCE: Duration = Duration::from_millis(1_500);
/// Maximum time since the leader's last answer for which the gateway counts as following the ledger.
/// Longer than a leader holds a watch.
const MAX_FOLLOWER_SILENCE: Duration = Duration::from_millis(750);
/// Time after contact with the leader was resumed in which other gateways, which may find the leader
/// later, write what they could not before: they notice that a connection is dead, look for the
/// leader at two other machines, and retry.
const PENDING_WRITES_TIME: Duration = Duration::from_millis(2_500);
/// Maximum number of requests that wait for the first routing table.
const MAX_TABLE_WAITERS: usize = 256;

/// Shared state of a gateway.
pub struct App {
    /// Startup settings.
    pub settings: ProxySettings,
    /// Client of the ledger.
    pub ledger: LedgerClient,
    /// Known replicas.
    pub fleet: Fleet,
    /// Connection pool for replicas.
    pub pool: Pool,
    /// Memory limit for buffered bodies.
    pub memory: Arc<MemoryBudget>,
    /// Cost weights for the selection of a replica.
    pub weights: CostWeights,
    /// Unused rate-limit permits of tenants.
    pub permits: Mutex<PermitCache>,
    /// Replicas that have crashed under requests.
    pub crashes: Mutex<CrashTable>,
    /// Requests sent to replicas whose outcome is not known.
    pub sends: OpenSends,
    /// Usual durations of responses.
    pub response_times: ResponseTimes,
    /// Connections of clients, and the schedule of a graceful shutdown.
    pub drain: Drain,
    /// Secret for hashing API keys.
    pub key_secret: KeySecret,
    table: watch::Sender<Option<Arc<RouteTable>>>,
    /// Limits the number of requests that wait for the first routing table.
    table_waiters: Semaphore,
    has_replica_list: AtomicBool,
    /// The leader's last answer to a watch request.
    last_leader_answer: Mutex<Option<LeaderAnswer>>,
    running_tasks: AtomicUsize,
}

/// An answer of the leader to a watch request.
#[derive(Clone, Copy, Debug)]
struct LeaderAnswer {
    at: Instant,
    /// Version of the connection to the leader.
    version: ProtocolVersion,
    /// Number of ledger connections that had been given up by then.
    dropped_connections: u64,
    /// First of the answers since which the gateway has not been cut off from the leader.
    contact_since: Instant,
}

impl LeaderAnswer {
    /// Returns whether the gateway has not been cut off from the leader between the answer and `now`.
    fn is_in_contact(&self, ledger: &LedgerClient, now: Instant) -> bool {
        now.saturating_duration_since(self.at) < MAX_FOLLOWER_SILENCE
            && self.dropped_connections == ledger.dropped_connections()
    }
}

impl App {
    /// Creates the state of a gateway without configuration or replicas.
    pub fn new(settings: ProxySettings) -> Self {
        let ledger = LedgerClient::new(&settings.ledger_seeds, settings.ledger_port);
        let fleet = Fleet::new(&settings.name, Arc::clone(&settings.topology));
        Self {
            memory: MemoryBudget::for_machine(settings.memory),
            settings,
            ledger,
            fleet,
            pool: Pool::default(),
            weights: CostWeights::default(),
            permits: Mutex::default(),
            crashes: Mutex::default(),
            sends: OpenSends::default(),
            response_times: ResponseTimes::default(),
            drain: Drain::default(),
            key_secret: KeySecret::new(rand::random()),
            table: watch::Sender::new(None),
            table_waiters: Semaphore::new(MAX_TABLE_WAITERS),
            has_replica_list: AtomicBool::new(false),
            last_leader_answer: Mutex::new(None),
            running_tasks: AtomicUsize::new(0),
        }
    }

    /// Returns the ids of the replicas of a service to which there is an idle connection.
    pub fn connected_replicas(&self, service: &str) -> Vec<String> {
        let mut connected = self.pool.connected();
        let is_of_service = |id: &String| {
            self.fleet.find(id).is_some_and(|member| member.replica.service == service)
        };
        connected.retain(is_of_service);
        connected
    }

    /// Returns the dialect of the platform.
    pub fn dialect(&self) -> &dyn Dialect {
        self.settings.dialect.as_ref()
    }

    /// Returns the current routing table, or `None` before the first configuration.
    pub fn table(&self) -> Option<Arc<RouteTable>> {
        self.table.borrow().clone()
    }

    /// Returns the current routing table, waiting for the first one if necessary. Returns `None`
    /// if none arrives within `timeout`, or if too many requests wait already.
    pub async fn wait_for_table(&self, timeout: Duration) -> Option<Arc<RouteTable>> {
        if let Some(table) = self.table() {
            return Some(table);
        }
        let _permit = self.table_waiters.try_acquire().ok()?;
        let mut tables = self.table.subscribe();
        let table = tables.wait_for(Option::is_some);
        tokio::time::timeout(timeout, table).await.ok()?.ok()?.clone()
    }

    /// Installs a routing table unless the current one is at least as new. Returns whether it was
    /// installed.
    pub fn install_table(&self, table: RouteTable) -> bool {
        let is_installed = self.table.send_if_modified(|current| {
            let is_newer =
                current.as_ref().is_none_or(|current| current.version() < table.version());
            if is_newer {
                *current = Some(Arc::new(table));
            }
            is_newer
        });
        if is_installed && let Some(table) = self.table() {
            self.response_times.retain_routes(&table);
        }
        is_installed
    }

    /// Records that the leader answered a watch request on a connection of this version.
    pub fn record_leader_answer(&self, version: ProtocolVersion, now: Instant) {
        let dropped_connections = self.ledger.dropped_connections();
        let mut last = self.last_leader_answer.lock();
        let contact = last.filter(|last| last.is_in_contact(&self.ledger, now));
        let contact_since = contact.map_or(now, |last| last.contact_since);
        *last = Some(LeaderAnswer { at: now, version, dropped_connections, contact_since });
    }

    /// Returns whether the routing table is current, up to the usual propagation delay. Otherwise
    /// the gateway must not report a route or key as unknown, since it may have been added
    /// recently.
    pub fn is_current(&self, now: Instant) -> bool {
        let answer = *self.last_leader_answer.lock();
        answer.is_some_and(|answer| now.saturating_duration_since(answer.at) < MAX_LEADER_SILENCE)
    }

    /// Returns whether the gateway receives what the ledger records as it is recorded. It does not
    /// while it is cut off from the leader, has not heard a new one, or is connected to it by a version
    /// without crash records.
    pub fn follows_ledger(&self, now: Instant) -> bool {
        let answer = *self.last_leader_answer.lock();
        answer.is_some_and(|answer| {
            answer.version >= CRASH_RECORDS_VERSION && answer.is_in_contact(&self.ledger, now)
        })
    }

    /// Returns whether other gateways may still write what they could not while there was no leader, as
    /// far as this gateway can tell from its own contact with the leader.
    pub fn may_have_pending_writes(&self, now: Instant) -> bool {
        let answer = *self.last_leader_answer.lock();
        let contact = answer.filter(|answer| answer.is_in_contact(&self.ledger, now));
        contact.is_none_or(|answer| {
            now.saturating_duration_since(answer.contact_since) < PENDING_WRITES_TIME
        })
    }

    /// Records that a replica list has been received.
    pub fn mark_list_received(&self) {
        self.has_replica_list.store(true, Ordering::Relaxed);
    }

    /// Returns whether the gateway is ready for client requests.
    pub fn is_ready(&self) -> bool {
        let has_replicas =
            self.has_replica_list.load(Ordering::Relaxed) && self.fleet.drained_version().is_some();
        let is_initialized = has_replicas && self.table.borrow().is_some();
        is_initialized && !self.is_stopping()
    }

    /// Returns whether a graceful shutdown has begun.
    pub fn is_stopping(&self) -> bool {
        self.drain.stage() >= DrainStage::Announced
    }

    /// Counts a background task for which a graceful shutdown waits, until the guard is dropped.
    pub fn begin_task(self: &Arc<Self>) -> TaskGuard {
        self.running_tasks.fetch_add(1, Ordering::Relaxed);
        TaskGuard { app: Arc::clone(self) }
    }

    /// Returns the number of background tasks for which a graceful shutdown waits.
    pub fn running_tasks(&self) -> usize {
        self.running_tasks.load(Ordering::Relaxed)
    }
}

/// Counts a background task as running until dropped.
pub struct TaskGuard {
    app: Arc<App>,
}

impl Drop for TaskGuard {
    fn drop(&mut self) {
        self.app.running_tasks.fetch_sub(1, Ordering::Relaxed);
    }
}

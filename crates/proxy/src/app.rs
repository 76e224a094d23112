//! State shared by all requests of a process.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use calicohoist_connections::{Drain, DrainStage};
use calicohoist_ledger::client::LedgerClient;
use calicohoist_limiter::PermitCache;
use calicohoist_quarantine::CrashTable;
use calicohoist_routing::{CostWeights, KeySecret, RouteTable};
use calicohoist_transport::ProtocolVersion;
use parking_lot::Mutex;
use tokio::sync::{Semaphore, watch};

use crate::dialect::Dialect;
use crate::fleet::Fleet;
use crate::ledger_contact::{LeaderAnswer, LedgerContact};
use crate::memory::MemoryBudget;
use crate::pauses::PauseDetector;
use crate::response_times::ResponseTimes;
use crate::sends::OpenSends;
use crate::settings::ProxySettings;
use crate::upstream::Pool;

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
    /// Times for which the process stood still.
    pub pauses: Mutex<PauseDetector>,
    /// Connections of clients, and the schedule of a graceful shutdown.
    pub drain: Drain,
    /// Secret for hashing API keys.
    pub key_secret: KeySecret,
    table: watch::Sender<Option<Arc<RouteTable>>>,
    /// Limits the number of requests that wait for the first routing table.
    table_waiters: Semaphore,
    has_replica_list: AtomicBool,
    contact: Mutex<LedgerContact>,
    running_tasks: AtomicUsize,
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
            pauses: Mutex::new(PauseDetector::new(Instant::now())),
            drain: Drain::default(),
            key_secret: KeySecret::new(rand::random()),
            table: watch::Sender::new(None),
            table_waiters: Semaphore::new(MAX_TABLE_WAITERS),
            has_replica_list: AtomicBool::new(false),
            contact: Mutex::default(),
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

    /// Records that the leader answered a watch, at the latest at `given_at`, on a connection of this
    /// version.
    pub fn record_leader_answer(&self, version: ProtocolVersion, given_at: Instant) {
        let dropped_connections = self.ledger.dropped_connections();
        let answer = LeaderAnswer { given_at, version, dropped_connections };
        self.contact.lock().record_answer(answer);
    }

    /// Returns whether the routing table is current, up to the usual propagation delay. Otherwise
    /// the gateway must not report a route or key as unknown, since it may have been added
    /// recently.
    pub fn is_current(&self, now: Instant) -> bool {
        self.contact.lock().is_current(now)
    }

    /// Returns whether the gateway receives what the ledger records as it is recorded. It does not
    /// while it is cut off from the leader, has not heard a new one, or is connected to it by a version
    /// without crash records.
    pub fn follows_ledger(&self, now: Instant) -> bool {
        let dropped_connections = self.ledger.dropped_connections();
        self.contact.lock().follows_ledger(dropped_connections, now)
    }

    /// Returns whether other gateways may still write what they could not while there was no leader, as
    /// far as this gateway can tell from its own contact with the leader.
    pub fn may_have_pending_writes(&self, now: Instant) -> bool {
        let dropped_connections = self.ledger.dropped_connections();
        self.contact.lock().may_have_pending_writes(dropped_connections, now)
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

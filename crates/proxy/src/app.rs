//! What all requests of a process share.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use calicohoist_ledger::client::LedgerClient;
use calicohoist_limiter::PermitCache;
use calicohoist_routing::{CostWeights, KeySecret, RouteTable};
use parking_lot::Mutex;
use tokio::sync::{Semaphore, watch};

use crate::dialect::Dialect;
use crate::fleet::Fleet;
use crate::memory::ByteBudget;
use crate::settings::ProxySettings;
use crate::upstream::Pool;

/// How long the leader's last news count: three times as long as it holds a question for news, and
/// less than a change may take to be in force everywhere.
const NEWS_COUNT_FOR: Duration = Duration::from_millis(1_500);
/// Requests that may wait for the first table.
const MAX_TABLE_WAITERS: usize = 256;

/// The shared state of a gateway.
pub struct App {
    /// What the gateway was told at its start.
    pub settings: ProxySettings,
    /// Asks the ledger.
    pub ledger: LedgerClient,
    /// The replicas.
    pub fleet: Fleet,
    /// Kept connections to them.
    pub pool: Pool,
    /// Bytes held for callers and replicas.
    pub memory: Arc<ByteBudget>,
    /// Costs in the choice of a replica.
    pub weights: CostWeights,
    /// Permits that tenants' limits leave to this gateway.
    pub purse: Mutex<PermitCache>,
    /// Hashes the keys of callers.
    pub key_secret: KeySecret,
    table: watch::Sender<Option<Arc<RouteTable>>>,
    /// Places for requests that wait for the first table.
    table_waiters: Semaphore,
    has_list: AtomicBool,
    /// When the leader last told what is new, or that nothing is.
    followed: Mutex<Option<Instant>>,
    is_stopping: AtomicBool,
    under_way: AtomicUsize,
}

impl App {
    /// A gateway that knows nothing yet.
    pub fn new(settings: ProxySettings) -> Self {
        let ledger = LedgerClient::new(&settings.ledger_seeds, settings.ledger_port);
        let fleet = Fleet::new(&settings.name, Arc::clone(&settings.topology));
        Self {
            memory: ByteBudget::of_machine(settings.memory),
            settings,
            ledger,
            fleet,
            pool: Pool::default(),
            weights: CostWeights::default(),
            purse: Mutex::default(),
            key_secret: KeySecret::new(rand::random()),
            table: watch::Sender::new(None),
            table_waiters: Semaphore::new(MAX_TABLE_WAITERS),
            has_list: AtomicBool::new(false),
            followed: Mutex::new(None),
            is_stopping: AtomicBool::new(false),
            under_way: AtomicUsize::new(0),
        }
    }

    /// How this platform writes.
    pub fn dialect(&self) -> &dyn Dialect {
        self.settings.dialect.as_ref()
    }

    /// The routes in force here; `None` before the first configuration.
    pub fn table(&self) -> Option<Arc<RouteTable>> {
        self.table.borrow().clone()
    }

    /// The routes in force here, once there are any; `None` when none came within
    /// `patience`, or when too many requests wait for them.
    pub async fn wait_for_table(&self, patience: Duration) -> Option<Arc<RouteTable>> {
        if let Some(table) = self.table() {
            return Some(table);
        }
        let _place = self.table_waiters.try_acquire().ok()?;
        let mut tables = self.table.subscribe();
        let table = tables.wait_for(Option::is_some);
        tokio::time::timeout(patience, table).await.ok()?.ok()?.clone()
    }

    /// Puts a table in force, unless a newer one is. A gateway never goes back.
    pub fn put_table(&self, table: RouteTable) -> bool {
        self.table.send_if_modified(|held| {
            let is_newer = held.as_ref().is_none_or(|held| held.version() < table.version());
            if is_newer {
                *held = Some(Arc::new(table));
            }
            is_newer
        })
    }

    /// Notes that a leader told what is new.
    pub fn note_followed(&self, now: Instant) {
        *self.followed.lock() = Some(now);
    }

    /// Whether the table in force is the newest one, but for the time that a change takes. A gateway
    /// that does not follow must not say that something does not exist: it may be new.
    pub fn follows(&self, now: Instant) -> bool {
        let followed = *self.followed.lock();
        followed.is_some_and(|at| now.saturating_duration_since(at) < NEWS_COUNT_FOR)
    }

    /// Notes that the replicas are known.
    pub fn note_list(&self) {
        self.has_list.store(true, Ordering::Relaxed);
    }

    /// Whether callers may be sent here.
    pub fn is_ready(&self) -> bool {
        let knows_replicas =
            self.has_list.load(Ordering::Relaxed) && self.fleet.drained_version().is_some();
        let knows_enough = knows_replicas && self.table.borrow().is_some();
        knows_enough && !self.is_stopping()
    }

    /// Whether a planned stop has begun.
    pub fn is_stopping(&self) -> bool {
        self.is_stopping.load(Ordering::Relaxed)
    }

    /// Begins a planned stop: the gateway calls itself unready and ends connections.
    pub fn stop(&self) {
        self.is_stopping.store(true, Ordering::Relaxed);
    }

    /// Counts a request until the guard is dropped.
    pub fn begin_request(self: &Arc<Self>) -> RequestGuard {
        self.under_way.fetch_add(1, Ordering::Relaxed);
        RequestGuard { app: Arc::clone(self) }
    }

    /// Requests whose answers are not complete.
    pub fn requests_under_way(&self) -> usize {
        self.under_way.load(Ordering::Relaxed)
    }
}

/// A request whose answer is not complete.
pub struct RequestGuard {
    app: Arc<App>,
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.app.under_way.fetch_sub(1, Ordering::Relaxed);
    }
}

//! One replica, with its load and recent failures as this gateway knows them.

use std::sync::Arc;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::time::{Duration, Instant};

use calicohoist_routing::{MeanLoad, Replica};
use parking_lot::Mutex;

/// A replica with its load and recent failures.
#[derive(Debug)]
pub struct Member {
    /// Replica as listed by discovery.
    pub replica: Replica,
    /// Tie-breaker among replicas with equal cost; differs between gateways.
    pub(super) rank: u64,
    pub(super) own_load: AtomicU32,
    /// Number of requests in `own_load` under which a replica has or may have crashed.
    suspects: AtomicU32,
    /// Sequence number of this gateway's last request to the replica; 0 for none.
    pub(super) last_used: AtomicU64,
    other_load: Mutex<OtherLoad>,
    active_penalty: Mutex<Option<ActivePenalty>>,
}

/// Total load that all other gateways place on a replica, as reported by the leader.
#[derive(Clone, Copy, Debug, Default)]
struct OtherLoad {
    mean: MeanLoad,
    reported_at: Option<Instant>,
}

#[derive(Clone, Copy, Debug)]
struct ActivePenalty {
    until: Instant,
    penalty: Duration,
}

impl Member {
    pub(super) fn new(replica: Replica, rank: u64) -> Self {
        Self {
            replica,
            rank,
            own_load: AtomicU32::new(0),
            suspects: AtomicU32::new(0),
            last_used: AtomicU64::new(0),
            other_load: Mutex::default(),
            active_penalty: Mutex::new(None),
        }
    }

    /// Returns a new entry for a replica whose properties changed.
    pub(super) fn with_replica(&self, replica: Replica) -> Self {
        let member = Self::new(replica, self.rank);
        // Existing load guards refer to the old entry, so its load is not carried over.
        *member.active_penalty.lock() = *self.active_penalty.lock();
        member
    }

    /// Counts a request as load of the replica until the guard is dropped. A replica has or may have
    /// crashed under one that `is_suspect`.
    pub fn begin_request(self: &Arc<Self>, is_suspect: bool) -> LoadGuard {
        self.own_load.fetch_add(1, Ordering::Relaxed);
        self.suspects.fetch_add(u32::from(is_suspect), Ordering::Relaxed);
        LoadGuard { member: Arc::clone(self), is_suspect }
    }

    /// Returns whether the replica runs a request under which another replica has or may have
    /// crashed.
    pub(super) fn runs_suspect(&self) -> bool {
        self.suspects.load(Ordering::Relaxed) > 0
    }

    /// Adds a cost penalty to the replica for a limited time.
    pub fn penalize(&self, penalty: Duration, duration: Duration) {
        *self.active_penalty.lock() =
            Some(ActivePenalty { until: Instant::now() + duration, penalty });
    }

    pub(super) fn penalty(&self, now: Instant) -> Duration {
        let current = *self.active_penalty.lock();
        current.filter(|current| current.until > now).map_or(Duration::ZERO, |known| known.penalty)
    }

    /// Returns the number of active requests of this gateway, and the moving average of the
    /// total of all other gateways.
    pub fn loads(&self) -> (u32, MeanLoad) {
        (self.own_load.load(Ordering::Relaxed), self.other_load.lock().mean)
    }

    pub(super) fn record_other_load(&self, load: u32, now: Instant) {
        let mut known = self.other_load.lock();
        if load == 0 && known.mean.get() == 0.0 && known.reported_at.is_some() {
            known.reported_at = Some(now);
            return;
        }
        let since = known.reported_at.map(|at| now.saturating_duration_since(at));
        *known = OtherLoad { mean: known.mean.updated(load, since), reported_at: Some(now) };
    }
}

/// Counts a request as load of a replica until dropped.
#[derive(Debug)]
pub struct LoadGuard {
    member: Arc<Member>,
    is_suspect: bool,
}

impl Drop for LoadGuard {
    fn drop(&mut self) {
        self.member.own_load.fetch_sub(1, Ordering::Relaxed);
        self.member.suspects.fetch_sub(u32::from(self.is_suspect), Ordering::Relaxed);
    }
}

//! Memory limit for buffered request and response bodies.
//!
//! Slow clients and replicas make the gateway buffer data for them. The memory is reserved before
//! the data is read or copied, so that many of them at a time cannot exhaust the memory of the
//! machine.

mod shares;
mod usage;

use std::sync::Arc;

use bytes::Bytes;
use calicohoist_telemetry::metrics::Gauge;
use parking_lot::Mutex;
use tokio::sync::Notify;
use tokio::time::Instant;

pub use shares::{MemoryClass, UNANNOUNCED_BYTES};
pub use usage::TURN_DURATION;
use usage::{Growth, Holding, MemoryUsage};

/// Limit in percent of the machine's memory. The rest is for sockets, the configuration and the
/// process itself.
const LIMIT_PERCENT: usize = 30;
/// Limit in bytes if the memory of the machine is unknown.
const DEFAULT_LIMIT: usize = 64 << 20;

static RESERVED: Gauge =
    Gauge::new("calicohoist_held_bytes", "Bytes held for callers and replicas");

/// Memory limit of a process, with the current reservations.
#[derive(Debug)]
pub struct MemoryBudget {
    limit: usize,
    usage: Mutex<MemoryUsage>,
    /// Memory was released, or the turn to exceed the limit has changed.
    changed: Notify,
    /// A turn to exceed the limit was revoked.
    revoked: Notify,
}

/// A reservation cannot grow.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("memory limit reached")]
pub struct MemoryLimitReached;

impl MemoryBudget {
    /// Creates a budget for a machine with `memory` bytes of memory, or a default one if that is
    /// unknown.
    pub fn for_machine(memory: Option<usize>) -> Arc<Self> {
        Self::with_limit(memory.map_or(DEFAULT_LIMIT, |memory| memory / 100 * LIMIT_PERCENT))
    }

    /// Creates a budget of `limit` bytes.
    pub fn with_limit(limit: usize) -> Arc<Self> {
        let usage = Mutex::new(MemoryUsage::new(limit));
        Arc::new(Self { limit, usage, changed: Notify::new(), revoked: Notify::new() })
    }

    /// Returns the number of reserved bytes.
    pub fn reserved(&self) -> usize {
        self.usage.lock().reserved()
    }

    /// Reserves `bytes` bytes if they fit.
    pub fn try_reserve(
        self: &Arc<Self>,
        class: MemoryClass,
        bytes: usize,
    ) -> Option<MemoryReservation> {
        let holding = self.update(|usage| usage.reserve(class, bytes))?;
        Some(MemoryReservation { budget: Arc::clone(self), holding })
    }

    /// Reserves `bytes` bytes for a response or part of one, waiting until they fit.
    pub async fn reserve_response(self: &Arc<Self>, bytes: usize) -> MemoryReservation {
        let class = MemoryClass::of_response(bytes, self.limit);
        self.wait_for(|| self.try_reserve(class, bytes)).await
    }

    /// Creates an empty reservation for a response that will grow.
    pub fn reserve_nothing(self: &Arc<Self>) -> MemoryReservation {
        let holding = self.update(|usage| usage.reserve_nothing(MemoryClass::Response));
        MemoryReservation { budget: Arc::clone(self), holding }
    }

    /// Waits until an attempt to reserve memory succeeds. The response that exceeds the limit gives
    /// way meanwhile if it takes too long.
    async fn wait_for<T>(&self, mut attempt: impl FnMut() -> Option<T>) -> T {
        loop {
            // Registered before the attempt, so that no change in between is missed.
            let changed = self.changed.notified();
            if let Some(result) = attempt() {
                return result;
            }
            let turn_end = self.usage.lock().turn_end();
            tokio::select! {
                () = changed => {}
                () = tokio::time::sleep_until(turn_end.unwrap_or_else(Instant::now)),
                    if turn_end.is_some() => self.revoke_turn(),
            }
        }
    }

    fn revoke_turn(&self) {
        if self.usage.lock().revoke_turn(Instant::now()) {
            self.revoked.notify_waiters();
        }
    }

    fn update<T>(&self, change: impl FnOnce(&mut MemoryUsage) -> T) -> T {
        let mut usage = self.usage.lock();
        let result = change(&mut usage);
        RESERVED.set(usage.reserved() as u64);
        result
    }
}

/// Reservation of memory, released on drop.
#[derive(Debug)]
pub struct MemoryReservation {
    budget: Arc<MemoryBudget>,
    holding: Holding,
}

impl MemoryReservation {
    /// Returns the number of reserved bytes.
    pub fn bytes(&self) -> usize {
        self.holding.bytes
    }

    /// Attaches the reservation to `bytes`, which are complete. It is released when the last handle
    /// to them is dropped, which a connection does after writing them.
    pub fn attach_to(self, bytes: Bytes) -> Bytes {
        self.budget.usage.lock().end_turn(&self.holding);
        self.budget.changed.notify_waiters();
        Bytes::from_owner(ReservedBytes { bytes, _reservation: self })
    }

    /// Grows the reservation to at least `bytes` bytes, waiting until there is room. One response
    /// at a time may exceed the limit, since two partly read ones could wait for each other forever.
    ///
    /// # Errors
    /// Returns an error if the reservation is for a request body, which does not wait.
    pub async fn grow_to(&mut self, bytes: usize) -> Result<(), MemoryLimitReached> {
        if self.try_grow_to(bytes) {
            return Ok(());
        }
        if self.holding.class == MemoryClass::RequestBody {
            return Err(MemoryLimitReached);
        }
        let budget = Arc::clone(&self.budget);
        budget.wait_for(|| self.try_grow_to(bytes).then_some(())).await;
        Ok(())
    }

    /// Grows the reservation to at least `bytes` bytes if there is room, or if it may exceed the
    /// limit; returns whether that succeeded.
    pub fn try_grow_to(&mut self, bytes: usize) -> bool {
        if bytes <= self.holding.bytes {
            return true;
        }
        let Self { budget, holding } = self;
        let growth = budget.update(|usage| usage.grow(holding, bytes, Instant::now()));
        if growth != Growth::Refused {
            // Others may take the turn or have to watch a new one, and a response that has become
            // large leaves room for small ones.
            budget.changed.notify_waiters();
        }
        growth == Growth::Granted
    }

    /// Reserves `bytes` bytes for a complete part of the response that this reservation reads,
    /// waiting until there is room. Like growth, this may exceed the limit.
    pub async fn reserve_beside(&mut self, bytes: usize) -> Self {
        let budget = Arc::clone(&self.budget);
        budget.wait_for(|| self.try_reserve_beside(bytes)).await
    }

    /// Like [`reserve_beside`](Self::reserve_beside), without waiting.
    pub fn try_reserve_beside(&mut self, bytes: usize) -> Option<Self> {
        let Self { budget, holding } = self;
        let class = MemoryClass::of_response(bytes, budget.limit);
        let (part, has_turn_ended) = budget.update(|usage| {
            let part = usage.reserve_beside(holding, class, bytes);
            (part, usage.end_turn(holding))
        });
        if has_turn_ended {
            budget.changed.notify_waiters();
        }
        part.map(|holding| Self { budget: Arc::clone(budget), holding })
    }

    /// Releases what is reserved beyond `bytes` bytes.
    pub fn shrink_to(&mut self, bytes: usize) {
        let Self { budget, holding } = self;
        if bytes < holding.bytes {
            budget.update(|usage| usage.shrink(holding, bytes));
            budget.changed.notify_waiters();
        }
    }

    /// Waits until this response has to give way, because it exceeds the limit for too long while
    /// others wait. It must then be dropped.
    pub async fn revoked(&self) {
        loop {
            let revoked = self.budget.revoked.notified();
            if self.budget.usage.lock().is_revoked(&self.holding) {
                return;
            }
            revoked.await;
        }
    }
}

struct ReservedBytes {
    bytes: Bytes,
    _reservation: MemoryReservation,
}

impl AsRef<[u8]> for ReservedBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl Drop for MemoryReservation {
    fn drop(&mut self) {
        self.shrink_to(0);
    }
}

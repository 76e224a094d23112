//! Limit on the bytes of large answers that are under way to all gateways together.
//!
//! After a change of the list or the configuration, every gateway waits for an answer of the same
//! size. Sent at once, these answers fill the machine's link, and heartbeats and short answers
//! queue behind them until the leader loses its leadership.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::{OwnedSemaphorePermit, Semaphore, oneshot};
use tokio::time::timeout;

/// Maximum number of bytes under way.
const MAX_BYTES_UNDER_WAY: usize = 2 << 20;
/// Bytes that one permit of the semaphore stands for.
const BYTES_PER_PERMIT: usize = 1 << 10;
/// Time after which an answer no longer counts as under way, so that gateways that do not read
/// don't hold up the others.
const MAX_TIME_UNDER_WAY: Duration = Duration::from_millis(250);

/// Admits large answers in the order in which they are requested.
#[derive(Clone, Debug)]
pub struct BulkLimiter {
    permits: Arc<Semaphore>,
}

impl Default for BulkLimiter {
    fn default() -> Self {
        Self { permits: Arc::new(Semaphore::new(MAX_BYTES_UNDER_WAY / BYTES_PER_PERMIT)) }
    }
}

impl BulkLimiter {
    /// Waits until `bytes` may be sent. Returns `None` if that takes longer than `max_wait`.
    pub async fn admit(&self, bytes: usize, max_wait: Duration) -> Option<BulkPermit> {
        let permits = bytes.min(MAX_BYTES_UNDER_WAY).div_ceil(BYTES_PER_PERMIT);
        let acquire = Arc::clone(&self.permits).acquire_many_owned(permits as u32);
        let permit = timeout(max_wait, acquire).await.ok()?.ok()?;
        Some(BulkPermit { permit })
    }

    /// Returns the number of bytes that are under way.
    pub fn bytes_under_way(&self) -> usize {
        MAX_BYTES_UNDER_WAY - self.permits.available_permits() * BYTES_PER_PERMIT
    }
}

/// Permission to send one large answer.
#[derive(Debug)]
pub struct BulkPermit {
    permit: OwnedSemaphorePermit,
}

impl BulkPermit {
    /// Counts the answer as under way until the returned sender is dropped, or for
    /// [`MAX_TIME_UNDER_WAY`]. Must be called within a Tokio runtime.
    pub fn hold_until_written(self) -> oneshot::Sender<()> {
        let (written, notice) = oneshot::channel();
        tokio::spawn(async move {
            let _ = timeout(MAX_TIME_UNDER_WAY, notice).await;
            drop(self.permit);
        });
        written
    }
}

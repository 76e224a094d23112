//! Memory of the histories of retained turns that wait for their turn on a connection.
//!
//! A connection whose queue overflows is closed, and all questions on it are asked again. A few long
//! histories answered at the same moment would close it again and again, so they are queued one
//! after another.

use std::sync::Arc;

use calicohoist_transport::QueuedBytes;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// Length from which a history waits for those before it, in bytes.
pub(super) const MIN_BYTES: usize = 16 << 10;
/// Maximum number of bytes that wait for one connection.
const MAX_BYTES: usize = 4 << 20;
/// Part of the limit of the frames queued on all connections beyond which no history is admitted.
const MAX_QUEUED_PART: usize = 4;
/// Bytes that one permit of a semaphore stands for.
const BYTES_PER_PERMIT: usize = 1 << 10;

/// Limit on the bytes that wait for all connections.
#[derive(Clone, Debug)]
pub struct HistoryMemory {
    limit: usize,
    permits: Arc<Semaphore>,
}

impl HistoryMemory {
    /// Returns the number of bytes that wait for all connections, in units of a permit.
    pub fn held_bytes(&self) -> usize {
        self.limit.saturating_sub(self.permits.available_permits() * BYTES_PER_PERMIT)
    }

    /// Creates a limit of `limit` bytes, a multiple of 1 KiB.
    pub fn new(limit: usize) -> Self {
        Self { limit, permits: semaphore(limit) }
    }
}

/// Limit on the bytes that wait for one connection.
#[derive(Clone, Debug)]
pub(super) struct WaitingHistories {
    total: HistoryMemory,
    connection: Arc<Semaphore>,
    /// Number of bytes that wait for one connection at most.
    connection_limit: usize,
}

impl WaitingHistories {
    pub(super) fn new(total: HistoryMemory) -> Self {
        let connection_limit = MAX_BYTES.min(total.limit);
        Self { total, connection: semaphore(connection_limit), connection_limit }
    }

    /// Admits a history of `bytes` bytes, for as long as the permits are held; `None` if too many
    /// wait or are among the `queued` ones. One of any length is admitted if there is no other.
    pub(super) fn admit(
        &self,
        bytes: usize,
        queued: &QueuedBytes,
    ) -> Option<[OwnedSemaphorePermit; 2]> {
        if queued.get() > queued.limit() / MAX_QUEUED_PART {
            return None;
        }
        let permits = u32::try_from(bytes.min(self.connection_limit) / BYTES_PER_PERMIT).ok()?;
        let connection = Arc::clone(&self.connection).try_acquire_many_owned(permits).ok()?;
        let total = Arc::clone(&self.total.permits).try_acquire_many_owned(permits).ok()?;
        Some([connection, total])
    }
}

fn semaphore(bytes: usize) -> Arc<Semaphore> {
    Arc::new(Semaphore::new(bytes / BYTES_PER_PERMIT))
}

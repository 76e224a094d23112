//! Recently issued rate-limit permits.
//!
//! Leaders record issued permits in the replicated log, so that the next leader counts them
//! towards the limits of their tenants.

use std::collections::VecDeque;

use calicohoist_limiter::IssuedPermits;
use serde::{Deserialize, Serialize};

/// Retention period of permit batches, in ms. It exceeds the longest rate-limit window plus the
/// lifetime of a permit.
pub const PERMIT_RETENTION_MS: u64 = 30_000;

/// The permits issued between two log entries.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PermitBatch {
    /// Sequence number, starting at 1.
    pub number: u64,
    /// Time of the batch on the batch clock, in ms.
    pub at_ms: u64,
    /// Number of permits issued by tenant.
    pub issued: Vec<IssuedPermits>,
}

/// Permit batches within the retention period.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecentPermits {
    /// Batch clock: the time leaders have measured between batches, in ms. It lags real time.
    clock_ms: u64,
    /// Sequence number of the newest batch.
    newest: u64,
    notes: VecDeque<PermitBatch>,
}

impl RecentPermits {
    /// Adds the permits issued since the previous batch.
    pub fn add(&mut self, issued: Vec<IssuedPermits>, elapsed_ms: u64) {
        self.clock_ms += elapsed_ms;
        let oldest = self.clock_ms.saturating_sub(PERMIT_RETENTION_MS);
        while self.notes.front().is_some_and(|batch| batch.at_ms < oldest) {
            self.notes.pop_front();
        }
        self.newest += 1;
        self.notes.push_back(PermitBatch { number: self.newest, at_ms: self.clock_ms, issued });
    }

    /// Returns the time on the batch clock, in ms.
    pub fn clock_ms(&self) -> u64 {
        self.clock_ms
    }

    /// Returns the sequence number of the newest batch; 0 before the first.
    pub fn newest(&self) -> u64 {
        self.newest
    }

    /// Returns the retained batches with a higher sequence number, oldest first.
    pub fn after(&self, number: u64) -> impl Iterator<Item = &PermitBatch> {
        self.notes.iter().skip_while(move |batch| batch.number <= number)
    }
}

//! When the leader seals retained turns, and how many wait for it.
//!
//! Contents of retained turns are held in memory until they are sealed into a segment. A seal covers
//! only what stands before it in the log, so another one may be due as soon as it is applied.

use crate::server::memory::MemoryPlan;

/// Maximum contents beyond the share of unsealed turns, as a multiple of the share of uncommitted
/// ones: those before a seal in the log, and those behind it.
const UNCOMMITTED_SHARES: u64 = 2;

/// Decides when a leader proposes a seal.
#[derive(Debug)]
pub struct SealSchedule {
    /// Contents that are sealed, in bytes.
    limit: u64,
    /// Contents in memory and in the log beyond which turns wait, in bytes.
    max_unsealed: u64,
    /// Term in which a seal was proposed that is not applied.
    pending_in: Option<u64>,
}

impl SealSchedule {
    /// Creates the schedule of a machine with these shares of memory.
    pub fn new(plan: &MemoryPlan) -> Self {
        let limit = plan.unsealed_turns as u64;
        let max_unsealed = limit + UNCOMMITTED_SHARES * plan.uncommitted as u64;
        Self { limit, max_unsealed, pending_in: None }
    }

    /// Returns whether the leader of `term` has to propose a seal now, with `unsealed` bytes of
    /// contents in memory.
    pub fn begin_if_due(&mut self, term: u64, unsealed: u64) -> bool {
        if unsealed < self.limit || self.pending_in == Some(term) {
            return false;
        }
        self.pending_in = Some(term);
        true
    }

    /// Records that the seal which was proposed is applied, or lost.
    pub fn end(&mut self) {
        self.pending_in = None;
    }

    /// Returns whether turns may be proposed, with which the log would hold `uncommitted` bytes of
    /// contents. One of any size may, unless a seal is due.
    pub fn has_room(&self, unsealed: u64, uncommitted: u64) -> bool {
        unsealed < self.limit || unsealed.saturating_add(uncommitted) <= self.max_unsealed
    }
}

//! Bytes that the replica holds in memory, counted by the replica thread for other threads.

use std::sync::atomic::{AtomicUsize, Ordering};

use calicohoist_replication::{Entry, Raft};

use crate::state::LedgerState;

/// Bytes that the replica holds, as counted last.
#[derive(Debug, Default)]
pub struct HeldBytes {
    log: AtomicUsize,
    snapshot: AtomicUsize,
    configuration: AtomicUsize,
    retained_turns: AtomicUsize,
}

impl HeldBytes {
    /// Counts what a replica holds.
    pub(super) fn count(&self, raft: &Raft, state: &LedgerState) {
        let log = raft.entries().iter().map(Entry::command_bytes).sum();
        let retained = usize::try_from(state.turns().unsealed_bytes()).unwrap_or(usize::MAX);
        self.log.store(log, Ordering::Relaxed);
        let snapshot = raft.snapshot().data.loaded().map_or(0, <[u8]>::len);
        self.snapshot.store(snapshot, Ordering::Relaxed);
        self.configuration.store(state.configuration().document.held_bytes(), Ordering::Relaxed);
        self.retained_turns.store(retained, Ordering::Relaxed);
    }

    /// Commands of the entries of the log.
    pub fn log(&self) -> usize {
        self.log.load(Ordering::Relaxed)
    }

    /// The last snapshot.
    pub fn snapshot(&self) -> usize {
        self.snapshot.load(Ordering::Relaxed)
    }

    /// The configuration document, in compressed form if it is large.
    pub fn configuration(&self) -> usize {
        self.configuration.load(Ordering::Relaxed)
    }

    /// Contents of retained turns that are not sealed.
    pub fn retained_turns(&self) -> usize {
        self.retained_turns.load(Ordering::Relaxed)
    }
}

//! Replicas that receive no requests after failures, as the leader reports them to gateways.

use std::time::{Duration, Instant};

use calicohoist_routing::Replica;
use calicohoist_scheduler::OutlierDetector;
use parking_lot::Mutex;
use tokio::sync::watch;

use crate::protocol::TermVersion;

/// Tracks the failures reported by gateways within a term.
pub struct FailureTracker {
    state: Mutex<TrackerState>,
    /// Mark of the newest change, for waiting watches.
    mark: watch::Sender<TermVersion>,
}

#[derive(Default)]
struct TrackerState {
    term: u64,
    board: OutlierDetector,
}

impl Default for FailureTracker {
    fn default() -> Self {
        Self { state: Mutex::default(), mark: watch::Sender::new(TermVersion::default()) }
    }
}

impl FailureTracker {
    /// Records a failure. Returns for how long the replica is excluded if the failure excludes it.
    pub fn record_failure(
        &self,
        term: u64,
        replica: &str,
        replicas: &[Replica],
    ) -> Option<Duration> {
        let mut state = self.state.lock();
        if state.term != term {
            *state = TrackerState { term, ..TrackerState::default() };
        }
        state.board.retain(replicas);
        let exclusion = state.board.record_failure(replica, replicas, Instant::now())?;
        self.mark.send_modify(|mark| *mark = mark.next(term));
        Some(exclusion)
    }

    /// Subscribes to changes.
    pub fn subscribe(&self) -> watch::Receiver<TermVersion> {
        self.mark.subscribe()
    }

    /// Returns the excluded replicas with the remaining time in ms if they have changed since
    /// `seen`.
    pub fn changes_since(&self, seen: TermVersion) -> Option<(TermVersion, Vec<(String, u32)>)> {
        let mark = *self.mark.borrow();
        if mark == seen {
            return None;
        }
        let excluded = self.state.lock().board.ejected(Instant::now());
        let in_ms = |left: Duration| u32::try_from(left.as_millis()).unwrap_or(u32::MAX);
        Some((mark, excluded.into_iter().map(|(id, left)| (id, in_ms(left))).collect()))
    }
}

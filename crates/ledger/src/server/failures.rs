//! Replicas that are left alone, as the leader tells all gateways.

use std::time::{Duration, Instant};

use calicohoist_routing::Replica;
use calicohoist_scheduler::FailureBoard;
use parking_lot::Mutex;
use tokio::sync::watch;

use crate::protocol::TermVersion;

/// Counts what gateways report in one term after the other.
pub struct FailureDesk {
    state: Mutex<DeskState>,
    /// The newest change, for those who wait for one.
    mark: watch::Sender<TermVersion>,
}

#[derive(Default)]
struct DeskState {
    term: u64,
    board: FailureBoard,
}

impl Default for FailureDesk {
    fn default() -> Self {
        Self { state: Mutex::default(), mark: watch::Sender::new(TermVersion::default()) }
    }
}

impl FailureDesk {
    /// Counts a failure; returns how long the replica is to be left alone from now on.
    pub fn note(&self, term: u64, replica: &str, replicas: &[Replica]) -> Option<Duration> {
        let mut state = self.state.lock();
        if state.term != term {
            *state = DeskState { term, ..DeskState::default() };
        }
        state.board.retain(replicas);
        let rest = state.board.note(replica, replicas, Instant::now())?;
        self.mark.send_modify(|mark| *mark = mark.next(term));
        Some(rest)
    }

    /// Follows the changes.
    pub fn subscribe(&self) -> watch::Receiver<TermVersion> {
        self.mark.subscribe()
    }

    /// What has changed since `seen`: the replicas that are to be left alone, each for so many
    /// ms.
    pub fn news(&self, seen: TermVersion) -> Option<(TermVersion, Vec<(String, u32)>)> {
        let mark = *self.mark.borrow();
        if mark == seen {
            return None;
        }
        let resting = self.state.lock().board.resting(Instant::now());
        let in_ms = |left: Duration| u32::try_from(left.as_millis()).unwrap_or(u32::MAX);
        Some((mark, resting.into_iter().map(|(id, left)| (id, in_ms(left))).collect()))
    }
}

//! Recently finished runs.
//!
//! Every machine collects them from the log, so that the next leader knows which prompts the
//! replicas have cached. They are soft state and not part of snapshots.

use std::collections::VecDeque;

use calicohoist_scheduler::TurnRun;

/// Maximum number of runs buffered for the reader.
const MAX_RUNS: usize = 1_024;

/// A bounded buffer of the newest runs, numbered from the start of this process.
#[derive(Clone, Debug, Default)]
pub struct RecentRuns {
    runs: VecDeque<TurnRun>,
    /// Number assigned to the next run.
    next: u64,
}

impl RecentRuns {
    /// Appends a run, evicting the oldest one when the buffer is full.
    pub fn push(&mut self, run: TurnRun) {
        if self.runs.len() >= MAX_RUNS {
            self.runs.pop_front();
        }
        self.runs.push_back(run);
        self.next += 1;
    }

    /// Returns the number assigned to the next run.
    pub fn next(&self) -> u64 {
        self.next
    }

    /// Returns the buffered runs from `number` on.
    pub fn since(&self, number: u64) -> impl Iterator<Item = &TurnRun> {
        let wanted = usize::try_from(self.next.saturating_sub(number)).unwrap_or(usize::MAX);
        let kept = self.runs.len();
        self.runs.iter().skip(kept.saturating_sub(wanted))
    }
}

/// Always equal: runs are soft state and don't count when ledger states are compared.
impl PartialEq for RecentRuns {
    fn eq(&self, _other: &Self) -> bool {
        true
    }
}

impl Eq for RecentRuns {}

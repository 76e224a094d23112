//! Where turns ran lately.
//!
//! Soft state: every machine sees it in the log, so that whoever leads next knows what
//! replicas hold of prompts. It is in no snapshot.

use std::collections::VecDeque;

use calicohoist_scheduler::TurnRun;

/// Runs that are kept until somebody reads them.
const MAX_RUNS: usize = 1_024;

/// The newest runs, numbered from the start of this process on.
#[derive(Clone, Debug, Default)]
pub struct RecentRuns {
    runs: VecDeque<TurnRun>,
    /// Number of the next run.
    next: u64,
}

impl RecentRuns {
    /// Notes a run.
    pub fn push(&mut self, run: TurnRun) {
        if self.runs.len() >= MAX_RUNS {
            self.runs.pop_front();
        }
        self.runs.push_back(run);
        self.next += 1;
    }

    /// Number of the next run.
    pub fn next(&self) -> u64 {
        self.next
    }

    /// The runs from a number on, as far as they are kept.
    pub fn since(&self, number: u64) -> impl Iterator<Item = &TurnRun> {
        let wanted = usize::try_from(self.next.saturating_sub(number)).unwrap_or(usize::MAX);
        let kept = self.runs.len();
        self.runs.iter().skip(kept.saturating_sub(wanted))
    }
}

/// Ledgers are equal whatever they remember of runs.
impl PartialEq for RecentRuns {
    fn eq(&self, _other: &Self) -> bool {
        true
    }
}

impl Eq for RecentRuns {}

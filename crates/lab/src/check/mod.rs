//! The ten invariants, judged from what callers, services and engines recorded.
//!
//! Nothing here knows what the scheduler believes. An invariant that a run does
//! not exercise says `checked: 0`.

mod calls;
mod fleet;
mod transcript;

use serde::{Deserialize, Serialize};

use crate::history::History;
use transcript::Transcripts;

/// How often an invariant was looked at, and how often it did not hold.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Verdict {
    /// Looks.
    pub checked: u64,
    /// Violations.
    pub violations: u64,
    /// The first few violations in words.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub examples: Vec<String>,
}

/// Violations described in words.
const MAX_EXAMPLES: usize = 5;

impl Verdict {
    /// Notes one look; `problem` describes a violation.
    pub(crate) fn look(&mut self, holds: bool, problem: impl FnOnce() -> String) {
        self.checked += 1;
        if !holds {
            self.violations += 1;
            if self.examples.len() < MAX_EXAMPLES {
                self.examples.push(problem());
            }
        }
    }
}

/// One verdict for each promise.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Invariants {
    /// The calls of one program run in the order it issued them.
    pub call_order: Verdict,
    /// A history is never lost and never mixed.
    pub history_integrity: Verdict,
    /// A program never spends beyond its budget.
    pub budget_limit: Verdict,
    /// No engine memory stays held for ended programs.
    pub cache_release: Verdict,
    /// Every caller receives the whole answer to its own request.
    pub response_integrity: Verdict,
    /// What was refused as not run was not run.
    pub refused_not_executed: Verdict,
    /// What is not repeatable runs at most once.
    pub at_most_once: Verdict,
    /// A leaving back end gets no new work after a few seconds.
    pub backend_drain: Verdict,
    /// A planned stop cuts nothing.
    pub graceful_shutdown: Verdict,
    /// What is in force holds everywhere.
    pub config_convergence: Verdict,
}

impl Invariants {
    /// The verdicts by name.
    pub fn named(&self) -> [(&'static str, &Verdict); 10] {
        [
            ("call_order", &self.call_order),
            ("history_integrity", &self.history_integrity),
            ("budget_limit", &self.budget_limit),
            ("cache_release", &self.cache_release),
            ("response_integrity", &self.response_integrity),
            ("refused_not_executed", &self.refused_not_executed),
            ("at_most_once", &self.at_most_once),
            ("backend_drain", &self.backend_drain),
            ("graceful_shutdown", &self.graceful_shutdown),
            ("config_convergence", &self.config_convergence),
        ]
    }

    /// Violations of all promises.
    pub fn violations(&self) -> u64 {
        self.named().iter().map(|(_, verdict)| verdict.violations).sum()
    }
}

/// Judges a run.
pub fn check(history: &History) -> Invariants {
    let transcripts = Transcripts::new(history);
    Invariants {
        call_order: calls::call_order(history),
        history_integrity: calls::history_integrity(history, &transcripts),
        budget_limit: calls::budget_limit(history),
        cache_release: fleet::cache_release(history),
        response_integrity: calls::response_integrity(history, &transcripts),
        refused_not_executed: calls::refused_not_executed(history),
        at_most_once: calls::at_most_once(history),
        backend_drain: fleet::backend_drain(history),
        graceful_shutdown: fleet::graceful_shutdown(history),
        config_convergence: fleet::config_convergence(history),
    }
}

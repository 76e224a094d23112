//! Invariant checks over the records of callers, engines and services.
//!
//! The checks use no state of the scheduler. An invariant that a run does not exercise reports
//! `checked: 0`.

mod calls;
mod fleet;
mod transcript;

use serde::{Deserialize, Serialize};

use crate::history::History;
use transcript::Transcripts;

/// Result of checking an invariant.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Verdict {
    /// Number of checks.
    pub checked: u64,
    /// Number of violations.
    pub violations: u64,
    /// Descriptions of the first violations.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub examples: Vec<String>,
}

/// Maximum number of described violations.
const MAX_EXAMPLES: usize = 5;

impl Verdict {
    /// Records one check; `problem` describes the violation if it failed.
    pub(crate) fn record(&mut self, holds: bool, problem: impl FnOnce() -> String) {
        self.checked += 1;
        if !holds {
            self.violations += 1;
            if self.examples.len() < MAX_EXAMPLES {
                self.examples.push(problem());
            }
        }
    }
}

/// One verdict per invariant.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Invariants {
    /// The calls of a program run in the order in which it issued them.
    pub call_order: Verdict,
    /// Prompts contain the complete history of their own program and nothing else.
    pub history_integrity: Verdict,
    /// A program tree never exceeds its token budget.
    pub budget_limit: Verdict,
    /// Engines hold no cache of ended programs.
    pub cache_release: Verdict,
    /// Every completed answer is the full, correct answer to its request.
    pub response_integrity: Verdict,
    /// A call refused as not run was not executed.
    pub refused_not_executed: Verdict,
    /// A non-repeatable call is executed at most once.
    pub at_most_once: Verdict,
    /// A draining or leaving engine receives no new work after a grace period.
    pub backend_drain: Verdict,
    /// A graceful shutdown interrupts no requests.
    pub graceful_shutdown: Verdict,
    /// Gateways apply every configuration that is reported as in force.
    pub config_convergence: Verdict,
}

impl Invariants {
    /// Returns the verdicts with their names.
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

    /// Returns the total number of violations.
    pub fn violations(&self) -> u64 {
        self.named().iter().map(|(_, verdict)| verdict.violations).sum()
    }
}

/// Checks all invariants of a run.
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

//! Fault injection: disables single rules to verify that the simulator detects violations.
//!
//! Rules can only be broken with the feature `broken-rules`, which is enabled by the lab's
//! tests alone. In all other builds [`is_broken`] is a constant.

/// A rule that the simulator's invariants depend on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rule {
    /// A call waits until the preceding call of its program has finished.
    WaitForTurn,
    /// The answer of a call is appended to the history of its program.
    KeepAnswers,
    /// An attempt whose answer was lost is charged to the budget.
    ChargeLostAttempts,
    /// Engines release the memory of ended programs.
    ReleaseMemory,
    /// A resumed response stream continues at the offset requested by the caller.
    ResumeAtOffset,
    /// A call that may have run is never closed as not run.
    KeepMayHaveRun,
    /// A non-repeatable call is not retried once it may have run.
    RepeatOnlyRepeatable,
    /// Draining engines receive no new calls.
    AvoidLeaving,
    /// A graceful shutdown waits for the running calls.
    FinishCalls,
    /// A gateway applies limits only from a current configuration.
    UseCurrentLimits,
}

#[cfg(feature = "broken-rules")]
mod switch {
    use std::cell::Cell;

    use super::Rule;

    thread_local! {
        static BROKEN: Cell<Option<Rule>> = const { Cell::new(None) };
    }

    /// Sets the rule to break in the current thread; `None` restores all rules.
    pub fn break_rule(rule: Option<Rule>) {
        BROKEN.set(rule);
    }

    /// Returns whether `rule` is broken in the current thread.
    pub fn is_broken(rule: Rule) -> bool {
        BROKEN.get() == Some(rule)
    }
}

#[cfg(feature = "broken-rules")]
pub use switch::{break_rule, is_broken};

/// Returns `false`: no rule can be broken in this build.
#[cfg(not(feature = "broken-rules"))]
pub const fn is_broken(_rule: Rule) -> bool {
    false
}

//! Rules that a test breaks on purpose, to show that the simulator notices.
//!
//! Only builds with the feature `broken-rules` can break one, and only the tests
//! of the lab ask for that feature: in a product build [`is_broken`] is a constant.

/// A rule on which a promise rests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rule {
    /// A call waits for the one before it.
    WaitForTurn,
    /// An answer joins the history of its program.
    KeepAnswers,
    /// An attempt whose answer was lost is charged to the budget.
    ChargeLostAttempts,
    /// Engines are told to release the memory of ended programs.
    ReleaseMemory,
    /// A resumed answer goes on where its caller lost it.
    ResumeAtOffset,
    /// A call that may have run is not closed as not run.
    KeepMayHaveRun,
    /// What must not repeat is not tried again.
    RepeatOnlyRepeatable,
    /// Leaving engines get no new work.
    AvoidLeaving,
    /// A planned stop waits for the calls under way.
    FinishCalls,
    /// Limits are those of the configuration in force.
    UseCurrentLimits,
}

#[cfg(feature = "broken-rules")]
mod switch {
    use std::cell::Cell;

    use super::Rule;

    thread_local! {
        static BROKEN: Cell<Option<Rule>> = const { Cell::new(None) };
    }

    /// Breaks a rule in this thread, or none.
    pub fn break_rule(rule: Option<Rule>) {
        BROKEN.set(rule);
    }

    /// Whether a rule is broken.
    pub fn is_broken(rule: Rule) -> bool {
        BROKEN.get() == Some(rule)
    }
}

#[cfg(feature = "broken-rules")]
pub use switch::{break_rule, is_broken};

/// Whether a rule is broken: never, in this build.
#[cfg(not(feature = "broken-rules"))]
pub const fn is_broken(_rule: Rule) -> bool {
    false
}

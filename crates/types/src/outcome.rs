//! Outcomes of a call and the reasons why a call did not run.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Outcome of a call, as reported to its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The call ran and its complete answer is stored.
    Completed,
    /// The call was durably closed before it was dispatched; it never ran and never will.
    NotRun,
    /// The call may have run; retrying with the same key is safe and may return its outcome.
    Unknown,
}

impl Outcome {
    /// Returns the name used in headers and JSON.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Completed => "completed",
            Self::NotRun => "not_run",
            Self::Unknown => "unknown",
        }
    }
}

impl fmt::Display for Outcome {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.as_str())
    }
}

/// Reason why a call was closed without running.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum NotRunReason {
    /// The program has ended.
    ProgramEnded,
    /// The program was cancelled.
    ProgramCancelled,
    /// The remaining budget does not cover the prompt and one generated token.
    BudgetExhausted,
    /// An earlier call of the program did not arrive in time.
    SequenceGap,
    /// The program has reached its maximum number of calls.
    TooManyCalls,
    /// No back end was available before the call's deadline.
    NoBackend,
    /// The queue was full.
    Overloaded,
    /// The back end rejected the call before running it.
    RefusedByBackend,
    /// The system is shutting down.
    ShuttingDown,
    /// The tenant has reached its maximum number of active programs.
    TenantLimit,
}

impl NotRunReason {
    /// Returns the name used as JSON error code.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::ProgramEnded => "program_ended",
            Self::ProgramCancelled => "program_cancelled",
            Self::BudgetExhausted => "budget_exhausted",
            Self::SequenceGap => "sequence_gap",
            Self::TooManyCalls => "too_many_calls",
            Self::NoBackend => "no_backend",
            Self::Overloaded => "overloaded",
            Self::RefusedByBackend => "refused_by_backend",
            Self::ShuttingDown => "shutting_down",
            Self::TenantLimit => "tenant_limit",
        }
    }

    /// Returns whether the same request may succeed later.
    pub const fn is_transient(self) -> bool {
        matches!(
            self,
            Self::NoBackend
                | Self::Overloaded
                | Self::RefusedByBackend
                | Self::ShuttingDown
                | Self::TenantLimit
                | Self::SequenceGap
        )
    }
}

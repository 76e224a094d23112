//! What became of a call. Only three outcomes exist, and each is a type.

use std::fmt;

use serde::{Deserialize, Serialize};

/// The final word on a call towards its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The call ran and its whole answer is stored.
    Completed,
    /// The call was durably closed before any dispatch; it never ran and never will.
    NotRun,
    /// The call may have run; asking again with the same key is safe and may tell.
    Unknown,
}

impl Outcome {
    /// The outcome as it stands in headers and JSON.
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

/// Why a call was closed without running.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum NotRunReason {
    /// The program has ended.
    ProgramEnded,
    /// The program was cancelled.
    ProgramCancelled,
    /// What is left of the budget does not cover the prompt and one token.
    BudgetExhausted,
    /// An earlier call of the program did not arrive in time.
    SequenceGap,
    /// The program reached its limit of calls.
    TooManyCalls,
    /// No back end could take the call before its deadline.
    NoBackend,
    /// The queue was full.
    Overloaded,
    /// The back end refused before it started.
    RefusedByBackend,
    /// The fleet is stopping.
    ShuttingDown,
    /// The tenant has as many programs under way as it may.
    TenantLimit,
}

impl NotRunReason {
    /// The reason as it stands in JSON error codes.
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

    /// Whether the same request may succeed later.
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

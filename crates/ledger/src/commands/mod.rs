//! State machine commands and their results.
//!
//! Commands are idempotent: a caller that receives no response retries the same command, possibly
//! with another leader.

mod crash;
mod origin;

use calicohoist_limiter::IssuedPermits;
use calicohoist_scheduler::TurnRun;
use calicohoist_types::Zone;
use serde::{Deserialize, Serialize};

pub use crash::{
    charge_crash, clear_commands, clear_crash, cleared_key, cleared_key_prefix, crash_key,
    crash_key_prefix, find_answer, find_cleared_crash, find_crash, release_send, report_answer,
    reserve_send, store_crash,
};
pub use origin::{
    ORIGIN_CONFLICT, ORIGIN_RETENTION, is_origin, origin_conflict_key, origin_key_prefix,
    read_origin, store_origin, store_origin_conflict,
};

/// Separates the parts of keys, such as the tenant name from a program or turn ID. None of them can
/// contain it: tenant names are validated, and IDs come from headers, which exclude control
/// characters.
pub const KEY_SEPARATOR: char = '\u{1f}';

/// ID of a program, chosen by its caller.
pub type ProgramId = String;
/// ID of a turn: the ID of the request that it answers.
pub type TurnId = String;

/// Returns whether an account is that of a program. Other accounts have keys that begin with the
/// separator.
pub fn is_program(account: &str) -> bool {
    !account.starts_with(KEY_SEPARATOR)
}

/// A command that changes the replicated state.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Command {
    /// Stores a configuration if its version is the highest so far.
    PutConfiguration {
        /// Configuration version.
        version: u64,
        /// Configuration document as the operator sent it.
        #[serde(with = "serde_bytes")]
        document: Vec<u8>,
    },
    /// Reserves tokens before a turn runs.
    Reserve(ReserveTurn),
    /// Ends a turn: charges the tokens used and stores the turn if it is to be retained.
    Settle(SettleTurn),
    /// Advances the clock of the state machine and removes expired entries.
    Advance {
        /// Time since the previous `Advance` of the same leader, in ms.
        elapsed_ms: u64,
    },
    /// Registers the name of a machine.
    Enroll {
        /// Name of the machine.
        name: String,
        /// Machine number.
        machine: u32,
    },
    /// Starts moving data off a machine so that it can be removed.
    Retire {
        /// Name of the machine.
        name: String,
        /// Number of members that would remain, according to the leader.
        remaining: usize,
        /// Minimum number of members that must remain.
        must_remain: usize,
    },
    /// Moves the content of retained turns from memory into a segment on disk.
    Seal,
    /// Records the permits that the leader has issued since the previous `NotePermits`.
    NotePermits {
        /// Issued permits by tenant.
        issued: Vec<IssuedPermits>,
        /// Time since the previous `NotePermits` of the same leader, in ms.
        elapsed_ms: u64,
    },
    /// Stops sending requests to the replicas of a zone.
    DrainZone {
        /// Affected zone.
        zone: Zone,
    },
    /// Resumes sending requests to a drained zone.
    RestoreZone {
        /// Affected zone.
        zone: Zone,
    },
}

impl Command {
    /// Returns the time for which the command keeps anything, in ms; `None` if it keeps nothing for a
    /// time of the clock of the state.
    pub fn retention_ms_mut(&mut self) -> Option<&mut u64> {
        match self {
            Self::Reserve(reserve) => Some(&mut reserve.retention_ms),
            Self::Settle(settle) => Some(&mut settle.retention_ms),
            // Permits have a clock of their own.
            Self::NotePermits { .. } => None,
            Self::PutConfiguration { .. }
            | Self::Advance { .. }
            | Self::Enroll { .. }
            | Self::Retire { .. }
            | Self::Seal
            | Self::DrainZone { .. }
            | Self::RestoreZone { .. } => None,
        }
    }
}

/// Reserves tokens for one turn.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReserveTurn {
    /// Program whose account is charged; `None` for a turn without a budget.
    pub program: Option<ProgramId>,
    /// ID of the turn.
    pub turn: TurnId,
    /// Maximum number of tokens that the turn generates.
    pub most_tokens: u64,
    /// Total number of tokens that the turns of the program may generate.
    pub budget: u64,
    /// Turn that this one continues from.
    pub previous: Option<TurnId>,
    /// Time after its last use at which the account expires, in ms.
    pub retention_ms: u64,
}

/// Ends one turn.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SettleTurn {
    /// Program whose account is charged; `None` for a turn without a budget.
    pub program: Option<ProgramId>,
    /// ID of the turn.
    pub turn: TurnId,
    /// Number of tokens delivered to the caller.
    pub used_tokens: u64,
    /// Time after their last use at which account and turn expire, in ms.
    pub retention_ms: u64,
    /// Content to retain, if the turn completed on a route with retention.
    pub retained: Option<RetainedTurn>,
    /// Where the turn ran, from which machines derive the contents of prefix caches.
    pub run: Option<Box<TurnRun>>,
}

impl SettleTurn {
    /// Size of the retained content, in bytes.
    pub fn content_bytes(&self) -> usize {
        self.retained.as_ref().map_or(0, |retained| retained.input.len() + retained.output.len())
    }
}

/// Retained content of a turn.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RetainedTurn {
    /// Turn that this one continued from.
    pub previous: Option<TurnId>,
    /// New input of the turn.
    #[serde(with = "serde_bytes")]
    pub input: Vec<u8>,
    /// Data of the events of the turn, each followed by a line feed.
    #[serde(with = "serde_bytes")]
    pub output: Vec<u8>,
}

/// Result of a command.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Output {
    /// Result of `PutConfiguration`.
    Configuration {
        /// Version of the stored configuration.
        version: u64,
    },
    /// Result of `Reserve`.
    Reservation(Reservation),
    /// Result of `Retire`.
    Retiring(RetiringOutcome),
    /// The command was applied.
    Done,
    /// The command could not be decoded; the state is unchanged and the replica stops.
    Unreadable,
    /// Result of `DrainZone` and `RestoreZone`.
    DrainedZones {
        /// Version of the set of drained zones, incremented with each change.
        version: u64,
    },
}

/// Result of a reservation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reservation {
    /// The maximum number of tokens of the turn is reserved.
    Granted,
    /// The remaining budget is insufficient.
    BudgetSpent,
    /// The turn to continue from does not exist.
    NoSuchTurn,
    /// The turn has already ended; the command is a delayed duplicate.
    Ended,
}

/// Result of a request to retire a machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RetiringOutcome {
    /// Retirement of the machine is in progress or complete.
    Accepted,
    /// No machine with that name is registered.
    Unknown,
    /// Too few members would remain.
    TooFewLeft,
}

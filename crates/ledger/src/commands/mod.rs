//! What changes the state, and what comes of it.
//!
//! Every command may be applied twice with the effect of once: a caller that got no
//! answer sends the same command again, perhaps to another leader.

use calicohoist_limiter::IssuedPermits;
use calicohoist_scheduler::TurnRun;
use calicohoist_types::Zone;
use serde::{Deserialize, Serialize};

/// Identity of a program, as its caller gave it.
pub type ProgramId = String;
/// Identity of a turn: that of the request whose answer it is.
pub type TurnId = String;

/// A change to the state.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Command {
    /// Holds a configuration if its version is the highest so far.
    PutConfiguration {
        /// Its version.
        version: u64,
        /// The document, as the operator sent it.
        #[serde(with = "serde_bytes")]
        document: Vec<u8>,
    },
    /// Sets tokens aside before a turn runs.
    Reserve(ReserveTurn),
    /// Ends a turn: charges what was used, and keeps the turn if it is to be retained.
    Settle(SettleTurn),
    /// Lets the state's own clock run on; everything that has run out is dropped.
    Advance {
        /// Time since the last such command of the same leader, in ms.
        elapsed_ms: u64,
    },
    /// Notes which name a machine has.
    Enroll {
        /// Name of the machine.
        name: String,
        /// Its number.
        machine: u32,
    },
    /// Empties a machine, so that it can be taken away.
    Retire {
        /// Name of the machine.
        name: String,
        /// Machines that would be left, as the leader counts its members.
        remaining: usize,
        /// Machines that must be left.
        must_remain: usize,
    },
    /// Moves what was said in retained turns out of memory into a segment.
    Seal,
    /// Notes the permits that the leader has issued since its last note.
    NotePermits {
        /// By tenant.
        issued: Vec<IssuedPermits>,
        /// Time since the last such command of the same leader, in ms.
        elapsed_ms: u64,
    },
    /// Sends nothing more to the replicas of a zone.
    DrainZone {
        /// The zone.
        zone: Zone,
    },
    /// Takes a drained zone into use again.
    RestoreZone {
        /// The zone.
        zone: Zone,
    },
}

/// Sets tokens aside for one turn.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReserveTurn {
    /// The program whose account is charged; `None` for a turn without a budget.
    pub program: Option<ProgramId>,
    /// The turn.
    pub turn: TurnId,
    /// Most tokens that it generates.
    pub most_tokens: u64,
    /// Tokens that all turns of the program may generate together.
    pub budget: u64,
    /// The turn it continues from.
    pub previous: Option<TurnId>,
    /// How long the account is kept without use, in ms.
    pub retention_ms: u64,
}

/// Ends one turn.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SettleTurn {
    /// The program whose account is charged.
    pub program: Option<ProgramId>,
    /// The turn.
    pub turn: TurnId,
    /// Tokens that were handed to the caller.
    pub used_tokens: u64,
    /// How long account and turn are kept without use, in ms.
    pub retention_ms: u64,
    /// What is kept of a turn that ended whole on a retaining route.
    pub retained: Option<RetainedTurn>,
    /// Where it ran; every machine learns from it what replicas hold.
    pub run: Option<Box<TurnRun>>,
}

/// What is kept of a turn.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RetainedTurn {
    /// The turn it continued from.
    pub previous: Option<TurnId>,
    /// Its new input.
    #[serde(with = "serde_bytes")]
    pub input: Vec<u8>,
    /// The data of its events, each with a line feed after it.
    #[serde(with = "serde_bytes")]
    pub output: Vec<u8>,
}

/// What came of a command.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Output {
    /// A configuration of this version is held now.
    Configuration {
        /// The highest version.
        version: u64,
    },
    /// What came of a reservation.
    Reservation(Reservation),
    /// What came of retiring a machine.
    Retiring(RetiringOutcome),
    /// It was done.
    Done,
    /// The command could not be read; nothing was changed, and the replica stops.
    Unreadable,
    /// The drained zones have this version now.
    DrainedZones {
        /// It rises with every change.
        version: u64,
    },
}

/// Whether a turn may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reservation {
    /// Its most is set aside.
    Granted,
    /// It does not fit into what is left of the budget.
    BudgetSpent,
    /// The turn it continues from does not exist.
    NoSuchTurn,
    /// The turn was ended before; this is a late repetition.
    Ended,
}

/// Whether a machine is being emptied.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RetiringOutcome {
    /// It is, or has been.
    Accepted,
    /// No machine has that name.
    Unknown,
    /// Too few machines would be left.
    TooFewLeft,
}

//! What gateways ask of a ledger machine.
//!
//! One connection carries many questions at a time; the number tells which answer
//! belongs to which. Every question may be asked again, of any machine.

use calicohoist_routing::ReplicaList;
use calicohoist_scheduler::{Decision, PlacementRequest};
use serde::{Deserialize, Serialize};

use crate::commands::{Reservation, ReserveTurn, SettleTurn, TurnId};

/// A numbered question.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Ask {
    /// Tells the answer; unique within the connection.
    pub number: u64,
    /// The question.
    pub question: Question,
}

/// A numbered answer.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Reply {
    /// Number of the question.
    pub number: u64,
    /// The answer.
    pub answer: Answer,
}

/// What a gateway asks.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Question {
    /// May this turn run, and what came before it?
    Reserve {
        /// What to set aside.
        reserve: ReserveTurn,
        /// Where it may run; `None` when it needs no place.
        placement: Option<PlacementRequest>,
    },
    /// Where does this turn run, whose reservation was granted? Held while it waits.
    Place {
        /// The turn.
        turn: TurnId,
        /// Where it may run.
        placement: PlacementRequest,
    },
    /// Keep the end of this turn.
    Settle(SettleTurn),
    /// What is newer than this? Held for a while when nothing is.
    Watch(Seen),
}

/// What a gateway has seen so far.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Seen {
    /// Name of the gateway, for its reports of load.
    pub gateway: String,
    /// Version of its configuration.
    pub configuration: u64,
    /// Identity of its list of replicas.
    pub list: ListMark,
    /// Requests that it has under way, by replica.
    pub loads: Vec<(String, u32)>,
}

/// Tells lists of replicas apart, those of different leaders too.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListMark {
    /// Term of the leader that read it.
    pub term: u64,
    /// Its version under that leader.
    pub version: u64,
}

/// What a ledger machine answers.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Answer {
    /// What came of a reservation.
    Reserved {
        /// Whether the turn may run.
        reservation: Reservation,
        /// All input and output before it, when granted.
        history: Vec<u8>,
        /// When and where it runs; `None` when it needs no place.
        decision: Option<Decision>,
        /// Whether its program has begun with an earlier turn.
        is_under_way: bool,
    },
    /// When and where a turn runs.
    Placed(Decision),
    /// The end of the turn is durable.
    Settled,
    /// What is newer than what was seen.
    News(News),
    /// Another machine leads.
    NotLeader {
        /// The one believed to.
        leader: Option<u32>,
        /// All machines known here.
        machines: Vec<u32>,
    },
    /// It cannot be answered now; nothing is known of its effect.
    Unavailable,
}

/// What a leader with a quorum behind it tells a gateway.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct News {
    /// Version and document of a newer configuration.
    pub configuration: Option<(u64, Vec<u8>)>,
    /// A newer list of replicas.
    pub list: Option<(ListMark, ReplicaList)>,
    /// Age of the newest reading of discovery, in ms; `None` before the first.
    pub list_age_ms: Option<u64>,
    /// Requests that all other gateways have under way, by replica.
    pub loads: Vec<(String, u32)>,
    /// All machines known.
    pub machines: Vec<u32>,
}

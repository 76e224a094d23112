//! What gateways ask of a ledger machine.
//!
//! One connection carries many questions at a time; the number tells which answer
//! belongs to which. Every question may be asked again, of any machine. The forms here are those of
//! the newest version, see [`SPOKEN`].

mod v1;
mod version;

use std::fmt;

use calicohoist_limiter::{PermitAnswer, PermitRequest};
use calicohoist_routing::{DrainedZones, Replica, ReplicaList};
use calicohoist_scheduler::{Decision, PlacementRequest};
use serde::{Deserialize, Serialize};

use crate::commands::{Reservation, ReserveTurn, SettleTurn, TurnId};
use crate::packed::PackedBytes;
pub use version::{NEWEST, SPOKEN};

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
        /// Asks for its permit; `None` without a limit.
        permit: Option<PermitRequest>,
    },
    /// May a request run that makes no reservation?
    Permit(PermitRequest),
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
    /// This replica gave no answer to a request.
    ReportFailure {
        /// Identity of the replica.
        replica: String,
    },
    /// Who leads? Held for a while when nobody does. It touches neither log nor disk.
    FindLeader,
}

/// What a gateway has seen so far.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Seen {
    /// Name of the gateway, for its reports of load.
    pub gateway: String,
    /// Version of its configuration.
    pub configuration: u64,
    /// Its list of replicas.
    pub list: ListMark,
    /// Requests that it has under way, by replica.
    pub loads: Vec<(String, u32)>,
    /// The newest of its leader's changes to the replicas that are left alone.
    pub failing: ChangeMark,
    /// The newest of its leader's changes to the replicas that are cold.
    pub cold: ChangeMark,
    /// Version of the drained zones; `None` before the gateway has been told any. It needs no
    /// term: it counts changes in the log, on which all leaders agree.
    pub drained: Option<u64>,
}

/// Names a state of something that a leader keeps in memory and tells gateways about: which
/// replicas are left alone, which are cold. Each of these has a mark of its own.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeMark {
    /// Term of the leader.
    pub term: u64,
    /// Counts its changes.
    pub change: u64,
}

impl ChangeMark {
    /// The mark after one more change by the leader of `term`.
    pub fn next(self, term: u64) -> Self {
        let change = if self.term == term { self.change + 1 } else { 1 };
        Self { term, change }
    }
}

/// Digest of a list of replicas. Leaders that read the same list give it the same mark, so
/// that a change of leader is no reason to send it to every gateway; 0 is no list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ListMark(u64);

impl ListMark {
    /// The mark of a list with these replicas, in this order.
    pub fn of(replicas: &[Replica]) -> Self {
        let mut digest = blake3::Hasher::new();
        for replica in replicas {
            // A list that cannot be encoded differs from every other one by its length.
            let encoded = calicohoist_wire::encode(replica).unwrap_or_default();
            digest.update(&(encoded.len() as u64).to_le_bytes());
            digest.update(&encoded);
        }
        let first = digest.finalize().as_bytes().first_chunk().copied().unwrap_or_default();
        Self(u64::from_le_bytes(first).max(1))
    }
}

impl fmt::Display for ListMark {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:016x}", self.0)
    }
}

/// What a ledger machine answers.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Answer {
    /// What came of a reservation.
    Reserved {
        /// Whether the turn may run.
        reservation: Reservation,
        /// All input and output before it, when granted.
        #[serde(with = "serde_bytes")]
        history: Vec<u8>,
        /// When and where it runs; `None` when it needs no place.
        decision: Option<Decision>,
        /// Whether its program has begun with an earlier turn.
        is_under_way: bool,
        /// Whether its tenant's limit lets it run; `None` without a limit.
        permit: Option<PermitAnswer>,
    },
    /// Whether a tenant's limit lets a request run.
    Permit(PermitAnswer),
    /// When and where a turn runs.
    Placed(Decision),
    /// The end of the turn is durable.
    Settled,
    /// The report was taken.
    Noted,
    /// A configuration that is newer than the one that was seen.
    Configuration {
        /// Its version.
        version: u64,
        /// The document.
        document: PackedBytes,
    },
    /// A list of replicas that is not the one that was seen.
    List {
        /// Tells it from others.
        mark: ListMark,
        /// The list.
        list: ReplicaList,
    },
    /// Nothing large is newer than what was seen.
    News(News),
    /// The machine that was asked leads.
    Leads {
        /// All machines of the group.
        machines: Vec<u32>,
    },
    /// Another machine leads.
    NotLeader {
        /// The one believed to.
        leader: Option<u32>,
        /// All machines known here.
        machines: Vec<u32>,
    },
    /// It cannot be answered now; nothing is known of its effect.
    Unavailable,
    /// The drained zones, when the gateway has seen another version of them. Sent before all
    /// other news, so that a gateway with a configuration knows which zones are drained.
    DrainedZones(DrainedZones),
}

/// What a leader with a quorum behind it tells a gateway.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct News {
    /// Age of the newest reading of discovery, in ms; `None` before the first.
    pub list_age_ms: Option<u64>,
    /// Requests that all other gateways have under way, for each replica of the newest
    /// list, in its order.
    pub loads: Vec<u32>,
    /// The list that `loads` goes with.
    pub loads_of: ListMark,
    /// All machines known.
    pub machines: Vec<u32>,
    /// The replicas to be left alone, each with the ms left, if that has changed.
    pub failing: Option<(ChangeMark, Vec<(String, u32)>)>,
    /// The cold replicas, each with the ms left, if one became cold.
    pub cold: Option<(ChangeMark, Vec<(String, u32)>)>,
}

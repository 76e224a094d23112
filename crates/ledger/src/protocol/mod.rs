//! Request and response messages between gateways and ledger machines.
//!
//! Requests are multiplexed over one connection and matched to responses by number. Every request
//! is idempotent and may be retried on any machine. The types here are those of the latest
//! protocol version, see [`SUPPORTED_VERSIONS`].

mod packed;
mod v1;
mod version;
mod versioned;

use std::fmt;

use calicohoist_limiter::{PermitAnswer, PermitRequest};
use calicohoist_quarantine::RequestFingerprint;
use calicohoist_routing::{DrainedZones, ListPatch, Replica, ReplicaList, SoftwareVersion};
use calicohoist_scheduler::{Decision, PlacementRequest};
use serde::{Deserialize, Serialize};

use crate::commands::{Reservation, ReserveTurn, SettleTurn, TurnId};
use crate::compression::CompressedBytes;
pub use packed::{Packed, UnpackError};
pub use version::{
    CRASH_RECORDS_VERSION, DRAINED_ZONES_VERSION, LATEST_VERSION, LIST_PATCH_VERSION,
    REPLICA_VERSIONS_VERSION, SUPPORTED_VERSIONS,
};
pub use versioned::{VersionedPatch, VersionedReplicas};

/// A request with its number.
///
/// The encoding of a placement leaves out the required software version, and that of a watch the
/// version of the crash records. [`Self::encode`] wraps such requests in
/// [`LedgerRequest::ForVersion`] and [`LedgerRequest::WatchCrashes`], and [`Self::read`] unwraps them.
/// A leader that does not support that places the turn anywhere, and the gateway then chooses a
/// replica by itself; it sends no crash records.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RequestEnvelope {
    /// Number that the response repeats; unique within the connection.
    pub number: u64,
    /// The request.
    pub question: LedgerRequest,
}

/// A response with the number of its request.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ResponseEnvelope {
    /// Number of the request.
    pub number: u64,
    /// The response.
    pub answer: LedgerResponse,
}

/// A request from a gateway to a ledger machine.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum LedgerRequest {
    /// Reserves tokens for a turn and returns the history before it.
    Reserve {
        /// Reservation of tokens.
        reserve: ReserveTurn,
        /// Placement constraints; `None` if the turn needs no placement.
        placement: Option<PlacementRequest>,
        /// Permit request; `None` if the tenant has no rate limit.
        permit: Option<PermitRequest>,
    },
    /// Requests a permit for a request that makes no reservation.
    Permit(PermitRequest),
    /// Requests placement of a turn whose reservation was granted. The response is held while the
    /// turn is queued.
    Place {
        /// ID of the turn.
        turn: TurnId,
        /// Placement constraints.
        placement: PlacementRequest,
    },
    /// Records the end of a turn.
    Settle(SettleTurn),
    /// Requests changes since the versions that the gateway holds, as a long poll.
    Watch(WatchRequest),
    /// Reports that a replica did not respond to a request.
    ReportFailure {
        /// ID of the replica.
        replica: String,
    },
    /// Requests the current leader. The response is held for a while if there is none. Needs no
    /// access to log or disk.
    FindLeader,
    /// A [`Self::Reserve`] or [`Self::Place`] whose placement requires a software version. Only used
    /// on the wire; see [`RequestEnvelope`].
    ForVersion {
        /// Required version.
        version: SoftwareVersion,
        /// The request.
        request: Box<LedgerRequest>,
    },
    /// A [`Self::Watch`] of a gateway that receives crash records. Only used on the wire; see
    /// [`RequestEnvelope`].
    WatchCrashes {
        /// Version of the crash records that the gateway has.
        crashes: TermVersion,
        /// The request.
        watch: WatchRequest,
    },
}

impl LedgerRequest {
    fn placement_mut(&mut self) -> Option<&mut PlacementRequest> {
        match self {
            Self::Reserve { placement, .. } => placement.as_mut(),
            Self::Place { placement, .. } => Some(placement),
            _ => None,
        }
    }

    /// Wraps a request whose placement requires a software version.
    fn wrap_version(mut self) -> Self {
        match self.placement_mut().and_then(|placement| placement.version.take()) {
            Some(version) => Self::ForVersion { version, request: Box::new(self) },
            None => self,
        }
    }

    /// Wraps a watch that asks for crash records.
    fn wrap_crashes(self) -> Self {
        match self {
            Self::Watch(watch) => match watch.crashes {
                Some(crashes) => Self::WatchCrashes { crashes, watch },
                None => Self::Watch(watch),
            },
            other => other,
        }
    }

    /// Reverses [`Self::wrap_version`] and [`Self::wrap_crashes`].
    fn unwrap(self) -> Self {
        match self {
            Self::ForVersion { version, mut request } => {
                if let Some(placement) = request.placement_mut() {
                    placement.version = Some(version);
                }
                *request
            }
            Self::WatchCrashes { crashes, watch } => {
                Self::Watch(WatchRequest { crashes: Some(crashes), ..watch })
            }
            other => other,
        }
    }
}

/// Versions of the data that a gateway holds, and its load report.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WatchRequest {
    /// Name of the gateway that the load report belongs to.
    pub gateway: String,
    /// Configuration version.
    pub configuration: u64,
    /// Digest of the replica list.
    pub list: ListDigest,
    /// Number of requests in flight from this gateway, by replica.
    pub loads: Vec<(String, u32)>,
    /// Version of the set of failing replicas.
    pub failing: TermVersion,
    /// Version of the set of cold replicas.
    pub cold: TermVersion,
    /// Version of the set of drained zones; `None` if not yet received. Independent of the term
    /// because it counts committed changes.
    pub drained: Option<u64>,
    /// Version of the crash records; `None` if the gateway does not support them. Not encoded, so
    /// that the encoding stays the one that earlier builds read.
    #[serde(skip)]
    pub crashes: Option<TermVersion>,
}

/// Version of state that a leader keeps in memory only and distributes to gateways, such as the
/// set of failing replicas.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TermVersion {
    /// Term of the leader.
    pub term: u64,
    /// Number of changes within the term.
    pub change: u64,
}

impl TermVersion {
    /// Returns the version that follows a change by the leader of `term`.
    pub fn next(self, term: u64) -> Self {
        let change = if self.term == term { self.change + 1 } else { 1 };
        Self { term, change }
    }
}

/// Digest of a replica list; 0 stands for no list. It does not depend on the leader, so a change
/// of leader does not cause the list to be sent to every gateway again.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ListDigest(u64);

impl ListDigest {
    /// Computes the digest of a list, which depends on the order of the replicas.
    pub fn of(replicas: &[Replica]) -> Self {
        let mut digest = blake3::Hasher::new();
        for replica in replicas {
            // A replica that cannot be encoded is hashed as an empty encoding.
            let encoded = calicohoist_wire::encode(replica).unwrap_or_default();
            digest.update(&(encoded.len() as u64).to_le_bytes());
            digest.update(&encoded);
            if let Some(version) = &replica.version {
                digest.update(&(version.as_str().len() as u64).to_le_bytes());
                digest.update(version.as_str().as_bytes());
            }
        }
        let first = digest.finalize().as_bytes().first_chunk().copied().unwrap_or_default();
        Self(u64::from_le_bytes(first).max(1))
    }
}

impl fmt::Display for ListDigest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:016x}", self.0)
    }
}

/// A response of a ledger machine.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum LedgerResponse {
    /// Response to [`LedgerRequest::Reserve`].
    Reserved {
        /// Result of the reservation.
        reservation: Reservation,
        /// All input and output before the turn, if the reservation was granted.
        #[serde(with = "serde_bytes")]
        history: Vec<u8>,
        /// Placement decision; `None` if the turn needs no placement.
        decision: Option<Decision>,
        /// Whether an earlier turn of the program has started.
        is_under_way: bool,
        /// Rate limit decision; `None` if the tenant has no rate limit.
        permit: Option<PermitAnswer>,
    },
    /// Response to [`LedgerRequest::Permit`].
    Permit(PermitAnswer),
    /// Response to [`LedgerRequest::Place`].
    Placed(Decision),
    /// Response to [`LedgerRequest::Settle`]: the end of the turn is durable.
    Settled,
    /// Response to [`LedgerRequest::ReportFailure`], to [`LedgerRequest::Settle`] if there is no room for
    /// another record, which is not stored, and to [`LedgerRequest::Reserve`] if it reads the record of a
    /// stream that a gateway may still write.
    Noted,
    /// A configuration newer than the one that the gateway has.
    Configuration {
        /// Configuration version.
        version: u64,
        /// Compressed configuration document.
        document: CompressedBytes,
    },
    /// A replica list that differs from the one that the gateway has.
    List {
        /// Digest of the list.
        mark: ListDigest,
        /// Replica list.
        list: ReplicaList,
    },
    /// Response to [`LedgerRequest::Watch`] if configuration, replica list and drained zones are
    /// unchanged.
    News(WatchUpdate),
    /// The contacted machine is the leader.
    Leads {
        /// All members of the group.
        machines: Vec<u32>,
    },
    /// The contacted machine is not the leader.
    NotLeader {
        /// Presumed leader, if known.
        leader: Option<u32>,
        /// Members known to the contacted machine.
        machines: Vec<u32>,
    },
    /// The request cannot be answered now; whether it took effect is unknown.
    Unavailable,
    /// The drained zones, if the gateway has another version. Sent before all other updates, so
    /// that a gateway with a configuration always knows which zones are drained.
    DrainedZones(DrainedZones),
    /// A replica list that differs from the one that the gateway has.
    PackedList {
        /// Digest of the list.
        mark: ListDigest,
        /// Replicas.
        replicas: Packed<Vec<Replica>>,
    },
    /// Changes since the replica list that the gateway has.
    ListChanges {
        /// Digest of the list that the gateway has.
        since: ListDigest,
        /// Digest of the new list.
        mark: ListDigest,
        /// Changes that lead to the new list.
        patch: Packed<ListPatch>,
    },
    /// Response to [`LedgerRequest::Watch`] as [`Self::News`], but of a size that does not depend
    /// on the number of idle replicas.
    Update(FleetUpdate),
    /// As [`Self::PackedList`], with software versions.
    VersionedList {
        /// Digest of the list.
        mark: ListDigest,
        /// Replicas.
        replicas: Packed<VersionedReplicas>,
    },
    /// As [`Self::ListChanges`], with software versions.
    VersionedChanges {
        /// Digest of the list that the gateway has.
        since: ListDigest,
        /// Digest of the new list.
        mark: ListDigest,
        /// Changes that lead to the new list.
        patch: Packed<VersionedPatch>,
    },
    /// Crash records that the gateway has not received. Sent before all other updates, so that a
    /// gateway with a configuration knows which requests are quarantined.
    Crashes {
        /// Version of the newest record.
        mark: TermVersion,
        /// The records.
        crashes: Vec<CrashNotice>,
    },
}

/// A replica that crashed while it ran a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashNotice {
    /// The request.
    pub request: RequestFingerprint,
    /// Incarnation of the replica.
    pub replica: String,
    /// Remaining time for which the crash is remembered, in ms; 0 if it was cleared. A gateway of an
    /// earlier build goes on counting a cleared crash that it knows.
    pub left_ms: u32,
}

impl CrashNotice {
    /// Returns whether the crash was cleared.
    pub fn is_cleared(&self) -> bool {
        self.left_ms == 0
    }
}

/// Update that a leader with a confirmed quorum sends to a gateway.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct WatchUpdate {
    /// Age of the latest replica list from discovery, in ms; `None` before the first.
    pub list_age_ms: Option<u64>,
    /// Number of requests in flight from all other gateways, for each replica in the order of the
    /// latest list.
    pub loads: Vec<u32>,
    /// Digest of the list that `loads` refers to.
    pub loads_of: ListDigest,
    /// All known members of the group.
    pub machines: Vec<u32>,
    /// Failing replicas that receive no requests, each with the remaining time in ms, if the set
    /// has changed.
    pub failing: Option<(TermVersion, Vec<(String, u32)>)>,
    /// Cold replicas, each with the remaining time in ms, if a replica has become cold.
    pub cold: Option<(TermVersion, Vec<(String, u32)>)>,
}

/// Requests in flight at one replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaLoad {
    /// Position of the replica in the list.
    pub position: u32,
    /// Number of requests in flight.
    pub requests: u32,
}

/// Update that a leader with a confirmed quorum sends to a gateway.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetUpdate {
    /// Age of the latest replica list from discovery, in ms; `None` before the first.
    pub list_age_ms: Option<u64>,
    /// Number of pages of the latest replica list.
    pub list_pages: u32,
    /// Number of gateways; `None` while they turn to a new leader one after the other.
    pub gateways: Option<u32>,
    /// Requests in flight from all other gateways, in the order of the latest list, without idle
    /// replicas.
    pub loads: Vec<ReplicaLoad>,
    /// Digest of the list that `loads` refers to.
    pub loads_of: ListDigest,
    /// All known members of the group.
    pub machines: Vec<u32>,
    /// Failing replicas that receive no requests, each with the remaining time in ms, if the set
    /// has changed.
    pub failing: Option<(TermVersion, Vec<(String, u32)>)>,
    /// Cold replicas, each with the remaining time in ms, if a replica has become cold.
    pub cold: Option<(TermVersion, Vec<(String, u32)>)>,
}

//! The replicas of services, as discovery lists them.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// Whether a replica takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ReplicaState {
    /// It does.
    Ready,
    /// It is leaving: it finishes what it has and must get nothing new.
    Draining,
}

/// One running replica of a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Replica {
    /// Names this start, as [`Incarnation`](crate::Incarnation) shows it. Whatever is known of a
    /// replica is kept by it, so that a later start under the same identity begins anew.
    pub id: String,
    /// Its service.
    pub service: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// Where it runs.
    pub zone: String,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it takes new work.
    pub state: ReplicaState,
}

/// All replicas as of one reading of discovery.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaList {
    /// Rises with each reading that differs from the one before, within a reader.
    pub version: u64,
    /// The replicas, in the order of the reading.
    pub replicas: Vec<Replica>,
}

//! Replicas of services, as listed by discovery.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// Whether a replica accepts new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ReplicaState {
    /// Accepts new requests.
    Ready,
    /// Completes its running requests and accepts no new ones.
    Draining,
}

/// One running replica of a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Replica {
    /// Id of this incarnation, in the format of [`Incarnation`](crate::Incarnation). All state
    /// about a replica is keyed by it, so that a restarted replica begins with fresh state.
    pub id: String,
    /// Name of the service.
    pub service: String,
    /// Address on which the replica listens.
    pub address: SocketAddr,
    /// Zone in which the replica runs.
    pub zone: String,
    /// Number of requests that the replica runs concurrently.
    pub slots: u32,
    /// Whether the replica accepts new requests.
    pub state: ReplicaState,
}

/// All replicas, as read from discovery at one time.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaList {
    /// Version, incremented whenever a reader finds the list changed. Local to the reader.
    pub version: u64,
    /// Replicas, in the order of discovery.
    pub replicas: Vec<Replica>,
}

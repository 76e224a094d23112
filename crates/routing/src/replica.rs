//! Replicas of services, as listed by discovery.

use std::convert::Infallible;
use std::fmt;
use std::net::SocketAddr;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::incarnation::{Incarnation, StartTime};

/// Whether a replica accepts new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ReplicaState {
    /// Accepts new requests.
    Ready,
    /// Completes its running requests and accepts no new ones.
    Draining,
}

/// Version of the software that a replica runs, as its operator names it. Versions have no order.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct SoftwareVersion(String);

impl SoftwareVersion {
    /// Creates a version from its name.
    pub fn new(name: impl Into<String>) -> Self {
        Self(name.into())
    }

    /// Returns the name of the version.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for SoftwareVersion {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.0)
    }
}

impl FromStr for SoftwareVersion {
    type Err = Infallible;

    fn from_str(name: &str) -> Result<Self, Self::Err> {
        Ok(Self::new(name))
    }
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
    /// Version of the software; `None` if unknown. Not encoded, so that the encoding stays the one
    /// that earlier builds read.
    #[serde(skip)]
    pub version: Option<SoftwareVersion>,
}

/// Software that may run a request. The output of two versions does not fit together, so a stream
/// continues only at the version that began it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum SoftwareRequirement {
    /// Any software.
    #[default]
    Any,
    /// Replicas of this version.
    Version(SoftwareVersion),
    /// Only the replica with this id, because the version that began the stream is unknown.
    Replica(String),
    /// None, because it is unknown what began the stream.
    Unknown,
}

impl SoftwareRequirement {
    /// Returns whether `replica` may run the request.
    pub fn admits(&self, replica: &Replica) -> bool {
        match self {
            Self::Any => true,
            Self::Version(version) => replica.version.as_ref() == Some(version),
            Self::Replica(id) => replica.id == *id,
            Self::Unknown => false,
        }
    }
}

impl fmt::Display for SoftwareRequirement {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Any => formatter.write_str("any"),
            Self::Version(version) => version.fmt(formatter),
            Self::Replica(id) => write!(formatter, "replica {id}"),
            Self::Unknown => formatter.write_str("unknown"),
        }
    }
}

/// Service and software that began a stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamOrigin {
    /// Name of the service.
    pub service: String,
    /// Version of the replica that began the stream; `None` if unknown.
    pub version: Option<SoftwareVersion>,
    /// Id of the replica that began the stream; empty if its process has confirmed that it is the
    /// listed one, so that the version is certain.
    pub replica: String,
}

impl StreamOrigin {
    /// Returns the origin of a stream that `replica` begins, whose process is taken for the listed one.
    pub fn at(replica: &Replica) -> Self {
        let Replica { id, service, version, .. } = replica;
        Self { service: service.clone(), version: version.clone(), replica: id.clone() }
    }

    /// Returns the origin of a stream that the listed process of `replica` begins.
    pub fn confirmed_at(replica: &Replica) -> Self {
        let origin = Self::at(replica);
        match origin.version {
            Some(_) => Self { replica: String::new(), ..origin },
            None => origin,
        }
    }

    /// Returns the origin of a stream that another process of `replica` begins, which started at
    /// `start` and whose version is not listed yet.
    pub fn restarted_at(replica: &Replica, start: StartTime) -> Self {
        let identity = Incarnation::identity_of(&replica.id).to_owned();
        let incarnation = Incarnation { identity, start: Some(start) };
        Self { service: replica.service.clone(), version: None, replica: incarnation.to_string() }
    }

    /// Returns the software that may continue the stream.
    pub fn software(&self) -> SoftwareRequirement {
        match &self.version {
            Some(version) => SoftwareRequirement::Version(version.clone()),
            None => SoftwareRequirement::Replica(self.replica.clone()),
        }
    }
}

/// All replicas, as read from discovery at one time.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaList {
    /// Version, incremented whenever a reader finds the list changed. Local to the reader.
    pub version: u64,
    /// Replicas, in the order of discovery.
    pub replicas: Vec<Replica>,
}

//! Replica lists with software versions, which the encoding of a [`Replica`] leaves out.

use calicohoist_routing::{ListPatch, Replica, SoftwareVersion};
use serde::{Deserialize, Serialize};

/// Replicas with the version of each.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct VersionedReplicas {
    replicas: Vec<Replica>,
    versions: Vec<Option<SoftwareVersion>>,
}

impl VersionedReplicas {
    /// Creates the list from replicas.
    pub fn new(replicas: &[Replica]) -> Self {
        let versions = replicas.iter().map(|replica| replica.version.clone()).collect();
        Self { replicas: replicas.to_vec(), versions }
    }

    /// Returns the replicas. Any without a version in this list are of unknown version.
    pub fn into_replicas(self) -> Vec<Replica> {
        let Self { mut replicas, versions } = self;
        restore_versions(replicas.iter_mut(), versions);
        replicas
    }
}

/// A patch with the version of each replica that it inserts.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct VersionedPatch {
    patch: ListPatch,
    versions: Vec<Option<SoftwareVersion>>,
}

impl From<ListPatch> for VersionedPatch {
    fn from(patch: ListPatch) -> Self {
        let versions = patch.inserted().map(|replica| replica.version.clone()).collect();
        Self { patch, versions }
    }
}

impl From<VersionedPatch> for ListPatch {
    fn from(VersionedPatch { mut patch, versions }: VersionedPatch) -> Self {
        restore_versions(patch.inserted_mut(), versions);
        patch
    }
}

fn restore_versions<'a>(
    replicas: impl Iterator<Item = &'a mut Replica>,
    versions: Vec<Option<SoftwareVersion>>,
) {
    replicas.zip(versions).for_each(|(replica, version)| replica.version = version);
}

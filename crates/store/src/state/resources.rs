//! State of resources, with a totally ordered change log.

use std::collections::{BTreeMap, VecDeque};

use calicohoist_types::{RequestId, Resource, ResourceKey, Revision};
use serde::{Deserialize, Serialize};

use crate::commands::resource::ResourceOutput;

/// Maximum number of retained changes. A watcher that is further behind receives a full
/// snapshot.
pub const MAX_RETAINED_CHANGES: usize = 1_024;
/// Maximum number of results retained to answer resent requests.
pub const MAX_RETAINED_RESULTS: usize = 8_192;

/// An accepted change of a resource.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// Revision created by the change.
    pub revision: Revision,
    /// Key of the changed resource.
    pub key: ResourceKey,
    /// The resource after the change; `None` if it was deleted.
    pub after: Option<Resource>,
    /// User or tool that made the change.
    pub actor: String,
    /// Time of the change in Unix milliseconds.
    pub at: u64,
}

/// Table of all resources with recent changes and results.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ResourceTable {
    pub(crate) revision: Revision,
    pub(crate) resources: BTreeMap<ResourceKey, Resource>,
    pub(crate) changes: VecDeque<Change>,
    pub(crate) answers: BTreeMap<RequestId, ResourceOutput>,
    pub(crate) answer_order: VecDeque<RequestId>,
}

impl ResourceTable {
    /// Returns the revision of the latest change.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Returns all resources, ordered by kind and name.
    pub fn resources(&self) -> impl Iterator<Item = &Resource> {
        self.resources.values()
    }

    /// Returns the oldest revision from which all later changes are still retained.
    pub fn oldest_watchable_revision(&self) -> Revision {
        let first = self.changes.front();
        first.map_or(self.revision, |change| Revision(change.revision.0 - 1))
    }
}

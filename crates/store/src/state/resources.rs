//! Resources in one order of revisions.

use std::collections::{BTreeMap, VecDeque};

use calicohoist_types::{RequestId, Resource, ResourceKey, Revision};
use serde::{Deserialize, Serialize};

use crate::commands::resource::ResourceOutput;

/// Changes kept for watchers; one further behind gets the whole state.
pub const MAX_CHANGES: usize = 1_024;
/// Answers kept for resent changes.
pub const MAX_ANSWERS: usize = 8_192;

/// One accepted change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// Its place in the order of all changes.
    pub revision: Revision,
    /// What was changed.
    pub key: ResourceKey,
    /// The resource after the change; `None` when it was deleted.
    pub after: Option<Resource>,
    /// Who changed it.
    pub actor: String,
    /// When, in milliseconds of Unix time.
    pub at: u64,
}

/// All resources.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ResourceTable {
    pub(crate) revision: Revision,
    pub(crate) resources: BTreeMap<ResourceKey, Resource>,
    pub(crate) changes: VecDeque<Change>,
    pub(crate) answers: BTreeMap<RequestId, ResourceOutput>,
    pub(crate) answer_order: VecDeque<RequestId>,
}

impl ResourceTable {
    /// Revision of the newest change.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// All resources, by kind and name.
    pub fn resources(&self) -> impl Iterator<Item = &Resource> {
        self.resources.values()
    }

    /// The oldest revision after which every change is still kept.
    pub fn oldest_watchable(&self) -> Revision {
        let first = self.changes.front();
        first.map_or(self.revision, |change| Revision(change.revision.0 - 1))
    }
}

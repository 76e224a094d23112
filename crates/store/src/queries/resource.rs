//! Queries that list resources or watch their changes.

use calicohoist_types::{Resource, ResourceKey, ResourceKind, Revision};
use serde::{Deserialize, Serialize};

use crate::state::resources::{Change, ResourceTable};

/// Maximum number of resources or changes per answer.
pub const MAX_PAGE_SIZE: usize = 1_000;

/// Queries for [`RESOURCE_GROUP`](crate::state::RESOURCE_GROUP).
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ResourceQuery {
    /// Returns one resource.
    Get(ResourceKey),
    /// Lists the resources of a kind, ordered by name.
    List {
        /// The kind.
        kind: ResourceKind,
        /// Name after which the page starts.
        after: Option<String>,
        /// Maximum number of resources.
        limit: usize,
    },
    /// Returns the changes since a revision.
    Changes {
        /// The last revision known to the watcher.
        after: Revision,
        /// Maximum number of changes.
        limit: usize,
    },
}

/// Answers to [`ResourceQuery`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ResourceAnswer {
    /// The resource, if it exists.
    Resource(Option<Resource>),
    /// One page of resources.
    Page {
        /// The resources.
        resources: Vec<Resource>,
        /// Whether more resources follow the page.
        has_more: bool,
        /// Revision at which the page was read.
        revision: Revision,
    },
    /// Update for a watcher.
    Changes(ResourceUpdate),
}

/// Brings a watcher from the revision it knows to a later one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResourceUpdate {
    /// Revision of the watcher after applying the update.
    pub revision: Revision,
    /// Incremental changes or a snapshot.
    pub content: UpdateContent,
}

/// Content of an update: incremental, or a snapshot if the changes are no longer retained.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum UpdateContent {
    /// Changes in revision order.
    Changes(Vec<Change>),
    /// All resources.
    Whole(Vec<Resource>),
}

impl ResourceTable {
    pub(crate) fn answer(&self, query: ResourceQuery) -> ResourceAnswer {
        match query {
            ResourceQuery::Get(key) => ResourceAnswer::Resource(self.resources.get(&key).cloned()),
            ResourceQuery::List { kind, after, limit } => self.list(kind, after.as_deref(), limit),
            ResourceQuery::Changes { after, limit } => {
                ResourceAnswer::Changes(self.update_since(after, limit))
            }
        }
    }

    fn list(&self, kind: ResourceKind, after: Option<&str>, limit: usize) -> ResourceAnswer {
        let matching = self.resources.values().filter(|resource| resource.key.kind == kind);
        let is_past_cursor =
            |resource: &&Resource| after.is_none_or(|after| resource.key.name.as_str() > after);
        let limit = limit.clamp(1, MAX_PAGE_SIZE);
        let mut resources: Vec<Resource> =
            matching.filter(is_past_cursor).take(limit + 1).cloned().collect();
        let has_more = resources.len() > limit;
        resources.truncate(limit);
        ResourceAnswer::Page { resources, has_more, revision: self.revision }
    }

    /// Returns an update for a watcher at revision `after`.
    pub fn update_since(&self, after: Revision, limit: usize) -> ResourceUpdate {
        if after < self.oldest_watchable_revision() {
            return ResourceUpdate {
                revision: self.revision,
                content: UpdateContent::Whole(self.resources.values().cloned().collect()),
            };
        }
        let newer = self.changes.iter().filter(|change| change.revision > after);
        let changes: Vec<Change> = newer.take(limit.clamp(1, MAX_PAGE_SIZE)).cloned().collect();
        let revision = changes.last().map_or(after, |change| change.revision);
        ResourceUpdate { revision, content: UpdateContent::Changes(changes) }
    }
}

//! Reading resources, and watching them from a revision.

use calicohoist_types::{Resource, ResourceKey, ResourceKind, Revision};
use serde::{Deserialize, Serialize};

use crate::state::resources::{Change, ResourceTable};

/// Most resources or changes in one answer.
pub const MAX_PAGE: usize = 1_000;

/// Queries for group 0.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ResourceQuery {
    /// One resource.
    Get(ResourceKey),
    /// Resources of a kind, by name.
    List {
        /// The kind.
        kind: ResourceKind,
        /// Only names after this one.
        after: Option<String>,
        /// Most resources to return.
        limit: usize,
    },
    /// Changes after a revision.
    Changes {
        /// The revision.
        after: Revision,
        /// Most changes to return.
        limit: usize,
    },
}

/// Answers to [`ResourceQuery`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ResourceAnswer {
    /// The resource, if there is one.
    Resource(Option<Resource>),
    /// One page of resources.
    Page {
        /// The resources.
        resources: Vec<Resource>,
        /// Whether there are more.
        has_more: bool,
        /// Revision that the page shows.
        revision: Revision,
    },
    /// What a watcher lacks.
    Changes(Update),
}

/// What brings a watcher from one revision to a later one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Update {
    /// The revision it brings to.
    pub revision: Revision,
    /// The content.
    pub content: UpdateContent,
}

/// Changes, or the whole state when the changes are no longer kept.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum UpdateContent {
    /// The changes in order.
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
                ResourceAnswer::Changes(self.update_after(after, limit))
            }
        }
    }

    fn list(&self, kind: ResourceKind, after: Option<&str>, limit: usize) -> ResourceAnswer {
        let of_kind = self.resources.values().filter(|resource| resource.key.kind == kind);
        let is_after =
            |resource: &&Resource| after.is_none_or(|after| resource.key.name.as_str() > after);
        let limit = limit.clamp(1, MAX_PAGE);
        let mut resources: Vec<Resource> =
            of_kind.filter(is_after).take(limit + 1).cloned().collect();
        let has_more = resources.len() > limit;
        resources.truncate(limit);
        ResourceAnswer::Page { resources, has_more, revision: self.revision }
    }

    /// What a watcher at `after` lacks.
    pub fn update_after(&self, after: Revision, limit: usize) -> Update {
        if after < self.oldest_watchable() {
            return Update {
                revision: self.revision,
                content: UpdateContent::Whole(self.resources.values().cloned().collect()),
            };
        }
        let newer = self.changes.iter().filter(|change| change.revision > after);
        let changes: Vec<Change> = newer.take(limit.clamp(1, MAX_PAGE)).cloned().collect();
        let revision = changes.last().map_or(after, |change| change.revision);
        Update { revision, content: UpdateContent::Changes(changes) }
    }
}

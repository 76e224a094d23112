//! Commands that change resources.

use calicohoist_types::{RequestId, Resource, ResourceKey, ResourceSpec, Revision};
use serde::{Deserialize, Serialize};

use crate::state::resources::{Change, MAX_RETAINED_CHANGES, MAX_RETAINED_RESULTS, ResourceTable};

/// Creates, replaces or deletes a resource.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResourceCommand {
    /// Key of the resource.
    pub key: ResourceKey,
    /// The new specification; `None` deletes the resource.
    pub spec: Option<ResourceSpec>,
    /// Expected current version: 0 if the resource must not exist, `None` to skip the check.
    pub expected: Option<Revision>,
    /// Request id, used to deduplicate resends.
    pub request: RequestId,
    /// User or tool that requests the change.
    pub actor: String,
}

/// Result of a [`ResourceCommand`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ResourceOutput {
    /// The resource was stored.
    Stored(Resource),
    /// The resource was deleted at this revision.
    Deleted(Revision),
    /// The version differs from the expected one; holds the current resource, if any.
    Conflict(Option<Resource>),
    /// The resource to delete does not exist.
    Missing,
}

impl ResourceTable {
    /// Applies a command, or returns the stored result if the request was applied before.
    pub(crate) fn apply(&mut self, at: u64, command: ResourceCommand) -> ResourceOutput {
        if let Some(answer) = self.answers.get(&command.request) {
            return answer.clone();
        }
        let request = command.request.clone();
        let answer = self.execute(at, command);
        self.retain_result(request, answer.clone());
        answer
    }

    fn execute(&mut self, at: u64, command: ResourceCommand) -> ResourceOutput {
        let current = self.resources.get(&command.key);
        let version = current.map_or(Revision(0), |resource| resource.version);
        if command.expected.is_some_and(|expected| expected != version) {
            return ResourceOutput::Conflict(current.cloned());
        }
        match command.spec {
            Some(spec) => self.put_resource(at, command.key, spec, command.actor),
            None if current.is_none() => ResourceOutput::Missing,
            None => self.delete_resource(at, command.key, command.actor),
        }
    }

    fn put_resource(
        &mut self,
        at: u64,
        key: ResourceKey,
        spec: ResourceSpec,
        actor: String,
    ) -> ResourceOutput {
        let version = self.next_revision();
        let resource = Resource { key: key.clone(), version, spec };
        self.resources.insert(key.clone(), resource.clone());
        self.append_change(Change {
            revision: version,
            key,
            after: Some(resource.clone()),
            actor,
            at,
        });
        ResourceOutput::Stored(resource)
    }

    fn delete_resource(&mut self, at: u64, key: ResourceKey, actor: String) -> ResourceOutput {
        let revision = self.next_revision();
        self.resources.remove(&key);
        self.append_change(Change { revision, key, after: None, actor, at });
        ResourceOutput::Deleted(revision)
    }

    fn next_revision(&mut self) -> Revision {
        self.revision = Revision(self.revision.0 + 1);
        self.revision
    }

    fn append_change(&mut self, change: Change) {
        self.changes.push_back(change);
        if self.changes.len() > MAX_RETAINED_CHANGES {
            self.changes.pop_front();
        }
    }

    fn retain_result(&mut self, request: RequestId, answer: ResourceOutput) {
        self.answers.insert(request.clone(), answer);
        self.answer_order.push_back(request);
        if self.answer_order.len() > MAX_RETAINED_RESULTS
            && let Some(oldest) = self.answer_order.pop_front()
        {
            self.answers.remove(&oldest);
        }
    }
}

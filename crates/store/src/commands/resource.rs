//! Changes of resources.

use calicohoist_types::{RequestId, Resource, ResourceKey, ResourceSpec, Revision};
use serde::{Deserialize, Serialize};

use crate::state::resources::{Change, MAX_ANSWERS, MAX_CHANGES, ResourceTable};

/// One change an operator asks for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResourceCommand {
    /// What to change.
    pub key: ResourceKey,
    /// The new declaration; `None` deletes.
    pub spec: Option<ResourceSpec>,
    /// The version the change is based on: 0 for "must not exist", `None` for any.
    pub expected: Option<Revision>,
    /// Identifies the change across resends.
    pub request: RequestId,
    /// Who asks.
    pub actor: String,
}

/// Result of a change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ResourceOutput {
    /// Accepted; the resource as it stands now.
    Stored(Resource),
    /// Accepted; the resource is gone as of this revision.
    Deleted(Revision),
    /// The resource has another version than expected.
    Conflict(Option<Resource>),
    /// There is nothing to delete.
    Missing,
}

impl ResourceTable {
    /// Applies a change, or repeats the answer it got before.
    pub(crate) fn apply(&mut self, at: u64, command: ResourceCommand) -> ResourceOutput {
        if let Some(answer) = self.answers.get(&command.request) {
            return answer.clone();
        }
        let request = command.request.clone();
        let answer = self.decide(at, command);
        self.remember(request, answer.clone());
        answer
    }

    fn decide(&mut self, at: u64, command: ResourceCommand) -> ResourceOutput {
        let current = self.resources.get(&command.key);
        let version = current.map_or(Revision(0), |resource| resource.version);
        if command.expected.is_some_and(|expected| expected != version) {
            return ResourceOutput::Conflict(current.cloned());
        }
        match command.spec {
            Some(spec) => self.store(at, command.key, spec, command.actor),
            None if current.is_none() => ResourceOutput::Missing,
            None => self.delete(at, command.key, command.actor),
        }
    }

    fn store(
        &mut self,
        at: u64,
        key: ResourceKey,
        spec: ResourceSpec,
        actor: String,
    ) -> ResourceOutput {
        let version = self.next_revision();
        let resource = Resource { key: key.clone(), version, spec };
        self.resources.insert(key.clone(), resource.clone());
        self.record(Change { revision: version, key, after: Some(resource.clone()), actor, at });
        ResourceOutput::Stored(resource)
    }

    fn delete(&mut self, at: u64, key: ResourceKey, actor: String) -> ResourceOutput {
        let revision = self.next_revision();
        self.resources.remove(&key);
        self.record(Change { revision, key, after: None, actor, at });
        ResourceOutput::Deleted(revision)
    }

    fn next_revision(&mut self) -> Revision {
        self.revision = Revision(self.revision.0 + 1);
        self.revision
    }

    fn record(&mut self, change: Change) {
        self.changes.push_back(change);
        if self.changes.len() > MAX_CHANGES {
            self.changes.pop_front();
        }
    }

    fn remember(&mut self, request: RequestId, answer: ResourceOutput) {
        self.answers.insert(request.clone(), answer);
        self.answer_order.push_back(request);
        if self.answer_order.len() > MAX_ANSWERS
            && let Some(oldest) = self.answer_order.pop_front()
        {
            self.answers.remove(&oldest);
        }
    }
}

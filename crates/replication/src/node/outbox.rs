//! Messages and events produced by a flush.

use std::collections::BTreeMap;

use super::NodeEvent;
use crate::message::{GroupMessage, ReplicaId};

/// Collects events, and the messages of all groups by receiver.
pub(super) struct Outbox<O> {
    pub(super) messages: BTreeMap<ReplicaId, Vec<GroupMessage>>,
    pub(super) events: Vec<NodeEvent<O>>,
}

impl<O> Default for Outbox<O> {
    fn default() -> Self {
        Self { messages: BTreeMap::new(), events: Vec::new() }
    }
}

impl<O> Outbox<O> {
    pub(super) fn push_message(&mut self, to: ReplicaId, message: GroupMessage) {
        self.messages.entry(to).or_default().push(message);
    }

    pub(super) fn into_events(self) -> Vec<NodeEvent<O>> {
        let send = |(to, messages)| NodeEvent::Send { to, messages };
        let frames = self.messages.into_iter().map(send);
        frames.chain(self.events).collect()
    }
}

//! Replicas that have left the list.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use calicohoist_routing::ReplicaState;

use super::services::Services;

/// Time for which a departure is remembered. Longer than requests run.
const RETENTION: Duration = Duration::from_secs(60);

/// What the replica list shows of an incarnation of a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListStatus {
    /// Listed as ready.
    Ready,
    /// Drains or has drained, or left the list long ago.
    EndsByPlan,
    /// Left the list without having drained.
    Departed {
        /// Whether other replicas left the list at the same time.
        with_others: bool,
    },
}

#[derive(Clone, Copy, Debug)]
struct Departure {
    state: ReplicaState,
    at: Instant,
}

/// Replicas that have left the list recently, by id.
#[derive(Debug, Default)]
pub(super) struct Departures {
    departed: HashMap<String, Departure>,
}

impl Departures {
    /// Records the replicas that are in the previous list and not in the current one.
    pub(super) fn update(&mut self, previous: &Services, current: &Services, now: Instant) {
        self.departed
            .retain(|id, departure| departure.at + RETENTION > now && current.find(id).is_none());
        for member in previous.members() {
            let replica = &member.replica;
            if current.find(&replica.id).is_none() {
                let departure = Departure { state: replica.state, at: now };
                self.departed.insert(replica.id.clone(), departure);
            }
        }
    }

    /// Returns the status of a replica that is not listed.
    pub(super) fn status(&self, id: &str) -> ListStatus {
        match self.departed.get(id) {
            Some(Departure { state: ReplicaState::Ready, at }) => {
                let is_other = |(other, departure): (&String, &Departure)| {
                    other != id && departure.at == *at && departure.state == ReplicaState::Ready
                };
                ListStatus::Departed { with_others: self.departed.iter().any(is_other) }
            }
            Some(Departure { state: ReplicaState::Draining, .. }) | None => ListStatus::EndsByPlan,
        }
    }
}

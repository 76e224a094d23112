//! Client-side request routing with leader discovery, retries and timeouts.
//!
//! Commands are idempotent, since each carries a request id, attempt or idempotency key. A
//! request without a timely reply is therefore resent to the next machine.

use std::collections::BTreeMap;
use std::time::Duration;

use calicohoist_replication::GroupId;
use calicohoist_types::Moment;

use crate::protocol::{StoreReply, StoreRequest};
use crate::state::RESOURCE_GROUP;

/// Time without a reply after which a request is resent to another machine.
const ATTEMPT_TIMEOUT: Duration = Duration::from_millis(400);
/// Delay before a request is retried when no leader is known or the request failed.
const RETRY_DELAY: Duration = Duration::from_millis(30);

/// Output of the router to its driver.
#[derive(Debug, PartialEq)]
pub enum RouterEvent {
    /// Sends a request to a store machine.
    Send {
        /// The receiving machine.
        machine: u32,
        /// Id of the attempt; the reply carries the same id.
        id: u64,
        /// The request.
        request: StoreRequest,
    },
    /// Reports the completion of a request.
    Done {
        /// Token of the request.
        token: u64,
        /// The reply; `None` if the request timed out.
        reply: Option<StoreReply>,
    },
}

#[derive(Debug)]
struct PendingRequest {
    request: StoreRequest,
    deadline: Moment,
    /// Id and target machine of the attempt in flight.
    in_flight: Option<(u64, u32)>,
    /// Time of the next attempt.
    next_attempt_at: Moment,
}

/// Routes requests to the leaders of their groups.
#[derive(Debug)]
pub struct StoreRouter {
    machines: Vec<u32>,
    leaders: BTreeMap<GroupId, u32>,
    /// Pending requests by token.
    pending: BTreeMap<u64, PendingRequest>,
    /// Request tokens by attempt id.
    attempts: BTreeMap<u64, u64>,
    next_id: u64,
    next_machine: usize,
    events: Vec<RouterEvent>,
}

impl StoreRouter {
    /// Creates a router over `machines`. `offset` selects the machine to try first; different
    /// offsets spread the initial requests of gateways over the machines.
    pub fn new(machines: Vec<u32>, offset: usize) -> Self {
        Self {
            machines,
            leaders: BTreeMap::new(),
            pending: BTreeMap::new(),
            attempts: BTreeMap::new(),
            next_id: 0,
            next_machine: offset,
            events: Vec::new(),
        }
    }

    /// Sends `request`. Its reply is reported as [`RouterEvent::Done`] with `token`.
    pub fn submit(&mut self, now: Moment, token: u64, request: StoreRequest, timeout: Duration) {
        let pending = PendingRequest {
            request,
            deadline: now + timeout,
            in_flight: None,
            next_attempt_at: now,
        };
        self.pending.insert(token, pending);
        self.send(now, token);
    }

    /// Returns and clears the queued events.
    pub fn take_events(&mut self) -> Vec<RouterEvent> {
        std::mem::take(&mut self.events)
    }

    /// Handles the reply to the attempt `id`.
    pub fn on_reply(&mut self, now: Moment, id: u64, reply: StoreReply) {
        let Some(token) = self.attempts.remove(&id) else {
            return;
        };
        let Some(pending) = self.pending.get_mut(&token) else {
            return;
        };
        if pending.in_flight.map(|(attempt, _)| attempt) != Some(id) {
            return;
        }
        let group = group_of(&pending.request);
        match reply {
            StoreReply::NotLeader(leader) => {
                pending.in_flight = None;
                match leader {
                    Some(leader) => {
                        self.leaders.insert(group, leader);
                        self.send(now, token);
                    }
                    None => {
                        pending.next_attempt_at = now + RETRY_DELAY;
                        self.leaders.remove(&group);
                    }
                }
            }
            StoreReply::Lost | StoreReply::Unavailable => {
                pending.in_flight = None;
                pending.next_attempt_at = now + RETRY_DELAY;
                self.leaders.remove(&group);
            }
            reply => self.finish(token, Some(reply)),
        }
    }

    /// Resends requests that are due and completes those past their deadline.
    pub fn tick(&mut self, now: Moment) {
        let is_due =
            |pending: &PendingRequest| now >= pending.next_attempt_at || now >= pending.deadline;
        let tokens: Vec<u64> = self
            .pending
            .iter()
            .filter(|(_, pending)| is_due(pending))
            .map(|(token, _)| *token)
            .collect();
        for token in tokens {
            let Some(pending) = self.pending.get(&token) else {
                continue;
            };
            if now >= pending.deadline {
                self.finish(token, None);
                continue;
            }
            if pending.in_flight.is_some() {
                let group = group_of(&pending.request);
                self.leaders.remove(&group);
            }
            self.send(now, token);
        }
    }

    fn finish(&mut self, token: u64, reply: Option<StoreReply>) {
        if let Some(pending) = self.pending.remove(&token)
            && let Some((id, _)) = pending.in_flight
        {
            self.attempts.remove(&id);
        }
        self.events.push(RouterEvent::Done { token, reply });
    }

    fn send(&mut self, now: Moment, token: u64) {
        let Some(pending) = self.pending.get_mut(&token) else {
            return;
        };
        let group = group_of(&pending.request);
        let known_leader = self.leaders.get(&group).copied();
        let machine = known_leader.unwrap_or_else(|| {
            self.next_machine += 1;
            self.machines[self.next_machine % self.machines.len()]
        });
        // Subsequent requests to the group use the same machine until it proves wrong.
        self.leaders.insert(group, machine);
        self.next_id += 1;
        if let Some((previous, _)) = pending.in_flight.replace((self.next_id, machine)) {
            self.attempts.remove(&previous);
        }
        pending.next_attempt_at = now + ATTEMPT_TIMEOUT;
        self.attempts.insert(self.next_id, token);
        self.events.push(RouterEvent::Send {
            machine,
            id: self.next_id,
            request: pending.request.clone(),
        });
    }
}

fn group_of(request: &StoreRequest) -> GroupId {
    match request {
        StoreRequest::Command(group, _) | StoreRequest::Query(group, _) => *group,
        StoreRequest::Heartbeat(_) | StoreRequest::FleetStatus | StoreRequest::GroupStatus => {
            RESOURCE_GROUP
        }
    }
}

//! The client side of the store: finds leaders, repeats, gives up in time.
//!
//! Every command is safe to repeat (it names its request, attempt or key), so an
//! answer that does not come is asked for again, from the next machine.

use std::collections::BTreeMap;
use std::time::Duration;

use calicohoist_replication::GroupId;
use calicohoist_types::Moment;

use crate::protocol::{StoreReply, StoreRequest};
use crate::state::RESOURCE_GROUP;

/// Silence after which a request is sent to another machine.
const TRY_TIMEOUT: Duration = Duration::from_millis(400);
/// Pause before a machine is asked again that knew no leader.
const REDIRECT_PAUSE: Duration = Duration::from_millis(30);

/// What the router asks of its driver, or reports.
#[derive(Debug, PartialEq)]
pub enum RouterEvent {
    /// Send this frame to a store machine.
    Send {
        /// The machine.
        machine: u32,
        /// Names the try.
        id: u64,
        /// The request.
        request: StoreRequest,
    },
    /// A request has its answer.
    Done {
        /// Names the request.
        token: u64,
        /// The answer; `None` when none came before the deadline.
        reply: Option<StoreReply>,
    },
}

#[derive(Debug)]
struct Waiting {
    request: StoreRequest,
    deadline: Moment,
    /// The try that is out, and where.
    sent: Option<(u64, u32)>,
    /// When to send, or send again.
    next_try: Moment,
}

/// Requests under way to the store machines.
#[derive(Debug)]
pub struct StoreRouter {
    machines: Vec<u32>,
    leaders: BTreeMap<GroupId, u32>,
    waiting: BTreeMap<u64, Waiting>,
    tries: BTreeMap<u64, u64>,
    next_id: u64,
    next_machine: usize,
    events: Vec<RouterEvent>,
}

impl StoreRouter {
    /// A router over `machines`. `offset` spreads first tries over the machines.
    pub fn new(machines: Vec<u32>, offset: usize) -> Self {
        Self {
            machines,
            leaders: BTreeMap::new(),
            waiting: BTreeMap::new(),
            tries: BTreeMap::new(),
            next_id: 0,
            next_machine: offset,
            events: Vec::new(),
        }
    }

    /// Sends `request`; its answer comes as [`RouterEvent::Done`] with `token`.
    pub fn ask(&mut self, now: Moment, token: u64, request: StoreRequest, patience: Duration) {
        let waiting = Waiting { request, deadline: now + patience, sent: None, next_try: now };
        self.waiting.insert(token, waiting);
        self.send(now, token);
    }

    /// Takes what the steps so far ask for.
    pub fn take_events(&mut self) -> Vec<RouterEvent> {
        std::mem::take(&mut self.events)
    }

    /// Takes an answer to a try.
    pub fn on_reply(&mut self, now: Moment, id: u64, reply: StoreReply) {
        let Some(token) = self.tries.remove(&id) else {
            return;
        };
        let Some(waiting) = self.waiting.get_mut(&token) else {
            return;
        };
        if waiting.sent.map(|(sent, _)| sent) != Some(id) {
            return;
        }
        let group = group_of(&waiting.request);
        match reply {
            StoreReply::NotLeader(leader) => {
                waiting.sent = None;
                match leader {
                    Some(leader) => {
                        self.leaders.insert(group, leader);
                        self.send(now, token);
                    }
                    None => {
                        waiting.next_try = now + REDIRECT_PAUSE;
                        self.leaders.remove(&group);
                    }
                }
            }
            StoreReply::Lost | StoreReply::Unavailable => {
                waiting.sent = None;
                waiting.next_try = now + REDIRECT_PAUSE;
                self.leaders.remove(&group);
            }
            reply => self.finish(token, Some(reply)),
        }
    }

    /// Lets time pass: repeats and gives up.
    pub fn tick(&mut self, now: Moment) {
        let due = |waiting: &Waiting| now >= waiting.next_try || now >= waiting.deadline;
        let tokens: Vec<u64> = self
            .waiting
            .iter()
            .filter(|(_, waiting)| due(waiting))
            .map(|(token, _)| *token)
            .collect();
        for token in tokens {
            let Some(waiting) = self.waiting.get(&token) else {
                continue;
            };
            if now >= waiting.deadline {
                self.finish(token, None);
                continue;
            }
            if waiting.sent.is_some() {
                let group = group_of(&waiting.request);
                self.leaders.remove(&group);
            }
            self.send(now, token);
        }
    }

    fn finish(&mut self, token: u64, reply: Option<StoreReply>) {
        if let Some(waiting) = self.waiting.remove(&token)
            && let Some((id, _)) = waiting.sent
        {
            self.tries.remove(&id);
        }
        self.events.push(RouterEvent::Done { token, reply });
    }

    fn send(&mut self, now: Moment, token: u64) {
        let Some(waiting) = self.waiting.get_mut(&token) else {
            return;
        };
        let group = group_of(&waiting.request);
        let known = self.leaders.get(&group).copied();
        let machine = known.unwrap_or_else(|| {
            self.next_machine += 1;
            self.machines[self.next_machine % self.machines.len()]
        });
        // The guess holds for the requests after this one, too.
        self.leaders.insert(group, machine);
        self.next_id += 1;
        if let Some((old, _)) = waiting.sent.replace((self.next_id, machine)) {
            self.tries.remove(&old);
        }
        waiting.next_try = now + TRY_TIMEOUT;
        self.tries.insert(self.next_id, token);
        self.events.push(RouterEvent::Send {
            machine,
            id: self.next_id,
            request: waiting.request.clone(),
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

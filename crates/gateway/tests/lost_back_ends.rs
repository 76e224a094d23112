//! Calls under which back ends are lost.

mod store;

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use calicohoist_gateway::core::message::{BackendEvent, BackendFailure, CallerEvent};
use calicohoist_gateway::{Action, Gateway, Input};
use calicohoist_types::Moment;
use store::{call, reply_to, settings};

/// Number of back ends that may be lost under one call.
const MAX_LOST: usize = 3;
const LEASE: Duration = Duration::from_secs(60);
const TICK: Duration = Duration::from_millis(10);
/// Longer than all backoffs of a call.
const CALL_TIME: Duration = Duration::from_secs(20);

/// A gateway with a store, and replicas that fail each attempt.
struct Fleet {
    gateway: Gateway,
    now: Moment,
    failure: BackendFailure,
    /// Number of the attempt with which calls are admitted.
    first_attempt: u32,
    /// Replicas that received the call.
    sent_to: BTreeSet<SocketAddr>,
    has_failed: bool,
}

impl Fleet {
    fn new(failure: BackendFailure) -> Self {
        let now = Moment::ZERO + TICK;
        let gateway = Gateway::new(settings(), now);
        Self {
            gateway,
            now,
            failure,
            first_attempt: 1,
            sent_to: BTreeSet::new(),
            has_failed: false,
        }
    }

    fn apply(&mut self, mut actions: Vec<Action>) {
        while let Some(action) = actions.pop() {
            let input = match action {
                Action::ToStore { id, request, .. } => {
                    Input::StoreReply { id, reply: reply_to(*request, LEASE, self.first_attempt) }
                }
                Action::RunOnService(task) => {
                    self.sent_to.insert(task.address);
                    Input::Backend(task.attempt, BackendEvent::Failed(self.failure))
                }
                Action::ToCaller(_, event) => {
                    self.has_failed |= matches!(event, CallerEvent::Failed(_));
                    continue;
                }
                _ => continue,
            };
            actions.extend(self.gateway.step(self.now, input));
        }
    }

    fn run_call(&mut self) {
        let actions = self.gateway.tick(self.now);
        self.apply(actions);
        let actions = self.gateway.step(self.now, Input::Call(1, Box::new(call())));
        self.apply(actions);
        let end = self.now + CALL_TIME;
        while self.now < end {
            self.now = self.now + TICK;
            let actions = self.gateway.tick(self.now);
            self.apply(actions);
        }
    }
}

#[test]
fn call_is_not_sent_to_a_fourth_back_end_after_three_were_lost_under_it() {
    let mut fleet = Fleet::new(BackendFailure::Broken);
    fleet.run_call();
    assert_eq!((fleet.sent_to.len(), fleet.has_failed), (MAX_LOST, true));
}

#[test]
fn attempts_of_a_gateway_that_was_lost_count() {
    let mut fleet = Fleet { first_attempt: 3, ..Fleet::new(BackendFailure::Broken) };
    fleet.run_call();
    assert_eq!((fleet.sent_to.len(), fleet.has_failed), (MAX_LOST - 2, true));
}

#[test]
fn attempts_that_did_not_start_are_not_counted_as_lost() {
    let mut fleet = Fleet::new(BackendFailure::NotStarted);
    fleet.run_call();
    assert!(fleet.sent_to.len() > MAX_LOST, "{:?}", fleet.sent_to);
}

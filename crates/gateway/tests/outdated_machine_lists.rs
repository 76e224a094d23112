//! Gateways that were cut off from the store and the platform while a back end left.

mod store;

use std::net::SocketAddr;
use std::time::Duration;

use calicohoist_gateway::{Action, Gateway, GatewaySettings, Input};
use calicohoist_types::{MachineState, MachineStatus, Moment};
use store::{call, replica_address, replica_name, reply_to, settings};

const LEASE: Duration = Duration::from_millis(1_500);
const TICK: Duration = Duration::from_millis(20);
/// Time for which the gateway is cut off, longer than its lease.
const CUT: Duration = Duration::from_secs(7);
/// Time in which a call is sent if it can be.
const CALL_TIME: Duration = Duration::from_secs(2);
/// Replica that the gateway prefers.
const PREFERRED: u16 = 0;

/// A gateway and what it reaches.
struct Fleet {
    gateway: Gateway,
    now: Moment,
    /// Whether the gateway reaches the store.
    is_connected: bool,
    sent_to: Vec<SocketAddr>,
}

impl Fleet {
    /// Starts a gateway that has a lease and its configuration.
    fn new() -> Self {
        let now = Moment::ZERO + TICK;
        let settings = GatewaySettings { has_platform: true, ..settings() };
        let gateway = Gateway::new(settings, now);
        let mut fleet = Self { gateway, now, is_connected: true, sent_to: Vec::new() };
        fleet.run(LEASE);
        fleet
    }

    fn apply(&mut self, mut actions: Vec<Action>) {
        while let Some(action) = actions.pop() {
            match action {
                Action::ToStore { id, request, .. } if self.is_connected => {
                    let reply = reply_to(*request, LEASE, 1);
                    actions.extend(self.gateway.step(self.now, Input::StoreReply { id, reply }));
                }
                Action::RunOnService(task) => self.sent_to.push(task.address),
                _ => {}
            }
        }
    }

    fn step(&mut self, input: Input) {
        let actions = self.gateway.step(self.now, input);
        self.apply(actions);
    }

    fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now = self.now + TICK;
            let actions = self.gateway.tick(self.now);
            self.apply(actions);
        }
    }

    /// Delivers the machine list as it was at `asked_at`.
    fn read_list(&mut self, asked_at: Moment, preferred: MachineState) {
        let list = vec![MachineStatus { name: replica_name(PREFERRED), state: preferred }];
        self.step(Input::Platform { asked_at, list: Some(list) });
    }

    /// Starts a call and returns the replica that received it, if any.
    fn call(&mut self) -> Option<SocketAddr> {
        self.sent_to.clear();
        self.step(Input::Call(1, Box::new(call())));
        self.run(CALL_TIME);
        self.sent_to.first().copied()
    }

    /// Cuts the gateway off until it has lost its lease, and connects it to the store again.
    fn cut_off(&mut self) {
        self.is_connected = false;
        self.run(CUT);
        self.is_connected = true;
    }
}

#[test]
fn gateway_with_a_lease_uses_the_machine_list_that_it_has() {
    let mut fleet = Fleet::new();
    fleet.read_list(fleet.now, MachineState::Live);
    fleet.run(CUT);
    assert_eq!(fleet.call(), Some(replica_address(PREFERRED)));
}

#[test]
fn gateway_sends_nothing_before_its_first_machine_list() {
    let mut fleet = Fleet::new();
    assert_eq!(fleet.call(), None);
    fleet.read_list(fleet.now, MachineState::Leaving);
    fleet.run(CALL_TIME);
    assert_eq!(fleet.sent_to, [replica_address(PREFERRED + 1)]);
}

#[test]
fn returning_gateway_sends_nothing_before_it_has_read_the_machine_list_again() {
    let mut fleet = Fleet::new();
    fleet.read_list(fleet.now, MachineState::Live);
    fleet.cut_off();
    assert_eq!(fleet.call(), None);
    fleet.read_list(fleet.now, MachineState::Leaving);
    fleet.run(CALL_TIME);
    assert_eq!(fleet.sent_to, [replica_address(PREFERRED + 1)]);
}

#[test]
fn list_that_was_asked_for_before_a_cut_does_not_count_as_read_after_it() {
    let mut fleet = Fleet::new();
    let asked_at = fleet.now;
    fleet.cut_off();
    fleet.read_list(asked_at, MachineState::Live);
    assert_eq!(fleet.call(), None);
}

#[test]
fn list_that_was_read_shortly_before_the_lease_came_back_is_used() {
    let mut fleet = Fleet::new();
    fleet.read_list(fleet.now, MachineState::Live);
    fleet.cut_off();
    fleet.read_list(fleet.now, MachineState::Leaving);
    assert_eq!(fleet.call(), Some(replica_address(PREFERRED + 1)));
}

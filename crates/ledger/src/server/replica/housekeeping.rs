//! Periodic tasks of the replica thread, most of them the leader's.

use std::collections::BTreeSet;
use std::net::Ipv4Addr;
use std::time::{Duration, Instant};

use calicohoist_replication::ReplicaId;
use calicohoist_telemetry::{Event, emit};
use calicohoist_types::Moment;

use super::origins::ORIGIN_COUNT_INTERVAL;
use super::pending::PendingRequest;
use super::{GROUP, ReplicaThread};
use crate::commands::{Command, origin_key_prefix};
use crate::server::preference::{GroupView, LeadershipTransfer, VoterLocation};
use crate::state::{Accounts, LedgerState};

/// Interval at which a leader passes the known machines to the replication layer.
const KNOWN_MACHINES_INTERVAL: Duration = Duration::from_millis(500);
/// Interval at which a leader checks whether another voter would be a better leader.
const PREFERENCE_INTERVAL: Duration = Duration::from_millis(500);

impl ReplicaThread {
    /// Runs periodic tasks, most of them on the leader only.
    pub(super) fn run_periodic_tasks(&mut self) {
        let is_leader = self.leads();
        let Some(state) = self.node.machine(GROUP) else {
            return;
        };
        let retiring = state.machines().retiring_numbers();
        if !is_leader {
            let knows_leader = self.node.leader_machine(GROUP).is_some();
            self.preference.follow(knows_leader);
            return self.node.set_evicted(&retiring);
        }
        let is_unregistered =
            |(machine, name): &(&u32, &String)| state.machines().number(name) != Some(**machine);
        let unregistered: Vec<(u32, String)> = self
            .names
            .iter()
            .filter(is_unregistered)
            .map(|(machine, name)| (*machine, name.clone()))
            .collect();
        if retiring.contains(&self.node.id().machine) {
            let now = self.now();
            self.node.transfer_leadership(now);
        }
        self.node.set_evicted(&retiring);
        for (machine, name) in unregistered {
            self.propose_without_reply(Command::Enroll { name, machine });
        }
        self.names.clear();
        self.names.insert(self.node.id().machine, self.name.clone());
        self.update_known_machines(&retiring);
        self.count_origins_if_due();
        self.seal_if_due();
        self.move_leadership_if_better(&retiring);
        let now = self.follow_leadership();
        if let Some(step) = self.clock.next_step(now) {
            self.count_charges();
            let request = PendingRequest::Step(self.term());
            self.propose(step, request);
        }
    }

    pub(super) fn count_charges(&mut self) {
        let accounts = self.node.machine(GROUP).map(LedgerState::accounts);
        self.charges = accounts.map_or(0, Accounts::charges);
    }

    /// Informs the clock of the state of who leads; returns the time.
    pub(super) fn follow_leadership(&mut self) -> Moment {
        let now = self.now();
        let term = self.leads().then(|| self.term());
        self.clock.follow(term, now);
        now
    }

    fn count_origins_if_due(&mut self) {
        if self.origins_counted_at.elapsed() >= ORIGIN_COUNT_INTERVAL {
            self.count_origins();
        }
    }

    pub(super) fn count_origins(&mut self) {
        self.origins_counted_at = Instant::now();
        if let Some(state) = self.node.machine(GROUP) {
            self.origins.recount(state.turns().ids_with_prefix(&origin_key_prefix()).count());
        }
    }

    /// Transfers the leadership to a voter with a clearly lower expected delay, if there is one.
    fn move_leadership_if_better(&mut self, retiring: &BTreeSet<u32>) {
        if self.preference_checked_at.elapsed() < PREFERENCE_INTERVAL {
            return;
        }
        self.preference_checked_at = Instant::now();
        let now = self.now();
        let Some(raft) = self.node.raft(GROUP) else {
            return;
        };
        let Some(voters) = self.locate_voters(&raft.membership().voters) else {
            return;
        };
        let loads = {
            let mut loads = self.services.loads.lock();
            loads.decay(self.preference_checked_at);
            loads.clone()
        };
        let view = GroupView {
            topology: &self.topology,
            leader: self.node.id().machine,
            voters: &voters,
            loads: &loads,
            is_stable: raft.is_fully_replicated(now),
            retiring,
        };
        if let Some(transfer) = self.preference.decide(&view, self.preference_checked_at) {
            self.transfer_leadership(transfer);
        }
    }

    /// Returns the voters with their zones, or `None` until the zones of all voters are known.
    fn locate_voters(&self, voters: &BTreeSet<ReplicaId>) -> Option<Vec<VoterLocation>> {
        let located = |voter: &ReplicaId| {
            let zone = self.zones.get(&voter.machine)?.clone();
            Some(VoterLocation { machine: voter.machine, zone })
        };
        voters.iter().map(located).collect()
    }

    fn transfer_leadership(&mut self, LeadershipTransfer { to, gain }: LeadershipTransfer) {
        let zone = self.zones.get(&to).cloned().unwrap_or_default();
        emit!(
            Event::LeaderMoved;
            machine = self.name,
            to = Ipv4Addr::from_bits(to),
            zone = zone,
            gain_us = gain.as_micros(),
        );
        let now = self.now();
        self.node.transfer_leadership_to(now, GROUP, to);
    }

    /// Passes the known machines to the replication layer, which informs them of the leader.
    fn update_known_machines(&mut self, retiring: &BTreeSet<u32>) {
        if self.known_machines_updated_at.elapsed() < KNOWN_MACHINES_INTERVAL {
            return;
        }
        self.known_machines_updated_at = Instant::now();
        let Some(state) = self.node.machine(GROUP) else {
            return;
        };
        let known = state.machines().numbers().filter(|machine| !retiring.contains(machine));
        let known = known.collect();
        self.node.set_known_machines(known);
    }

    /// Seals retained turns once they exceed their share of the memory.
    fn seal_if_due(&mut self) {
        if self.sealing.begin_if_due(self.term(), self.unsealed_bytes()) {
            self.propose(Command::Seal, PendingRequest::Seal);
        }
    }

    /// Returns the contents of retained turns in memory, in bytes.
    pub(super) fn unsealed_bytes(&self) -> u64 {
        self.node.machine(GROUP).map_or(0, |state| state.turns().unsealed_bytes())
    }
}

//! Discovery of the leader through contacts that are all standbys.
//!
//! Guards against a regression in which members did not announce the group to the contacts: after
//! a power loss, a leader was elected, but machines outside the group could not find it.

use std::time::Duration;

use calicohoist_types::Moment;
use rand::RngExt;
use rand::seq::IndexedRandom;

use crate::cluster::{Cluster, GROUP};

const SEED_COUNT: u64 = 150;
const STANDBYS: u32 = 7;
/// Time for the group to form and for all other machines to become standbys.
const STABILIZATION_TIME: Duration = Duration::from_secs(5);
/// Time to find the leader after all machines have started.
const DISCOVERY_TIME: Duration = Duration::from_secs(2);

impl Cluster {
    fn run_for(&mut self, duration: Duration) {
        let end = self.now + duration;
        while self.now < end {
            self.step();
        }
    }

    /// Uses three machines outside the group as contacts.
    fn use_standbys_as_contacts(&mut self) {
        let members = self.leading_raft().expect("a leader is elected").member_machines();
        let numbers = self.machines.iter().map(|machine| machine.number);
        let others: Vec<u32> = numbers.filter(|number| !members.contains(number)).collect();
        self.contacts = others.sample(&mut self.rng, 3).copied().collect();
    }

    fn crash_all(&mut self) {
        (0..self.machines.len()).for_each(|index| self.crash(index));
    }

    fn crash_contacts(&mut self) {
        for index in 0..self.machines.len() {
            if self.contacts.contains(&self.machines[index].number) {
                self.crash(index);
            }
        }
    }

    /// Delays the restart of half of the machines by another 3 s.
    fn delay_half_of_restarts(&mut self) {
        for machine in self.machines.iter_mut().skip(1).step_by(2) {
            machine.starts_at = machine.starts_at.map(|at| at + Duration::from_secs(3));
        }
    }

    fn run_until_all_started(&mut self) {
        while self.machines.iter().any(|machine| machine.node.is_none()) {
            self.step();
        }
    }

    fn assert_all_follow_leader(&self, seed: u64) {
        let leader = self.leading_raft().map(|raft| raft.id());
        assert!(leader.is_some(), "seed {seed}: no leader\n{self:?}");
        for machine in &self.machines {
            let raft = machine.node.as_ref().and_then(|node| node.raft(GROUP)).expect("runs");
            let number = machine.number;
            assert_eq!(
                raft.leader(),
                leader,
                "seed {seed}: {number}, contacts {:?}",
                self.contacts
            );
        }
    }
}

fn stable_cluster(seed: u64) -> Cluster {
    let mut cluster = Cluster::with_standbys(seed, STANDBYS);
    cluster.stop_faults();
    cluster.run_for(STABILIZATION_TIME);
    cluster.use_standbys_as_contacts();
    cluster
}

#[test]
fn all_machines_find_the_leader_after_a_power_loss() {
    for seed in 0..SEED_COUNT {
        let mut cluster = stable_cluster(seed);
        cluster.crash_all();
        if cluster.rng.random_bool(0.5) {
            cluster.delay_half_of_restarts();
        }
        cluster.run_until_all_started();
        cluster.run_for(DISCOVERY_TIME);
        cluster.assert_all_follow_leader(seed);
    }
}

/// One machine, a member or not, restarts with an empty disk.
#[test]
fn all_machines_find_the_leader_after_a_power_loss_with_an_empty_disk() {
    for seed in 0..SEED_COUNT {
        let mut cluster = stable_cluster(seed);
        cluster.crash_all();
        let lost = cluster.rng.random_range(0..cluster.machines.len());
        cluster.replace_disk(lost);
        cluster.run_until_all_started();
        cluster.run_for(DISCOVERY_TIME);
        cluster.assert_all_follow_leader(seed);
    }
}

/// The leader keeps running and was started with other contacts.
#[test]
fn contacts_find_the_leader_when_only_they_restart() {
    for seed in 0..SEED_COUNT {
        let mut cluster = stable_cluster(seed);
        cluster.crash_contacts();
        cluster.run_until_all_started();
        cluster.run_for(DISCOVERY_TIME);
        cluster.assert_all_follow_leader(seed);
    }
}

/// The disks of two machines stall after the power loss and recover last.
#[test]
fn all_machines_find_the_leader_after_two_stalled_disks_recover() {
    for seed in 0..SEED_COUNT {
        let mut cluster = stable_cluster(seed);
        cluster.crash_all();
        cluster.run_until_all_started();
        let stalled = cluster.now + DISCOVERY_TIME * 2;
        for _ in 0..2 {
            let index = cluster.rng.random_range(0..cluster.machines.len());
            cluster.machines[index].paused_until = stalled;
        }
        cluster.run_for(DISCOVERY_TIME);
        cluster.machines.iter_mut().for_each(|machine| machine.paused_until = Moment::ZERO);
        cluster.run_for(DISCOVERY_TIME);
        cluster.assert_all_follow_leader(seed);
    }
}

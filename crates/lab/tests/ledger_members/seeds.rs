//! Machines that are to be asked first, when none of them belongs to the group.
//!
//! Symptom: after a loss of all power nothing was served any more, though a leader was elected
//! 0.4 s after the machines were back and read its state with a quorum from then on.
//!
//! Sequence: a group of five with two spares, among 41 machines. The settings of all machines
//! name three others to ask first, which stand by: no part of the group. All machines lose power.
//! Members find each other by their logs. All other machines, and all gateways, know only the
//! three, and these know only each other.
//!
//! Cause: who is no member has to ask for the group. Nobody of the group told the machines that
//! everybody asks, so that they could not pass it on.
//!
//! What settled it: the new leader logged `configuration 91` for each read until the end; the three
//! machines to ask first, and all that had found an empty log, logged `NotLeader(None)`.

use std::time::Duration;

use calicohoist_types::Moment;
use rand::RngExt;
use rand::seq::IndexedRandom;

use crate::cluster::{Cluster, GROUP};

const SEEDS: u64 = 150;
const STANDBYS: u32 = 7;
/// Long enough for a group to form, and for all others to be told to stand by.
const QUIET: Duration = Duration::from_secs(5);
/// From when a quorum of whole disks and the machines to ask first are back.
const FOUND_AGAIN: Duration = Duration::from_secs(2);

impl Cluster {
    fn run_for(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            self.step();
        }
    }

    /// Names three machines outside the group as those to ask first.
    fn turn_seeds_over(&mut self) {
        let members = self.leading_raft().expect("somebody leads").member_machines();
        let numbers = self.machines.iter().map(|machine| machine.number);
        let others: Vec<u32> = numbers.filter(|number| !members.contains(number)).collect();
        self.seeds = others.sample(&mut self.random, 3).copied().collect();
    }

    fn lose_all_power(&mut self) {
        (0..self.machines.len()).for_each(|index| self.crash(index));
    }

    fn crash_seeds(&mut self) {
        for index in 0..self.machines.len() {
            if self.seeds.contains(&self.machines[index].number) {
                self.crash(index);
            }
        }
    }

    /// Power comes back at half of the machines 3 s later than at the others.
    fn keep_half_down(&mut self) {
        for machine in self.machines.iter_mut().skip(1).step_by(2) {
            machine.starts_at = machine.starts_at.map(|at| at + Duration::from_secs(3));
        }
    }

    fn wait_until_all_run(&mut self) {
        while self.machines.iter().any(|machine| machine.node.is_none()) {
            self.step();
        }
    }

    fn judge_found(&self, seed: u64) {
        let leader = self.leading_raft().map(|raft| raft.id());
        assert!(leader.is_some(), "seed {seed}: nobody leads\n{self:?}");
        for machine in &self.machines {
            let raft = machine.node.as_ref().and_then(|node| node.raft(GROUP)).expect("runs");
            let number = machine.number;
            assert_eq!(raft.leader(), leader, "seed {seed}: {number}, seeds {:?}", self.seeds);
        }
    }
}

fn settled(seed: u64) -> Cluster {
    let mut cluster = Cluster::with_standbys(seed, STANDBYS);
    cluster.calm_down();
    cluster.run_for(QUIET);
    cluster.turn_seeds_over();
    cluster
}

#[test]
fn all_machines_find_the_leader_after_a_loss_of_all_power() {
    for seed in 0..SEEDS {
        let mut cluster = settled(seed);
        cluster.lose_all_power();
        if cluster.random.random_bool(0.5) {
            cluster.keep_half_down();
        }
        cluster.wait_until_all_run();
        cluster.run_for(FOUND_AGAIN);
        cluster.judge_found(seed);
    }
}

/// A disk is lost besides, of a member or of another machine.
#[test]
fn they_find_it_when_one_of_them_comes_back_empty() {
    for seed in 0..SEEDS {
        let mut cluster = settled(seed);
        cluster.lose_all_power();
        let lost = cluster.random.random_range(0..cluster.machines.len());
        cluster.wipe(lost);
        cluster.wait_until_all_run();
        cluster.run_for(FOUND_AGAIN);
        cluster.judge_found(seed);
    }
}

/// The leader has run since before the change, and was told of other machines.
#[test]
fn machines_to_ask_first_find_the_leader_when_only_they_start_again() {
    for seed in 0..SEEDS {
        let mut cluster = settled(seed);
        cluster.crash_seeds();
        cluster.wait_until_all_run();
        cluster.run_for(FOUND_AGAIN);
        cluster.judge_found(seed);
    }
}

/// The disks of two machines stall while power is lost: they are back last.
#[test]
fn two_machines_whose_disks_stall_are_waited_for_by_nobody() {
    for seed in 0..SEEDS {
        let mut cluster = settled(seed);
        cluster.lose_all_power();
        cluster.wait_until_all_run();
        let stalled = cluster.now + FOUND_AGAIN * 2;
        for _ in 0..2 {
            let index = cluster.random.random_range(0..cluster.machines.len());
            cluster.machines[index].frozen_until = stalled;
        }
        cluster.run_for(FOUND_AGAIN);
        cluster.machines.iter_mut().for_each(|machine| machine.frozen_until = Moment::ZERO);
        cluster.run_for(FOUND_AGAIN);
        cluster.judge_found(seed);
    }
}

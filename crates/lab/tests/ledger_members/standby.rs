//! More machines than a group needs.

use std::collections::BTreeSet;

use rand::RngExt;

use crate::cluster::{CALM_STEPS, Cluster, GROUP, TROUBLED_STEPS, VOTERS};

/// A group of three with a spare, among seven machines.
#[test]
fn machines_that_stand_by_hold_nothing_and_step_in_when_others_are_lost() {
    const STANDBYS: u32 = 3;
    let mut disks_lost = 0;
    for seed in 0..30 {
        let mut cluster = Cluster::with_standbys(seed, STANDBYS);
        for _ in 0..TROUBLED_STEPS {
            cluster.disturb();
            if cluster.random.random_bool(0.5) {
                cluster.ask();
            }
            cluster.step();
            cluster.judge_size(seed);
        }
        cluster.calm_down();
        (0..CALM_STEPS).for_each(|_| cluster.step());
        cluster.judge(seed);
        cluster.judge_standbys(seed);
        disks_lost += cluster.disks_lost;
    }
    assert!(disks_lost > 20, "only {disks_lost} disks were lost");
}

impl Cluster {
    /// No leader lets in more machines than voters and spares.
    fn judge_size(&self, seed: u64) {
        let Some(raft) = self.leading_raft() else {
            return;
        };
        let machines: BTreeSet<u32> =
            raft.membership().all().map(|replica| replica.machine).collect();
        assert!(machines.len() <= VOTERS + self.spares, "seed {seed}:\n{self:?}");
    }

    /// In the end the group is whole, and every other machine knows where it is.
    fn judge_standbys(&self, seed: u64) {
        let leader = self.leading_raft().expect("somebody leads");
        let mut members = leader.member_machines();
        members.sort_unstable();
        assert_eq!(members.len(), VOTERS + self.spares, "seed {seed}:\n{self:?}");
        for machine in &self.machines {
            let raft = machine.node.as_ref().and_then(|node| node.raft(GROUP)).expect("runs");
            assert_eq!(raft.leader(), Some(leader.id()), "seed {seed}: {}", machine.number);
            let mut known = raft.member_machines();
            known.sort_unstable();
            assert_eq!(known, members, "seed {seed}: {}", machine.number);
        }
        let others = self.machines.len() - members.len();
        assert_eq!(leader.standby_machines(self.now).len(), others, "seed {seed}");
    }
}

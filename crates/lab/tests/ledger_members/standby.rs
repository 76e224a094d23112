//! Groups with standby machines.

use std::collections::BTreeSet;

use rand::RngExt;

use crate::cluster::{Cluster, FAULT_STEPS, GROUP, RECOVERY_STEPS, VOTERS};

/// A group of three voters and one spare, with three standby machines.
#[test]
fn standbys_replace_lost_members_and_stay_outside_a_full_group() {
    const STANDBYS: u32 = 3;
    let mut disks_lost = 0;
    for seed in 0..30 {
        let mut cluster = Cluster::with_standbys(seed, STANDBYS);
        for _ in 0..FAULT_STEPS {
            cluster.inject_faults();
            if cluster.rng.random_bool(0.5) {
                cluster.send_request();
            }
            cluster.step();
            cluster.assert_membership_limit(seed);
        }
        cluster.stop_faults();
        (0..RECOVERY_STEPS).for_each(|_| cluster.step());
        cluster.assert_recovered(seed);
        cluster.assert_all_know_members(seed);
        disks_lost += cluster.disks_lost;
    }
    assert!(disks_lost > 20, "only {disks_lost} disks were lost");
}

impl Cluster {
    /// Asserts that the group has no more members than voters and spares.
    fn assert_membership_limit(&self, seed: u64) {
        let Some(raft) = self.leading_raft() else {
            return;
        };
        let machines: BTreeSet<u32> =
            raft.membership().all().map(|replica| replica.machine).collect();
        assert!(machines.len() <= VOTERS + self.spares, "seed {seed}:\n{self:?}");
    }

    /// Asserts that the group is complete and that every machine knows its leader and members.
    fn assert_all_know_members(&self, seed: u64) {
        let leader = self.leading_raft().expect("a leader is elected");
        let mut members = leader.member_machines();
        members.sort_unstable();
        assert_eq!(members.len(), VOTERS + self.spares, "seed {seed}:\n{self:?}");
        for machine in &self.machines {
            let raft = machine.node.as_ref().and_then(|node| node.raft(GROUP)).expect("runs");
            assert_eq!(raft.leader(), Some(leader.id()), "seed {seed}: {}", machine.number);
            let mut known_members = raft.member_machines();
            known_members.sort_unstable();
            assert_eq!(known_members, members, "seed {seed}: {}", machine.number);
        }
        let standbys = self.machines.len() - members.len();
        assert_eq!(leader.standby_machines(self.now).len(), standbys, "seed {seed}");
    }
}

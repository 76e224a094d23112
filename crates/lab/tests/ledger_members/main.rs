//! Ledger machines that crash, freeze, are cut off, lose their disks and are replaced,
//! in virtual time: nothing acknowledged is lost, configurations never go back, and
//! the group always gets its voters back.

mod cluster;
mod seeds;
mod standby;

use rand::RngExt;

use cluster::{CALM_STEPS, Cluster, TROUBLED_STEPS};

#[test]
fn nothing_acknowledged_is_lost_whatever_machines_do() {
    let mut disks_lost = 0;
    let mut chunks = 0;
    let mut acknowledged = 0;
    for seed in 0..80 {
        let mut cluster = Cluster::new(seed);
        for _ in 0..TROUBLED_STEPS {
            cluster.disturb();
            if cluster.random.random_bool(0.5) {
                cluster.ask();
            }
            cluster.step();
        }
        cluster.calm_down();
        (0..CALM_STEPS).for_each(|_| cluster.step());
        cluster.judge(seed);
        disks_lost += cluster.disks_lost;
        chunks += cluster.chunks;
        acknowledged += cluster.acknowledged_turns.len();
    }
    assert!(disks_lost > 80, "only {disks_lost} disks were lost");
    assert!(chunks > 400, "only {chunks} parts of segments were fetched");
    assert!(acknowledged > 2_000, "only {acknowledged} turns were acknowledged");
}

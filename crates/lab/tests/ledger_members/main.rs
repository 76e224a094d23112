//! Ledger machines in virtual time that crash, pause, are partitioned, lose their disks and are
//! replaced: acknowledged data is kept, configuration versions never decrease, and the group
//! returns to its full number of voters.

mod cluster;
mod contacts;
mod standby;

use rand::RngExt;

use cluster::{Cluster, FAULT_STEPS, RECOVERY_STEPS};

#[test]
fn acknowledged_data_survives_crashes_partitions_and_disk_losses() {
    let mut disks_lost = 0;
    let mut segment_chunks = 0;
    let mut acknowledged = 0;
    for seed in 0..80 {
        let mut cluster = Cluster::new(seed);
        for _ in 0..FAULT_STEPS {
            cluster.inject_faults();
            if cluster.rng.random_bool(0.5) {
                cluster.send_request();
            }
            cluster.step();
        }
        cluster.stop_faults();
        (0..RECOVERY_STEPS).for_each(|_| cluster.step());
        cluster.assert_recovered(seed);
        disks_lost += cluster.disks_lost;
        segment_chunks += cluster.segment_chunks;
        acknowledged += cluster.acknowledged_turns.len();
    }
    assert!(disks_lost > 80, "only {disks_lost} disks were lost");
    assert!(segment_chunks > 400, "only {segment_chunks} segment chunks were fetched");
    assert!(acknowledged > 2_000, "only {acknowledged} turns were acknowledged");
}

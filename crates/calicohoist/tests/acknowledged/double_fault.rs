//! Acknowledged changes after a fault that ends all processes, while one ledger machine comes back
//! without its disk and another one does not come back at first.

use std::time::Duration;

use rand::SeedableRng as _;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom as _;

use crate::STORE_IPS;
use crate::cluster::number_from_environment;
use crate::final_fault::{KilledDeployment, kill_in_turn};

/// Seed of the first deployment; overridden by `DOUBLE_FAULT_SEED`.
const FIRST_SEED: u64 = 1;
/// Number of deployments; overridden by `DOUBLE_FAULT_DEPLOYMENTS`.
const DEPLOYMENTS: u64 = 1;
/// Long enough for elections and for a machine with an empty disk to ask for membership.
const OBSERVATION_TIME: Duration = Duration::from_millis(2_500);

fn play(seed: u64) {
    println!("seed {seed}");
    let mut random = StdRng::seed_from_u64(seed);
    let mut deployment = KilledDeployment::play(&mut random, kill_in_turn);
    let machines: Vec<&str> = STORE_IPS.sample(&mut random, 2).copied().collect();
    let (wiped, absent) = (machines[0], machines[1]);
    deployment.lose_disk(wiped);
    for phase in 0..2 {
        deployment.start_all_but(absent);
        let statuses = deployment.assert_nothing_denied(phase, OBSERVATION_TIME);
        println!("statuses without {absent}: {statuses:?}");
        assert!(statuses.contains_key(&503), "no turn was refused: {statuses:?}");
        deployment.kill();
    }
    deployment.start_all();
    deployment.assert_all_kept();
}

#[test]
fn nothing_acknowledged_is_denied_while_one_disk_is_lost_and_one_machine_is_away() {
    let first = number_from_environment("DOUBLE_FAULT_SEED", FIRST_SEED);
    let deployments = number_from_environment("DOUBLE_FAULT_DEPLOYMENTS", DEPLOYMENTS);
    (first..first + deployments).for_each(play);
}

//! Retained turns that are continued just before their retention ends, at two gateways, while machines
//! fail.

use std::fs;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use rustix::process::Signal;

use crate::cluster::{GATEWAY_IPS, STORE_IPS, number_from_environment};
use crate::deployment::RetainingDeployment;
use crate::turns::{assert_none_lost, play};

fn start_with_two_gateways() -> RetainingDeployment {
    let mut deployment = RetainingDeployment::start();
    deployment.start_gateway(GATEWAY_IPS[1]);
    deployment
}

#[test]
fn retained_turns_are_kept_when_all_ledger_machines_are_killed_together() {
    const INTERVAL: Duration = Duration::from_secs(4);
    let mut deployment = start_with_two_gateways();
    let continued = play(&mut deployment, |deployment, is_over| {
        while !is_over.load(Ordering::SeqCst) {
            thread::sleep(INTERVAL);
            deployment.ledger.machines.iter_mut().for_each(|machine| machine.kill());
            STORE_IPS.iter().for_each(|ip| deployment.ledger.restart(ip));
        }
    });
    assert_none_lost(&continued);
}

/// A paused leader counts the pause as time that passed, and its successor does not.
#[test]
fn retained_turns_are_kept_while_leaders_are_paused() {
    const INTERVAL: Duration = Duration::from_secs(2);
    const DEFAULT_PAUSE_S: u64 = 3;
    let mut deployment = start_with_two_gateways();
    let continued = play(&mut deployment, |deployment, is_over| {
        let pause = number_from_environment("RETAINED_PAUSE_S", DEFAULT_PAUSE_S);
        while !is_over.load(Ordering::SeqCst) {
            thread::sleep(INTERVAL);
            let leader = deployment.ledger.cluster.leader();
            deployment.ledger.signal(leader, Signal::STOP);
            thread::sleep(Duration::from_secs(pause));
            deployment.ledger.signal(leader, Signal::CONT);
        }
    });
    assert_none_lost(&continued);
}

/// One gateway after the other is killed, and stops the next time.
#[test]
fn retained_turns_are_kept_while_gateways_restart() {
    const INTERVAL: Duration = Duration::from_secs(2);
    let mut deployment = start_with_two_gateways();
    let continued = play(&mut deployment, |deployment, is_over| {
        for (number, ip) in GATEWAY_IPS.into_iter().cycle().enumerate() {
            if is_over.load(Ordering::SeqCst) {
                return;
            }
            let is_target = |gateway: &&mut crate::cluster::Process| gateway.ip == ip;
            let gateway = deployment.gateways.iter_mut().find(is_target).expect("a gateway");
            if number % 4 < 2 {
                gateway.kill();
            } else {
                gateway.terminate();
            }
            deployment.start_gateway(ip);
            thread::sleep(INTERVAL);
        }
    });
    assert_none_lost(&continued);
}

/// Each disk is lost once the one before has been restored: the deployment bears one loss at a time.
#[test]
fn retained_turns_are_kept_while_disks_are_lost_one_at_a_time() {
    const INTERVAL: Duration = Duration::from_secs(5);
    let mut deployment = start_with_two_gateways();
    let continued = play(&mut deployment, |deployment, is_over: &AtomicBool| {
        while !is_over.load(Ordering::SeqCst) {
            let leader = deployment.ledger.cluster.leader();
            deployment.ledger.machine(leader).kill();
            let folder = deployment.ledger.cluster.data_folder(leader);
            fs::remove_dir_all(folder).expect("the data folder is removed");
            deployment.ledger.restart(leader);
            thread::sleep(INTERVAL);
        }
    });
    assert_none_lost(&continued);
}

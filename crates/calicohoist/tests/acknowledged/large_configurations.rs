//! Configurations of megabytes while machines stand still, stop, fail and lose their disks.

use std::fs;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{RngExt as _, SeedableRng as _};
use rustix::process::Signal;

use crate::cluster::{Cluster, number_from_environment};
use crate::final_fault::{RETRY_INTERVAL, try_exchange};
use crate::support::configuration;
use crate::{Ledger, Process, STORE_IPS, request, version_of};

/// Seed of the faults; overridden by `LARGE_SEED`.
const SEED: u64 = 1;
/// Number of faults; overridden by `LARGE_FAULTS`.
const FAULTS: u64 = 3;
/// Size of a configuration in MiB; overridden by `LARGE_MIB`.
const CONFIGURATION_MIB: u64 = 4;
/// Number of configurations while a follower stands still; overridden by `LARGE_VERSIONS`.
const VERSIONS: u64 = 10;
/// Maximum time for the acknowledgement of one of these, several elections and snapshots.
const ACKNOWLEDGEMENT_TIMEOUT: Duration = Duration::from_secs(20);
/// Time after which a machine with an empty disk has replaced its predecessor.
const REPLACEMENT_PERIOD: Duration = Duration::from_secs(5);
const READ_BACK_TIMEOUT: Duration = Duration::from_secs(10);

#[derive(Clone, Copy, Debug)]
enum Fault {
    Pause,
    Stop,
    Kill,
    LoseDisk,
}

const ALL_FAULTS: [Fault; 4] = [Fault::Pause, Fault::Stop, Fault::Kill, Fault::LoseDisk];

/// Returns a configuration of about the given size that hardly compresses.
fn dense_configuration(version: u64, bytes: usize) -> String {
    let mut random = StdRng::seed_from_u64(version);
    let filler = (0..bytes).map(|_| char::from(random.random_range(b'#'..b'\\')));
    let mut document = configuration(version);
    document["later_field"] = filler.collect::<String>().into();
    document.to_string()
}

fn size() -> usize {
    (number_from_environment("LARGE_MIB", CONFIGURATION_MIB) << 20) as usize
}

/// Sends a configuration to each of the machines once; returns the one that acknowledged it.
fn put(cluster: &Cluster, machines: &[&'static str], body: &str) -> Option<&'static str> {
    let put = request("PUT", "/-/config", body);
    machines.iter().copied().find(|ip| {
        let response = try_exchange(cluster.control(ip), &put);
        response.is_some_and(|response| response.status == 200 && response.is_complete)
    })
}

/// Activates one configuration after another; `acknowledged` is the last acknowledged version.
fn operate(cluster: &Cluster, acknowledged: &AtomicU64, is_over: &AtomicBool) {
    let mut number = 0;
    while !is_over.load(Ordering::SeqCst) {
        let version = acknowledged.load(Ordering::SeqCst) + 1;
        let body = dense_configuration(version, size());
        while !is_over.load(Ordering::SeqCst) {
            number += 1;
            let ip = STORE_IPS[number % STORE_IPS.len()];
            if put(cluster, &[ip], &body).is_some() {
                acknowledged.store(version, Ordering::SeqCst);
                break;
            }
            thread::sleep(RETRY_INTERVAL);
        }
    }
}

fn cause(cluster: &Cluster, machine: &mut Process, fault: Fault, random: &mut StdRng) {
    let pause = Duration::from_millis(random.random_range(0..1_500));
    match fault {
        Fault::Pause => {
            machine.signal(Signal::STOP);
            thread::sleep(pause * 2);
            return machine.signal(Signal::CONT);
        }
        Fault::Stop => assert!(machine.terminate(), "a graceful stop"),
        Fault::Kill => machine.kill(),
        Fault::LoseDisk => {
            machine.kill();
            let folder = cluster.data_folder(machine.ip);
            fs::remove_dir_all(folder).expect("the data folder is removed");
        }
    }
    thread::sleep(pause);
    *machine = cluster.start(machine.ip, false);
    if matches!(fault, Fault::LoseDisk) {
        thread::sleep(REPLACEMENT_PERIOD);
    }
}

/// Asserts that no machine shows an older configuration, and that the whole document is read back.
fn read_back(ledger: &Ledger, acknowledged: u64) {
    let get = request("GET", "/-/config", "");
    let ends_at = Instant::now() + READ_BACK_TIMEOUT;
    let mut is_read = false;
    while !is_read {
        assert!(Instant::now() < ends_at, "no machine answers");
        for ip in STORE_IPS {
            let response = try_exchange(ledger.cluster.control(ip), &get).unwrap_or_default();
            if response.status == 200 {
                let version = version_of(&response);
                assert!(version >= acknowledged, "{ip}: {version}, acknowledged {acknowledged}");
                let expected = dense_configuration(version, size());
                assert!(response.body == expected.as_bytes(), "{ip}: another document");
                is_read = true;
            }
        }
    }
}

/// Causes a fault of a machine while configurations are activated one after another.
fn play(ledger: &mut Ledger, fault: Fault, acknowledged: &AtomicU64, random: &mut StdRng) {
    let Ledger { cluster, machines } = ledger;
    let number = random.random_range(0..machines.len());
    let before = acknowledged.load(Ordering::SeqCst);
    let is_over = AtomicBool::new(false);
    thread::scope(|scope| {
        scope.spawn(|| operate(cluster, acknowledged, &is_over));
        thread::sleep(Duration::from_millis(random.random_range(0..1_500)));
        cause(cluster, &mut machines[number], fault, random);
        thread::sleep(Duration::from_millis(random.random_range(0..1_500)));
        is_over.store(true, Ordering::SeqCst);
    });
    let after = acknowledged.load(Ordering::SeqCst);
    println!("{fault:?} of {}: {} acknowledged", machines[number].ip, after - before);
    read_back(ledger, after);
}

#[test]
fn large_configurations_are_kept_while_machines_fail() {
    let mut random = StdRng::seed_from_u64(number_from_environment("LARGE_SEED", SEED));
    let mut ledger = Ledger::start();
    let acknowledged = AtomicU64::new(1);
    let count = number_from_environment("LARGE_FAULTS", FAULTS) as usize;
    for fault in ALL_FAULTS.into_iter().cycle().take(count) {
        play(&mut ledger, fault, &acknowledged, &mut random);
    }
    for machine in &ledger.machines {
        println!("{}: peak of {} KiB", machine.ip, machine.peak_memory() >> 10);
    }
    ledger.machines.iter_mut().for_each(Process::kill);
    STORE_IPS.into_iter().for_each(|ip| ledger.restart(ip));
    read_back(&ledger, acknowledged.into_inner());
}

#[test]
fn large_configurations_are_acknowledged_while_a_follower_stands_still() {
    let ledger = Ledger::start();
    let leader = ledger.cluster.leader();
    let follower = STORE_IPS.into_iter().find(|ip| *ip != leader).expect("a follower");
    let others: Vec<_> = STORE_IPS.into_iter().filter(|ip| *ip != follower).collect();
    let last = 1 + number_from_environment("LARGE_VERSIONS", VERSIONS);
    let bodies: Vec<_> = (2..=last).map(|version| dense_configuration(version, size())).collect();
    ledger.signal(follower, Signal::STOP);
    let mut times = Vec::new();
    for body in &bodies {
        let started_at = Instant::now();
        while put(&ledger.cluster, &others, body).is_none() {
            assert!(started_at.elapsed() < ACKNOWLEDGEMENT_TIMEOUT, "after {times:?} ms");
            thread::sleep(RETRY_INTERVAL);
        }
        times.push(started_at.elapsed().as_millis());
    }
    println!("acknowledged after {times:?} ms");
    ledger.signal(follower, Signal::CONT);
    read_back(&ledger, last);
}

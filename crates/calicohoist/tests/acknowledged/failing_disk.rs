//! Disks that refuse writes, imitated by a limit on the size of files.

use std::fs;
use std::os::unix::fs::PermissionsExt as _;
use std::path::PathBuf;
use std::thread;
use std::time::{Duration, Instant};

use rand::SeedableRng as _;
use rand::rngs::StdRng;

use crate::cluster::{BUILD_UNDER_TEST, Cluster, Process, number_from_environment};
use crate::final_fault::KilledDeployment;
use crate::{
    Ledger, STORE_IPS, assert_answered, configuration, large_configuration, read_response,
};

/// Larger than the limit on the size of files.
const LARGE_BYTES: usize = 4 << 20;
/// Seed of the first deployment; overridden by `FAILING_DISK_SEED`.
const FIRST_SEED: u64 = 1;
/// Number of deployments; overridden by `FAILING_DISK_DEPLOYMENTS`.
const DEPLOYMENTS: u64 = 1;
/// Time for which the disk of a machine is limited, and in which the machine then catches up.
const LIMITED_TIME: Duration = Duration::from_millis(1_500);
const RECOVERY_TIME: Duration = Duration::from_millis(1_500);

/// Writes a program that starts the build under test with a limit on the size of files. Writes
/// beyond it fail instead of ending the process.
fn limited_build(cluster: &Cluster) -> PathBuf {
    let file = cluster.folder.path().join("limited");
    let text = format!(
        "#!/bin/sh\ntrap '' XFSZ\nulimit -f 2048\nexec {BUILD_UNDER_TEST} \"$@\" >/dev/null 2>&1\n"
    );
    fs::write(&file, text).expect("a script");
    fs::set_permissions(&file, fs::Permissions::from_mode(0o700)).expect("an executable script");
    file
}

/// Restarts the given machines with limited disks.
fn limit_disks(ledger: &mut Ledger, ips: &[&'static str]) {
    let build = limited_build(&ledger.cluster);
    for ip in ips {
        ledger.machine(ip).terminate();
        let started = ledger.cluster.start_with_binary(&build, ip, ip, false);
        *ledger.machine(ip) = started;
        ledger.active_version();
    }
}

#[test]
fn change_that_the_disk_refuses_is_answered() {
    let mut ledger = Ledger::start();
    limit_disks(&mut ledger, &STORE_IPS);
    let leader = ledger.cluster.leader();
    let put = ledger.send(leader, "PUT", "/-/config", &large_configuration(2, LARGE_BYTES));
    let waiting: Vec<_> = (0..5)
        .map(|_| ledger.send(leader, "PUT", "/-/config", &configuration(3).to_string()))
        .collect();
    assert_answered(&read_response(put), "PUT");
    waiting.into_iter().for_each(|put| assert_answered(&read_response(put), "PUT"));
}

#[test]
fn change_acknowledged_while_disks_fail_is_kept() {
    let mut ledger = Ledger::start();
    limit_disks(&mut ledger, &STORE_IPS);
    let mut acknowledged = 1;
    for version in 2..40 {
        // Small changes fill the log slowly, large ones are refused at once.
        let bytes = if version % 8 == 0 { LARGE_BYTES } else { 60 << 10 };
        let body = large_configuration(version, bytes);
        for ip in STORE_IPS {
            let Ok(mut stream) = std::net::TcpStream::connect(ledger.cluster.control(ip)) else {
                continue;
            };
            let call = crate::request("PUT", "/-/config", &body);
            let _ = std::io::Write::write_all(&mut stream, call.as_bytes());
            if read_response(stream).status == 200 {
                acknowledged = version;
            }
        }
        restart_ended(&mut ledger);
    }
    assert!(acknowledged > 1, "no change was acknowledged");
    ledger.machines.iter_mut().for_each(crate::Process::kill);
    STORE_IPS.into_iter().for_each(|ip| ledger.restart(ip));
    assert!(ledger.active_version() >= acknowledged);
}

/// Restarts the machines whose disk has failed, still with a limit.
fn restart_ended(ledger: &mut Ledger) {
    let build = limited_build(&ledger.cluster);
    for ip in STORE_IPS {
        let has_ended = ledger.machine(ip).child.try_wait().expect("a status").is_some();
        if has_ended {
            let started = ledger.cluster.start_with_binary(&build, ip, ip, false);
            *ledger.machine(ip) = started;
        }
    }
    thread::sleep(Duration::from_millis(50));
}

/// Limits the disk of one ledger machine after another, and starts those that end over it.
fn limit_disks_in_turn(cluster: &Cluster, processes: &mut [Process], _: &mut StdRng) {
    let build = limited_build(cluster);
    for process in processes.iter_mut().filter(|process| STORE_IPS.contains(&process.ip)) {
        process.kill();
        *process = cluster.start_with_binary(&build, process.ip, process.ip, false);
        let (until, mut exits) = (Instant::now() + LIMITED_TIME, 0);
        while Instant::now() < until {
            thread::sleep(Duration::from_millis(50));
            if process.child.try_wait().expect("a status").is_some() {
                exits += 1;
                *process = cluster.start_with_binary(&build, process.ip, process.ip, false);
            }
        }
        println!("{} ended {exits} times over its disk", process.ip);
        process.kill();
        *process = cluster.start(process.ip, false);
        thread::sleep(RECOVERY_TIME);
    }
}

#[test]
fn acknowledged_changes_survive_full_disks_in_turn_and_the_end_of_all_processes() {
    let first = number_from_environment("FAILING_DISK_SEED", FIRST_SEED);
    let deployments = number_from_environment("FAILING_DISK_DEPLOYMENTS", DEPLOYMENTS);
    for seed in first..first + deployments {
        println!("seed {seed}");
        let mut random = StdRng::seed_from_u64(seed);
        let mut deployment = KilledDeployment::play(&mut random, limit_disks_in_turn);
        deployment.start_all();
        deployment.assert_all_kept();
    }
}

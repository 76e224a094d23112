//! Memory of ledger machines while retained turns with long inputs and long histories come through
//! several gateways, and machines stand still, start again or come back without their disk.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use rustix::process::Signal;

use crate::Ledger;
use crate::cluster::{GATEWAY_IPS, Process, STORE_IPS};
use crate::durability::start_model;
use crate::final_fault::RETRY_INTERVAL;
use crate::long_histories::{Tally, send_turns, sum};
use crate::support::{configuration, wait_until};

/// Memory of a ledger machine of the deployment with the smallest machines of its size, in bytes.
const MAX_MEMORY_BYTES: usize = 120 << 20;
/// Holds the bodies of all callers.
const GATEWAY_MEMORY_MB: usize = 400;
const MAX_BODY_BYTES: usize = 4 << 20;
/// Callers of each gateway, by what they send.
const LONG_CALLERS: usize = 4;
const CONTINUING_CALLERS: usize = 4;
/// Nearly as long as a body may be.
const LONG_INPUT_BYTES: usize = 3 << 20;
/// Turns in the history that is continued, and the length of their inputs.
const HISTORY_TURNS: usize = 4;
const HISTORY_INPUT_BYTES: usize = 600 << 10;
const DURATION: Duration = Duration::from_secs(8);
const FAULT_INTERVAL: Duration = Duration::from_millis(1_000);
/// Shorter than the time after which a leader steps down.
const SHORT_PAUSE: Duration = Duration::from_millis(300);
const LONG_PAUSE: Duration = Duration::from_millis(1_500);

/// What happens to ledger machines under load.
#[derive(Clone, Copy, Debug)]
enum Fault {
    None,
    PauseFollower(Duration),
    PauseLeader(Duration),
    RestartFollower,
    LoseDiskOfFollower,
    RestartAll,
}

/// Highest memory of each machine, over all of its processes.
#[derive(Debug, Default)]
struct PeakMemory(BTreeMap<&'static str, usize>);

impl PeakMemory {
    fn record(&mut self, process: &Process) {
        let peak = self.0.entry(process.ip).or_default();
        *peak = (*peak).max(process.try_peak_memory().unwrap_or_default());
    }

    fn max(&self) -> usize {
        self.0.values().copied().max().unwrap_or_default()
    }
}

/// Runs the turns that are continued later; returns the id of the last one.
fn run_program(ledger: &Ledger, gateway: &str) -> String {
    let input = "x".repeat(HISTORY_INPUT_BYTES);
    let turns = (0..HISTORY_TURNS).fold(None::<String>, |previous, turn| {
        let name = format!("program-{gateway}-{turn}");
        Some(ledger.cluster.turn(gateway, &name, previous.as_deref(), &input))
    });
    turns.expect("a program has turns")
}

fn inject(ledger: &mut Ledger, fault: Fault, peaks: &mut PeakMemory) {
    let leader = ledger.cluster.leader();
    let follower = STORE_IPS.into_iter().find(|ip| *ip != leader).expect("a follower");
    let pause = |ip, duration| {
        ledger.signal(ip, Signal::STOP);
        thread::sleep(duration);
        ledger.signal(ip, Signal::CONT);
    };
    match fault {
        Fault::None => {}
        Fault::PauseFollower(duration) => pause(follower, duration),
        Fault::PauseLeader(duration) => pause(leader, duration),
        Fault::RestartFollower | Fault::LoseDiskOfFollower => {
            peaks.record(ledger.machine(follower));
            ledger.machine(follower).kill();
            if matches!(fault, Fault::LoseDiskOfFollower) {
                let folder = ledger.cluster.data_folder(follower);
                std::fs::remove_dir_all(folder).expect("a folder removed");
            }
            ledger.restart(follower);
        }
        Fault::RestartAll => {
            ledger.machines.iter().for_each(|machine| peaks.record(machine));
            ledger.machines.iter_mut().for_each(Process::kill);
            STORE_IPS.into_iter().for_each(|ip| ledger.restart(ip));
        }
    }
}

/// Plays a load with a fault in each interval; returns what was served, and the peaks.
fn play(fault: Fault) -> (Tally, PeakMemory) {
    let mut ledger = Ledger::start();
    let mut document = configuration(2);
    document["limits"]["max_body_bytes"] = MAX_BODY_BYTES.into();
    ledger.operate("PUT", "/-/config", &document.to_string());
    ledger.cluster.memory_mb = GATEWAY_MEMORY_MB;
    let models = ["hall", "attic"].map(start_model);
    models.iter().for_each(|model| ledger.cluster.platform_list.put(model, "models", "ready"));
    let _gateways = GATEWAY_IPS.map(|ip| ledger.cluster.start(ip, true));
    GATEWAY_IPS.iter().for_each(|ip| {
        wait_until("the gateway is ready", || ledger.cluster.is_ready(ip));
    });
    let programs = GATEWAY_IPS.map(|ip| run_program(&ledger, ip));
    let http = GATEWAY_IPS.map(|ip| ledger.cluster.http(ip));
    let long = "x".repeat(LONG_INPUT_BYTES);
    let is_over = AtomicBool::new(false);
    let mut peaks = PeakMemory::default();
    let tally = thread::scope(|scope| {
        let (is_over, long) = (&is_over, long.as_str());
        let mut callers = Vec::new();
        for (address, program) in http.into_iter().zip(&programs) {
            for number in 0..LONG_CALLERS {
                let name = format!("long-{address}-{number}");
                callers.push(scope.spawn(move || send_turns(address, &name, None, long, is_over)));
            }
            for number in 0..CONTINUING_CALLERS {
                let name = format!("again-{address}-{number}");
                callers
                    .push(scope.spawn(move || {
                        send_turns(address, &name, Some(program), "next ", is_over)
                    }));
            }
        }
        let ends_at = Instant::now() + DURATION;
        for number in 0.. {
            thread::sleep(FAULT_INTERVAL);
            if Instant::now() >= ends_at {
                break;
            }
            // The deployment tolerates the loss of one disk until the machine has joined again.
            if number == 0 || !matches!(fault, Fault::LoseDiskOfFollower) {
                inject(&mut ledger, fault, &mut peaks);
            }
        }
        is_over.store(true, Ordering::SeqCst);
        sum(callers.into_iter().map(|caller| caller.join().expect("a caller")))
    });
    thread::sleep(RETRY_INTERVAL);
    ledger.machines.iter().for_each(|machine| peaks.record(machine));
    (tally, peaks)
}

fn assert_memory_is_bounded(fault: Fault) {
    let (tally, peaks) = play(fault);
    println!("{fault:?}: {tally:?}, peaks in MiB:");
    peaks.0.iter().for_each(|(ip, peak)| println!("  {ip}: {}", peak >> 20));
    assert!(tally.served > 0, "no turn was served: {tally:?}");
    assert!(peaks.max() <= MAX_MEMORY_BYTES, "{fault:?}: {} MiB", peaks.max() >> 20);
}

#[test]
fn memory_is_bounded_under_long_inputs_and_histories() {
    assert_memory_is_bounded(Fault::None);
}

#[test]
fn memory_is_bounded_while_a_follower_stands_still_for_a_moment() {
    assert_memory_is_bounded(Fault::PauseFollower(SHORT_PAUSE));
}

#[test]
fn memory_is_bounded_while_a_follower_stands_still() {
    assert_memory_is_bounded(Fault::PauseFollower(LONG_PAUSE));
}

#[test]
fn memory_is_bounded_while_the_leader_stands_still_for_a_moment() {
    assert_memory_is_bounded(Fault::PauseLeader(SHORT_PAUSE));
}

#[test]
fn memory_is_bounded_while_the_leader_stands_still() {
    assert_memory_is_bounded(Fault::PauseLeader(LONG_PAUSE));
}

#[test]
fn memory_is_bounded_while_a_follower_starts_again() {
    assert_memory_is_bounded(Fault::RestartFollower);
}

#[test]
fn memory_is_bounded_while_a_follower_loses_its_disk() {
    assert_memory_is_bounded(Fault::LoseDiskOfFollower);
}

#[test]
fn memory_is_bounded_while_all_machines_start_again() {
    assert_memory_is_bounded(Fault::RestartAll);
}

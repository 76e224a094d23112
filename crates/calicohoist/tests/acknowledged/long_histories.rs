//! Turns that continue long histories, many of them at the same moment at one gateway, beside first
//! turns.

use std::fs;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::Ledger;
use crate::cluster::{Cluster, GATEWAY_IPS, Process, STORE_IPS};
use crate::durability::start_model;
use crate::final_fault::{RETRY_INTERVAL, try_exchange, turn_request};
use crate::support::wait_until;

/// Programs that continue at the same moment.
const PROGRAMS: usize = 16;
/// Turns of each program, whose inputs are as long as a body may be.
const TURNS: usize = 10;
const INPUT_BYTES: usize = 60 << 10;
const INPUT: &str = "next ";
const FIRST_CALLERS: usize = 4;
const DURATION: Duration = Duration::from_secs(4);
/// Share of turns that must be served.
pub const SERVED_SHARE: f64 = 0.9;
/// Tries in a row of which one must reach a replica.
const MAX_REFUSALS: usize = 4;
const GATEWAY: &str = GATEWAY_IPS[0];

/// How the tries of a caller ended.
#[derive(Clone, Copy, Debug, Default)]
pub struct Tally {
    tried: usize,
    pub served: usize,
    /// Tries in a row that were not served, at most.
    most_refused: usize,
    slowest: Duration,
}

impl Tally {
    pub fn share(&self) -> f64 {
        self.served as f64 / self.tried.max(1) as f64
    }
}

/// Runs a program of turns, each retried until it is answered whole; returns the id of the last one.
fn run_program(cluster: &Cluster, number: usize) -> String {
    let input = "x".repeat(INPUT_BYTES);
    (0..TURNS)
        .fold(None::<String>, |previous, turn| {
            let name = format!("program-{number}-{turn}");
            Some(cluster.turn(GATEWAY, &name, previous.as_deref(), &input))
        })
        .expect("a program has turns")
}

/// Sends turns that continue `previous`, or first ones, one after another until it is over.
pub fn send_turns(
    gateway: SocketAddr,
    name: &str,
    previous: Option<&str>,
    input: &str,
    is_over: &AtomicBool,
) -> Tally {
    let (mut tally, mut refused) = (Tally::default(), 0);
    for number in 0.. {
        if is_over.load(Ordering::SeqCst) {
            break;
        }
        let id = format!("{name}-{number}");
        let request = turn_request(&id, &id, previous, input);
        let sent_at = Instant::now();
        let response = try_exchange(gateway, &request).unwrap_or_default();
        tally.slowest = tally.slowest.max(sent_at.elapsed());
        tally.tried += 1;
        if response.status == 200 && response.is_complete {
            tally.served += 1;
            refused = 0;
        } else {
            refused += 1;
            tally.most_refused = tally.most_refused.max(refused);
            thread::sleep(RETRY_INTERVAL);
        }
    }
    tally
}

/// Returns the tally of several callers.
pub fn sum(tallies: impl Iterator<Item = Tally>) -> Tally {
    tallies.fold(Tally::default(), |sum, tally| Tally {
        tried: sum.tried + tally.tried,
        served: sum.served + tally.served,
        most_refused: sum.most_refused.max(tally.most_refused),
        slowest: sum.slowest.max(tally.slowest),
    })
}

/// Returns how often ledger machines closed a connection whose answers were not taken.
fn closed_connections(cluster: &Cluster) -> usize {
    let logs = STORE_IPS.iter().map(|ip| cluster.folder.path().join(format!("{ip}.log")));
    let logs = logs.map(|log| fs::read_to_string(log).expect("the log of a ledger machine"));
    logs.map(|log| log.matches("\"AnswersNotTaken\"").count()).sum()
}

#[test]
fn turns_with_long_histories_are_served_as_first_ones_are() {
    let ledger = Ledger::start();
    let cluster = &ledger.cluster;
    let models = ["hall", "attic"].map(start_model);
    models.iter().for_each(|model| cluster.platform_list.put(model, "models", "ready"));
    let _gateway = cluster.start(GATEWAY, true);
    wait_until("the gateway is ready", || cluster.is_ready(GATEWAY));
    let programs: Vec<String> = thread::scope(|scope| {
        let programs =
            (0..PROGRAMS).map(|number| scope.spawn(move || run_program(cluster, number)));
        let programs: Vec<_> = programs.collect();
        programs.into_iter().map(|program| program.join().expect("a program")).collect()
    });
    let gateway = cluster.http(GATEWAY);
    let is_over = AtomicBool::new(false);
    let (continued, first) = thread::scope(|scope| {
        let is_over = &is_over;
        let send = |name: String, previous: Option<String>| {
            scope.spawn(move || send_turns(gateway, &name, previous.as_deref(), INPUT, is_over))
        };
        let continuing = programs.iter().enumerate();
        let continuing: Vec<_> = continuing
            .map(|(number, turn)| send(format!("again-{number}"), Some(turn.clone())))
            .collect();
        let beginning: Vec<_> =
            (0..FIRST_CALLERS).map(|number| send(format!("first-{number}"), None)).collect();
        thread::sleep(DURATION);
        is_over.store(true, Ordering::SeqCst);
        [continuing, beginning]
            .map(|callers| sum(callers.into_iter().map(|caller| caller.join().expect("a caller"))))
            .into()
    });
    let closed = closed_connections(cluster);
    let peak = ledger.machines.iter().map(Process::peak_memory).max().unwrap_or_default();
    println!(
        "continued: {continued:?}, first: {first:?}, {closed} connections closed by the ledger, \
         at most {} MiB in a ledger machine",
        peak >> 20
    );
    assert_eq!(closed, 0, "connections whose answers were not taken");
    assert!(first.served > 0, "no first turn was served");
    assert!(continued.share() >= SERVED_SHARE * first.share(), "{continued:?}, first: {first:?}");
    let is_serving = first.share() >= SERVED_SHARE;
    assert!(!is_serving || continued.most_refused <= MAX_REFUSALS, "{continued:?}");
}

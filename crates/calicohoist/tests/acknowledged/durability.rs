//! Acknowledged changes, each followed at once by a fault of the machine that acknowledged it.

use std::collections::BTreeSet;
use std::fs;
use std::thread;
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::seq::IndexedRandom as _;
use rand::{RngExt as _, SeedableRng as _};
use rustix::process::Signal;

use crate::cluster::{GATEWAY_IPS, Process, number_from_environment};
use crate::support::{ScriptedReplica, client, configuration, wait_until};
use crate::{Ledger, STORE_IPS, version_of};

/// Seed of the first deployment; overridden by `ACKNOWLEDGED_SEED`.
const FIRST_SEED: u64 = 1;
/// Number of deployments; overridden by `ACKNOWLEDGED_DEPLOYMENTS`.
const DEPLOYMENTS: u64 = 1;
/// Time after which a machine with an empty disk has replaced its predecessor.
const REPLACEMENT_PERIOD: Duration = Duration::from_secs(5);
/// Time for which every machine is asked for the configuration after a fault.
const READ_BACK_PERIOD: Duration = Duration::from_millis(700);

#[derive(Clone, Copy, Debug)]
enum Change {
    Configuration,
    Drain,
    Restore,
    Turn,
}

const CHANGES: [Change; 4] = [Change::Configuration, Change::Drain, Change::Restore, Change::Turn];

#[derive(Clone, Copy, Debug)]
enum Fault {
    Kill,
    KillAll,
    Stop,
    StopAll,
    Pause,
    KillAndLoseDisk,
    KillAllAndLoseDisk,
    StopInSeriesWithKill,
}

const FAULTS: [Fault; 8] = [
    Fault::Kill,
    Fault::KillAll,
    Fault::Stop,
    Fault::StopAll,
    Fault::Pause,
    Fault::KillAndLoseDisk,
    Fault::KillAllAndLoseDisk,
    Fault::StopInSeriesWithKill,
];

/// A deployment, with what was acknowledged to its callers.
struct Deployment {
    ledger: Ledger,
    _gateway: Process,
    models: [ScriptedReplica; 2],
    version: u64,
    drained: BTreeSet<&'static str>,
    turn: Option<String>,
    turns: usize,
    /// Input that the next turn must contain.
    history: String,
}

impl Deployment {
    fn start() -> Self {
        let ledger = Ledger::start();
        let models = ["hall", "attic"].map(|zone| {
            let model = start_model(zone);
            ledger.cluster.platform_list.put_in_zone(zone, &model, "models", "ready");
            model
        });
        let gateway = ledger.cluster.start(GATEWAY_IPS[0], true);
        wait_until("the gateway is ready", || ledger.cluster.is_ready(GATEWAY_IPS[0]));
        Self {
            ledger,
            _gateway: gateway,
            models,
            version: 1,
            drained: BTreeSet::new(),
            turn: None,
            turns: 0,
            history: String::new(),
        }
    }

    /// Makes a change; returns the machine that acknowledged it.
    fn change(&mut self, change: Change) -> &'static str {
        match change {
            Change::Configuration => {
                let body = configuration(self.version + 1).to_string();
                let machine = self.ledger.operate("PUT", "/-/config", &body).1;
                self.version += 1;
                machine
            }
            Change::Drain => {
                let machine = self.ledger.operate("POST", "/-/evacuations/hall", "").1;
                self.drained.insert("hall");
                machine
            }
            Change::Restore => {
                let machine = self.ledger.operate("DELETE", "/-/evacuations/hall", "").1;
                self.drained.remove("hall");
                machine
            }
            Change::Turn => {
                let machine = self.ledger.cluster.leader();
                self.run_turn();
                machine
            }
        }
    }

    /// Runs the next turn of the program, and asserts that it contains all turns before it.
    fn run_turn(&mut self) {
        self.turns += 1;
        let name = format!("turn-{}", self.turns);
        let input = format!("input {} ", self.turns);
        let cluster = &self.ledger.cluster;
        let id = cluster.turn(GATEWAY_IPS[0], &name, self.turn.as_deref(), &input);
        let mut requests = self.models.iter().flat_map(ScriptedReplica::requests);
        let body = requests.find(|request| request.id() == id).expect("the turn ran").body;
        self.history.push_str(&input);
        assert_eq!(String::from_utf8_lossy(&body), self.history, "history of {id}");
        self.history.push_str(&format!("{id}\n"));
        self.turn = Some(id);
    }

    fn cause(&mut self, fault: Fault, machine: &'static str, random: &mut StdRng) {
        match fault {
            Fault::Kill => {
                self.ledger.machine(machine).kill();
                thread::sleep(Duration::from_millis(random.random_range(0..800)));
                self.ledger.restart(machine);
            }
            Fault::KillAll => self.restart_all(Process::kill),
            Fault::Stop => {
                self.ledger.machine(machine).terminate();
                self.ledger.restart(machine);
            }
            Fault::StopAll => self.restart_all(|process| {
                assert!(process.terminate(), "a graceful stop");
            }),
            Fault::Pause => self.pause(machine, random),
            Fault::KillAndLoseDisk => {
                self.ledger.machine(machine).kill();
                self.restart_without_disk(machine);
            }
            Fault::KillAllAndLoseDisk => {
                self.ledger.machines.iter_mut().for_each(Process::kill);
                let others = STORE_IPS.into_iter().filter(|ip| *ip != machine);
                others.for_each(|ip| self.ledger.restart(ip));
                self.restart_without_disk(machine);
            }
            Fault::StopInSeriesWithKill => self.stop_in_series_with_kill(machine, random),
        }
    }

    fn restart_all(&mut self, end: impl Fn(&mut Process)) {
        for process in &self.ledger.machines {
            process.signal(Signal::CONT);
        }
        self.ledger.machines.iter_mut().for_each(end);
        STORE_IPS.into_iter().for_each(|ip| self.ledger.restart(ip));
    }

    fn restart_without_disk(&mut self, machine: &'static str) {
        let folder = self.ledger.cluster.data_folder(machine);
        fs::remove_dir_all(folder).expect("the data folder is removed");
        self.ledger.restart(machine);
        thread::sleep(REPLACEMENT_PERIOD);
    }

    /// Pauses a machine; a configuration acknowledged by another one meanwhile must be visible on
    /// it at once.
    fn pause(&mut self, machine: &'static str, random: &mut StdRng) {
        self.ledger.signal(machine, Signal::STOP);
        let resumes_at = Instant::now() + Duration::from_millis(random.random_range(1_000..3_000));
        let mut waiting = Vec::new();
        while Instant::now() < resumes_at {
            waiting.push(self.ledger.send(machine, "GET", "/-/config", ""));
            thread::sleep(Duration::from_millis(100));
        }
        let body = configuration(self.version + 1).to_string();
        let others = STORE_IPS.into_iter().filter(|ip| *ip != machine);
        let statuses = others.map(|ip| {
            client::control(self.ledger.cluster.control(ip), "PUT", "/-/config", &body).status
        });
        if statuses.collect::<Vec<_>>().contains(&200) {
            self.version += 1;
        }
        let late = self.ledger.send(machine, "GET", "/-/config", "");
        self.ledger.signal(machine, Signal::CONT);
        let response = crate::read_response(late);
        if response.status == 200 {
            assert!(version_of(&response) >= self.version, "an older state was read");
        }
        for stream in waiting {
            crate::assert_answered(&crate::read_response(stream), "GET after a pause");
        }
    }

    fn stop_in_series_with_kill(&mut self, machine: &'static str, random: &mut StdRng) {
        let first = STORE_IPS.iter().position(|ip| *ip == machine).unwrap_or_default();
        for offset in 0..STORE_IPS.len() {
            let stopped = STORE_IPS[(first + offset) % STORE_IPS.len()];
            let killed = STORE_IPS[(first + offset + 1) % STORE_IPS.len()];
            self.ledger.signal(stopped, Signal::TERM);
            thread::sleep(Duration::from_millis(random.random_range(0..500)));
            self.ledger.machine(killed).kill();
            self.ledger.wait_until_stopped(stopped);
            self.ledger.restart(stopped);
            self.ledger.restart(killed);
            self.ledger.active_version();
            let is_listening = |ip| self.ledger.is_listening(ip);
            wait_until("the machines run", || [stopped, killed].into_iter().all(is_listening));
        }
    }

    /// Asserts that no machine has lost or shows less than what was acknowledged.
    fn read_back(&mut self) {
        let ends_at = Instant::now() + READ_BACK_PERIOD;
        assert!(self.ledger.active_version() >= self.version, "an older configuration was read");
        while Instant::now() < ends_at {
            for ip in STORE_IPS {
                self.read_from(ip);
            }
        }
        wait_until("all machines have the drained zones", || {
            STORE_IPS.iter().all(|ip| self.drained_zones(ip) == self.drained)
        });
        self.run_turn();
    }

    fn read_from(&self, ip: &'static str) {
        let stream = std::net::TcpStream::connect(self.ledger.cluster.control(ip));
        let Ok(mut stream) = stream else {
            return;
        };
        let call = crate::request("GET", "/-/config", "");
        std::io::Write::write_all(&mut stream, call.as_bytes()).expect("send the request");
        let response = crate::read_response(stream);
        crate::assert_answered(&response, "GET");
        if response.status == 200 {
            assert!(version_of(&response) >= self.version, "{ip} shows an older configuration");
        }
    }

    /// Returns the drained zones that a machine has applied since it started, from its log.
    fn drained_zones(&self, ip: &str) -> BTreeSet<&'static str> {
        let file = self.ledger.cluster.folder.path().join(format!("{ip}.log"));
        let log = fs::read_to_string(file).expect("the log of a machine");
        let since_start = log.rfind("\"LogOpened\"").map_or("", |start| &log[start..]);
        let last = since_start.lines().rfind(|line| line.contains("\"ZonesDrained\""));
        let is_drained = last.is_some_and(|line| line.contains("hall"));
        is_drained.then_some("hall").into_iter().collect()
    }
}

/// Starts a replica that answers each request with its identifier.
pub fn start_model(name: &str) -> ScriptedReplica {
    ScriptedReplica::start(name, |exchange| {
        let id = exchange.request.id().to_owned();
        exchange.start_stream();
        exchange.send_event(1, &id);
        exchange.end_stream();
    })
}

#[test]
fn acknowledged_changes_survive_faults_of_the_machine_that_acknowledged_them() {
    let first = number_from_environment("ACKNOWLEDGED_SEED", FIRST_SEED);
    let deployments = number_from_environment("ACKNOWLEDGED_DEPLOYMENTS", DEPLOYMENTS);
    for seed in first..first + deployments {
        let mut random = StdRng::seed_from_u64(seed);
        let mut deployment = Deployment::start();
        for fault in FAULTS {
            let change = *CHANGES.choose(&mut random).expect("a change");
            let machine = deployment.change(change);
            println!("seed {seed}: {change:?} acknowledged by {machine}, then {fault:?}");
            deployment.cause(fault, machine, &mut random);
            deployment.read_back();
        }
    }
}

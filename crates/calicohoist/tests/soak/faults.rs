//! What happens to processes and connections: series of faults that overlap.

use std::collections::BTreeMap;
use std::fs;
use std::io::Write as _;
use std::net::{Ipv4Addr, SocketAddr};
use std::os::unix::process::ExitStatusExt as _;
use std::path::{Path, PathBuf};
use std::thread;
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use rustix::process::Signal;
use serde_json::json;
use signal_hook::consts::{SIGHUP, SIGTERM};

use crate::machines::forwarder::Forwarder;
use crate::machines::{BOUND, Machines, Process, STORES, THIS_BUILD};
use crate::support::ScriptedReplica;
use crate::{model, tool};

/// A lost disk is repaired within this time when nothing else happens to the stores.
const REPAIR: Duration = Duration::from_secs(8);
/// How often a process that is to end is looked at.
const LOOK_AGAIN: Duration = Duration::from_millis(20);
/// The replicas, each with its service and its zone.
pub const REPLICAS: [(&str, &str, &str); 4] = [
    ("m-1", "models", ZONES[0]),
    ("m-2", "models", ZONES[1]),
    ("t-1", "tools", ZONES[0]),
    ("t-2", "tools", ZONES[1]),
];
/// Zones of replicas.
pub const ZONES: [&str; 2] = ["hall", "annex"];
/// Share of the series after which a replica starts again under its identity.
const RESTART_SHARE: f64 = 0.3;
/// Sets the draws of these starts apart from those of all other faults, which a seed fixes.
const STARTS_SEED: u64 = 47;
/// Sets the draws of builds apart from all others, too.
const UPGRADES_SEED: u64 = 51;
/// Share of the starts of a process at which it is of this build; else it is of the older one, also
/// where this one ran before.
const UPGRADE_SHARE: f64 = 0.6;
/// When replicas started first, in ms of Unix time.
const FIRST_START_MS: u64 = 1_790_000_000_000;
/// Time between two machines that are replaced as planned.
const UPGRADE_PAUSE: Duration = Duration::from_millis(1_500);
/// Most faults in one series.
const LONGEST_SERIES: usize = 4;

/// A machine with its process, if that runs.
struct Place {
    ip: &'static str,
    bound: &'static str,
    /// The binary of its process, or of the one that runs next.
    binary: PathBuf,
    process: Option<Process>,
    /// Length of its log when the process was started.
    log_bytes: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Target {
    Store(usize),
    Front(usize),
}

/// What ends a fault later on.
#[derive(Clone, Copy, Debug)]
enum Ending {
    Start(Target),
    Continue(Target),
    /// The process of this number was told to stop; another one follows it.
    Stop(Target, u32),
    Calm(usize),
}

pub struct Soak {
    pub machines: Machines,
    pub replicas: Vec<ScriptedReplica>,
    /// How often each fault has begun.
    pub faults: BTreeMap<&'static str, u32>,
    pub violations: Vec<String>,
    stores: Vec<Place>,
    fronts: Vec<Place>,
    /// Two for each store machine: from its peers, and from gateways.
    into_stores: Vec<[Forwarder; 2]>,
    into_replicas: Vec<Forwarder>,
    random: StdRng,
    starts: StdRng,
    /// Binary of the build that runs at first, when machines are upgraded meanwhile.
    older: Option<PathBuf>,
    upgrades: StdRng,
    /// When the replica that started last did so, in ms of Unix time.
    newest_start_ms: u64,
    endings: Vec<(Instant, Ending)>,
    /// When the last fault of a store machine ends.
    stores_disturbed: Instant,
    may_disturb_stores_from: Instant,
}

/// Address of a gateway machine.
fn front_ip(number: usize) -> &'static str {
    let last = u8::try_from(21 + number).expect("as many as there are addresses");
    Ipv4Addr::new(127, 0, 0, last).to_string().leak()
}

impl Soak {
    /// Starts all machines, with the binary of an older build if there is one.
    pub fn start(seed: u64, fronts: usize, older: Option<PathBuf>) -> Self {
        let machines = Machines::new();
        let first = older.clone().unwrap_or_else(|| THIS_BUILD.into());
        let internal = machines.ports.internal;
        let at = |ip: &str, port: u16| SocketAddr::new(ip.parse().expect("an address"), port);
        let into_stores = STORES.iter().zip(BOUND).map(|(ip, bound)| {
            [internal, internal + 1].map(|port| Forwarder::start(at(ip, port), at(bound, port)))
        });
        let into_stores = into_stores.collect();
        let mut into_replicas = Vec::new();
        let mut replicas = Vec::new();
        for (name, service, zone) in REPLICAS {
            let mut replica = if service == "models" { model(name) } else { tool(name) };
            let forwarder = Forwarder::start(at("127.0.0.1", 0), replica.address);
            replica.address = forwarder.address;
            machines.list.put_in_zone(zone, &replica, service, "ready");
            machines.list.set_field(&replica, "born", json!(FIRST_START_MS));
            into_replicas.push(forwarder);
            replicas.push(replica);
        }
        // Another writer's entry, which names no replica. An older build may read no list that has one.
        if older.is_none() {
            let entry = json!({ "id": 7, "service": "models", "slots": "4" });
            machines.list.instances.lock().push(entry);
        }
        let place = |ip, bound| Place {
            ip,
            bound,
            binary: first.clone(),
            process: Some(machines.start_build(&first, ip, bound, true)),
            log_bytes: 0,
        };
        let stores = STORES.into_iter().zip(BOUND).map(|(ip, bound)| place(ip, bound)).collect();
        let fronts = (0..fronts).map(front_ip).map(|ip| place(ip, ip)).collect();
        Self {
            machines,
            replicas,
            faults: BTreeMap::new(),
            violations: Vec::new(),
            stores,
            fronts,
            into_stores,
            into_replicas,
            random: StdRng::seed_from_u64(seed),
            starts: StdRng::seed_from_u64(seed ^ STARTS_SEED),
            older,
            upgrades: StdRng::seed_from_u64(seed ^ UPGRADES_SEED),
            newest_start_ms: FIRST_START_MS,
            endings: Vec::new(),
            stores_disturbed: Instant::now(),
            may_disturb_stores_from: Instant::now(),
        }
    }

    pub fn controls(&self) -> Vec<SocketAddr> {
        let control = |ip: &&str| {
            SocketAddr::new(ip.parse().expect("an address"), self.machines.ports.control)
        };
        BOUND.iter().map(control).collect()
    }

    pub fn fronts(&self) -> Vec<SocketAddr> {
        self.fronts.iter().map(|front| self.machines.http(front.ip)).collect()
    }

    pub fn millis(&mut self, from: u64, to: u64) -> Duration {
        Duration::from_millis(self.random.random_range(from..to))
    }

    /// Begins a series of faults, whatever is still under way of the last ones.
    pub fn disturb(&mut self) {
        for _ in 0..self.random.random_range(1..=LONGEST_SERIES) {
            let fault = self.begin_fault();
            *self.faults.entry(fault).or_default() += 1;
            let pause = self.millis(0, 120);
            self.run_for(pause);
        }
        if self.starts.random_bool(RESTART_SHARE) {
            self.restart_replica();
        }
    }

    /// A replica loses its connections, and is listed with a later start.
    fn restart_replica(&mut self) {
        *self.faults.entry("replica started again").or_default() += 1;
        let index = self.starts.random_range(0..self.replicas.len());
        self.newest_start_ms += 1;
        self.into_replicas[index].break_connections();
        let start = json!(self.newest_start_ms);
        self.machines.list.set_field(&self.replicas[index], "born", start);
    }

    /// Lets time pass, and ends the faults whose time has come.
    pub fn run_for(&mut self, span: Duration) {
        let until = Instant::now() + span;
        loop {
            self.end_due(Instant::now());
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return;
            }
            thread::sleep(left.min(LOOK_AGAIN));
        }
    }

    /// Ends every fault, and leaves all processes running.
    pub fn calm(&mut self) {
        self.into_stores.iter().flatten().for_each(Forwarder::calm);
        self.into_replicas.iter().for_each(Forwarder::calm);
        let endings: Vec<Ending> = self.endings.drain(..).map(|(_, ending)| ending).collect();
        let now = Instant::now();
        // Whoever is paused must go on before it can stop.
        let (paused, others): (Vec<_>, Vec<_>) =
            endings.into_iter().partition(|ending| matches!(ending, Ending::Continue(_)));
        paused.into_iter().for_each(|ending| self.end(ending, now));
        others.into_iter().for_each(|ending| self.end(ending, now));
        while !self.endings.is_empty() {
            self.run_for(LOOK_AGAIN);
        }
    }

    fn end_due(&mut self, now: Instant) {
        let due: Vec<_> = self.endings.extract_if(.., |(at, _)| *at <= now).collect();
        due.into_iter().for_each(|(_, ending)| self.end(ending, now));
    }

    fn end(&mut self, ending: Ending, now: Instant) {
        match ending {
            Ending::Start(target) => self.start_process(target),
            Ending::Continue(target) => self.signal(target, Signal::CONT),
            Ending::Calm(index) => self.into_stores[index].iter().for_each(Forwarder::calm),
            Ending::Stop(target, number) => self.follow_stopped(target, number, now),
        }
    }

    fn place(&mut self, target: Target) -> &mut Place {
        match target {
            Target::Store(index) => &mut self.stores[index],
            Target::Front(index) => &mut self.fronts[index],
        }
    }

    fn start_process(&mut self, target: Target) {
        let place = self.place(target);
        if place.process.is_some() {
            return;
        }
        let (ip, bound) = (place.ip, place.bound);
        let log_bytes = self.log_bytes(ip);
        let binary = self.draw_binary();
        let process = self.machines.start_build(&binary, ip, bound, false);
        let place = self.place(target);
        place.binary = binary;
        place.process = Some(process);
        place.log_bytes = log_bytes;
    }

    /// The build of the next process.
    fn draw_binary(&mut self) -> PathBuf {
        match &self.older {
            Some(older) if !self.upgrades.random_bool(UPGRADE_SHARE) => older.clone(),
            _ => THIS_BUILD.into(),
        }
    }

    /// Replaces the machines that still run the older build, one after the other.
    pub fn finish_upgrade(&mut self) {
        if self.older.take().is_none() {
            return;
        }
        let fronts = (0..self.fronts.len()).map(Target::Front);
        let targets: Vec<Target> = fronts.chain((0..STORES.len()).map(Target::Store)).collect();
        for target in targets {
            if self.place(target).binary != Path::new(THIS_BUILD) {
                *self.faults.entry("upgraded at the end").or_default() += 1;
                self.stop(target);
                self.run_for(UPGRADE_PAUSE);
            }
        }
    }

    fn log_bytes(&self, ip: &str) -> u64 {
        let log = self.machines.folder.path().join(format!("{ip}.log"));
        fs::metadata(log).map_or(0, |known| known.len())
    }

    fn signal(&mut self, target: Target, signal: Signal) {
        if let Some(process) = &self.place(target).process {
            process.signal(signal);
        }
    }

    fn kill(&mut self, target: Target) {
        self.place(target).process = None;
        let down = self.millis(0, 900);
        self.endings.push((Instant::now() + down, Ending::Start(target)));
    }

    /// Looks whether a process that was told to stop has ended, and starts the next one.
    fn follow_stopped(&mut self, target: Target, number: u32, now: Instant) {
        let process = self.place(target).process.as_mut();
        // One that was killed meanwhile, or seen to end, is followed by a process of its own.
        let Some(process) = process.filter(|process| process.child.id() == number) else {
            return;
        };
        let ip = process.ip;
        match process.child.try_wait() {
            Ok(None) => self.endings.push((now + LOOK_AGAIN, Ending::Stop(target, number))),
            Ok(Some(status)) => {
                let has_begun = self.log_bytes(ip) > self.place(target).log_bytes;
                self.place(target).process = None;
                self.start_process(target);
                // Nothing catches a signal in the first moment of a process: it has written no line
                // then, and taken nothing. Of two that wait for it, SIGHUP comes first.
                let came_too_early =
                    matches!(status.signal(), Some(SIGTERM | SIGHUP)) && !has_begun;
                if !status.success() && !came_too_early {
                    let violation = format!("{ip} ended a planned stop with {status}");
                    self.violations.push(violation);
                }
            }
            Err(error) => self.violations.push(format!("{ip} cannot be waited for: {error}")),
        }
    }

    fn pause(&mut self, target: Target, lasting: Duration) {
        self.signal(target, Signal::STOP);
        self.endings.push((Instant::now() + lasting, Ending::Continue(target)));
    }

    /// A planned stop, with signals that change nothing about it.
    fn stop(&mut self, target: Target) {
        let Some(number) = self.place(target).process.as_ref().map(|process| process.child.id())
        else {
            return;
        };
        self.signal(target, Signal::TERM);
        for signal in [Signal::HUP, Signal::TERM] {
            if self.random.random_bool(0.3) {
                self.signal(target, signal);
            }
        }
        self.endings.push((Instant::now() + LOOK_AGAIN, Ending::Stop(target, number)));
    }

    /// A write that was under way when the process died may have left zeros.
    fn tear_log(&mut self, index: usize) {
        let folder = self.machines.data_folder(STORES[index]);
        let Ok(files) = fs::read_dir(folder) else {
            return;
        };
        let names = files.flatten().map(|file| file.path());
        let is_log = |path: &std::path::PathBuf| {
            path.file_name().is_some_and(|name| name.to_string_lossy().starts_with("log-"))
        };
        if let Some(newest) = names.filter(is_log).max() {
            let zeros = vec![0; self.random.random_range(1..64)];
            let file = fs::File::options().append(true).open(newest);
            let _ = file.and_then(|mut file| file.write_all(&zeros));
        }
    }

    fn kill_stores(&mut self, indices: &[usize]) {
        for index in indices {
            let was_up = self.stores[*index].process.is_some();
            self.kill(Target::Store(*index));
            if was_up && self.random.random_bool(0.5) {
                self.tear_log(*index);
            }
        }
    }

    fn lose_disk(&mut self, index: usize) {
        self.kill(Target::Store(index));
        let folder = self.machines.data_folder(STORES[index]);
        fs::remove_dir_all(folder).expect("a lost disk");
        self.may_disturb_stores_from = Instant::now() + REPAIR;
    }

    /// Whether all stores run, and have for long enough to bear the loss of a disk.
    fn are_stores_repaired(&self) -> bool {
        let is_of_store = |ending: &Ending| {
            matches!(
                ending,
                Ending::Start(Target::Store(_))
                    | Ending::Continue(Target::Store(_))
                    | Ending::Stop(Target::Store(_), _)
                    | Ending::Calm(_)
            )
        };
        let is_pending = self.endings.iter().any(|(_, ending)| is_of_store(ending));
        let all_run = self.stores.iter().all(|store| store.process.is_some());
        all_run && !is_pending && self.stores_disturbed.elapsed() >= REPAIR
    }

    fn begin_fault(&mut self) -> &'static str {
        let is_store_fault = self.random.random_bool(0.5);
        if !is_store_fault || Instant::now() < self.may_disturb_stores_from {
            return self.disturb_others();
        }
        let index = self.random.random_range(0..STORES.len());
        if self.are_stores_repaired() && self.random.random_bool(0.3) {
            self.stores_disturbed = Instant::now();
            self.lose_disk(index);
            return "disk lost";
        }
        let lasting = self.millis(100, 2_000);
        self.stores_disturbed = Instant::now() + lasting;
        self.disturb_store(index, lasting)
    }

    fn disturb_store(&mut self, index: usize, lasting: Duration) -> &'static str {
        let target = Target::Store(index);
        match self.random.random_range(0..9) {
            0 => {
                self.kill_stores(&[index]);
                "store killed"
            }
            1 => {
                self.kill_stores(&[0, 1, 2]);
                "all stores killed"
            }
            2 => {
                self.pause(target, lasting);
                "store paused"
            }
            3 => {
                let (inward, outward) =
                    [(true, false), (false, true), (true, true)][self.random.random_range(0..3)];
                self.into_stores[index].iter().for_each(|forwarder| {
                    forwarder.silence(inward, outward, lasting);
                });
                "store silenced"
            }
            4 => {
                let delay = self.millis(1, 60);
                self.into_stores[index].iter().for_each(|forwarder| forwarder.delay(delay));
                self.endings.push((Instant::now() + lasting / 2, Ending::Calm(index)));
                "store delayed"
            }
            5 => {
                self.into_stores[index].iter().for_each(Forwarder::break_connections);
                "store connections broken"
            }
            6 if self.random.random_bool(0.4) => {
                // Long enough that the next thing that happens to them may be a lost disk.
                self.may_disturb_stores_from = Instant::now() + REPAIR + lasting;
                "stores left alone"
            }
            6 | 7 => {
                self.signal(target, Signal::HUP);
                "store hung up on"
            }
            _ => {
                self.stop(target);
                "store stopped"
            }
        }
    }

    fn disturb_others(&mut self) -> &'static str {
        let front = Target::Front(self.random.random_range(0..self.fronts.len()));
        let replica = self.random.random_range(0..self.replicas.len());
        match self.random.random_range(0..7) {
            0 => {
                self.kill(front);
                "front killed"
            }
            1 => {
                let lasting = self.millis(50, 1_000);
                self.pause(front, lasting);
                "front paused"
            }
            2 => {
                self.stop(front);
                "front stopped"
            }
            3 => {
                self.signal(front, Signal::HUP);
                "front hung up on"
            }
            4 => {
                let many = self.random.random_range(0..=self.fronts.len() / 4);
                for _ in 0..many {
                    let index = self.random.random_range(0..self.fronts.len());
                    self.kill(Target::Front(index));
                }
                "many fronts killed"
            }
            5 => {
                self.into_replicas[replica].break_connections();
                "replica connections broken"
            }
            _ => {
                let lasting = self.millis(100, 1_500);
                self.into_replicas[replica].silence(true, true, lasting);
                "replica silenced"
            }
        }
    }
}

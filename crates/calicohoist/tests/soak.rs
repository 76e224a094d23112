//! A randomized soak of the real processes on loopback.
//!
//! Callers run programs and an operator changes the configuration, while processes are
//! killed, paused, stopped and restarted, disks are lost, and forwarders delay, break and
//! silence connections. At the end everything is calmed down and judged from what
//! callers, replicas and the operator have seen.
//!
//! `CALICOHOIST_SOAK_SEEDS=FROM..TO` and `CALICOHOIST_SOAK_SECONDS=N` choose what is
//! played (see `scripts/soak.sh`); without them the regression seeds are played briefly.
//! A seed fixes the order of the faults, not what the processes make of them.

#[path = "../../../platform/tests/support/mod.rs"]
mod support;

mod machines;

use std::collections::{BTreeMap, BTreeSet};
use std::fs;
use std::io::{BufReader, Write as _};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use machines::forwarder::Forwarder;
use machines::{BOUND, FRONTS, Machines, Process, STORES};
use parking_lot::Mutex;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use rustix::process::Signal;
use support::{Reply, ScriptedReplica, client, configuration, request_head, wait_until};

/// Seeds that failed once, or are played in every run of the tests.
///
/// - 1: none has failed yet; a sample.
const REGRESSION_SEEDS: [u64; 1] = [1];
const DEFAULT_SECONDS: u64 = 8;

const FIRST_VERSION: u64 = 5;
/// Large enough that retained turns are moved to disk while a seed is played.
const INPUT_BYTES: usize = 1_500;
const CALLERS: usize = 6;
const TURNS: usize = 6;
const TRIES: usize = 3;
const EVENTS: u64 = 3;
const TOKENS_PER_EVENT: u64 = 9;
const MOST_TOKENS: u64 = EVENTS * TOKENS_PER_EVENT;
/// Four turns fit.
const BUDGET: u64 = 4 * MOST_TOKENS;
/// A lost disk is repaired within this time when nothing else happens to the stores.
const REPAIR: Duration = Duration::from_secs(8);
const CALLER_PATIENCE: Duration = Duration::from_secs(6);

/// What callers and operators have seen.
#[derive(Default)]
struct Records {
    /// Every turn that was asked for: what it continues from, and its input.
    asked: BTreeMap<String, (Option<String>, String)>,
    /// Turns whose answer ended whole, with all that was said up to their end.
    whole: BTreeMap<String, String>,
    /// Requests that were refused as not run.
    refused: BTreeSet<String>,
    /// Requests that may run once.
    once: BTreeSet<String>,
    /// Tokens handed out, by program.
    tokens: BTreeMap<String, u64>,
    served: u64,
    violations: Vec<String>,
}

type Shared = Arc<Mutex<Records>>;

/// What a replica does with a request follows from its identity.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Behaviour {
    Answers,
    Refuses,
    BreaksOff,
}

fn behaviour(id: &str) -> Behaviour {
    let sum = id.bytes().fold(7u32, |sum, byte| sum.wrapping_mul(31).wrapping_add(byte.into()));
    match sum % 60 {
        0 | 1 => Behaviour::Refuses,
        2 => Behaviour::BreaksOff,
        _ => Behaviour::Answers,
    }
}

fn output(id: &str) -> String {
    (1..=EVENTS).map(|number| format!("{id}/{number}\n")).collect()
}

fn refuse(exchange: &mut support::replica::Exchange<'_>) {
    exchange.answer("503 Full", "Calicohoist-Not-Executed: full\r\n", "");
}

fn model(name: &str) -> ScriptedReplica {
    ScriptedReplica::start(name, |exchange| {
        let id = exchange.seen.id().to_owned();
        let behaviour = behaviour(&id);
        if behaviour == Behaviour::Refuses {
            return refuse(exchange);
        }
        exchange.begin_stream();
        for number in 1..=EVENTS {
            if behaviour == Behaviour::BreaksOff && number == 2 {
                return exchange.break_off();
            }
            thread::sleep(Duration::from_millis(4));
            exchange.event(number, &format!("{id}/{number}"));
        }
        exchange.end_stream();
    })
}

fn tool(name: &str) -> ScriptedReplica {
    ScriptedReplica::start(name, |exchange| {
        let id = exchange.seen.id().to_owned();
        match behaviour(&id) {
            Behaviour::Refuses => refuse(exchange),
            Behaviour::BreaksOff => exchange.break_off(),
            Behaviour::Answers => exchange.answer("200 OK", "", &id),
        }
    })
}

/// One request; `None` when there was no connection or no head.
fn try_exchange(address: SocketAddr, request: &[u8]) -> Option<Reply> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
    stream.set_read_timeout(Some(CALLER_PATIENCE)).ok()?;
    stream.write_all(request).ok()?;
    let reply = client::read_reply(&mut BufReader::new(stream));
    (reply.status != 0).then_some(reply)
}

struct Caller {
    number: usize,
    fronts: Vec<SocketAddr>,
    random: StdRng,
    records: Shared,
    is_over: Arc<AtomicBool>,
}

impl Caller {
    fn run(mut self) {
        let mut program = 0;
        while !self.is_over.load(Ordering::Relaxed) {
            program += 1;
            let name = format!("p{}-{program}", self.number);
            self.program(&name);
        }
    }

    fn front(&mut self) -> SocketAddr {
        self.fronts[self.random.random_range(0..self.fronts.len())]
    }

    fn program(&mut self, program: &str) {
        let mut previous: Option<String> = None;
        for turn in 0..TURNS {
            let Some(id) = self.turn(program, turn, previous.as_deref()) else {
                return;
            };
            previous = Some(id);
            self.call(program, turn, "/safe/x");
            self.call(program, turn, "/unsafe/x");
        }
    }

    /// The identity of the turn when it ended whole.
    fn turn(&mut self, program: &str, turn: usize, previous: Option<&str>) -> Option<String> {
        for attempt in 0..TRIES {
            let id = format!("{program}-t{turn}-{attempt}");
            let input = format!("<{id}>{}", ".".repeat(INPUT_BYTES));
            let mut more = vec![
                format!("Calicohoist-Program-Id: {program}"),
                format!("Calicohoist-Token-Budget: {BUDGET}"),
                format!("Calicohoist-Token-Usage: 10,{MOST_TOKENS}"),
            ];
            more.extend(previous.map(|previous| format!("Calicohoist-Previous-Turn: {previous}")));
            let more: Vec<&str> = more.iter().map(String::as_str).collect();
            let head = request_head("POST", "/retained/a", &id, input.len(), &more);
            {
                let mut records = self.records.lock();
                let asked = (previous.map(str::to_owned), input.clone());
                records.asked.insert(id.clone(), asked);
                records.once.insert(id.clone());
            }
            let reply = try_exchange(self.front(), format!("{head}{input}").as_bytes());
            let reply = reply.unwrap_or_default();
            if self.take_turn(program, &id, previous, &input, &reply) {
                return Some(id);
            }
            if reply.status == 402 {
                return None;
            }
            thread::sleep(Duration::from_millis(30));
        }
        None
    }

    fn take_turn(
        &self,
        program: &str,
        id: &str,
        previous: Option<&str>,
        input: &str,
        reply: &Reply,
    ) -> bool {
        let text = reply.text();
        let events = text.matches("data: ").count() as u64;
        let mut records = self.records.lock();
        *records.tokens.entry(program.to_owned()).or_default() += events * TOKENS_PER_EVENT;
        let is_own = text.lines().all(|line| !line.starts_with("data: ") || line.contains(id));
        if reply.status == 200 && !is_own {
            records.violations.push(format!("{id} got another answer: {text}"));
        }
        match reply.status {
            200 if reply.is_complete => {
                if events != EVENTS {
                    records.violations.push(format!("{id} ended whole after {events} events"));
                }
                let before = previous.map(|known| records.whole[known].clone());
                let said = format!("{}{input}{}", before.unwrap_or_default(), output(id));
                records.whole.insert(id.to_owned(), said);
                records.served += 1;
                true
            }
            404 => {
                records.violations.push(format!("{id}: 404, though {previous:?} ended whole"));
                false
            }
            402 | 408 | 429 | 503 => {
                records.refused.insert(id.to_owned());
                false
            }
            _ => false,
        }
    }

    fn call(&mut self, program: &str, turn: usize, path: &str) {
        let id = format!("{program}-c{turn}{}", path.replace('/', "-"));
        if path.starts_with("/unsafe") {
            self.records.lock().once.insert(id.clone());
        }
        let head = request_head("GET", path, &id, 0, &["Calicohoist-Deadline-Ms: 2000"]);
        let Some(reply) = try_exchange(self.front(), head.as_bytes()) else {
            return;
        };
        let mut records = self.records.lock();
        match reply.status {
            200 if reply.is_complete && reply.text() != id => {
                let text = reply.text();
                records.violations.push(format!("{id} got another answer: {text}"));
            }
            200 => records.served += 1,
            408 | 429 | 503 => {
                records.refused.insert(id);
            }
            _ => {}
        }
    }
}

/// Raises the version again and again, and reads it back.
fn operate(
    controls: Vec<SocketAddr>,
    mut random: StdRng,
    records: &Shared,
    acknowledged: &AtomicU64,
    is_over: &AtomicBool,
) {
    let mut version = FIRST_VERSION;
    while !is_over.load(Ordering::Relaxed) {
        version += random.random_range(1..4);
        let control = controls[random.random_range(0..controls.len())];
        if put_version(control, version) {
            acknowledged.fetch_max(version, Ordering::SeqCst);
        }
        let known = acknowledged.load(Ordering::SeqCst);
        let control = controls[random.random_range(0..controls.len())];
        if let Some(read) = read_version(control)
            && read < known
        {
            let violation = format!("version {read} was read after {known} was acknowledged");
            records.lock().violations.push(violation);
        }
        thread::sleep(Duration::from_millis(200));
    }
}

/// Whether a version was acknowledged.
fn put_version(control: SocketAddr, version: u64) -> bool {
    let body = configuration(version).to_string();
    let length = body.len();
    let put = format!(
        "PUT /-/config HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\
         Content-Length: {length}\r\n\r\n{body}"
    );
    try_exchange(control, put.as_bytes()).is_some_and(|reply| reply.status == 200)
}

fn read_version(control: SocketAddr) -> Option<u64> {
    let get =
        b"GET /-/config HTTP/1.1\r\nHost: x\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";
    let reply = try_exchange(control, get).filter(|reply| reply.status == 200)?;
    let document: serde_json::Value = serde_json::from_slice(&reply.body).ok()?;
    document["version"].as_u64()
}

struct Soak {
    machines: Machines,
    stores: Vec<Process>,
    fronts: Vec<Process>,
    /// Two for each store machine: from its peers, and from gateways.
    into_stores: Vec<[Forwarder; 2]>,
    into_replicas: Vec<Forwarder>,
    replicas: Vec<ScriptedReplica>,
    random: StdRng,
    /// When something last happened to a store machine.
    stores_disturbed: Instant,
    may_disturb_stores_from: Instant,
    faults: BTreeMap<&'static str, u32>,
}

impl Soak {
    fn start(seed: u64) -> Self {
        let machines = Machines::new();
        let internal = machines.ports.internal;
        let at = |ip: &str, port: u16| SocketAddr::new(ip.parse().expect("an address"), port);
        let into_stores = STORES.iter().zip(BOUND).map(|(ip, bound)| {
            [internal, internal + 1].map(|port| Forwarder::start(at(ip, port), at(bound, port)))
        });
        let into_stores = into_stores.collect();
        let mut into_replicas = Vec::new();
        let mut replicas = Vec::new();
        let kinds = [("m-1", "models"), ("m-2", "models"), ("t-1", "tools"), ("t-2", "tools")];
        for (name, service) in kinds {
            let mut replica = if service == "models" { model(name) } else { tool(name) };
            let forwarder = Forwarder::start(at("127.0.0.1", 0), replica.address);
            replica.address = forwarder.address;
            machines.list.show(&replica, service, "ready");
            into_replicas.push(forwarder);
            replicas.push(replica);
        }
        let pairs = STORES.iter().zip(BOUND);
        let stores = pairs.map(|(ip, bound)| machines.start_bound(ip, bound, true)).collect();
        let fronts = FRONTS.iter().map(|ip| machines.start(ip, true)).collect();
        Self {
            machines,
            stores,
            fronts,
            into_stores,
            into_replicas,
            replicas,
            random: StdRng::seed_from_u64(seed),
            stores_disturbed: Instant::now(),
            may_disturb_stores_from: Instant::now(),
            faults: BTreeMap::new(),
        }
    }

    fn controls(&self) -> Vec<SocketAddr> {
        let control = |ip: &&str| {
            SocketAddr::new(ip.parse().expect("an address"), self.machines.ports.control)
        };
        BOUND.iter().map(control).collect()
    }

    fn fronts(&self) -> Vec<SocketAddr> {
        FRONTS.iter().map(|ip| self.machines.http(ip)).collect()
    }

    fn millis(&mut self, from: u64, to: u64) -> Duration {
        Duration::from_millis(self.random.random_range(from..to))
    }

    fn restart_store(&mut self, index: usize) {
        self.stores[index] = self.machines.start_bound(STORES[index], BOUND[index], false);
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
            self.stores[*index].kill();
            if self.random.random_bool(0.5) {
                self.tear_log(*index);
            }
        }
        thread::sleep(self.millis(0, 900));
        for index in indices {
            self.restart_store(*index);
        }
    }

    fn lose_disk(&mut self, index: usize) {
        self.stores[index].kill();
        let folder = self.machines.data_folder(STORES[index]);
        fs::remove_dir_all(folder).expect("a lost disk");
        thread::sleep(self.millis(0, 900));
        self.restart_store(index);
        self.may_disturb_stores_from = Instant::now() + REPAIR;
    }

    fn disturb(&mut self) {
        let index = self.random.random_range(0..STORES.len());
        let front = self.random.random_range(0..FRONTS.len());
        let replica = self.random.random_range(0..self.replicas.len());
        let is_store_fault = self.random.random_bool(0.6);
        let fault = if is_store_fault && Instant::now() >= self.may_disturb_stores_from {
            let is_repaired = self.stores_disturbed.elapsed() >= REPAIR;
            self.stores_disturbed = Instant::now();
            self.disturb_store(index, is_repaired)
        } else {
            self.disturb_others(front, replica)
        };
        *self.faults.entry(fault).or_default() += 1;
    }

    fn disturb_store(&mut self, index: usize, is_repaired: bool) -> &'static str {
        if is_repaired {
            self.lose_disk(index);
            return "disk lost";
        }
        let lasting = self.millis(100, 2_000);
        match self.random.random_range(0..8) {
            0 => {
                self.kill_stores(&[index]);
                "store killed"
            }
            1 => {
                self.kill_stores(&[0, 1, 2]);
                "all stores killed"
            }
            2 => {
                self.stores[index].signal(Signal::STOP);
                thread::sleep(lasting);
                self.stores[index].signal(Signal::CONT);
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
                thread::sleep(lasting / 2);
                self.into_stores[index].iter().for_each(Forwarder::calm);
                "store delayed"
            }
            5 => {
                self.into_stores[index].iter().for_each(Forwarder::break_connections);
                "store connections broken"
            }
            6 => {
                // The next thing that happens to them is a lost disk.
                self.may_disturb_stores_from = Instant::now() + REPAIR;
                "stores left alone"
            }
            _ => {
                self.stores[index].terminate();
                self.restart_store(index);
                "store stopped"
            }
        }
    }

    fn disturb_others(&mut self, front: usize, replica: usize) -> &'static str {
        match self.random.random_range(0..5) {
            0 => {
                self.fronts[front].kill();
                self.fronts[front] = self.machines.start(FRONTS[front], false);
                "front killed"
            }
            1 => {
                self.fronts[front].signal(Signal::STOP);
                thread::sleep(self.millis(50, 1_000));
                self.fronts[front].signal(Signal::CONT);
                "front paused"
            }
            2 => {
                assert!(self.fronts[front].terminate(), "a planned stop ends with status 0");
                self.fronts[front] = self.machines.start(FRONTS[front], false);
                "front stopped"
            }
            3 => {
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

    fn calm(&mut self) {
        self.into_stores.iter().flatten().for_each(Forwarder::calm);
        self.into_replicas.iter().for_each(Forwarder::calm);
    }
}

/// What replicas have run, judged against what callers were told.
fn judge_runs(replicas: &[ScriptedReplica], records: &mut Records) {
    let mut runs: BTreeMap<String, u32> = BTreeMap::new();
    for seen in replicas.iter().flat_map(ScriptedReplica::requests) {
        let id = seen.id().to_owned();
        if behaviour(&id) == Behaviour::Refuses {
            continue;
        }
        *runs.entry(id.clone()).or_default() += 1;
        let Some((previous, input)) = records.asked.get(&id) else {
            continue;
        };
        let before = previous.as_ref().map(|known| records.whole[known].as_str());
        let expected = format!("{}{input}", before.unwrap_or_default());
        let body = String::from_utf8_lossy(&seen.body).into_owned();
        if body != expected {
            let (ran, wanted) = (body.len(), expected.len());
            let violation = format!("{id} ran with {ran} bytes that differ from its {wanted}");
            records.violations.push(violation);
        }
    }
    for (id, count) in runs {
        if count > 1 && records.once.contains(&id) {
            records.violations.push(format!("{id} ran {count} times"));
        }
        if records.refused.contains(&id) {
            records.violations.push(format!("{id} was refused as not run, and ran"));
        }
    }
    for (program, tokens) in &records.tokens {
        if *tokens > BUDGET + MOST_TOKENS {
            let violation = format!("{program} was handed {tokens} tokens of {BUDGET}");
            records.violations.push(violation);
        }
    }
}

fn play(seed: u64, lasting: Duration) {
    let mut soak = Soak::start(seed);
    let controls = soak.controls();
    wait_until("the configuration is accepted", || {
        controls.iter().any(|control| put_version(*control, FIRST_VERSION))
    });
    wait_until("the gateways are ready", || {
        soak.fronts().iter().all(|front| {
            let head = request_head("GET", "/safe/x", "first", 0, &[]);
            try_exchange(*front, head.as_bytes()).is_some_and(|reply| reply.status == 200)
        })
    });
    let records: Shared = Arc::default();
    let is_over = Arc::new(AtomicBool::new(false));
    let acknowledged = Arc::new(AtomicU64::new(FIRST_VERSION));
    let mut threads: Vec<JoinHandle<()>> = Vec::new();
    for number in 0..CALLERS {
        let caller = Caller {
            number,
            fronts: soak.fronts(),
            random: StdRng::seed_from_u64(seed << 8 | number as u64),
            records: Arc::clone(&records),
            is_over: Arc::clone(&is_over),
        };
        threads.push(thread::spawn(|| caller.run()));
    }
    {
        let (records, is_over) = (Arc::clone(&records), Arc::clone(&is_over));
        let (acknowledged, random) = (Arc::clone(&acknowledged), StdRng::seed_from_u64(seed ^ 99));
        let controls = controls.clone();
        threads.push(thread::spawn(move || {
            operate(controls, random, &records, &acknowledged, &is_over);
        }));
    }
    let began = Instant::now();
    while began.elapsed() < lasting {
        let pause = soak.millis(50, 700);
        thread::sleep(pause);
        soak.disturb();
    }
    soak.calm();
    is_over.store(true, Ordering::Relaxed);
    threads.into_iter().for_each(|thread| thread.join().expect("a caller goes on"));

    let known = acknowledged.load(Ordering::SeqCst);
    wait_until("the configuration is read back", || {
        controls.iter().any(|control| read_version(*control).is_some_and(|held| held >= known))
    });
    let samples: Vec<String> = {
        let records = records.lock();
        let step = (records.whole.len() / 20).max(1);
        records.whole.keys().step_by(step).cloned().collect()
    };
    let finisher = Caller {
        number: 99,
        fronts: soak.fronts(),
        random: StdRng::seed_from_u64(seed),
        records: Arc::clone(&records),
        is_over,
    };
    let finisher = Mutex::new(finisher);
    for (number, turn) in samples.iter().enumerate() {
        let count = AtomicU64::new(0);
        wait_until("every turn that ended whole can be continued", || {
            let program = format!("end{number}-{}", count.fetch_add(1, Ordering::Relaxed));
            finisher.lock().turn(&program, 0, Some(turn)).is_some()
        });
    }
    let mut records = records.lock();
    judge_runs(&soak.replicas, &mut records);
    println!(
        "seed {seed}: {} served, {} turns whole, version {known}, faults {:?}",
        records.served,
        records.whole.len(),
        soak.faults
    );
    if !records.violations.is_empty() {
        let kept = soak.machines.folder.path().with_extension("soak");
        let _ = fs::rename(soak.machines.folder.path(), &kept);
        panic!("seed {seed}, logs in {}: {:#?}", kept.display(), records.violations);
    }
    assert!(records.served > 0, "seed {seed}: nothing was served");
}

fn seeds() -> Vec<u64> {
    let range = std::env::var("CALICOHOIST_SOAK_SEEDS").ok();
    let range = range.as_deref().and_then(|range| range.split_once(".."));
    match range.map(|(from, to)| (from.parse(), to.parse())) {
        Some((Ok(from), Ok(to))) => (from..to).collect(),
        _ => REGRESSION_SEEDS.to_vec(),
    }
}

#[test]
fn promises_hold_while_everything_around_fails() {
    let seconds = std::env::var("CALICOHOIST_SOAK_SECONDS").ok();
    let seconds = seconds.and_then(|seconds| seconds.parse().ok()).unwrap_or(DEFAULT_SECONDS);
    for seed in seeds() {
        play(seed, Duration::from_secs(seconds));
    }
}

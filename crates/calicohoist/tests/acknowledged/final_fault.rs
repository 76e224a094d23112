//! Acknowledged changes after a fault that ends all processes at the same moment.

use std::collections::{BTreeMap, HashMap};
use std::fs;
use std::io::{BufReader, Write as _};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use parking_lot::Mutex;
use rand::rngs::StdRng;
use rand::seq::{IndexedRandom as _, SliceRandom as _};
use rand::{RngExt as _, SeedableRng as _};
use rustix::process::Signal;
use serde_json::Value;

use crate::cluster::{Cluster, GATEWAY_IPS, Process, number_from_environment};
use crate::durability::start_model;
use crate::support::replica::RecordedRequest;
use crate::support::{Response, ScriptedReplica, client, configuration, request_head, wait_until};
use crate::{Ledger, STORE_IPS, large_configuration, request, version_of};

/// Seed of the first deployment; overridden by `FINAL_FAULT_SEED`.
const FIRST_SEED: u64 = 1;
/// Number of deployments; overridden by `FINAL_FAULT_DEPLOYMENTS`.
const DEPLOYMENTS: u64 = 3;
const CALLERS: usize = 6;
/// Turns that are answered before faults begin, and the time limit for these.
const MIN_TURNS: usize = CALLERS;
const MIN_TURNS_TIMEOUT: Duration = Duration::from_secs(20);
/// Turns after which a caller begins a new history.
const MAX_DEPTH: usize = 5;
const MAX_INPUT_BYTES: usize = 16 << 10;
/// More than all turns of a program use.
const PROGRAM_BUDGET: u64 = 1_000_000;
const MAX_TURN_TOKENS: u64 = 90;
pub const RETRY_INTERVAL: Duration = Duration::from_millis(20);
const ANSWER_TIMEOUT: Duration = Duration::from_secs(10);
/// Maximum time between the starts of two machines.
const MAX_START_INTERVAL_MS: u64 = 500;
/// The log is rewritten with more than 64 MiB, the size of a frame of a connection.
const LARGE_CONFIGURATIONS: u64 = 9;
const LARGE_BYTES: usize = 15 << 20;

/// A turn that was answered whole.
#[derive(Clone)]
pub struct Turn {
    pub id: String,
    /// Program that the turn belongs to.
    pub program: String,
    depth: usize,
    /// Inputs and outputs up to this turn.
    pub history: String,
}

/// Callers of a deployment, with what was acknowledged to them.
struct Workload<'a> {
    cluster: &'a Cluster,
    is_over: AtomicBool,
    /// Last acknowledged version of the configuration.
    version: AtomicU64,
    turns: Mutex<Vec<Turn>>,
}

impl<'a> Workload<'a> {
    fn new(cluster: &'a Cluster) -> Self {
        let (is_over, turns) = (AtomicBool::new(false), Mutex::default());
        Self { cluster, is_over, version: AtomicU64::new(1), turns }
    }

    fn is_over(&self) -> bool {
        self.is_over.load(Ordering::SeqCst)
    }

    /// Waits until turns were answered whole, without which nothing can be lost; returns whether they
    /// were.
    fn wait_for_turns(&self) -> bool {
        let ends_at = Instant::now() + MIN_TURNS_TIMEOUT;
        while self.turns.lock().len() < MIN_TURNS {
            if Instant::now() > ends_at {
                return false;
            }
            thread::sleep(RETRY_INTERVAL);
        }
        true
    }

    /// Activates one configuration after another.
    fn operate(&self) {
        while !self.is_over() {
            let version = self.version.load(Ordering::SeqCst) + 1;
            let put = request("PUT", "/-/config", &configuration(version).to_string());
            let is_acknowledged = STORE_IPS.iter().any(|ip| {
                let response = try_exchange(self.cluster.control(ip), &put);
                response.is_some_and(|response| response.status == 200 && response.is_complete)
            });
            if is_acknowledged {
                self.version.store(version, Ordering::SeqCst);
            }
            thread::sleep(RETRY_INTERVAL);
        }
    }

    /// Runs turns that continue from any turn before them.
    fn call(&self, caller: usize, mut random: StdRng) {
        for number in 0.. {
            if self.is_over() {
                return;
            }
            let previous = self.turns.lock().choose(&mut random).cloned();
            let previous = previous.filter(|turn| turn.depth < MAX_DEPTH);
            let id = format!("turn-{caller}-{number}");
            let filler = "x".repeat(random.random_range(0..MAX_INPUT_BYTES));
            let input = format!("input of {id} {filler} ");
            let gateway = GATEWAY_IPS[random.random_range(0..GATEWAY_IPS.len())];
            let program = previous.as_ref().map_or(&id, |turn| &turn.program).clone();
            if self.run_turn(gateway, &program, &id, previous.as_ref(), &input) {
                let (depth, history) =
                    previous.map_or_else(Default::default, |turn| (turn.depth, turn.history));
                let history = format!("{history}{input}{id}\n");
                self.turns.lock().push(Turn { id, program, depth: depth + 1, history });
            } else {
                thread::sleep(RETRY_INTERVAL);
            }
        }
    }

    /// Runs a turn once; returns whether it was answered whole.
    fn run_turn(
        &self,
        gateway: &str,
        program: &str,
        id: &str,
        previous: Option<&Turn>,
        input: &str,
    ) -> bool {
        let previous = previous.map(|turn| turn.id.as_str());
        let request = turn_request(program, id, previous, input);
        let response = try_exchange(self.cluster.http(gateway), &request);
        response.is_some_and(|response| {
            assert!(![404, 410].contains(&response.status), "{id} after {previous:?}");
            response.status == 200 && response.is_complete
        })
    }
}

/// Returns a turn of a program whose budget is never spent.
pub fn turn_request(program: &str, id: &str, previous: Option<&str>, input: &str) -> String {
    let mut headers = vec![
        format!("Calicohoist-Program-Id: {program}"),
        format!("Calicohoist-Token-Budget: {PROGRAM_BUDGET}"),
        format!("Calicohoist-Token-Usage: 10,{MAX_TURN_TOKENS}"),
    ];
    headers.extend(previous.map(|previous| format!("Calicohoist-Previous-Turn: {previous}")));
    let headers: Vec<&str> = headers.iter().map(String::as_str).collect();
    let head = request_head("POST", "/retained/a", id, input.len(), &headers);
    format!("{head}{input}")
}

/// Sends a request; `None` if there is no connection.
pub fn try_exchange(address: SocketAddr, request: &str) -> Option<Response> {
    let mut stream = TcpStream::connect(address).ok()?;
    stream.set_read_timeout(Some(ANSWER_TIMEOUT)).ok()?;
    stream.write_all(request.as_bytes()).ok()?;
    Some(client::read_response(&mut BufReader::new(stream)))
}

/// Kills one machine after another, and starts it again, until the final fault.
pub fn kill_in_turn(cluster: &Cluster, processes: &mut [Process], random: &mut StdRng) {
    let ends_at = Instant::now() + Duration::from_millis(random.random_range(1_000..2_500));
    while Instant::now() < ends_at {
        thread::sleep(Duration::from_millis(random.random_range(100..600)));
        let number = random.random_range(0..processes.len());
        let process = &mut processes[number];
        process.kill();
        thread::sleep(Duration::from_millis(random.random_range(0..300)));
        *process = cluster.start(process.ip, false);
    }
}

/// Ends all processes at the same moment.
fn kill_all(processes: &mut [Process]) {
    processes.iter().for_each(|process| process.signal(Signal::KILL));
    processes.iter_mut().for_each(Process::kill);
}

/// Asserts that the active configuration is the last acknowledged one or a later one.
fn assert_configuration(cluster: &Cluster, acknowledged: u64) {
    wait_until("a configuration is read", || {
        cluster.operator_request("GET", "/-/config", "").is_some()
    });
    let read = cluster.operator_request("GET", "/-/config", "");
    let (response, ip) = read.expect("a machine answers once it has answered");
    let document: Value = serde_json::from_slice(&response.body).expect("a configuration");
    let version = document["version"].as_u64().expect("a version");
    assert!(version >= acknowledged, "{ip}: version {version}, acknowledged {acknowledged}");
    assert_eq!(document, configuration(version));
}

/// Continues each turn, and asserts that the replica receives its history.
fn assert_turns(cluster: &Cluster, turns: &[Turn], models: &[ScriptedReplica]) {
    let share = turns.len().div_ceil(CALLERS).max(1);
    let run = |turn: &Turn| {
        let name = format!("after-{}", turn.id);
        cluster.turn(GATEWAY_IPS[0], &name, Some(&turn.id), "next ")
    };
    let run_all = |turns: &'_ [Turn]| -> Vec<String> { turns.iter().map(run).collect() };
    let ids = thread::scope(|scope| {
        let callers = turns.chunks(share).map(|turns| scope.spawn(move || run_all(turns)));
        let callers: Vec<_> = callers.collect();
        let ids = callers.into_iter().flat_map(|caller| caller.join().expect("all are continued"));
        ids.collect::<Vec<String>>()
    });
    let continued: HashMap<String, &Turn> = ids.into_iter().zip(turns).collect();
    let mut found = 0;
    for request in models.iter().flat_map(ScriptedReplica::requests) {
        if let Some(turn) = continued.get(request.id()) {
            let body = String::from_utf8_lossy(&request.body);
            assert!(body == format!("{}next ", turn.history), "history of {}", turn.id);
            found += 1;
        }
    }
    assert!(found >= turns.len(), "{found} of {} turns reached a replica", turns.len());
}

/// A deployment whose processes have all been killed, with what was acknowledged to its callers.
pub struct KilledDeployment {
    cluster: Cluster,
    processes: Vec<Process>,
    models: [ScriptedReplica; 2],
    version: u64,
    turns: Vec<Turn>,
}

impl KilledDeployment {
    /// Starts a deployment, causes faults under load, and kills all processes at the same moment.
    pub fn play(
        random: &mut StdRng,
        cause_faults: impl FnOnce(&Cluster, &mut [Process], &mut StdRng),
    ) -> Self {
        let Ledger { cluster, machines: mut processes } = Ledger::start();
        let models = ["hall", "attic"].map(|zone| {
            let model = start_model(zone);
            cluster.platform_list.put_in_zone(zone, &model, "models", "ready");
            model
        });
        processes.extend(GATEWAY_IPS.map(|ip| cluster.start(ip, true)));
        wait_until("the gateways are ready", || are_gateways_ready(&cluster));

        let workload = Workload::new(&cluster);
        let has_turns = thread::scope(|scope| {
            scope.spawn(|| workload.operate());
            for caller in 0..CALLERS {
                let random = StdRng::seed_from_u64(random.random());
                let workload = &workload;
                scope.spawn(move || workload.call(caller, random));
            }
            let has_turns = workload.wait_for_turns();
            cause_faults(&cluster, &mut processes, random);
            kill_all(&mut processes);
            workload.is_over.store(true, Ordering::SeqCst);
            has_turns
        });
        assert!(has_turns, "no turns were answered before the faults");
        let version = workload.version.into_inner();
        let turns = workload.turns.into_inner();
        println!("{version} configurations, {} turns", turns.len());
        Self { cluster, processes, models, version, turns }
    }

    pub fn cluster(&self) -> &Cluster {
        &self.cluster
    }

    /// Returns the turns that were answered whole.
    pub fn turns(&self) -> &[Turn] {
        &self.turns
    }

    /// Returns the requests that have reached a replica.
    pub fn arrivals(&self) -> Vec<RecordedRequest> {
        self.models.iter().flat_map(ScriptedReplica::requests).collect()
    }

    pub fn kill(&mut self) {
        kill_all(&mut self.processes);
    }

    /// Returns the machines, which start again with [`start_in_random_order`].
    pub fn take_machines(&mut self) -> Vec<Process> {
        std::mem::take(&mut self.processes)
    }

    pub fn start_all(&mut self) {
        self.start_those(|_| true);
    }

    pub fn start_all_but(&mut self, absent: &str) {
        self.start_those(|ip| ip != absent);
    }

    fn start_those(&mut self, is_started: impl Fn(&str) -> bool) {
        for process in self.processes.iter_mut().filter(|process| is_started(process.ip)) {
            *process = self.cluster.start(process.ip, false);
        }
    }

    /// Removes what a machine has stored.
    pub fn lose_disk(&self, ip: &str) {
        println!("{ip} loses its disk");
        let folder = self.cluster.data_folder(ip);
        fs::remove_dir_all(folder).expect("the data folder is removed");
    }

    /// Asserts for some time that nothing acknowledged is denied, whether it can be served or not.
    /// Returns the number of turns that were asked for, by the status of their response.
    pub fn assert_nothing_denied(&self, phase: usize, duration: Duration) -> BTreeMap<u16, usize> {
        let ends_at = Instant::now() + duration;
        let mut statuses = BTreeMap::new();
        for (number, turn) in self.turns.iter().rev().cycle().enumerate() {
            if Instant::now() > ends_at {
                break;
            }
            let header = format!("Calicohoist-Previous-Turn: {}", turn.id);
            let id = format!("probe-{phase}-{number}");
            let head = request_head("POST", "/retained/a", &id, 2, &[&header]);
            let gateway = self.cluster.http(GATEWAY_IPS[number % GATEWAY_IPS.len()]);
            let response = try_exchange(gateway, &format!("{head}hi")).unwrap_or_default();
            assert!(![404, 410].contains(&response.status), "{} is denied", turn.id);
            *statuses.entry(response.status).or_default() += 1;
            self.assert_no_older_configuration();
            thread::sleep(RETRY_INTERVAL);
        }
        statuses
    }

    /// Asserts that a configuration, if it is read at all, is not an older one.
    fn assert_no_older_configuration(&self) {
        let read = self.cluster.operator_request("GET", "/-/config", "");
        if let Some((response, ip)) = read {
            let read = version_of(&response);
            assert!(read >= self.version, "{ip}: version {read}, acknowledged {}", self.version);
        }
    }

    /// Asserts that everything acknowledged is there.
    pub fn assert_all_kept(&self) {
        assert_configuration(&self.cluster, self.version);
        wait_until("the gateways are ready again", || are_gateways_ready(&self.cluster));
        assert_turns(&self.cluster, &self.turns, &self.models);
    }
}

/// Starts machines one after another, in random order.
pub fn start_in_random_order(cluster: &Cluster, machines: &mut [Process], random: &mut StdRng) {
    machines.shuffle(random);
    for machine in machines {
        thread::sleep(Duration::from_millis(random.random_range(0..MAX_START_INTERVAL_MS)));
        *machine = cluster.start(machine.ip, false);
    }
}

fn are_gateways_ready(cluster: &Cluster) -> bool {
    GATEWAY_IPS.iter().all(|ip| cluster.is_ready(ip))
}

fn play(seed: u64) {
    println!("seed {seed}");
    let mut random = StdRng::seed_from_u64(seed);
    let mut deployment = KilledDeployment::play(&mut random, kill_in_turn);
    deployment.lose_disk(STORE_IPS.choose(&mut random).expect("a machine"));
    deployment.start_all();
    deployment.assert_all_kept();
}

#[test]
fn acknowledged_changes_survive_the_end_of_all_processes_and_the_loss_of_a_disk() {
    let first = number_from_environment("FINAL_FAULT_SEED", FIRST_SEED);
    let deployments = number_from_environment("FINAL_FAULT_DEPLOYMENTS", DEPLOYMENTS);
    (first..first + deployments).for_each(play);
}

/// Guards against a log that grows beyond what can be read at the next start.
#[test]
fn large_configurations_survive_the_end_of_all_processes() {
    let mut ledger = Ledger::start();
    for version in 2..=LARGE_CONFIGURATIONS {
        let body = large_configuration(version, LARGE_BYTES);
        ledger.operate("PUT", "/-/config", &body);
    }
    kill_all(&mut ledger.machines);
    STORE_IPS.into_iter().for_each(|ip| ledger.restart(ip));
    assert_eq!(ledger.active_version(), LARGE_CONFIGURATIONS);
}

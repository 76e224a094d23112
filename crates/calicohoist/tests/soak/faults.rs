//! Fault injection for processes and connections.

use std::collections::BTreeMap;
use std::fs;
use std::io::Write as _;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::os::unix::process::ExitStatusExt as _;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use rustix::process::Signal;
use serde_json::json;
use signal_hook::consts::{SIGHUP, SIGTERM};

use crate::arrivals::ArrivalLog;
use crate::cluster::forwarder::Forwarder;
use crate::cluster::{BUILD_UNDER_TEST, Cluster, Process, STORE_BIND_IPS, STORE_IPS};
use crate::segments::SegmentLog;
use crate::streams::software_version;
use crate::support::ScriptedReplica;
use crate::timeline::{DisruptionKind, Machine, SignalKind, Timeline};
use crate::usage::UsageLog;
use crate::{start_model, start_tool};

/// Time in which a store recovers from disk loss without further store faults.
const REPAIR_TIME: Duration = Duration::from_secs(8);
/// Time in which a resumed process receives the signals that it was sent meanwhile.
const SIGNAL_TIME: Duration = Duration::from_millis(200);
/// Polling interval for process exits.
const EXIT_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Replicas as (name, service, zone).
pub const REPLICAS: [(&str, &str, &str); 4] = [
    ("m-1", "models", ZONES[0]),
    ("m-2", "models", ZONES[1]),
    ("t-1", "tools", ZONES[0]),
    ("t-2", "tools", ZONES[1]),
];
/// Zones of replicas.
pub const ZONES: [&str; 2] = ["hall", "annex"];
/// Probability that a replica restarts after a round of faults.
const RESTART_PROBABILITY: f64 = 0.3;
/// Separates the random stream of replica restarts from that of the other faults.
const RESTART_SEED: u64 = 47;
/// Separates the random stream of stops in series.
const STOP_SEED: u64 = 74;
/// Probability that a round of faults includes the next stop of the series.
const STOP_PROBABILITY: f64 = 0.5;
/// Probability that a stop reaches one of the gateways that are never disrupted.
const PLANNED_STOP_PROBABILITY: f64 = 0.6;
/// Probability that such a gateway reloads its settings instead.
const PLANNED_RELOAD_PROBABILITY: f64 = 0.3;
/// Number of gateways that are stopped and reloaded, but never disrupted.
const PLANNED_GATEWAYS: usize = 2;
/// Separates the random stream of build selection.
const UPGRADE_SEED: u64 = 51;
/// Probability that a process of an upgrade run starts with the build under test.
const UPGRADE_PROBABILITY: f64 = 0.6;
/// Initial start time of the replicas, in Unix milliseconds.
const FIRST_START_MS: u64 = 1_790_000_000_000;
/// Pause between two nodes of a rolling upgrade.
const UPGRADE_PAUSE: Duration = Duration::from_millis(1_500);
/// Maximum number of faults per round.
const MAX_FAULTS_PER_ROUND: usize = 4;
/// Separates the random stream of calm periods.
const CALM_SEED: u64 = 98;
/// Number of steps of the clock of the ledger's state, of [`CLOCK_INTERVAL`] each, in a calm period
/// beyond the retention.
const CALM_STEPS: u32 = 3;
/// How often a leader advances the clock of the ledger's state.
const CLOCK_INTERVAL: Duration = Duration::from_secs(5);

/// Periods without faults of stores, between which these are disrupted. The clock of the ledger's state
/// moves only while a leader stays for a time.
#[derive(Clone, Copy, Debug)]
struct CalmPeriods {
    started: Instant,
    /// Time of the first period that is over at the start.
    offset: Duration,
    calm: Duration,
    disrupted: Duration,
}

impl CalmPeriods {
    fn start(seed: u64, retention: Duration) -> Self {
        let calm = retention + CALM_STEPS * CLOCK_INTERVAL;
        let disrupted = calm / 4;
        let mut rng = StdRng::seed_from_u64(seed ^ CALM_SEED);
        let offset = (calm + disrupted).mul_f64(rng.random_range(0.0..1.0));
        Self { started: Instant::now(), offset, calm, disrupted }
    }

    fn is_calm(&self) -> bool {
        let period = (self.calm + self.disrupted).as_secs_f64();
        let position = (self.offset + self.started.elapsed()).as_secs_f64() % period;
        position < self.calm.as_secs_f64()
    }
}

/// Node and its process, if it is running.
struct Node {
    ip: &'static str,
    bind_ip: &'static str,
    /// Binary of the current process, or of the last one.
    binary: PathBuf,
    process: Option<Process>,
    /// Length of the log when the process was started.
    log_bytes: u64,
}

/// Interval in which a process was paused. It may end a little later.
#[derive(Clone, Copy, Debug)]
pub struct Pause {
    pub ip: &'static str,
    pub from: Instant,
    pub until: Instant,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Target {
    Store(usize),
    Gateway(usize),
}

/// Scheduled action that ends a fault.
#[derive(Clone, Copy, Debug)]
enum Recovery {
    Start(Target),
    Resume(Target),
    /// Restarts the node once the stopping process with this pid has exited.
    RestartAfterExit(Target, u32),
    ClearLinkFaults(usize),
}

pub struct Soak {
    pub cluster: Cluster,
    pub replicas: Vec<ScriptedReplica>,
    /// Number of injected faults, by kind.
    pub fault_counts: BTreeMap<&'static str, u32>,
    pub violations: Vec<String>,
    /// Pauses of processes so far.
    pub pauses: Vec<Pause>,
    pub timeline: Timeline,
    pub arrivals: ArrivalLog,
    usage: UsageLog,
    segments: SegmentLog,
    stores: Vec<Node>,
    /// First those that are disrupted, then those that are only stopped and reloaded.
    gateways: Vec<Node>,
    disrupted_gateways: usize,
    /// Two per store: for connections from peers and from gateways.
    store_forwarders: Vec<[Forwarder; 2]>,
    replica_forwarders: Vec<Forwarder>,
    rng: StdRng,
    restart_rng: StdRng,
    stop_rng: StdRng,
    /// Gateways that the series of stops reach next, among the disrupted ones and the others.
    next_stops: [usize; 2],
    /// Binary of the build under test.
    binary: PathBuf,
    /// Binary of the older build in an upgrade run.
    older_binary: Option<PathBuf>,
    upgrade_rng: StdRng,
    /// Start time that each replica reports, in Unix milliseconds.
    replica_starts: Vec<Arc<AtomicU64>>,
    /// Latest start time of a replica, in Unix milliseconds.
    latest_start_ms: u64,
    pending_recoveries: Vec<(Instant, Recovery)>,
    /// End of the last store fault.
    last_store_fault_end: Instant,
    /// Time before which no store fault is injected.
    no_store_faults_before: Instant,
    calm_periods: Option<CalmPeriods>,
}

/// Returns the binary of the build under test, which `CALICOHOIST_SOAK_BINARY` may replace.
fn binary_under_test() -> PathBuf {
    std::env::var_os("CALICOHOIST_SOAK_BINARY")
        .map_or_else(|| BUILD_UNDER_TEST.into(), PathBuf::from)
}

/// Returns the address of a gateway.
fn gateway_ip(number: usize) -> &'static str {
    let last_octet = u8::try_from(21 + number).expect("the gateway number fits the address range");
    Ipv4Addr::new(127, 0, 0, last_octet).to_string().leak()
}

impl Soak {
    /// Starts all nodes, with the older binary if one is given.
    pub fn start(
        seed: u64,
        gateway_count: usize,
        ledger_memory_mb: Option<usize>,
        older_binary: Option<PathBuf>,
    ) -> Self {
        let mut cluster = Cluster::new();
        cluster.ledger_memory_mb = ledger_memory_mb.unwrap_or(cluster.ledger_memory_mb);
        let binary = binary_under_test();
        let initial_binary = older_binary.clone().unwrap_or_else(|| binary.clone());
        let arrivals = ArrivalLog::default();
        let internal = cluster.ports.internal;
        let socket = |ip: &str, port: u16| SocketAddr::new(ip.parse().expect("an address"), port);
        let store_forwarders = STORE_IPS.iter().zip(STORE_BIND_IPS).map(|(ip, bind_ip)| {
            [internal, internal + 1]
                .map(|port| Forwarder::start(socket(ip, port), socket(bind_ip, port)))
        });
        let store_forwarders = store_forwarders.collect();
        let mut replica_forwarders = Vec::new();
        let mut replicas = Vec::new();
        let mut replica_starts = Vec::new();
        for (name, service, zone) in REPLICAS {
            let start = Arc::new(AtomicU64::new(FIRST_START_MS));
            let mut replica = match service {
                "models" => start_model(name, Arc::clone(&start), &arrivals),
                _ => start_tool(name, &arrivals),
            };
            let forwarder = Forwarder::start(socket("127.0.0.1", 0), replica.address);
            replica.address = forwarder.address;
            cluster.platform_list.put_in_zone(zone, &replica, service, "ready");
            cluster.platform_list.set_field(&replica, "born", json!(FIRST_START_MS));
            cluster.platform_list.set_field(&replica, "version", json!(software_version(name)));
            replica_starts.push(start);
            replica_forwarders.push(forwarder);
            replicas.push(replica);
        }
        // Malformed entry of another writer; an older build may reject the whole list.
        if older_binary.is_none() {
            let entry = json!({ "id": 7, "service": "models", "slots": "4" });
            cluster.platform_list.instances.lock().push(entry);
        }
        let start_node = |ip, bind_ip| Node {
            ip,
            bind_ip,
            binary: initial_binary.clone(),
            process: Some(cluster.start_with_binary(&initial_binary, ip, bind_ip, true)),
            log_bytes: 0,
        };
        let stores = STORE_IPS
            .into_iter()
            .zip(STORE_BIND_IPS)
            .map(|(ip, bind_ip)| start_node(ip, bind_ip))
            .collect();
        let gateways = (0..gateway_count + PLANNED_GATEWAYS)
            .map(gateway_ip)
            .map(|ip| start_node(ip, ip))
            .collect();
        Self {
            cluster,
            replicas,
            fault_counts: BTreeMap::new(),
            violations: Vec::new(),
            pauses: Vec::new(),
            timeline: Timeline::default(),
            arrivals,
            usage: UsageLog::start(),
            segments: SegmentLog::default(),
            stores,
            gateways,
            disrupted_gateways: gateway_count,
            store_forwarders,
            replica_forwarders,
            rng: StdRng::seed_from_u64(seed),
            restart_rng: StdRng::seed_from_u64(seed ^ RESTART_SEED),
            stop_rng: StdRng::seed_from_u64(seed ^ STOP_SEED),
            next_stops: [0, 0],
            binary,
            older_binary,
            upgrade_rng: StdRng::seed_from_u64(seed ^ UPGRADE_SEED),
            replica_starts,
            latest_start_ms: FIRST_START_MS,
            pending_recoveries: Vec::new(),
            last_store_fault_end: Instant::now(),
            no_store_faults_before: Instant::now(),
            calm_periods: None,
        }
    }

    /// Lets faults of stores come in periods between which turns expire.
    pub fn set_calm_periods(&mut self, seed: u64, retention: Duration) {
        self.calm_periods = Some(CalmPeriods::start(seed, retention));
    }

    pub fn controls(&self) -> Vec<SocketAddr> {
        let control = |ip: &&str| {
            SocketAddr::new(ip.parse().expect("an address"), self.cluster.ports.control)
        };
        STORE_BIND_IPS.iter().map(control).collect()
    }

    pub fn gateways(&self) -> Vec<SocketAddr> {
        self.addresses(&self.gateways[..self.disrupted_gateways])
    }

    /// Gateways that are stopped and reloaded, but never disrupted.
    pub fn planned_gateways(&self) -> Vec<SocketAddr> {
        self.addresses(&self.gateways[self.disrupted_gateways..])
    }

    /// All gateways, those that are never disrupted twice.
    pub fn mostly_planned_gateways(&self) -> Vec<SocketAddr> {
        let planned = self.planned_gateways();
        [self.gateways(), planned.clone(), planned].concat()
    }

    fn addresses(&self, gateways: &[Node]) -> Vec<SocketAddr> {
        gateways.iter().map(|gateway| self.cluster.http(gateway.ip)).collect()
    }

    pub fn random_millis(&mut self, from: u64, to: u64) -> Duration {
        Duration::from_millis(self.rng.random_range(from..to))
    }

    /// Injects a round of faults, which may overlap with those of earlier rounds.
    pub fn inject_faults(&mut self) {
        for _ in 0..self.rng.random_range(1..=MAX_FAULTS_PER_ROUND) {
            let kind = self.inject_fault();
            *self.fault_counts.entry(kind).or_default() += 1;
            let pause = self.random_millis(0, 120);
            self.run_for(pause);
        }
        if self.restart_rng.random_bool(RESTART_PROBABILITY) {
            self.restart_replica();
        }
        if self.stop_rng.random_bool(STOP_PROBABILITY) {
            self.stop_next_gateway();
        }
    }

    /// Stops or reloads the gateways in turn, without waiting for each other.
    fn stop_next_gateway(&mut self) {
        let is_planned = self.stop_rng.random_bool(PLANNED_STOP_PROBABILITY);
        let (first, count) = match is_planned {
            true => (self.disrupted_gateways, PLANNED_GATEWAYS),
            false => (0, self.disrupted_gateways),
        };
        let next = &mut self.next_stops[usize::from(is_planned)];
        let target = Target::Gateway(first + *next % count);
        *next += 1;
        let is_reload = is_planned && self.stop_rng.random_bool(PLANNED_RELOAD_PROBABILITY);
        let kind = if is_reload { "front reloaded in series" } else { "front stopped in series" };
        *self.fault_counts.entry(kind).or_default() += 1;
        match is_reload {
            true => self.reload(target),
            false => self.stop_with_signals(target, &[]),
        }
    }

    /// Simulates a replica restart: closes its connections and lists a later start time.
    fn restart_replica(&mut self) {
        *self.fault_counts.entry("replica started again").or_default() += 1;
        let index = self.restart_rng.random_range(0..self.replicas.len());
        self.latest_start_ms += 1;
        self.break_replica_connections(index);
        self.replica_starts[index].store(self.latest_start_ms, Ordering::SeqCst);
        let start = json!(self.latest_start_ms);
        self.cluster.platform_list.set_field(&self.replicas[index], "born", start);
    }

    /// Sleeps for `span` and runs due recoveries meanwhile.
    pub fn run_for(&mut self, span: Duration) {
        let until = Instant::now() + span;
        loop {
            self.run_due_recoveries(Instant::now());
            if self.usage.begin_observation() {
                self.observe_usage();
            }
            let remaining = until.saturating_duration_since(Instant::now());
            if remaining.is_zero() {
                return;
            }
            thread::sleep(remaining.min(EXIT_POLL_INTERVAL));
        }
    }

    /// Returns what all nodes have used so far.
    pub fn usage(&mut self) -> &UsageLog {
        self.observe_usage();
        &self.usage
    }

    /// Returns the segments of retained turns so far.
    pub fn segments(&mut self) -> &SegmentLog {
        self.observe_usage();
        &self.segments
    }

    fn observe_usage(&mut self) {
        let folders = STORE_IPS.map(|ip| self.cluster.data_folder(ip));
        self.segments.observe(&folders);
        let nodes = self.stores.iter().chain(&self.gateways);
        for process in nodes.filter_map(|node| node.process.as_ref()) {
            self.usage.observe(process);
        }
    }

    /// Ends all faults and restarts all processes.
    pub fn clear_faults(&mut self) {
        self.store_forwarders.iter().flatten().for_each(Forwarder::clear_faults);
        self.replica_forwarders.iter().for_each(Forwarder::clear_faults);
        let pending_recoveries: Vec<Recovery> =
            self.pending_recoveries.drain(..).map(|(_, recovery)| recovery).collect();
        let now = Instant::now();
        // Paused processes must resume before they can stop.
        let (paused, others): (Vec<_>, Vec<_>) = pending_recoveries
            .into_iter()
            .partition(|recovery| matches!(recovery, Recovery::Resume(_)));
        paused.into_iter().for_each(|recovery| self.recover(recovery, now));
        others.into_iter().for_each(|recovery| self.recover(recovery, now));
        while !self.pending_recoveries.is_empty() {
            self.run_for(EXIT_POLL_INTERVAL);
        }
        self.run_for(SIGNAL_TIME);
    }

    /// Kills all stores at once and restarts them.
    pub fn restart_stores(&mut self) {
        *self.fault_counts.entry("all stores killed at the end").or_default() += 1;
        self.kill_stores(&[0, 1, 2]);
        self.clear_faults();
    }

    fn run_due_recoveries(&mut self, now: Instant) {
        let due_recoveries: Vec<_> =
            self.pending_recoveries.extract_if(.., |(at, _)| *at <= now).collect();
        due_recoveries.into_iter().for_each(|(_, recovery)| self.recover(recovery, now));
        self.restart_exited(now);
    }

    /// Restarts nodes that exited without being stopped. SIGHUP kills a process that has not
    /// registered its handlers, also one that is paused until later.
    fn restart_exited(&mut self, now: Instant) {
        let gateways = (0..self.gateways.len()).map(Target::Gateway);
        let targets: Vec<Target> =
            (0..self.stores.len()).map(Target::Store).chain(gateways).collect();
        for target in targets {
            let Some(process) = &mut self.node_mut(target).process else {
                continue;
            };
            let pid = process.child.id();
            let is_running = matches!(process.child.try_wait(), Ok(None));
            let is_stopping = self.pending_recoveries.iter().any(|(_, recovery)| {
                matches!(recovery, Recovery::RestartAfterExit(_, stopping) if *stopping == pid)
            });
            if !is_running && !is_stopping {
                self.restart_after_exit(target, pid, now);
            }
        }
    }

    fn recover(&mut self, recovery: Recovery, now: Instant) {
        match recovery {
            Recovery::Start(target) => self.start_process(target),
            Recovery::Resume(target) => {
                self.signal(target, Signal::CONT);
                let machine = self.machine(target);
                self.timeline.end(&machine, DisruptionKind::Paused);
            }
            Recovery::ClearLinkFaults(index) => {
                self.store_forwarders[index].iter().for_each(Forwarder::clear_faults)
            }
            Recovery::RestartAfterExit(target, pid) => self.restart_after_exit(target, pid, now),
        }
    }

    fn node_mut(&mut self, target: Target) -> &mut Node {
        match target {
            Target::Store(index) => &mut self.stores[index],
            Target::Gateway(index) => &mut self.gateways[index],
        }
    }

    fn start_process(&mut self, target: Target) {
        let node = self.node_mut(target);
        if node.process.is_some() {
            return;
        }
        let (ip, bind_ip) = (node.ip, node.bind_ip);
        let log_bytes = self.log_bytes(ip);
        let binary = self.pick_binary();
        let process = self.cluster.start_with_binary(&binary, ip, bind_ip, false);
        let node = self.node_mut(target);
        node.binary = binary;
        node.process = Some(process);
        node.log_bytes = log_bytes;
        let machine = self.machine(target);
        self.timeline.end(&machine, DisruptionKind::Killed);
        self.timeline.end(&machine, DisruptionKind::Paused);
    }

    /// Picks the build of the next process.
    fn pick_binary(&mut self) -> PathBuf {
        match &self.older_binary {
            Some(older_binary) if !self.upgrade_rng.random_bool(UPGRADE_PROBABILITY) => {
                older_binary.clone()
            }
            _ => self.binary.clone(),
        }
    }

    /// Upgrades the nodes that still run the older build, one at a time.
    pub fn finish_upgrade(&mut self) {
        if self.older_binary.take().is_none() {
            return;
        }
        let gateways = (0..self.gateways.len()).map(Target::Gateway);
        let targets: Vec<Target> =
            gateways.chain((0..STORE_IPS.len()).map(Target::Store)).collect();
        for target in targets {
            let binary = self.binary.clone();
            if self.node_mut(target).binary != binary {
                *self.fault_counts.entry("upgraded at the end").or_default() += 1;
                self.stop(target);
                self.run_for(UPGRADE_PAUSE);
            }
        }
    }

    fn log_bytes(&self, ip: &str) -> u64 {
        let log = self.cluster.folder.path().join(format!("{ip}.log"));
        fs::metadata(log).map_or(0, |metadata| metadata.len())
    }

    fn signal(&mut self, target: Target, signal: Signal) {
        if let Some(process) = &self.node_mut(target).process {
            process.signal(signal);
        }
    }

    fn kill(&mut self, target: Target) {
        let downtime = self.random_millis(0, 900);
        self.kill_together(&[target], downtime);
    }

    /// Kills all gateways that are disrupted at the same moment.
    pub fn kill_gateways(&mut self, downtime: Duration) {
        let targets: Vec<Target> = (0..self.disrupted_gateways).map(Target::Gateway).collect();
        self.kill_together(&targets, downtime);
    }

    fn kill_together(&mut self, targets: &[Target], downtime: Duration) {
        self.observe_usage();
        for target in targets {
            let machine = self.machine(*target);
            self.timeline.begin(machine, DisruptionKind::Killed);
            self.signal(*target, Signal::KILL);
        }
        for target in targets {
            self.node_mut(*target).process = None;
            self.pending_recoveries.push((Instant::now() + downtime, Recovery::Start(*target)));
        }
    }

    /// Restarts a node if its stopping process has exited; otherwise checks again later.
    fn restart_after_exit(&mut self, target: Target, pid: u32, now: Instant) {
        let process = self.node_mut(target).process.as_mut();
        // The process may have been killed or restarted in the meantime.
        let Some(process) = process.filter(|process| process.child.id() == pid) else {
            return;
        };
        let ip = process.ip;
        match process.child.try_wait() {
            Ok(None) => self
                .pending_recoveries
                .push((now + EXIT_POLL_INTERVAL, Recovery::RestartAfterExit(target, pid))),
            Ok(Some(status)) => {
                let address = self.address(target);
                self.timeline.exit(address);
                let has_logged = self.log_bytes(ip) > self.node_mut(target).log_bytes;
                self.node_mut(target).process = None;
                self.start_process(target);
                // A signal before the handlers are registered kills the process, which has not
                // logged or accepted anything by then. A pending SIGHUP precedes SIGTERM.
                let was_before_handlers =
                    matches!(status.signal(), Some(SIGTERM | SIGHUP)) && !has_logged;
                if !status.success() && !was_before_handlers {
                    let violation = format!("{ip} exited with {status}");
                    self.violations.push(violation);
                }
            }
            Err(error) => {
                self.violations.push(format!("cannot wait for the process of {ip}: {error}"))
            }
        }
    }

    /// Returns the address at which callers reach a node.
    fn address(&mut self, target: Target) -> IpAddr {
        self.node_mut(target).bind_ip.parse().expect("an address")
    }

    fn machine(&mut self, target: Target) -> Machine {
        Machine::Node(self.address(target))
    }

    fn replica_machine(&self, index: usize) -> Machine {
        Machine::Replica(self.replicas[index].id.clone())
    }

    fn record_link_fault(&mut self, target: Target, kind: DisruptionKind, duration: Duration) {
        let machine = Machine::StoreLinks(self.address(target));
        self.timeline.add(machine, kind, duration);
    }

    fn break_replica_connections(&mut self, index: usize) {
        let machine = self.replica_machine(index);
        self.timeline.add(machine, DisruptionKind::ConnectionsBroken, Duration::ZERO);
        self.replica_forwarders[index].break_connections();
    }

    fn reload(&mut self, target: Target) {
        let address = self.address(target);
        self.timeline.signal(address, SignalKind::Reload);
        self.signal(target, Signal::HUP);
    }

    fn pause(&mut self, target: Target, duration: Duration) {
        let now = Instant::now();
        let ip = self.node_mut(target).ip;
        self.pauses.push(Pause { ip, from: now, until: now + duration });
        let machine = self.machine(target);
        self.timeline.begin(machine, DisruptionKind::Paused);
        self.signal(target, Signal::STOP);
        self.pending_recoveries.push((Instant::now() + duration, Recovery::Resume(target)));
    }

    /// Stops a node gracefully, sometimes with redundant signals.
    fn stop(&mut self, target: Target) {
        if self.node_mut(target).process.is_none() {
            return;
        }
        let mut signals = Vec::new();
        for signal in [Signal::HUP, Signal::TERM] {
            if self.rng.random_bool(0.3) {
                signals.push(signal);
            }
        }
        self.stop_with_signals(target, &signals);
    }

    fn stop_with_signals(&mut self, target: Target, further_signals: &[Signal]) {
        let process = self.node_mut(target).process.as_ref();
        let Some(pid) = process.map(|process| process.child.id()) else {
            return;
        };
        let address = self.address(target);
        self.timeline.signal(address, SignalKind::Stop);
        self.signal(target, Signal::TERM);
        further_signals.iter().for_each(|signal| self.signal(target, *signal));
        self.pending_recoveries
            .push((Instant::now() + EXIT_POLL_INTERVAL, Recovery::RestartAfterExit(target, pid)));
    }

    /// Appends zeros to the newest log file, as left by a write interrupted by a crash.
    fn append_torn_write(&mut self, index: usize) {
        let folder = self.cluster.data_folder(STORE_IPS[index]);
        let Ok(files) = fs::read_dir(folder) else {
            return;
        };
        let paths = files.flatten().map(|file| file.path());
        let is_log = |path: &std::path::PathBuf| {
            path.file_name().is_some_and(|name| name.to_string_lossy().starts_with("log-"))
        };
        if let Some(newest) = paths.filter(is_log).max() {
            let zeros = vec![0; self.rng.random_range(1..64)];
            let file = fs::File::options().append(true).open(newest);
            let _ = file.and_then(|mut file| file.write_all(&zeros));
        }
    }

    fn kill_stores(&mut self, indices: &[usize]) {
        for index in indices {
            let was_up = self.stores[*index].process.is_some();
            self.kill(Target::Store(*index));
            if was_up && self.rng.random_bool(0.5) {
                self.append_torn_write(*index);
            }
        }
    }

    fn wipe_disk(&mut self, index: usize) {
        self.kill(Target::Store(index));
        let folder = self.cluster.data_folder(STORE_IPS[index]);
        fs::remove_dir_all(folder).expect("the data folder is removed");
        self.no_store_faults_before = Instant::now() + REPAIR_TIME;
    }

    /// Returns whether all stores have been running long enough to tolerate a disk loss.
    fn are_stores_repaired(&self) -> bool {
        let affects_store = |recovery: &Recovery| {
            matches!(
                recovery,
                Recovery::Start(Target::Store(_))
                    | Recovery::Resume(Target::Store(_))
                    | Recovery::RestartAfterExit(Target::Store(_), _)
                    | Recovery::ClearLinkFaults(_)
            )
        };
        let is_pending =
            self.pending_recoveries.iter().any(|(_, recovery)| affects_store(recovery));
        let all_run = self.stores.iter().all(|store| store.process.is_some());
        all_run && !is_pending && self.last_store_fault_end.elapsed() >= REPAIR_TIME
    }

    fn inject_fault(&mut self) -> &'static str {
        let is_store_fault = self.rng.random_bool(0.5);
        let is_calm = self.calm_periods.is_some_and(|periods| periods.is_calm());
        if !is_store_fault || is_calm || Instant::now() < self.no_store_faults_before {
            return self.inject_other_fault();
        }
        let index = self.rng.random_range(0..STORE_IPS.len());
        if self.are_stores_repaired() && self.rng.random_bool(0.3) {
            self.last_store_fault_end = Instant::now();
            self.wipe_disk(index);
            return "disk lost";
        }
        let duration = self.random_millis(100, 2_000);
        self.last_store_fault_end = Instant::now() + duration;
        self.inject_store_fault(index, duration)
    }

    fn inject_store_fault(&mut self, index: usize, duration: Duration) -> &'static str {
        let target = Target::Store(index);
        match self.rng.random_range(0..9) {
            0 => {
                self.kill_stores(&[index]);
                "store killed"
            }
            1 => {
                self.kill_stores(&[0, 1, 2]);
                "all stores killed"
            }
            2 => {
                self.pause(target, duration);
                "store paused"
            }
            3 => {
                let (to_target, from_target) =
                    [(true, false), (false, true), (true, true)][self.rng.random_range(0..3)];
                self.store_forwarders[index].iter().for_each(|forwarder| {
                    forwarder.stall(to_target, from_target, duration);
                });
                self.record_link_fault(target, DisruptionKind::LinkStalled, duration);
                "store silenced"
            }
            4 => {
                let delay = self.random_millis(1, 60);
                self.store_forwarders[index]
                    .iter()
                    .for_each(|forwarder| forwarder.set_delay(delay));
                self.pending_recoveries
                    .push((Instant::now() + duration / 2, Recovery::ClearLinkFaults(index)));
                self.record_link_fault(target, DisruptionKind::LinkDelayed, duration / 2);
                "store delayed"
            }
            5 => {
                self.store_forwarders[index].iter().for_each(Forwarder::break_connections);
                self.record_link_fault(target, DisruptionKind::ConnectionsBroken, Duration::ZERO);
                "store connections broken"
            }
            6 if self.rng.random_bool(0.4) => {
                // Pauses store faults long enough that a disk loss may come next.
                self.no_store_faults_before = Instant::now() + REPAIR_TIME + duration;
                "stores left alone"
            }
            6 | 7 => {
                self.reload(target);
                "store hung up on"
            }
            _ => {
                self.stop(target);
                "store stopped"
            }
        }
    }

    fn inject_other_fault(&mut self) -> &'static str {
        let gateway = Target::Gateway(self.rng.random_range(0..self.disrupted_gateways));
        let replica = self.rng.random_range(0..self.replicas.len());
        match self.rng.random_range(0..7) {
            0 => {
                self.kill(gateway);
                "front killed"
            }
            1 => {
                let duration = self.random_millis(50, 1_000);
                self.pause(gateway, duration);
                "front paused"
            }
            2 => {
                self.stop(gateway);
                "front stopped"
            }
            3 => {
                self.reload(gateway);
                "front hung up on"
            }
            4 => {
                let kill_count = self.rng.random_range(0..=self.disrupted_gateways / 4);
                for _ in 0..kill_count {
                    let index = self.rng.random_range(0..self.disrupted_gateways);
                    self.kill(Target::Gateway(index));
                }
                "many gateways killed"
            }
            5 => {
                self.break_replica_connections(replica);
                "replica connections broken"
            }
            _ => {
                let duration = self.random_millis(100, 1_500);
                self.replica_forwarders[replica].stall(true, true, duration);
                let machine = self.replica_machine(replica);
                self.timeline.add(machine, DisruptionKind::LinkStalled, duration);
                "replica silenced"
            }
        }
    }
}

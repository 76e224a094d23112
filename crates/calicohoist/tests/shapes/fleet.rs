//! Processes of a deployment, and the list of its replicas.

use std::fs;
use std::net::{IpAddr, SocketAddr};
use std::path::PathBuf;
use std::process::{Command, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use parking_lot::Mutex;
use rustix::process::Signal;
use tempfile::TempDir;

use crate::attempts::{AttemptLog, Submission, exchange_recorded};
use crate::cluster::{BUILD_UNDER_TEST, Ports, Process};
use crate::shape::Shape;
use crate::support::ListServer;
use crate::timeline::{SignalKind, Timeline};
use crate::unanswered::{CONTACT_TIME, GRACE};

/// Environment variable that replaces the build under test.
const BINARY_VARIABLE: &str = "CALICOHOIST_SHAPE_BINARY";
const EXIT_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Ledger machines whose addresses a settings file names.
const SEED_COUNT: usize = 3;
const OPERATOR_TIME_LIMIT: Duration = Duration::from_secs(4);

#[derive(Clone, Copy, Debug)]
pub enum Role {
    Gateway,
    Ledger,
}

/// A machine, its process if that runs, and when it did not.
pub struct Node {
    pub name: String,
    pub ip: &'static str,
    zone: String,
    pub role: Role,
    process: Mutex<Option<Process>>,
    /// Intervals from a stop to the end of the next start.
    outages: Mutex<Vec<(Instant, Option<Instant>)>>,
    is_removed: AtomicBool,
    /// Held during planned work on the machine.
    pub work: Mutex<()>,
}

impl Node {
    pub fn address(&self) -> IpAddr {
        self.ip.parse().expect("an address")
    }

    pub fn signal(&self, signal: Signal) {
        if let Some(process) = &*self.process.lock() {
            process.signal(signal);
        }
    }

    pub fn is_removed(&self) -> bool {
        self.is_removed.load(Ordering::Relaxed)
    }

    /// Returns whether the process ran through the contact time before a moment.
    pub fn is_in_touch(&self, moment: Instant) -> bool {
        let from = moment.checked_sub(CONTACT_TIME).unwrap_or(moment);
        let is_near = |(begin, end): &(Instant, Option<Instant>)| {
            *begin <= moment && end.is_none_or(|end| end >= from)
        };
        !self.outages.lock().iter().any(is_near)
    }
}

pub struct Fleet {
    pub shape: Shape,
    pub list: ListServer,
    pub gateways: Vec<Arc<Node>>,
    /// Machines that run, or are about to start again.
    ledger: Mutex<Vec<Arc<Node>>>,
    /// Machines that were removed.
    removed: Mutex<Vec<Arc<Node>>>,
    pub timeline: Mutex<Timeline>,
    pub violations: Mutex<Vec<String>>,
    pub attempts: AttemptLog,
    binary: PathBuf,
    ports: Ports,
    ledger_count: AtomicUsize,
    folder: TempDir,
}

impl Fleet {
    /// Starts the gateways and ledger machines of a shape, without its spares.
    pub fn start(shape: Shape) -> Self {
        let gateways = (0..shape.gateways.machines).map(|number| {
            let name = format!("front-{number}");
            node(Role::Gateway, name, format!("127.0.3.{}", number + 1), shape.zone(number))
        });
        let gateways: Vec<Arc<Node>> = gateways.collect();
        let fleet = Self {
            list: ListServer::start(),
            gateways,
            ledger: Mutex::default(),
            removed: Mutex::default(),
            timeline: Mutex::default(),
            violations: Mutex::default(),
            attempts: AttemptLog::default(),
            binary: std::env::var_os(BINARY_VARIABLE)
                .map_or_else(|| PathBuf::from(BUILD_UNDER_TEST), PathBuf::from),
            ports: Ports::free(),
            ledger_count: AtomicUsize::new(0),
            folder: tempfile::tempdir().expect("a folder"),
            shape,
        };
        let machines: Vec<_> =
            (0..fleet.shape.ledger.machines).map(|_| fleet.add_ledger_node()).collect();
        machines.iter().chain(&fleet.gateways).for_each(|node| fleet.start_node(node, true));
        fleet
    }

    fn add_ledger_node(&self) -> Arc<Node> {
        let number = self.ledger_count.fetch_add(1, Ordering::SeqCst);
        let (name, ip) = (format!("store-{number}"), format!("127.0.4.{}", number + 1));
        let node = node(Role::Ledger, name, ip, self.shape.zone(number));
        self.ledger.lock().push(Arc::clone(&node));
        node
    }

    /// Starts an empty ledger machine that joins the others.
    pub fn join_ledger(&self) -> Arc<Node> {
        let node = self.add_ledger_node();
        self.start_node(&node, false);
        node
    }

    /// Ends a ledger machine at once, and removes its disk.
    pub fn remove_ledger(&self, node: &Arc<Node>) {
        let _work = node.work.lock();
        self.ledger.lock().retain(|other| !Arc::ptr_eq(other, node));
        node.is_removed.store(true, Ordering::Relaxed);
        // It counts no more, but the others are out of touch for a while.
        let now = Instant::now();
        node.outages.lock().push((now, Some(now)));
        drop(node.process.lock().take());
        let _ = fs::remove_dir_all(self.data_folder(node));
        self.removed.lock().push(Arc::clone(node));
    }

    pub fn ledger(&self) -> Vec<Arc<Node>> {
        self.ledger.lock().clone()
    }

    fn start_node(&self, node: &Node, is_bootstrap: bool) {
        let file = self.folder.path().join(format!("{}.toml", node.name));
        fs::write(&file, self.settings(node, is_bootstrap)).expect("a settings file");
        let log = fs::File::options()
            .create(true)
            .append(true)
            .open(self.folder.path().join(format!("{}.log", node.name)))
            .expect("a log");
        let child = Command::new(&self.binary)
            .args(["--log-format", "json", "serve", "--node-file"])
            .arg(&file)
            .stdout(Stdio::from(log.try_clone().expect("a handle")))
            .stderr(Stdio::from(log))
            .spawn()
            .expect("started");
        *node.process.lock() = Some(Process { child, ip: node.ip });
        if let Some((_, end)) = node.outages.lock().last_mut() {
            *end = Some(Instant::now());
        }
    }

    fn settings(&self, node: &Node, is_bootstrap: bool) -> String {
        let Ports { internal, control, http, ready } = self.ports;
        let (name, ip, zone) = (&node.name, node.ip, &node.zone);
        let (serves, listen, machines) = match node.role {
            Role::Gateway => (
                "\"front\"",
                format!("front_http = \"{ip}:{http}\"\nready = \"{ip}:{ready}\""),
                self.shape.gateways,
            ),
            Role::Ledger => (
                "\"store\",\"control\"",
                format!("control = \"{ip}:{control}\""),
                self.shape.ledger,
            ),
        };
        let data = self.data_folder(node);
        let ledger = self.ledger();
        let seeds = ledger.iter().take(SEED_COUNT).map(|seed| format!("\"{}:{control}\"", seed.ip));
        let zones = self.shape.zones.iter().map(|(zone, region)| format!("{zone} = \"{region}\""));
        format!(
            "node_name = \"{name}\"\nip = \"{ip}\"\nzone = \"{zone}\"\nserves = [{serves}]\n\
             internal_ports = [{internal},{}]\nseeds = [{}]\nbootstrap = {is_bootstrap}\n\
             data_dir = {data:?}\n[zones]\n{}\n[listen]\n{listen}\n\
             [fault_tolerance]\nmachines = 1\n[bounds]\ngrace_s = {}\n\
             [limits]\nmemory_mb = {}\n[cloud]\naddress = \"{}\"\n",
            internal + 1,
            seeds.collect::<Vec<_>>().join(","),
            zones.collect::<Vec<_>>().join("\n"),
            GRACE.as_secs(),
            machines.memory_mb,
            self.list.address,
        )
    }

    fn data_folder(&self, node: &Node) -> PathBuf {
        self.folder.path().join(format!("data-{}", node.name))
    }

    /// Stops a machine as planned and starts it again after `absence`. The caller holds its work lock.
    pub fn restart(&self, node: &Node, absence: Duration) {
        self.note_end(node);
        self.timeline.lock().signal(node.address(), SignalKind::Stop);
        let asked_at = Instant::now();
        node.outages.lock().push((asked_at, None));
        node.signal(Signal::TERM);
        loop {
            thread::sleep(EXIT_POLL_INTERVAL);
            let mut process = node.process.lock();
            let Some(running) = &mut *process else { break };
            if let Some(status) = running.child.try_wait().expect("a status") {
                if !status.success() {
                    self.violate(format!("{} exited with {status}", node.name));
                }
                break;
            }
            if asked_at.elapsed() > GRACE {
                self.violate(format!("{} ran at the end of its grace", node.name));
                process.take();
                break;
            }
        }
        self.timeline.lock().exit(node.address());
        thread::sleep(absence);
        self.start_node(node, false);
    }

    /// Tells a machine that its settings file has changed, which it has.
    pub fn reload(&self, node: &Node) {
        let file = self.folder.path().join(format!("{}.toml", node.name));
        fs::write(file, self.settings(node, false)).expect("a settings file");
        self.timeline.lock().signal(node.address(), SignalKind::Reload);
        node.signal(Signal::HUP);
    }

    /// Notes a process that has ended by itself, or used more memory than it has.
    fn note_end(&self, node: &Node) {
        let mut process = node.process.lock();
        let Some(running) = &mut *process else { return };
        if let Some(status) = running.child.try_wait().expect("a status") {
            self.violate(format!("{} ended by itself: {status}", node.name));
        }
        let memory_mb = match node.role {
            Role::Gateway => self.shape.gateways.memory_mb,
            Role::Ledger => self.shape.ledger.memory_mb,
        };
        let peak = running.try_peak_memory().unwrap_or_default();
        if peak > memory_mb << 20 {
            self.violate(format!("{} used {peak} bytes of {memory_mb} MiB", node.name));
        }
    }

    /// Notes the processes that have ended by themselves.
    pub fn note_ends(&self) {
        self.ledger().iter().chain(&self.gateways).for_each(|node| self.note_end(node));
    }

    pub fn violate(&self, violation: String) {
        self.violations.lock().push(violation);
    }

    /// Returns whether all ledger machines ran through the contact time before a moment.
    pub fn is_ledger_calm(&self, moment: Instant) -> bool {
        let removed = self.removed.lock().clone();
        self.ledger().iter().chain(&removed).all(|node| node.is_in_touch(moment))
    }

    pub fn http(&self, node: &Node) -> SocketAddr {
        SocketAddr::new(node.address(), self.ports.http)
    }

    pub fn is_ready(&self, node: &Node) -> bool {
        let address = SocketAddr::new(node.address(), self.ports.ready);
        self.call(address, "ready", "GET", "/-/ready", "", &AttemptLog::default()).0 == 200
    }

    /// Sends an operator's call to one machine; returns status and body, 0 without an answer.
    pub fn operate(
        &self,
        node: &Node,
        id: &str,
        method: &str,
        path: &str,
        body: &str,
    ) -> (u16, Vec<u8>) {
        let address = SocketAddr::new(node.address(), self.ports.control);
        self.call(address, id, method, path, body, &self.attempts)
    }

    fn call(
        &self,
        address: SocketAddr,
        id: &str,
        method: &str,
        path: &str,
        body: &str,
        log: &AttemptLog,
    ) -> (u16, Vec<u8>) {
        let request = format!(
            "{method} {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\
             Content-Length: {}\r\n\r\n{body}",
            body.len()
        );
        let submission = Submission::new(id, &request, OPERATOR_TIME_LIMIT);
        let reply = exchange_recorded(address, &submission, log);
        reply
            .filter(|reply| reply.is_complete)
            .map_or((0, Vec::new()), |reply| (reply.status, reply.body))
    }

    /// Ends all processes; returns the folder of their logs, which stays if `is_kept`.
    pub fn end(self, is_kept: bool) -> Option<PathBuf> {
        let nodes = self.ledger();
        nodes.iter().chain(&self.gateways).for_each(|node| drop(node.process.lock().take()));
        is_kept.then(|| self.folder.keep())
    }
}

fn node(role: Role, name: String, ip: String, zone: &str) -> Arc<Node> {
    Arc::new(Node {
        name,
        ip: ip.leak(),
        zone: zone.to_owned(),
        role,
        process: Mutex::default(),
        outages: Mutex::default(),
        is_removed: AtomicBool::new(false),
        work: Mutex::default(),
    })
}

/// Gateways that receive new connections: those that were ready at one of the last two questions.
pub struct Entry {
    gateways: Vec<(Arc<Node>, AtomicUsize)>,
}

impl Entry {
    const INTERVAL: Duration = Duration::from_secs(1);
    const MAX_MISSES: usize = 2;

    pub fn new(fleet: &Fleet) -> Self {
        let gateways = fleet.gateways.iter().cloned();
        Self { gateways: gateways.map(|node| (node, AtomicUsize::new(0))).collect() }
    }

    /// Asks all gateways until the run is over.
    pub fn watch(&self, fleet: &Fleet, is_over: &AtomicBool) {
        while !is_over.load(Ordering::Relaxed) {
            thread::sleep(Self::INTERVAL);
            for (node, misses) in &self.gateways {
                match fleet.is_ready(node) {
                    true => misses.store(0, Ordering::Relaxed),
                    false => misses.store(
                        misses.load(Ordering::Relaxed).saturating_add(1).min(Self::MAX_MISSES),
                        Ordering::Relaxed,
                    ),
                }
            }
        }
    }

    /// Returns the gateways in use, which are all if none is ready.
    pub fn gateways(&self) -> Vec<Arc<Node>> {
        let is_in = |(_, misses): &&(Arc<Node>, AtomicUsize)| {
            misses.load(Ordering::Relaxed) < Self::MAX_MISSES
        };
        let ready: Vec<_> = self.gateways.iter().filter(is_in).collect();
        let all: Vec<_> = self.gateways.iter().collect();
        let used = if ready.is_empty() { all } else { ready };
        used.into_iter().map(|(node, _)| Arc::clone(node)).collect()
    }
}

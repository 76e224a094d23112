//! Test cluster of real processes on loopback addresses.
//!
//! Store nodes can listen on a separate bind address, which allows a forwarder on the advertised
//! one.

#![allow(dead_code, unused_imports)]

use std::fs;
use std::io::Write as _;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use parking_lot::Mutex;
use rustix::process::{Pid, Signal, kill_process};
use tempfile::TempDir;

pub mod forwarder;
pub mod ledger;

use crate::support::{ListServer, Response, client, exchange, request_head, wait_until};

pub const STORE_IPS: [&str; 3] = ["127.0.0.11", "127.0.0.12", "127.0.0.13"];
/// Bind addresses of the stores when they run behind forwarders.
pub const STORE_BIND_IPS: [&str; 3] = ["127.0.1.11", "127.0.1.12", "127.0.1.13"];
/// Binary of the build under test.
pub const BUILD_UNDER_TEST: &str = env!("CARGO_BIN_EXE_calicohoist");
pub const GATEWAY_IPS: [&str; 2] = ["127.0.0.21", "127.0.0.22"];

const DEFAULT_MEMORY_MB: usize = 20;
/// Memory of a ledger machine of the larger deployments, in MiB.
const DEFAULT_LEDGER_MEMORY_MB: usize = 120;
const DEFAULT_GRACE: Duration = Duration::from_secs(8);

/// Returns the number in an environment variable, or `default` if it is not set.
pub fn number_from_environment(name: &str, default: u64) -> u64 {
    let text = std::env::var(name).ok();
    text.map_or(default, |text| text.parse().expect("a number"))
}

/// Ports, the same on all nodes.
#[derive(Clone, Copy)]
pub struct Ports {
    pub internal: u16,
    pub control: u16,
    pub http: u16,
    pub ready: u16,
}

/// Address on which ports are reserved for a cluster.
const RESERVATION_IP: &str = "127.0.0.99";
/// Reservations of this process, which keep ports from clusters that start side by side.
static RESERVATIONS: Mutex<Vec<[TcpListener; 2]>> = Mutex::new(Vec::new());

/// Reserves a port and the following one; `false` if another cluster has one of them.
fn reserve(port: u16) -> bool {
    let bind = |port| TcpListener::bind((RESERVATION_IP, port));
    let (Ok(first), Ok(second)) = (bind(port), bind(port + 1)) else {
        return false;
    };
    RESERVATIONS.lock().push([first, second]);
    true
}

impl Ports {
    /// Finds ports that are currently free on all addresses, and reserves them.
    pub fn free() -> Self {
        let candidates = std::iter::repeat_with(|| {
            let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
            listener.local_addr().expect("an address").port()
        });
        let is_free = |port: &u16| {
            let addresses = STORE_IPS.iter().chain(&GATEWAY_IPS).chain(&STORE_BIND_IPS);
            *port < u16::MAX
                && reserve(*port)
                && addresses.into_iter().all(|address| {
                    TcpListener::bind((*address, *port)).is_ok()
                        && TcpListener::bind((*address, port + 1)).is_ok()
                })
        };
        let mut found: Vec<u16> = Vec::new();
        for port in candidates.filter(is_free) {
            if found.iter().all(|other| other.abs_diff(port) > 1) {
                found.push(port);
            }
            if let [internal, control, http, ready] = found[..] {
                return Self { internal, control, http, ready };
            }
        }
        unreachable!("the candidates are infinite")
    }
}

pub struct Process {
    pub child: Child,
    pub ip: &'static str,
}

impl Process {
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Sends a signal and does not wait for the process to exit.
    pub fn signal(&self, signal: Signal) {
        let _ = kill_process(Pid::from_child(&self.child), signal);
    }

    /// Returns the processor time used so far.
    pub fn processor_time(&self) -> Duration {
        self.try_processor_time().expect("the process runs")
    }

    /// Returns the peak of the resident memory in bytes.
    pub fn peak_memory(&self) -> usize {
        self.try_peak_memory().expect("the process runs")
    }

    /// Like [`processor_time`](Self::processor_time); `None` once the process was waited for.
    pub fn try_processor_time(&self) -> Option<Duration> {
        let path = format!("/proc/{}/stat", self.child.id());
        let text = fs::read_to_string(path).ok()?;
        // The fields after the name, which is in parentheses, begin with the state.
        let fields = text.rsplit(')').next().unwrap_or_default().split_whitespace();
        let ticks: u64 =
            fields.skip(11).take(2).filter_map(|ticks| ticks.parse::<u64>().ok()).sum();
        Some(Duration::from_secs(ticks) / rustix::param::clock_ticks_per_second() as u32)
    }

    /// Like [`peak_memory`](Self::peak_memory); `None` once the process has ended.
    pub fn try_peak_memory(&self) -> Option<usize> {
        let path = format!("/proc/{}/status", self.child.id());
        let text = fs::read_to_string(path).ok()?;
        let line = text.lines().find_map(|line| line.strip_prefix("VmHWM:"))?;
        let kib: usize = line.trim().strip_suffix(" kB")?.parse().ok()?;
        Some(kib << 10)
    }

    pub fn terminate(&mut self) -> bool {
        let pid = Pid::from_child(&self.child);
        kill_process(pid, Signal::TERM).expect("signalled");
        self.child.wait().expect("ended").success()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

pub struct Cluster {
    pub folder: TempDir,
    pub platform_list: ListServer,
    pub ports: Ports,
    /// Address of the platform list given to the nodes, if not that of `platform_list`.
    pub platform_list_address: Option<SocketAddr>,
    /// Memory of each gateway in MiB.
    pub memory_mb: usize,
    /// Memory of each ledger machine in MiB.
    pub ledger_memory_mb: usize,
    /// Grace period of each machine.
    pub grace: Duration,
}

impl Cluster {
    pub fn new() -> Self {
        let folder = tempfile::tempdir().expect("a folder");
        Self {
            folder,
            platform_list: ListServer::start(),
            ports: Ports::free(),
            platform_list_address: None,
            memory_mb: DEFAULT_MEMORY_MB,
            ledger_memory_mb: DEFAULT_LEDGER_MEMORY_MB,
            grace: DEFAULT_GRACE,
        }
    }

    pub fn data_folder(&self, ip: &str) -> PathBuf {
        self.folder.path().join(format!("data-{ip}"))
    }

    pub fn start(&self, ip: &'static str, bootstrap: bool) -> Process {
        self.start_with_bind(ip, ip, bootstrap)
    }

    /// Starts a node; a store listens on `bind`.
    pub fn start_with_bind(&self, ip: &'static str, bind: &str, bootstrap: bool) -> Process {
        self.start_with_binary(Path::new(BUILD_UNDER_TEST), ip, bind, bootstrap)
    }

    /// Starts a node with the given binary; a store listens on `bind`.
    pub fn start_with_binary(
        &self,
        binary: &Path,
        ip: &'static str,
        bind: &str,
        bootstrap: bool,
    ) -> Process {
        let Ports { internal, control, http, ready } = self.ports;
        let is_store = STORE_IPS.contains(&ip);
        let seeds: Vec<String> =
            STORE_IPS.iter().map(|seed| format!("\"{seed}:{control}\"")).collect();
        let (serves, listen, data) = if is_store {
            let data = format!("data_dir = {:?}\n", self.data_folder(ip));
            ("\"store\",\"control\"", format!("control = \"{ip}:{control}\""), data)
        } else {
            let listen = format!("front_http = \"{ip}:{http}\"\nready = \"{ip}:{ready}\"");
            ("\"front\"", listen, String::new())
        };
        let text = format!(
            "node_name = \"node-{ip}\"\nip = \"{ip}\"\nzone = \"hall\"\nserves = [{serves}]\n\
             internal_ports = [{internal},{}]\nseeds = [{}]\nbootstrap = {bootstrap}\n{data}\
             [listen]\n{listen}\n[fault_tolerance]\nmachines = 1\n[bounds]\ngrace_s = {}\n\
             [limits]\nmemory_mb = {}\n[cloud]\naddress = \"{}\"\n",
            internal + 1,
            seeds.join(","),
            self.grace.as_secs_f64(),
            if is_store { self.ledger_memory_mb } else { self.memory_mb },
            self.platform_list_address.unwrap_or(self.platform_list.address),
        );
        let file = self.folder.path().join(format!("{ip}.toml"));
        fs::write(&file, text).expect("a settings file");
        let log = fs::File::options()
            .create(true)
            .append(true)
            .open(self.folder.path().join(format!("{ip}.log")))
            .expect("a log");
        let bind: &[&str] = if is_store { &["--bind", bind] } else { &[] };
        let child = Command::new(binary)
            .args(["--log-format", "json", "serve", "--node-file"])
            .arg(&file)
            .args(bind)
            .stdout(Stdio::from(log.try_clone().expect("a handle")))
            .stderr(Stdio::from(log))
            .spawn()
            .expect("started");
        Process { child, ip }
    }

    pub fn control(&self, ip: &str) -> SocketAddr {
        SocketAddr::new(ip.parse().expect("an address"), self.ports.control)
    }

    /// Sends an operator request to each store until one replies with 200; returns its IP.
    pub fn operator_request(
        &self,
        method: &str,
        path: &str,
        body: &str,
    ) -> Option<(Response, &'static str)> {
        STORE_IPS.iter().find_map(|ip| {
            let mut stream = std::net::TcpStream::connect(self.control(ip)).ok()?;
            let request = format!(
                "{method} {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\
                 Content-Length: {}\r\n\r\n{body}",
                body.len()
            );
            stream.write_all(request.as_bytes()).ok()?;
            let reply = client::read_response(&mut std::io::BufReader::new(stream));
            (reply.status == 200).then_some((reply, *ip))
        })
    }

    pub fn leader(&self) -> &'static str {
        let mut leader = None;
        wait_until("a leader is elected", || {
            self.operator_request("GET", "/-/config", "").is_some()
        });
        while leader.is_none() {
            leader = self.operator_request("GET", "/-/config", "").map(|(_, ip)| ip);
        }
        leader.unwrap_or(STORE_IPS[0])
    }

    pub fn http(&self, ip: &str) -> SocketAddr {
        SocketAddr::new(ip.parse().expect("an address"), self.ports.http)
    }

    pub fn is_ready(&self, ip: &str) -> bool {
        let address = SocketAddr::new(ip.parse().expect("an address"), self.ports.ready);
        std::net::TcpStream::connect(address).is_ok()
            && client::control(address, "GET", "/-/ready", "").status == 200
    }

    /// Runs a turn, retried until its answer is complete; returns the id of that attempt.
    pub fn turn(&self, gateway: &str, name: &str, previous: Option<&str>, input: &str) -> String {
        let header = previous.map(|previous| format!("Calicohoist-Previous-Turn: {previous}"));
        let headers: Vec<&str> = header.as_deref().into_iter().collect();
        for attempt in 0.. {
            let id = format!("{name}-{attempt}");
            let head = request_head("POST", "/retained/a", &id, input.len(), &headers);
            let reply = exchange(self.http(gateway), format!("{head}{input}").as_bytes());
            assert_ne!(reply.status, 404, "{id} after {previous:?}");
            if reply.status == 200 && reply.is_complete {
                return id;
            }
            assert!(attempt < 400, "{name} was never completed: {}", reply.status);
            std::thread::sleep(std::time::Duration::from_millis(25));
        }
        unreachable!("the number of attempts is limited")
    }
}

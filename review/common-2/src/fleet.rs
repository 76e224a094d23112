//! Processes of the product, started as the deploy file says, and their operator.

use std::fs::{self, File};
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::time::{Duration, Instant};

use crate::client::{Request, Response};
use crate::platform::Platform;

/// Host of all routes.
pub const HOST: &str = "desk.example";
/// Limit on the heads of requests, in bytes, as on the pages.
pub const MAX_HEADER_BYTES: usize = 16_384;
/// Command of both roles in the deploy file, from the root of the repository.
const COMMAND: [&str; 5] =
    ["target/release/calicohoist", "--log-format", "json", "serve", "--metrics-port"];
const METRICS_PORT: &str = "9464";
/// Time after which an operator moves on to another machine.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Processes that have been started.
static CHILDREN: Mutex<Vec<Child>> = Mutex::new(Vec::new());
static FOLDER: Mutex<Option<PathBuf>> = Mutex::new(None);

unsafe extern "C" {
    fn kill(process: i32, signal: i32) -> i32;
}

/// A signal to a process.
#[derive(Clone, Copy, Debug)]
pub enum Signal {
    /// States that the settings file has changed.
    HangUp = 1,
    /// Ends the process at once.
    Kill = 9,
    /// Asks the process to end.
    Terminate = 15,
}

/// Ends all processes that this case has started, and removes its folder.
pub fn kill_all() {
    for child in CHILDREN.lock().expect("the processes").iter_mut() {
        let _ = child.kill();
        let _ = child.wait();
    }
    if let Some(folder) = FOLDER.lock().expect("the folder").take() {
        let _ = fs::remove_dir_all(folder);
    }
}

/// Ports, the same on all machines.
#[derive(Clone, Copy)]
struct Ports {
    internal: u16,
    control: u16,
    http: u16,
    ready: u16,
}

/// A machine with one process.
#[derive(Clone, Debug)]
pub struct Machine {
    /// Name in its settings.
    pub name: String,
    /// Address.
    pub ip: String,
    /// Whether it keeps data and serves operators; otherwise it admits clients.
    pub is_store: bool,
}

/// A small deployment: three or four store machines, two front machines.
pub struct Fleet {
    /// Stand-in for the platform.
    pub platform: Platform,
    /// First three bytes of all addresses.
    net: String,
    folder: PathBuf,
    ports: Ports,
    /// Addresses of the store machines that the settings name as seeds.
    seeds: Vec<String>,
}

impl Fleet {
    /// Creates a deployment whose first `seeds` store machines are named in the settings.
    pub fn new() -> Self {
        let number = std::process::id();
        let net = format!("127.{}.{}", 1 + number % 250, 1 + number / 250 % 250);
        let folder = std::env::temp_dir().join(format!("review-2-{number}"));
        fs::create_dir_all(&folder).expect("a temporary folder");
        *FOLDER.lock().expect("the folder") = Some(folder.clone());
        let platform = Platform::start(&format!("{net}.1"));
        let seeds = (1..=3).map(|number| store_ip(&net, number)).collect();
        let ports = free_ports(&net);
        Self { platform, net, folder, ports, seeds }
    }

    /// Returns the address of a stand-in.
    pub fn stand_in_ip(&self, number: u8) -> String {
        format!("{}.{}", self.net, 100 + number)
    }

    /// Describes a store machine.
    pub fn store(&self, number: u8) -> Machine {
        let name = format!("store-hall-{number}");
        Machine { name, ip: store_ip(&self.net, number), is_store: true }
    }

    /// Describes a front machine.
    pub fn front(&self, number: u8) -> Machine {
        let name = format!("front-hall-{number}");
        Machine { name, ip: format!("{}.{}", self.net, 40 + number), is_store: false }
    }

    /// Writes the settings file of a machine.
    pub fn write_settings(&self, machine: &Machine, bootstrap: bool) {
        let Machine { name, ip, is_store } = machine;
        let Ports { internal, control, http, ready } = self.ports;
        let (serves, class, listen) = match is_store {
            true => ("\"store\",\"control\"", "store", format!("control = \"{ip}:{control}\"")),
            false => (
                "\"front\"",
                "front",
                format!("front_http = \"{ip}:{http}\"\nready = \"{ip}:{ready}\""),
            ),
        };
        let data = match is_store {
            true => {
                let data = self.data_folder(machine);
                fs::create_dir_all(&data).expect("a data folder");
                format!("data_dir = {data:?}\n")
            }
            false => String::new(),
        };
        let seeds: Vec<String> =
            self.seeds.iter().map(|seed| format!("\"{seed}:{control}\"")).collect();
        let text = format!(
            "node_name = \"{name}\"\nrole = \"{class}\"\nmachine_class = \"{class}\"\n\
             serves = [{serves}]\nip = \"{ip}\"\nzone = \"hall\"\nregion = \"place\"\n\
             internal_ports = [{internal},{}]\nseeds = [{}]\nbootstrap = {bootstrap}\n\
             in_tolerance = {is_store}\ndiscovery = \"cloud\"\nentry = \"vip\"\n\
             heartbeat_ms = 1200\n{data}\
             contracts = [\"base\",\"drain\",\"config\",\"cost\",\"recover\",\"agent\",\"stream\",\"engine\"]\n\
             config_mode = \"highest\"\n[zones]\nhall = \"place\"\n[listen]\n{listen}\n\
             [limits]\ncpu_share = 0.5\ncores = 1\nmemory_mb = 280\nmax_fds = 4100\n\
             link_mbps = 1000.0\ndisk_mb = 380\n\
             [fault_tolerance]\nmachines = 1\nzones = 0\nregions = 0\n\
             [bounds]\nseed_lag_s = 3\naddr_reuse_s = 2\ncontact_ms = 3000\nack_ms = 4000\n\
             catch_up_s = 4.4\ndrain_ms = 3000\ngrace_s = 8\nloss_slack_ms = 200\n\
             config_apply_ms = 2000\nrollback_slack_ms = 250\nmax_skew_ms = 5000\nrecover_s = 12\n\
             pass_ms = 120\nretry_after_s = 0\nfinish_s = 10\nsettle_ms = 1000\n\
             [cloud]\naddress = \"{}\"\nrate_per_s = 47.0\nduties = []\nmax_lag_ms = 800\n",
            internal + 15,
            seeds.join(","),
            self.platform.address,
        );
        fs::write(self.settings_file(machine), text).expect("a settings file");
    }

    /// Starts the process of a machine.
    pub fn start(&self, machine: &Machine, bootstrap: bool) {
        self.write_settings(machine, bootstrap);
        let log = File::options().create(true).append(true).open(self.log_file(machine));
        let log = log.expect("a log");
        let child = Command::new(COMMAND[0])
            .args(&COMMAND[1..])
            .arg(METRICS_PORT)
            .env("CALICOHOIST_NODE_FILE", self.settings_file(machine))
            .stdout(Stdio::from(log.try_clone().expect("a handle")))
            .stderr(Stdio::from(log))
            .spawn()
            .expect("the program of the deploy file");
        self.set_process(machine, child.id());
        CHILDREN.lock().expect("the processes").push(child);
    }

    fn settings_file(&self, machine: &Machine) -> PathBuf {
        self.folder.join(format!("{}.toml", machine.ip))
    }

    fn process_file(&self, machine: &Machine) -> PathBuf {
        self.folder.join(format!("{}.pid", machine.ip))
    }

    fn set_process(&self, machine: &Machine, id: u32) {
        fs::write(self.process_file(machine), id.to_string()).expect("a file for the id");
    }

    fn log_file(&self, machine: &Machine) -> PathBuf {
        self.folder.join(format!("{}.log", machine.ip))
    }

    fn data_folder(&self, machine: &Machine) -> PathBuf {
        self.folder.join(format!("data-{}", machine.ip))
    }

    /// Sends a signal to the process of a machine; returns the id of the process.
    pub fn signal(&self, machine: &Machine, signal: Signal) -> u32 {
        let id = fs::read_to_string(self.process_file(machine)).expect("the id of a process");
        let id: u32 = id.parse().expect("a number");
        // SAFETY: the call has no memory effects; the process is one that this case has started.
        unsafe { kill(i32::try_from(id).expect("an id"), signal as i32) };
        id
    }

    /// Sends a signal to the process of a machine and waits until it has ended.
    pub fn end(&self, machine: &Machine, signal: Signal) {
        let id = self.signal(machine, signal);
        let mut children = CHILDREN.lock().expect("the processes");
        let child = children.iter_mut().rfind(|child| child.id() == id).expect("the process");
        child.wait().expect("the end of the process");
    }

    /// Removes the disk of a machine.
    pub fn remove_disk(&self, machine: &Machine) {
        fs::remove_dir_all(self.data_folder(machine)).expect("remove the data folder");
    }

    /// Returns the address for clients.
    pub fn http(&self, machine: &Machine) -> SocketAddr {
        address(&machine.ip, self.ports.http)
    }

    /// Returns whether a front machine says that it is ready.
    pub fn is_ready(&self, machine: &Machine) -> bool {
        let request = Request::new("GET", "/-/ready", b"");
        request.send(address(&machine.ip, self.ports.ready), CALL_TIMEOUT).status == 200
    }

    /// Sends an order of the operator to one machine; follows two redirections.
    pub fn call(
        &self,
        machine: &Machine,
        method: &'static str,
        path: &str,
        body: &str,
    ) -> Response {
        let request = Request::new(method, path, body.as_bytes());
        let mut target = address(&machine.ip, self.ports.control);
        for _ in 0..2 {
            let response = request.send(target, CALL_TIMEOUT);
            if response.status != 307 {
                return response;
            }
            let location = response.head.get("location").unwrap_or_default();
            let host = location.strip_prefix("http://").and_then(|rest| rest.split('/').next());
            match host.and_then(|host| host.parse().ok()) {
                Some(next) => target = next,
                None => return response,
            }
        }
        request.send(target, CALL_TIMEOUT)
    }

    /// Sends an order to `machines` in turn until one answers with 200 or a final status, or until `limit`
    /// has passed; returns the last response.
    pub fn order(
        &self,
        machines: &[&Machine],
        method: &'static str,
        path: &str,
        body: &str,
        limit: Duration,
    ) -> Response {
        let until = Instant::now() + limit;
        let mut last = Response::default();
        while Instant::now() < until {
            for machine in machines {
                let response = self.call(machine, method, path, body);
                match response.status {
                    200 | 400 | 404 | 409 | 412 | 413 | 422 => return response,
                    _ => last = response,
                }
            }
            std::thread::sleep(Duration::from_millis(100));
        }
        last
    }
}

impl Default for Fleet {
    fn default() -> Self {
        Self::new()
    }
}

/// A configuration document with these routes, as JSON, and the services `models`, `moved` and `desk`.
pub fn configuration(version: u64, routes: &[String]) -> String {
    let engine = "{\"slots\":12,\"kv_capacity\":139361,\"kv_token_bytes\":131072,\
                  \"link_mbps\":1100000.0,\"backups\":true,\"tokens_per_event\":9,\"most\":12,\
                  \"pin_ms\":4000.0,\"hold_ms\":2000.0,\"handle_s\":5.0,\"models\":[{\"name\":\"m\"}]}";
    let model = |name: &str| {
        format!(
            "{{\"name\":\"{name}\",\"health_path\":\"/health\",\"max_conns\":170,\
             \"protocol\":\"h1\",\"tls\":false,\"engine\":{engine}}}"
        )
    };
    let desk = "{\"name\":\"desk\",\"health_path\":\"/health\",\"max_conns\":110,\
                \"protocol\":\"h1\",\"tls\":false}";
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{},{},{desk}],\
         \"limits\":{{\"max_header_bytes\":{MAX_HEADER_BYTES},\"max_body_bytes\":4194304,\
         \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}}}",
        routes.join(","),
        model("models"),
        model("moved"),
    )
}

/// A route of a configuration.
#[derive(Clone, Copy, Debug)]
pub struct Route<'a> {
    /// Name, and path between slashes.
    pub name: &'a str,
    /// `safe`, `unsafe` or `stream`.
    pub kind: &'a str,
    /// Service.
    pub service: &'a str,
    /// Whether turns are kept.
    pub retain: bool,
    /// Whether streams may be resumed.
    pub resumable: bool,
}

impl Route<'_> {
    /// Returns the entry of a configuration document.
    pub fn to_json(self) -> String {
        let Self { name, kind, service, retain, resumable } = self;
        format!(
            "{{\"name\":\"{name}\",\"host\":\"{HOST}\",\"path_prefix\":\"/{name}/\",\
             \"kind\":\"{kind}\",\"timeout_ms\":4000,\"target_latency_ms\":250,\"priority\":1,\
             \"service\":\"{service}\",\"max_attempts\":1,\"retain\":{retain},\"retention_s\":60.0,\
             \"sticky\":true,\"resumable\":{resumable},\"target_gap_ms\":200}}"
        )
    }
}

fn store_ip(net: &str, number: u8) -> String {
    format!("{net}.{}", 10 + number)
}

fn address(ip: &str, port: u16) -> SocketAddr {
    SocketAddr::new(ip.parse().expect("an address"), port)
}

/// Finds four ports that are free on the first address of the network.
fn free_ports(net: &str) -> Ports {
    let ip = format!("{net}.1");
    let free = |count: u16| loop {
        let first = TcpListener::bind((ip.as_str(), 0)).expect("a free port");
        let port = first.local_addr().expect("a bound address").port();
        drop(first);
        let is_free = |port: u16| TcpListener::bind((ip.as_str(), port)).is_ok();
        if port < u16::MAX - count && (port..port + count).all(is_free) {
            return port;
        }
    };
    Ports { internal: free(16), control: free(1), http: free(1), ready: free(1) }
}

//! A day in small on the platform, with the product's real processes: a calm start,
//! programs under way, a killed leader, a lost disk, a planned stop.

#[path = "../../../platform/tests/support/mod.rs"]
mod support;

use std::fs;
use std::io::Write as _;
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};

use rustix::process::{Pid, Signal, kill_process};
use support::{
    ListServer, Reply, ScriptedReplica, client, configuration, exchange, request_head, wait_until,
};
use tempfile::TempDir;

const STORES: [&str; 3] = ["127.0.0.11", "127.0.0.12", "127.0.0.13"];
const FRONTS: [&str; 2] = ["127.0.0.21", "127.0.0.22"];

/// Ports that are alike on all machines.
#[derive(Clone, Copy)]
struct Ports {
    internal: u16,
    control: u16,
    http: u16,
    ready: u16,
}

impl Ports {
    /// Ports that are free on every address just now.
    fn free() -> Self {
        let candidates = std::iter::repeat_with(|| {
            let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
            listener.local_addr().expect("an address").port()
        });
        let is_free = |port: &u16| {
            let addresses = STORES.iter().chain(&FRONTS);
            *port < u16::MAX
                && addresses.into_iter().all(|address| {
                    TcpListener::bind((*address, *port)).is_ok()
                        && TcpListener::bind((*address, port + 1)).is_ok()
                })
        };
        let mut found: Vec<u16> = Vec::new();
        for port in candidates.filter(is_free) {
            if found.iter().all(|known| known.abs_diff(port) > 1) {
                found.push(port);
            }
            if let [internal, control, http, ready] = found[..] {
                return Self { internal, control, http, ready };
            }
        }
        unreachable!("the candidates never end")
    }
}

struct Process {
    child: Child,
    ip: &'static str,
}

impl Process {
    fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    fn terminate(&mut self) -> bool {
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

struct Machines {
    folder: TempDir,
    list: ListServer,
    ports: Ports,
}

impl Machines {
    fn new() -> Self {
        let folder = tempfile::tempdir().expect("a folder");
        Self { folder, list: ListServer::start(), ports: Ports::free() }
    }

    fn data_folder(&self, ip: &str) -> PathBuf {
        self.folder.path().join(format!("data-{ip}"))
    }

    fn start(&self, ip: &'static str, bootstrap: bool) -> Process {
        let Ports { internal, control, http, ready } = self.ports;
        let is_store = STORES.contains(&ip);
        let seeds: Vec<String> =
            STORES.iter().map(|seed| format!("\"{seed}:{control}\"")).collect();
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
             [listen]\n{listen}\n[fault_tolerance]\nmachines = 1\n[bounds]\ngrace_s = 8\n\
             [cloud]\naddress = \"{}\"\n",
            internal + 1,
            seeds.join(","),
            self.list.address,
        );
        let file = self.folder.path().join(format!("{ip}.toml"));
        fs::write(&file, text).expect("a settings file");
        let log = fs::File::options()
            .create(true)
            .append(true)
            .open(self.folder.path().join(format!("{ip}.log")))
            .expect("a log");
        let child = Command::new(env!("CARGO_BIN_EXE_calicohoist"))
            .args(["--log-format", "json", "serve", "--node-file"])
            .arg(&file)
            .stdout(Stdio::from(log.try_clone().expect("a handle")))
            .stderr(Stdio::from(log))
            .spawn()
            .expect("started");
        Process { child, ip }
    }

    fn control(&self, ip: &str) -> SocketAddr {
        SocketAddr::new(ip.parse().expect("an address"), self.ports.control)
    }

    /// Asks every store machine until one answers 200 by itself.
    fn operator(&self, method: &str, path: &str, body: &str) -> Option<(Reply, &'static str)> {
        STORES.iter().find_map(|ip| {
            let mut stream = std::net::TcpStream::connect(self.control(ip)).ok()?;
            let request = format!(
                "{method} {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\
                 Content-Length: {}\r\n\r\n{body}",
                body.len()
            );
            stream.write_all(request.as_bytes()).ok()?;
            let reply = client::read_reply(&mut std::io::BufReader::new(stream));
            (reply.status == 200).then_some((reply, *ip))
        })
    }

    fn leader(&self) -> &'static str {
        let mut leader = None;
        wait_until("somebody leads", || self.operator("GET", "/-/config", "").is_some());
        while leader.is_none() {
            leader = self.operator("GET", "/-/config", "").map(|(_, ip)| ip);
        }
        leader.unwrap_or(STORES[0])
    }

    fn http(&self, ip: &str) -> SocketAddr {
        SocketAddr::new(ip.parse().expect("an address"), self.ports.http)
    }

    fn is_ready(&self, ip: &str) -> bool {
        let address = SocketAddr::new(ip.parse().expect("an address"), self.ports.ready);
        std::net::TcpStream::connect(address).is_ok()
            && client::control(address, "GET", "/-/ready", "").status == 200
    }

    /// A turn, asked again as its caller would until it is whole; returns its identity.
    fn turn(&self, front: &str, name: &str, previous: Option<&str>, input: &str) -> String {
        let line = previous.map(|previous| format!("Calicohoist-Previous-Turn: {previous}"));
        let more: Vec<&str> = line.as_deref().into_iter().collect();
        for attempt in 0.. {
            let id = format!("{name}-{attempt}");
            let head = request_head("POST", "/retained/a", &id, input.len(), &more);
            let reply = exchange(self.http(front), format!("{head}{input}").as_bytes());
            assert_ne!(reply.status, 404, "{id} after {previous:?}");
            if reply.status == 200 && reply.is_complete {
                return id;
            }
            assert!(attempt < 400, "{name} never ended whole: {}", reply.status);
            std::thread::sleep(std::time::Duration::from_millis(25));
        }
        unreachable!("the attempts end by themselves")
    }
}

fn model() -> ScriptedReplica {
    ScriptedReplica::start("i-1", |exchange| {
        let id = exchange.seen.id().to_owned();
        exchange.begin_stream();
        exchange.event(1, &id);
        exchange.end_stream();
    })
}

#[test]
fn programs_go_on_through_a_killed_leader_a_lost_disk_and_a_planned_stop() {
    let machines = Machines::new();
    let model = model();
    machines.list.show(&model, "models", "ready");
    let mut stores: Vec<Process> = STORES.iter().map(|ip| machines.start(ip, true)).collect();
    let mut fronts: Vec<Process> = FRONTS.iter().map(|ip| machines.start(ip, true)).collect();
    let body = configuration(5).to_string();
    wait_until("the configuration is accepted", || {
        machines.operator("PUT", "/-/config", &body).is_some()
    });
    wait_until("the gateways are ready", || FRONTS.iter().all(|ip| machines.is_ready(ip)));

    let first = machines.turn(FRONTS[0], "one", None, "hello ");
    let second = machines.turn(FRONTS[1], "two", Some(&first), "again ");

    let leader = machines.leader();
    let store = stores.iter_mut().find(|store| store.ip == leader).expect("the leader");
    store.kill();
    let third = machines.turn(FRONTS[0], "three", Some(&second), "more ");

    // The killed machine comes back with an empty disk, then another is killed.
    fs::remove_dir_all(machines.data_folder(leader)).expect("a lost disk");
    *store = machines.start(leader, false);
    let fourth = machines.turn(FRONTS[1], "four", Some(&third), "yet more ");
    let other = machines.leader();
    let store = stores.iter_mut().find(|store| store.ip == other).expect("the next leader");
    store.kill();
    *store = machines.start(other, false);
    let fifth = machines.turn(FRONTS[0], "five", Some(&fourth), "the last ");

    let bodies = model.requests();
    let last = bodies.iter().rev().find(|seen| seen.id() == fifth).expect("it ran");
    let expected =
        format!("hello {first}\nagain {second}\nmore {third}\nyet more {fourth}\nthe last ");
    assert_eq!(String::from_utf8_lossy(&last.body), expected);

    let mut read = None;
    wait_until("the configuration is read back", || {
        machines.operator("GET", "/-/config", "").is_some()
    });
    while read.is_none() {
        read = machines.operator("GET", "/-/config", "").map(|(reply, _)| reply.text());
    }
    assert_eq!(read.as_deref(), Some(body.as_str()));

    assert!(fronts[0].terminate(), "a planned stop ends with status 0");
    machines.turn(FRONTS[1], "six", Some(&fifth), "after the stop");
}

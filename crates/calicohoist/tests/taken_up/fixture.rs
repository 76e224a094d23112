//! A cluster with replicas of two software versions, and clients whose streams break off.

use std::fmt;
use std::io::{BufRead, BufReader, Write as _};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use parking_lot::Mutex;
use rustix::process::Signal;
use serde_json::json;

use crate::cluster::{Cluster, GATEWAY_IPS, Process, STORE_IPS};
use crate::support::replica::Exchange;
use crate::support::{
    Response, ScriptedReplica, client, configuration, remove_entry, request_head, wait_until,
};

const OLDER: &str = "v1";
const NEWER: &str = "v2";
const EVENTS_PER_STREAM: u64 = 3;
const REPLICAS_PER_VERSION: usize = 2;
/// Tries of a client that is asked to come back.
const MAX_TRIES: usize = 3;
/// Tries of a client that comes back for as long as it is asked to.
const MAX_PATIENT_TRIES: usize = 50;
/// Time for which a gateway is held up.
const GATEWAY_PAUSE: Duration = Duration::from_millis(800);
/// Time within which the gateways learn of a change of the list.
const LIST_DELAY: Duration = Duration::from_millis(1_500);
const GATEWAY: &str = GATEWAY_IPS[0];
const OTHER_GATEWAY: &str = GATEWAY_IPS[1];

/// Which replicas serve before and after the kill.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Serving {
    /// Both versions, all the time.
    BothVersions,
    /// Both versions before the kill, the newer one afterwards.
    OlderLeaves,
    /// The older version before the kill, the newer one afterwards.
    OlderIsReplaced,
}

/// What happens to the ledger.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LedgerFault {
    None,
    /// All machines are killed with the gateways, and start again.
    Killed,
    /// No leader from before the streams begin until the gateways were killed.
    NoLeader,
    /// No leader while the streams begin; there is one when the gateways are killed.
    LateLeader,
}

impl LedgerFault {
    /// Returns whether what is written before a first event can be read after the kill.
    pub fn keeps_records(self) -> bool {
        matches!(self, Self::None | Self::Killed)
    }
}

/// A stream that has had its first event.
pub struct BegunStream {
    id: String,
    version: String,
    connection: TcpStream,
}

/// What became of a stream that was taken up.
#[derive(Debug)]
pub struct StreamFate {
    id: String,
    began_at: String,
    /// Versions that sent the remaining events.
    continued_at: Vec<String>,
    status: u16,
    is_whole: bool,
    is_served: bool,
    reason: String,
}

impl fmt::Display for StreamFate {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { id, began_at, continued_at, status, is_whole, reason, .. } = self;
        write!(
            formatter,
            "{id} began at {began_at}, ran at {continued_at:?}, {status} {reason}, whole: {is_whole}"
        )
    }
}

impl StreamFate {
    /// Returns whether the stream has events of two versions.
    pub fn is_joined(&self) -> bool {
        self.continued_at.iter().any(|version| *version != self.began_at)
    }

    /// Returns whether the stream did not go on although replicas of its version serve.
    pub fn is_lost(&self) -> bool {
        self.is_served && !self.is_whole
    }
}

/// Request ids of the runs, with the software version of the replica.
type RunLog = Arc<Mutex<Vec<(String, &'static str)>>>;

pub struct Fleet {
    cluster: Cluster,
    ledger: Vec<Process>,
    gateway: Process,
    replicas: Vec<(ScriptedReplica, &'static str)>,
    serving: Serving,
    runs: RunLog,
    killed_at: Instant,
}

impl Fleet {
    pub fn start(serving: Serving) -> Self {
        let cluster = Cluster::new();
        let ledger = STORE_IPS.iter().map(|ip| cluster.start(ip, true)).collect();
        let runs = RunLog::default();
        let versions = [OLDER, NEWER].into_iter().cycle().take(2 * REPLICAS_PER_VERSION);
        let replicas: Vec<_> = versions
            .enumerate()
            .map(|(number, version)| (start_replica(number, version, &runs), version))
            .collect();
        let gateway = cluster.start(GATEWAY, false);
        let fleet =
            Self { cluster, ledger, gateway, replicas, serving, runs, killed_at: Instant::now() };
        fleet.list(OLDER);
        if serving != Serving::OlderIsReplaced {
            fleet.list(NEWER);
        }
        let document = configuration(1).to_string();
        wait_until("the configuration is accepted", || {
            fleet.cluster.operator_request("PUT", "/-/config", &document).is_some()
        });
        wait_until("the gateway is ready", || fleet.cluster.is_ready(GATEWAY));
        // The first list may have been incomplete.
        thread::sleep(LIST_DELAY);
        fleet
    }

    fn list(&self, version: &str) {
        for (replica, _) in self.replicas.iter().filter(|(_, known)| *known == version) {
            self.cluster.platform_list.put(replica, "models", "ready");
            self.cluster.platform_list.set_field(replica, "version", json!(version));
        }
    }

    fn unlist(&self, version: &str) {
        for (replica, _) in self.replicas.iter().filter(|(_, known)| *known == version) {
            remove_entry(&self.cluster.platform_list.instances, &replica.id);
        }
    }

    /// Begins what makes records late or impossible.
    pub fn begin_fault(&self, fault: LedgerFault) {
        if matches!(fault, LedgerFault::NoLeader | LedgerFault::LateLeader) {
            self.signal_ledger(Signal::STOP);
        }
    }

    /// Starts a second gateway, and waits until it is ready.
    pub fn start_other_gateway(&self) -> Process {
        let gateway = self.cluster.start(OTHER_GATEWAY, false);
        wait_until("the other gateway is ready", || self.cluster.is_ready(OTHER_GATEWAY));
        gateway
    }

    /// Breaks the connections of all clients, which come to the other gateway at the same time. The ledger
    /// has a leader again while they do, and the gateway that began the streams is held up for a moment.
    pub fn take_up_while_leader_returns(&self, streams: &[BegunStream]) -> Vec<StreamFate> {
        for stream in streams {
            let _ = stream.connection.shutdown(Shutdown::Both);
        }
        let take_up = |stream| self.take_up_at(OTHER_GATEWAY, MAX_PATIENT_TRIES, stream);
        thread::scope(|scope| {
            let clients: Vec<_> =
                streams.iter().map(|stream| scope.spawn(move || take_up(stream))).collect();
            self.gateway.signal(Signal::STOP);
            self.signal_ledger(Signal::CONT);
            thread::sleep(GATEWAY_PAUSE);
            self.gateway.signal(Signal::CONT);
            clients.into_iter().map(|client| client.join().expect("a client")).collect()
        })
    }

    fn signal_ledger(&self, signal: Signal) {
        self.ledger.iter().for_each(|machine| machine.signal(signal));
    }

    /// Begins streams at the same time, and waits for their first events.
    pub fn begin_streams(&self, count: usize) -> Vec<BegunStream> {
        let address = self.cluster.http(GATEWAY);
        let clients: Vec<_> = (0..count)
            .map(|number| thread::spawn(move || begin_stream(address, &format!("s{number}"))))
            .collect();
        clients.into_iter().map(|client| client.join().expect("a stream begins")).collect()
    }

    /// Kills the gateway, changes the list as `serving` says, and starts the gateway again.
    pub fn kill_gateways_after(&mut self, delay: Duration, fault: LedgerFault) {
        if fault == LedgerFault::LateLeader {
            self.signal_ledger(Signal::CONT);
        }
        thread::sleep(delay);
        self.gateway.signal(Signal::KILL);
        if fault == LedgerFault::Killed {
            self.signal_ledger(Signal::KILL);
        }
        self.gateway.kill();
        self.killed_at = Instant::now();
        if self.serving != Serving::BothVersions {
            self.unlist(OLDER);
            self.list(NEWER);
        }
        match fault {
            LedgerFault::None | LedgerFault::LateLeader => {}
            LedgerFault::NoLeader => self.signal_ledger(Signal::CONT),
            LedgerFault::Killed => {
                self.ledger.iter_mut().for_each(Process::kill);
                for machine in &mut self.ledger {
                    *machine = self.cluster.start(machine.ip, false);
                }
            }
        }
        self.gateway = self.cluster.start(GATEWAY, false);
    }

    /// Waits until `wait` has passed since the kill, and the gateway is ready.
    pub fn wait_since_kill(&self, wait: Duration) {
        thread::sleep(wait.saturating_sub(self.killed_at.elapsed()));
        wait_until("the gateway is ready", || self.cluster.is_ready(GATEWAY));
    }

    /// Takes a stream up after its first event. A client that is asked to come back does so.
    pub fn take_up(&self, stream: &BegunStream) -> StreamFate {
        self.take_up_at(GATEWAY, MAX_TRIES, stream)
    }

    fn take_up_at(&self, gateway: &str, max_tries: usize, stream: &BegunStream) -> StreamFate {
        let address = self.cluster.http(gateway);
        let mut response = Response::default();
        let mut continued_at = Vec::new();
        for attempt in 0..max_tries {
            let id = format!("{}-again-{attempt}", stream.id);
            response = resume(address, &id, &stream.id);
            let runs = self.runs.lock();
            let of_request = runs.iter().filter(|(run, _)| *run == id);
            continued_at.extend(of_request.map(|(_, version)| (*version).to_owned()));
            if response.status != 503 {
                break;
            }
            drop(runs);
            thread::sleep(retry_after(&response));
        }
        let is_whole = response.status == 200
            && response.is_complete
            && response.text().matches("data: ").count() as u64 == EVENTS_PER_STREAM - 1;
        StreamFate {
            id: stream.id.clone(),
            began_at: stream.version.clone(),
            continued_at,
            status: response.status,
            is_whole,
            is_served: stream.version == NEWER || self.serving == Serving::BothVersions,
            reason: if response.status == 200 { String::new() } else { response.text() },
        }
    }
}

fn retry_after(response: &Response) -> Duration {
    let seconds = response.header("retry-after").and_then(|value| value.parse().ok());
    Duration::from_secs_f64(seconds.unwrap_or(0.5))
}

/// Starts a replica that breaks off no stream: a new one pauses after its first event.
fn start_replica(number: usize, version: &'static str, runs: &RunLog) -> ScriptedReplica {
    let runs = Arc::clone(runs);
    ScriptedReplica::start(&format!("i-{number}"), move |exchange| {
        let last = exchange.request.header("last-event-id").and_then(|last| last.parse().ok());
        runs.lock().push((exchange.request.id().to_owned(), version));
        exchange.start_stream();
        send_events(exchange, version, last);
    })
}

fn send_events(exchange: &mut Exchange<'_>, version: &str, last: Option<u64>) {
    for number in last.unwrap_or(0) + 1..=EVENTS_PER_STREAM {
        if last.is_none() && number == 2 {
            exchange.wait_for_close();
            return;
        }
        exchange.send_event(number, version);
    }
    exchange.end_stream();
}

/// Begins a stream and reads its first event.
fn begin_stream(address: SocketAddr, id: &str) -> BegunStream {
    let mut connection = client::connect(address);
    let head = request_head("POST", "/resumable/a", id, 2, &[]);
    connection.write_all(format!("{head}hi").as_bytes()).expect("the request is sent");
    let reader = BufReader::new(connection.try_clone().expect("a handle"));
    let mut lines = reader.lines().map_while(Result::ok);
    let data = lines.find_map(|line| line.strip_prefix("data: ").map(str::to_owned));
    let version = data.unwrap_or_else(|| panic!("{id} has no event"));
    BegunStream { id: id.to_owned(), version, connection }
}

fn resume(address: SocketAddr, id: &str, first: &str) -> Response {
    let resumes = format!("Resumes: {first}");
    let head = request_head("POST", "/resumable/a", id, 2, &["Last-Event-Id: 1", &resumes]);
    client::exchange(address, format!("{head}hi").as_bytes())
}

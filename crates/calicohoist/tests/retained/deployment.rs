//! Ledger machines, a gateway and a model whose routes keep turns for a short time.

use std::io::{BufReader, Write as _};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};

use parking_lot::Mutex;
use serde_json::{Value, json};

use crate::cluster::ledger::Ledger;
use crate::cluster::{Cluster, GATEWAY_IPS, Process, number_from_environment};
use crate::support::replica::RecordedRequest;
use crate::support::{Response, ScriptedReplica, client, configuration, request_head, wait_until};

/// Retention of turns, in seconds; overridden by `RETAINED_RETENTION_S`. A multiple of the interval at
/// which a leader advances the clock of the state, so that each turn ends with a step of it.
const RETENTION_S: u64 = 5;
/// How long turns are sent, in seconds; overridden by `RETAINED_LOAD_S`.
const LOAD_S: u64 = 8;
const ANSWER_TIMEOUT: Duration = Duration::from_secs(8);
/// Tokens of a turn.
pub const TURN_TOKENS: u64 = 9;
const LARGE_TURN_TOKENS: u64 = 9_000;

/// Memory of a gateway, in MiB. Covers responses that their callers read slowly.
const GATEWAY_MEMORY_MB: usize = 64;
/// Number of turns that the model runs side by side.
const SLOTS: u64 = 64;
/// Input of every turn.
const INPUT: &str = "input ";

/// Settings of the routes.
#[derive(Clone, Copy, Debug)]
pub struct RouteTimes {
    pub retention: Duration,
    pub timeout: Duration,
}

impl Default for RouteTimes {
    fn default() -> Self {
        let retention_s = number_from_environment("RETAINED_RETENTION_S", RETENTION_S);
        Self { retention: Duration::from_secs(retention_s), timeout: Duration::from_secs(4) }
    }
}

/// Deployment with routes that keep turns for `retention`.
pub struct RetainingDeployment {
    pub ledger: Ledger,
    pub retention: Duration,
    pub gateways: Vec<Process>,
    requests: Arc<Mutex<Vec<RecordedRequest>>>,
    _model: ScriptedReplica,
}

impl RetainingDeployment {
    /// Starts a deployment whose model answers each turn at once with one event.
    pub fn start() -> Self {
        Self::start_with_model(ScriptedReplica::start("model", |exchange| {
            let id = exchange.request.id().to_owned();
            exchange.send_stream(&id);
        }))
    }

    pub fn start_with_model(model: ScriptedReplica) -> Self {
        Self::start_with_times(model, RouteTimes::default())
    }

    pub fn start_with_times(model: ScriptedReplica, times: RouteTimes) -> Self {
        let cluster = Cluster { memory_mb: GATEWAY_MEMORY_MB, ..Cluster::new() };
        let ledger = Ledger::start_in(cluster);
        ledger.cluster.platform_list.put(&model, "models", "ready");
        ledger.cluster.platform_list.set_field(&model, "slots", json!(SLOTS));
        ledger.operate("PUT", "/-/config", &document(2, times).to_string());
        let mut deployment = Self {
            ledger,
            retention: times.retention,
            gateways: Vec::new(),
            requests: Arc::clone(&model.recorded_requests),
            _model: model,
        };
        deployment.start_gateway(GATEWAY_IPS[0]);
        wait_until("a turn is served", || {
            deployment.send(&Turn { id: "first", ..Turn::default() }).status == 200
        });
        deployment
    }

    /// Starts a gateway, in place of one with its address, and waits until it is ready.
    pub fn start_gateway(&mut self, ip: &'static str) {
        self.gateways.retain(|gateway| gateway.ip != ip);
        let gateway = self.ledger.cluster.start(ip, true);
        wait_until("the gateway is ready", || self.ledger.cluster.is_ready(ip));
        self.gateways.push(gateway);
    }

    /// Returns the callers' view of the deployment.
    pub fn callers(&self) -> Callers {
        let gateways = self.gateways.iter().map(|gateway| self.ledger.cluster.http(gateway.ip));
        Callers {
            gateways: gateways.collect(),
            retention: self.retention,
            requests: Arc::clone(&self.requests),
        }
    }

    /// Returns the body of a turn as the model received it; empty if it did not.
    pub fn received_body(&self, id: &str) -> Vec<u8> {
        body_of(&self.requests, id)
    }

    pub fn gateway(&self) -> SocketAddr {
        self.ledger.cluster.http(GATEWAY_IPS[0])
    }

    /// Sends a turn; status 0 without a response.
    pub fn send(&self, turn: &Turn<'_>) -> Response {
        send(self.gateway(), turn)
    }
}

fn body_of(requests: &Mutex<Vec<RecordedRequest>>, id: &str) -> Vec<u8> {
    let requests = requests.lock();
    let request = requests.iter().find(|request| request.id() == id);
    request.map(|request| request.body.clone()).unwrap_or_default()
}

/// What callers and the model see of a deployment while faults act on it.
#[derive(Clone)]
pub struct Callers {
    gateways: Vec<SocketAddr>,
    pub retention: Duration,
    requests: Arc<Mutex<Vec<RecordedRequest>>>,
}

impl Callers {
    /// Returns one of the gateways, another one for each number.
    pub fn gateway(&self, number: usize) -> SocketAddr {
        self.gateways[number % self.gateways.len()]
    }

    /// Returns the body of a turn as the model received it; empty if it did not.
    pub fn received_body(&self, id: &str) -> Vec<u8> {
        body_of(&self.requests, id)
    }
}

/// A turn of a program.
#[derive(Clone, Copy, Debug, Default)]
pub struct Turn<'a> {
    pub id: &'a str,
    pub previous: Option<&'a str>,
    /// Program and its budget in tokens.
    pub account: Option<(&'a str, u64)>,
    /// Whether the turn is kept.
    pub is_retained: bool,
    /// Whether the turn may have a large response.
    pub is_large: bool,
    /// API key of the tenant.
    pub key: Option<&'a str>,
    /// Whether the connection ends with the response.
    pub is_last: bool,
}

/// Sends a turn; status 0 without a response.
pub fn send(gateway: SocketAddr, turn: &Turn<'_>) -> Response {
    try_send(gateway, turn).unwrap_or_default()
}

/// Returns a configuration whose routes have the given times.
pub fn document(version: u64, times: RouteTimes) -> Value {
    let mut document = configuration(version);
    document["services"][1]["engine"]["slots"] = json!(SLOTS);
    for route in document["routes"].as_array_mut().expect("a list of routes") {
        route["retention_s"] = json!(times.retention.as_secs_f64());
        route["timeout_ms"] = json!(times.timeout.as_millis() as u64);
    }
    document
}

/// Returns what a turn whose model answered `data` adds to the history of its successors.
pub fn part_of_history(data: &str) -> String {
    format!("{INPUT}{data}\n")
}

fn try_send(gateway: SocketAddr, turn: &Turn<'_>) -> Option<Response> {
    let mut stream = TcpStream::connect(gateway).ok()?;
    begin(&mut stream, turn).ok()?;
    Some(client::read_response(&mut BufReader::new(stream)))
}

/// Sends a turn on a connection, without reading the response.
pub fn begin(stream: &mut TcpStream, turn: &Turn<'_>) -> std::io::Result<()> {
    let tokens = if turn.is_large { LARGE_TURN_TOKENS } else { TURN_TOKENS };
    let mut headers = vec![format!("Calicohoist-Token-Usage: 10,{tokens}")];
    headers.extend(turn.previous.map(|previous| format!("Calicohoist-Previous-Turn: {previous}")));
    headers.extend(turn.key.map(|key| format!("Authorization: Bearer {key}")));
    if turn.is_last {
        headers.push("Connection: close".to_owned());
    }
    if let Some((program, budget)) = turn.account {
        headers.push(format!("Calicohoist-Program-Id: {program}"));
        headers.push(format!("Calicohoist-Token-Budget: {budget}"));
    }
    let headers: Vec<&str> = headers.iter().map(String::as_str).collect();
    let path = if turn.is_retained { "/retained/a" } else { "/stream/a" };
    let head = request_head("POST", path, turn.id, INPUT.len(), &headers);
    stream.set_read_timeout(Some(ANSWER_TIMEOUT))?;
    stream.write_all(format!("{head}{INPUT}").as_bytes())
}

/// Sends tries of a turn until one is answered whole, to one gateway; returns the id of that one and the moment of its
/// last byte. `None` if that takes longer than `limit`.
pub fn complete(
    gateway: SocketAddr,
    turn: &Turn<'_>,
    limit: Duration,
) -> Option<(String, Instant)> {
    const RETRY_INTERVAL: Duration = Duration::from_millis(50);
    let started_at = Instant::now();
    for attempt in 0.. {
        let id = format!("{}-{attempt}", turn.id);
        let response = send(gateway, &Turn { id: &id, ..*turn });
        if response.status == 200 && response.is_complete {
            return Some((id, Instant::now()));
        }
        if started_at.elapsed() > limit {
            return None;
        }
        std::thread::sleep(RETRY_INTERVAL);
    }
    None
}

/// Returns how long turns are sent.
pub fn load_time() -> Duration {
    Duration::from_secs(number_from_environment("RETAINED_LOAD_S", LOAD_S))
}

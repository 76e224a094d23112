//! Ledger machines, a gateway and a model whose routes keep turns for a short time.

use std::io::{BufReader, Write as _};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use serde_json::json;

use crate::cluster::ledger::Ledger;
use crate::cluster::{GATEWAY_IPS, Process, number_from_environment};
use crate::support::{Response, ScriptedReplica, client, configuration, request_head, wait_until};

/// Retention of turns, in seconds; overridden by `RETAINED_RETENTION_S`. A multiple of the interval at
/// which a leader advances the clock of the state, so that each turn ends with a step of it.
const RETENTION_S: u64 = 5;
/// How long turns are sent, in seconds; overridden by `RETAINED_LOAD_S`.
const LOAD_S: u64 = 8;
const ANSWER_TIMEOUT: Duration = Duration::from_secs(8);
/// Tokens of a turn.
pub const TURN_TOKENS: u64 = 9;

/// Deployment with routes that keep turns for `retention`.
pub struct RetainingDeployment {
    pub ledger: Ledger,
    pub retention: Duration,
    _gateway: Process,
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
        let retention =
            Duration::from_secs(number_from_environment("RETAINED_RETENTION_S", RETENTION_S));
        let ledger = Ledger::start();
        ledger.cluster.platform_list.put(&model, "models", "ready");
        let mut document = configuration(2);
        for route in document["routes"].as_array_mut().expect("a list of routes") {
            route["retention_s"] = json!(retention.as_secs_f64());
        }
        ledger.operate("PUT", "/-/config", &document.to_string());
        let gateway = ledger.cluster.start(GATEWAY_IPS[0], true);
        wait_until("the gateway is ready", || ledger.cluster.is_ready(GATEWAY_IPS[0]));
        let deployment = Self { ledger, retention, _gateway: gateway, _model: model };
        wait_until("a turn is served", || {
            deployment.send(&Turn { id: "first", ..Turn::default() }).status == 200
        });
        deployment
    }

    pub fn gateway(&self) -> SocketAddr {
        self.ledger.cluster.http(GATEWAY_IPS[0])
    }

    /// Sends a turn; status 0 without a response.
    pub fn send(&self, turn: &Turn<'_>) -> Response {
        send(self.gateway(), turn)
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
}

/// Sends a turn; status 0 without a response.
pub fn send(gateway: SocketAddr, turn: &Turn<'_>) -> Response {
    try_send(gateway, turn).unwrap_or_default()
}

fn try_send(gateway: SocketAddr, turn: &Turn<'_>) -> Option<Response> {
    const INPUT: &str = "input ";
    let mut headers = vec![format!("Calicohoist-Token-Usage: 10,{TURN_TOKENS}")];
    headers.extend(turn.previous.map(|previous| format!("Calicohoist-Previous-Turn: {previous}")));
    if let Some((program, budget)) = turn.account {
        headers.push(format!("Calicohoist-Program-Id: {program}"));
        headers.push(format!("Calicohoist-Token-Budget: {budget}"));
    }
    let headers: Vec<&str> = headers.iter().map(String::as_str).collect();
    let path = if turn.is_retained { "/retained/a" } else { "/stream/a" };
    let head = request_head("POST", path, turn.id, INPUT.len(), &headers);
    let mut stream = TcpStream::connect(gateway).ok()?;
    stream.set_read_timeout(Some(ANSWER_TIMEOUT)).ok()?;
    stream.write_all(format!("{head}{INPUT}").as_bytes()).ok()?;
    Some(client::read_response(&mut BufReader::new(stream)))
}

/// Sends tries of a turn until one is answered whole; returns the id of that one and the moment of its
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

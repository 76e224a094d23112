//! Clients that keep a connection to a gateway and come back when they are told to.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::arrivals::ArrivalLog;
use crate::attempts::{RecordedConnection, Submission};
use crate::documents::SHORT_TIMEOUT_MS;
use crate::fleet::{Entry, Fleet, Node};
use crate::kept::KeptTurns;
use crate::pool::ConnectionPool;
use crate::records::{Account, CompleteTurn, Records, SentTurn, is_spent};
use crate::refusals::TurnTry;
use crate::shape::{Route, RouteKind, Shape};
use crate::support::{Response, request_head};

/// Probability that a client takes a new connection without need.
const NEW_CONNECTION_PROBABILITY: f64 = 0.05;
/// Longest rest of a connection that is used again: four fifths of the idle timeout.
const MAX_IDLE_TIME: Duration = Duration::from_secs(12);
const TORN_PROBABILITY: f64 = 0.05;
const SLOW_PROBABILITY: f64 = 0.03;
/// Pace of slow readers.
const SLOW_PACE: (Duration, usize) = (Duration::from_millis(30), 16);
const MAX_TORN_PAUSE_MS: u64 = 400;
/// Pause before a try after one that named no time.
const RETRY_PAUSE: Duration = Duration::from_millis(100);
const INPUT_BYTES: usize = 300;

/// What all clients of a run share.
pub struct World {
    pub fleet: Fleet,
    pub entry: Entry,
    pub records: Arc<Records>,
    pub arrivals: ArrivalLog,
    pub kept_turns: KeptTurns,
    pub is_over: AtomicBool,
}

impl World {
    pub fn shape(&self) -> &Shape {
        &self.fleet.shape
    }

    pub fn is_over(&self) -> bool {
        self.is_over.load(Ordering::Relaxed)
    }

    /// Sleeps up to `duration`; returns `false` once the run is over.
    pub fn pause(&self, duration: Duration) -> bool {
        const STEP: Duration = Duration::from_millis(50);
        let until = Instant::now() + duration;
        while !self.is_over() {
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return true;
            }
            thread::sleep(left.min(STEP));
        }
        false
    }
}

pub struct Client {
    pub world: Arc<World>,
    pub rng: StdRng,
    pub tenant: usize,
    connections: ConnectionPool,
    gateway: Option<Arc<Node>>,
    last_sent_at: Instant,
}

impl Client {
    pub fn new(world: &Arc<World>, seed: u64, tenant: usize) -> Self {
        let tenant = tenant % world.shape().tenants.len();
        Self {
            world: Arc::clone(world),
            rng: StdRng::seed_from_u64(seed),
            tenant,
            connections: ConnectionPool::default(),
            gateway: None,
            last_sent_at: Instant::now(),
        }
    }

    /// Returns a client of the same tenant.
    pub fn fork(&mut self) -> Self {
        Self::new(&self.world, self.rng.random(), self.tenant)
    }

    pub fn authorization(&self) -> String {
        format!("Authorization: Bearer {}", self.world.shape().tenants[self.tenant].key)
    }

    /// Makes the next request take a new connection, to any gateway in use.
    pub fn reconnect(&mut self) {
        self.connections = ConnectionPool::default();
        self.gateway = None;
    }

    pub fn gateway(&mut self) -> Arc<Node> {
        let is_old = self.last_sent_at.elapsed() > MAX_IDLE_TIME;
        self.last_sent_at = Instant::now();
        if is_old || self.rng.random_bool(NEW_CONNECTION_PROBABILITY) {
            self.reconnect();
        }
        if let Some(gateway) = &self.gateway {
            return Arc::clone(gateway);
        }
        let gateways = self.world.entry.gateways();
        let gateway = Arc::clone(&gateways[self.rng.random_range(0..gateways.len())]);
        self.gateway.insert(gateway).clone()
    }

    /// Sends a request; returns the default without an answer's head.
    pub fn send(&mut self, gateway: &Node, submission: &Submission) -> Response {
        let address = self.world.fleet.http(gateway);
        let log = self.world.fleet.attempts.clone();
        self.connections.drop_closed();
        let is_torn = self.rng.random_bool(TORN_PROBABILITY);
        let is_slow = self.rng.random_bool(SLOW_PROBABILITY);
        let reply = match is_torn || is_slow {
            false => {
                let exchange = self.connections.exchange(address, submission, &log);
                exchange.map(|exchange| exchange.reply)
            }
            true => RecordedConnection::open(address, submission, &log).map(|mut connection| {
                if is_slow {
                    connection.set_pace(SLOW_PACE.0, SLOW_PACE.1);
                }
                let cut = self.rng.random_range(1..submission.bytes.len());
                let pause = if is_torn { self.rng.random_range(1..MAX_TORN_PAUSE_MS) } else { 0 };
                let pause = Duration::from_millis(pause);
                let request = connection.send_in_parts(submission, cut, pause);
                connection.receive(request)
            }),
        };
        let reply = reply.unwrap_or_default();
        if reply.status != 200 || !reply.is_complete {
            self.reconnect();
        }
        reply
    }

    /// Sends a turn once.
    pub fn try_turn(
        &mut self,
        route: &Route,
        account: &Account,
        id: &str,
        previous: Option<&CompleteTurn>,
    ) -> (Response, Option<CompleteTurn>) {
        let input = format!("<{id}>{}", ".".repeat(INPUT_BYTES));
        let mut headers = vec![
            self.authorization(),
            format!("Calicohoist-Program-Id: {}", account.program),
            format!("Calicohoist-Session-Id: {}", account.program),
            format!("Calicohoist-Deadline-Ms: {}", route.timeout_ms),
            "Calicohoist-Finish-Ms: 20000".to_owned(),
            format!("Calicohoist-Token-Budget: {}", account.budget),
            format!("Calicohoist-Token-Usage: 100,{}", crate::records::TURN_TOKENS),
        ];
        headers.extend(previous.map(|turn| format!("Calicohoist-Previous-Turn: {}", turn.id)));
        let headers: Vec<&str> = headers.iter().map(String::as_str).collect();
        let path = format!("{}a", route.prefix());
        let head = request_head("POST", &path, id, input.len(), &headers);
        let body = Records::full_input(previous, &input);
        let gateway = self.gateway();
        let records = Arc::clone(&self.world.records);
        records.send(id, &format!("POST {path} HTTP/1.1"), &body, &gateway, true);
        let from = Instant::now();
        let submission = Submission::new(id, &format!("{head}{input}"), route.timeout());
        let reply = self.send(&gateway, &submission);
        records.note_status(route_kind(route), &reply);
        let retention = route.retention();
        let sent = SentTurn { id, previous, account, tenant: self.tenant, retention, body: &body };
        let turn = records.check_turn(&sent, &reply);
        if reply.status != 0 {
            let until = Instant::now();
            let turn = id.rsplit_once('-').map_or(id, |(turn, _)| turn).to_owned();
            let is_continued = previous.is_some();
            let status = reply.status;
            records.note_try(TurnTry {
                id: id.to_owned(),
                turn,
                is_continued,
                status,
                from,
                until,
            });
        }
        (reply, turn)
    }

    /// Sends a turn until it is answered whole, its program's budget is spent, or `until`.
    pub fn turn(
        &mut self,
        route: &Route,
        account: &Account,
        name: &str,
        previous: Option<&CompleteTurn>,
        until: Instant,
    ) -> TurnEnd {
        let until = previous.map_or(until, |previous| until.min(previous.expires_at()));
        for attempt in 0.. {
            let id = format!("{name}-{attempt}");
            let (reply, turn) = self.try_turn(route, account, &id, previous);
            if let Some(turn) = turn {
                return TurnEnd::Complete(turn);
            }
            if is_spent(&reply) {
                return TurnEnd::Spent;
            }
            if matches!(reply.status, 401 | 404 | 410) {
                return TurnEnd::Refused;
            }
            let pause = retry_after(&reply).unwrap_or(RETRY_PAUSE);
            if self.world.is_over() || Instant::now() + pause >= until {
                break;
            }
            thread::sleep(pause);
        }
        TurnEnd::Unserved
    }

    /// Calls a tool; comes back once if it was refused.
    pub fn call(&mut self, route: &Route, name: &str) {
        let is_safe = route.kind == RouteKind::Safe;
        let limit = Duration::from_millis(route.timeout_ms.min(SHORT_TIMEOUT_MS));
        for attempt in 0..2 {
            let id = format!("{name}-{attempt}");
            let deadline = format!("Calicohoist-Deadline-Ms: {}", limit.as_millis());
            let authorization = self.authorization();
            let path = format!("{}a", route.prefix());
            let method = if is_safe { "GET" } else { "POST" };
            let head = request_head(method, &path, &id, 0, &[&authorization, &deadline]);
            let gateway = self.gateway();
            let records = Arc::clone(&self.world.records);
            records.send(&id, &format!("{method} {path} HTTP/1.1"), "", &gateway, !is_safe);
            let reply = self.send(&gateway, &Submission::new(&id, &head, limit));
            records.note_status(route_kind(route), &reply);
            records.check_answer(&id, &reply, None);
            if reply.status == 200 && reply.is_complete && reply.text() != id {
                records.violate(format!("MIXED: {id} received {:?}", reply.text()));
            }
            let Some(pause) = retry_after(&reply) else { return };
            thread::sleep(pause.min(limit / 3));
        }
    }
}

/// How a turn ended.
pub enum TurnEnd {
    Complete(CompleteTurn),
    Spent,
    Refused,
    Unserved,
}

pub fn route_kind(route: &Route) -> &'static str {
    match route.kind {
        RouteKind::Safe => "safe",
        RouteKind::Unsafe => "unsafe",
        RouteKind::Stream if route.retention_s.is_some() => "turn",
        RouteKind::Stream => "stream",
    }
}

fn retry_after(reply: &Response) -> Option<Duration> {
    let seconds: f64 = reply.header("retry-after")?.parse().ok()?;
    Duration::try_from_secs_f64(seconds).ok()
}

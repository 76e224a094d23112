//! Callers that run programs of turns and calls over persistent connections.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::attempts::{AttemptLog, Submission, exchange_recorded};
use crate::faults::Soak;
use crate::pool::{ConnectionPool, Exchange};
use crate::support::{Response, request_head};
use crate::{
    EVENTS_PER_ANSWER, INPUT_BYTES, LARGE_INPUT_BYTES, MAX_ATTEMPTS, MAX_TURN_TOKENS,
    ROUTE_TIMEOUT, Shared, TOKEN_BUDGET, TOKENS_PER_EVENT, TURNS_PER_PROGRAM, expected_output,
};

/// Deadline of the calls of a program.
const CALL_DEADLINE: Duration = Duration::from_secs(2);

/// Sends a request over a new connection without recording it; returns `None` without a connection
/// or a response head.
pub fn try_exchange(address: SocketAddr, request: &[u8]) -> Option<Response> {
    let submission =
        Submission { id: String::new(), bytes: request.to_vec(), time_limit: ROUTE_TIMEOUT };
    exchange_recorded(address, &submission, &AttemptLog::default())
}

/// How a turn ended for its caller.
pub struct TurnOutcome {
    /// 0 without a response head.
    pub status: u16,
    /// Whether the turn was answered whole.
    pub is_whole: bool,
    /// When the turn had been sent, or the caller gave that up.
    pub sent: Instant,
    /// When the last byte of the answer arrived, or the caller gave that up.
    pub ended: Instant,
}

/// Caller that runs programs sequentially.
pub struct Caller {
    pub number: usize,
    pub gateways: Vec<SocketAddr>,
    pub rng: StdRng,
    pub records: Shared,
    pub stop_flag: Arc<AtomicBool>,
    /// Bytes of the input of a turn, beyond its id.
    pub input_bytes: usize,
    connections: ConnectionPool,
    attempts: AttemptLog,
}

impl Caller {
    pub fn new(
        number: usize,
        gateways: Vec<SocketAddr>,
        rng: StdRng,
        records: Shared,
        stop_flag: Arc<AtomicBool>,
    ) -> Self {
        let attempts = records.lock().attempts.clone();
        let connections = ConnectionPool::default();
        let input_bytes = INPUT_BYTES;
        Self { number, gateways, rng, records, stop_flag, input_bytes, connections, attempts }
    }

    /// Creates `count` callers of large turns, numbered from `first`, at gateways that are mostly stopped as
    /// planned. `stream` separates their random streams from those of others.
    pub fn with_large_turns(
        (first, count): (usize, usize),
        seed: u64,
        stream: u64,
        soak: &Soak,
        records: &Shared,
        stop_flag: &Arc<AtomicBool>,
    ) -> Vec<Self> {
        let gateways = soak.mostly_planned_gateways();
        let callers = (0..count).map(|number| {
            let rng = StdRng::seed_from_u64((seed << 8 | number as u64) ^ stream);
            let (records, stop_flag) = (Arc::clone(records), Arc::clone(stop_flag));
            let caller = Self::new(first + number, gateways.clone(), rng, records, stop_flag);
            Self { input_bytes: LARGE_INPUT_BYTES, ..caller }
        });
        callers.collect()
    }

    pub fn run(mut self) {
        let mut program = 0;
        while !self.stop_flag.load(Ordering::Relaxed) {
            program += 1;
            let name = format!("p{}-{program}", self.number);
            self.run_program(&name);
        }
    }

    pub fn pick_gateway(&mut self) -> SocketAddr {
        self.gateways[self.rng.random_range(0..self.gateways.len())]
    }

    fn run_program(&mut self, program: &str) {
        let mut previous: Option<String> = None;
        for turn in 0..TURNS_PER_PROGRAM {
            let Some(id) = self.turn(program, turn, previous.as_deref()) else {
                return;
            };
            previous = Some(id);
            self.call(program, turn, "/safe/x");
            self.call(program, turn, "/unsafe/x");
        }
    }

    /// Runs a turn with retries; returns the id of the completed attempt.
    pub fn turn(&mut self, program: &str, turn: usize, previous: Option<&str>) -> Option<String> {
        for attempt in 0..MAX_ATTEMPTS {
            let id = format!("{program}-t{turn}-{attempt}");
            let gateway = self.pick_gateway();
            let outcome = self.try_turn(gateway, program, &id, previous);
            if outcome.is_whole {
                return Some(id);
            }
            if outcome.status == 402 {
                return None;
            }
            thread::sleep(Duration::from_millis(30));
        }
        None
    }

    /// Sends a turn once.
    pub fn try_turn(
        &mut self,
        gateway: SocketAddr,
        program: &str,
        id: &str,
        previous: Option<&str>,
    ) -> TurnOutcome {
        let input = format!("<{id}>{}", ".".repeat(self.input_bytes));
        let mut headers = vec![
            format!("Calicohoist-Program-Id: {program}"),
            format!("Calicohoist-Token-Budget: {TOKEN_BUDGET}"),
            format!("Calicohoist-Token-Usage: 10,{MAX_TURN_TOKENS}"),
        ];
        headers.extend(previous.map(|previous| format!("Calicohoist-Previous-Turn: {previous}")));
        let headers: Vec<&str> = headers.iter().map(String::as_str).collect();
        let head = request_head("POST", "/retained/a", id, input.len(), &headers);
        {
            let mut records = self.records.lock();
            let submitted = (previous.map(str::to_owned), input.clone());
            records.submitted.insert(id.to_owned(), submitted);
            records.at_most_once.insert(id.to_owned());
            if let Some(previous) = previous {
                records.note_continued(previous);
            }
        }
        let submission = Submission::new(id, &format!("{head}{input}"), ROUTE_TIMEOUT);
        let exchange = self.connections.exchange(gateway, &submission, &self.attempts);
        let now = Instant::now();
        let mut outcome = TurnOutcome { status: 0, is_whole: false, sent: now, ended: now };
        if let Some(Exchange { reply, sent, ended }) = exchange {
            outcome.status = reply.status;
            outcome.sent = sent.unwrap_or(now);
            outcome.ended = ended.unwrap_or(now);
            outcome.is_whole =
                self.record_turn_reply(program, id, previous, &input, &reply, &outcome);
        }
        outcome
    }

    fn record_turn_reply(
        &self,
        program: &str,
        id: &str,
        previous: Option<&str>,
        input: &str,
        reply: &Response,
        outcome: &TurnOutcome,
    ) -> bool {
        let text = reply.text();
        let events = text.matches("data: ").count() as u64;
        let mut records = self.records.lock();
        *records.tokens.entry(program.to_owned()).or_default() += events * TOKENS_PER_EVENT;
        let is_own = text.lines().all(|line| !line.starts_with("data: ") || line.contains(id));
        if reply.status == 200 && !is_own {
            records.violations.push(format!("{id} received the answer of another request: {text}"));
        }
        match reply.status {
            200 if reply.is_complete => {
                if events != EVENTS_PER_ANSWER {
                    records.violations.push(format!("{id} was completed after {events} events"));
                }
                let earlier = previous.map(|previous| records.completed[previous].clone());
                let transcript =
                    format!("{}{input}{}", earlier.unwrap_or_default(), expected_output(id));
                records.completed.insert(id.to_owned(), transcript);
                records.completed_at.insert(id.to_owned(), outcome.ended);
                records.leaves.insert((outcome.ended, id.to_owned()));
                records.served += 1;
                true
            }
            status @ (404 | 410) => {
                let age = previous.and_then(|previous| records.age(previous, outcome.sent));
                if age.is_none_or(|age| age < records.retention) {
                    records.violations.push(format!(
                        "{id}: {status}, although {previous:?} was completed {age:?} before"
                    ));
                }
                false
            }
            402 | 408 | 429 | 503 => {
                records.rejected.insert(id.to_owned());
                false
            }
            _ => false,
        }
    }

    fn call(&mut self, program: &str, turn: usize, path: &str) {
        let id = format!("{program}-c{turn}{}", path.replace('/', "-"));
        if path.starts_with("/unsafe") {
            self.records.lock().at_most_once.insert(id.clone());
        }
        let deadline = format!("Calicohoist-Deadline-Ms: {}", CALL_DEADLINE.as_millis());
        let head = request_head("GET", path, &id, 0, &[&deadline]);
        let gateway = self.pick_gateway();
        let submission = Submission::new(&id, &head, CALL_DEADLINE);
        let exchange = self.connections.exchange(gateway, &submission, &self.attempts);
        let Some(Exchange { reply, .. }) = exchange else {
            return;
        };
        let mut records = self.records.lock();
        match reply.status {
            200 if reply.is_complete && reply.text() != id => {
                let text = reply.text();
                records
                    .violations
                    .push(format!("{id} received the answer of another request: {text}"));
            }
            200 => records.served += 1,
            408 | 429 | 503 => {
                records.rejected.insert(id);
            }
            _ => {}
        }
    }
}

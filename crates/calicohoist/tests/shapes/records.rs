//! What callers sent and received.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

use parking_lot::Mutex;

use crate::fleet::Node;
use crate::refusals::TurnTry;
use crate::support::Response;
use crate::support::replica::RecordedRequest;

/// Events of a complete stream.
pub const EVENTS_PER_TURN: u64 = 8;
const TOKENS_PER_EVENT: u64 = 9;
/// Most tokens of one turn.
pub const TURN_TOKENS: u64 = EVENTS_PER_TURN * TOKENS_PER_EVENT;
const PAYMENT_REQUIRED: u16 = 402;
const NOT_FOUND: u16 = 404;
const GONE: u16 = 410;
/// Statuses that promise that a request was not run and never will be.
const PROMISES: [u16; 5] = [402, 408, 421, 429, 503];
/// Further statuses of the product's own that a proper request may get.
const FAILURES: [u16; 3] = [500, 502, 504];

/// Returns the data of an event of the turn with this id.
pub fn output_of(id: &str, number: u64) -> String {
    format!("{id}/{number}")
}

/// Program and its budget in tokens.
#[derive(Clone, Debug)]
pub struct Account {
    pub program: String,
    pub budget: u64,
}

/// A turn that was answered whole.
#[derive(Clone, Debug)]
pub struct CompleteTurn {
    pub id: String,
    pub tenant: usize,
    pub retention: Duration,
    pub completed_at: Instant,
    transcript: Arc<String>,
}

impl CompleteTurn {
    pub fn expires_at(&self) -> Instant {
        self.completed_at + self.retention
    }

    fn is_expired(&self) -> bool {
        Instant::now() >= self.expires_at()
    }
}

/// A request as it was sent, without its headers.
struct Sent {
    line: String,
    body: String,
    is_at_most_once: bool,
    node: Arc<Node>,
}

#[derive(Default)]
struct State {
    sent: HashMap<String, Sent>,
    /// Answers that promise that the request is never run.
    promised: HashSet<String>,
    tokens: HashMap<String, u64>,
    budgets: HashMap<String, u64>,
    /// Number of answers by kind of request, status, and reason of a failure.
    statuses: BTreeMap<(&'static str, u16, String), u64>,
    tries: Vec<TurnTry>,
    late_turns: LateTurns,
}

/// Turns that were continued late in their retention.
#[derive(Clone, Copy, Debug, Default)]
pub struct LateTurns {
    pub served: u64,
    pub spent: u64,
    /// Not answered with success or a verdict before their retention ended.
    pub unserved: u64,
    /// Whose time came when no caller was free.
    pub skipped: u64,
}

#[derive(Default)]
pub struct Records {
    state: Mutex<State>,
    violations: Mutex<Vec<String>>,
}

impl Records {
    pub fn violate(&self, violation: String) {
        self.violations.lock().push(violation);
    }

    pub fn violations(&self) -> Vec<String> {
        self.violations.lock().clone()
    }

    /// Notes a request that is about to be sent.
    pub fn send(&self, id: &str, line: &str, body: &str, node: &Arc<Node>, is_at_most_once: bool) {
        let sent = Sent {
            line: line.to_owned(),
            body: body.to_owned(),
            is_at_most_once,
            node: Arc::clone(node),
        };
        self.state.lock().sent.insert(id.to_owned(), sent);
    }

    /// Checks a request that has reached a replica.
    pub fn check_input(&self, request: &RecordedRequest) {
        if request.line.starts_with("GET /-/") {
            return;
        }
        let state = self.state.lock();
        let Some(sent) = state.sent.get(request.id()) else {
            return self.violate(format!("UNASKED: {} was never sent", request.line));
        };
        if request.line != sent.line || request.body != sent.body.as_bytes() {
            self.violate(format!(
                "UNASKED: {} reached a replica as {:?} with {} bytes instead of {:?} with {}",
                request.id(),
                request.line,
                request.body.len(),
                sent.line,
                sent.body.len()
            ));
        }
    }

    /// Returns the body that a replica must receive for a turn.
    pub fn full_input(previous: Option<&CompleteTurn>, input: &str) -> String {
        let earlier = previous.map(|turn| turn.transcript.as_str()).unwrap_or_default();
        format!("{earlier}{input}")
    }

    pub fn note_status(&self, kind: &'static str, reply: &Response) {
        let text = if reply.status == 200 { String::new() } else { reply.text() };
        // The numbers of configurations would make each reason a different one.
        let reason = text.split(", configuration").next().unwrap_or_default().to_owned();
        *self.state.lock().statuses.entry((kind, reply.status, reason)).or_default() += 1;
    }

    /// Checks the answer to a request on a route of the shape, apart from its body.
    pub fn check_answer(&self, id: &str, reply: &Response, previous: Option<&CompleteTurn>) {
        if PROMISES.contains(&reply.status) {
            self.state.lock().promised.insert(id.to_owned());
        }
        let has_stamp = reply.header("calicohoist-server-stamp").is_some();
        match reply.status {
            200 if !has_stamp => self.violate(format!("MIXED: {id}: 200 without a stamp")),
            0 | 200 => {}
            status if PROMISES.contains(&status) || FAILURES.contains(&status) => {}
            NOT_FOUND | GONE if previous.is_some_and(|turn| turn.is_expired()) => {}
            status @ (NOT_FOUND | GONE) if previous.is_some() => {
                let left = previous.map(|turn| turn.expires_at() - Instant::now());
                let turn = previous.map(|turn| &turn.id);
                self.violate(format!("LOST: {id}: {status}, {turn:?} is kept for {left:?}"));
            }
            status => self.violate(format!("DENIED: {id}: {status} {}", reply.text())),
        }
    }

    /// Checks the answer to a turn, and returns the turn if it was answered whole.
    pub fn check_turn(&self, turn: &SentTurn<'_>, reply: &Response) -> Option<CompleteTurn> {
        let id = turn.id;
        self.check_answer(id, reply, turn.previous);
        let text = reply.text();
        let events: Vec<&str> =
            text.lines().filter_map(|line| line.strip_prefix("data: ")).collect();
        let expected: Vec<String> =
            (1..=EVENTS_PER_TURN).map(|number| output_of(id, number)).collect();
        let is_prefix = expected.iter().zip(&events).all(|(expected, event)| expected == event);
        if reply.status == 200 && (!is_prefix || events.len() > expected.len()) {
            self.violate(format!("MIXED or ORDER: {id} was answered with {events:?}"));
        }
        let mut state = self.state.lock();
        let account = turn.account;
        *state.tokens.entry(account.program.clone()).or_default() +=
            events.len() as u64 * TOKENS_PER_EVENT;
        state.budgets.insert(account.program.clone(), account.budget);
        drop(state);
        if reply.status != 200 || !reply.is_complete {
            return None;
        }
        if events.len() < expected.len() {
            self.violate(format!("ORDER: {id} was completed after {} events", events.len()));
        }
        let output: String = expected.iter().map(|event| format!("{event}\n")).collect();
        Some(CompleteTurn {
            id: id.to_owned(),
            tenant: turn.tenant,
            retention: turn.retention,
            completed_at: Instant::now(),
            transcript: Arc::new(format!("{}{output}", turn.body)),
        })
    }

    pub fn note_try(&self, tried: TurnTry) {
        self.state.lock().tries.push(tried);
    }

    pub fn tries(&self) -> Vec<TurnTry> {
        self.state.lock().tries.clone()
    }

    pub fn note_late_turn(&self, note: impl Fn(&mut LateTurns)) {
        note(&mut self.state.lock().late_turns);
    }

    pub fn late_turns(&self) -> LateTurns {
        self.state.lock().late_turns
    }

    pub fn statuses(&self) -> BTreeMap<(&'static str, u16, String), u64> {
        self.state.lock().statuses.clone()
    }

    /// Returns the gateway to which a request was sent.
    pub fn node_of(&self, id: &str) -> Option<Arc<Node>> {
        self.state.lock().sent.get(id).map(|sent| Arc::clone(&sent.node))
    }

    /// Checks how often requests were run, and the tokens of programs; `runs` counts the runs of a
    /// request.
    pub fn check_runs(&self, runs: impl Fn(&str) -> usize) {
        let state = self.state.lock();
        for (id, sent) in &state.sent {
            let count = runs(id);
            if count > 1 && sent.is_at_most_once {
                self.violate(format!("TWICE: {id} was run {count} times"));
            }
            if count > 0 && sent.is_at_most_once && state.promised.contains(id) {
                self.violate(format!("REFUSED: {id} was refused and run"));
            }
        }
        for (program, tokens) in &state.tokens {
            let budget = state.budgets[program];
            if *tokens > budget + TURN_TOKENS {
                self.violate(format!("BUDGET: {program} received {tokens} tokens of {budget}"));
            }
        }
    }
}

/// A turn that was sent.
pub struct SentTurn<'a> {
    pub id: &'a str,
    pub previous: Option<&'a CompleteTurn>,
    pub account: &'a Account,
    pub tenant: usize,
    pub retention: Duration,
    /// Input with all before it.
    pub body: &'a str,
}

/// Returns whether an answer says that the budget is spent.
pub fn is_spent(reply: &Response) -> bool {
    reply.status == PAYMENT_REQUIRED
}

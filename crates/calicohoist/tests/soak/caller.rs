//! Callers: programs of turns and calls over connections that they keep.

use std::collections::HashMap;
use std::io::{BufReader, Write as _};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use rand::RngExt;
use rand::rngs::StdRng;

use crate::support::{Response, client, request_head};
use crate::{
    BUDGET, EVENTS, INPUT_BYTES, MOST_TOKENS, Shared, TOKENS_PER_EVENT, TRIES, TURNS, output,
};

const CALLER_PATIENCE: Duration = Duration::from_secs(6);

/// Connections that stay open until their other end closes them, one to each gateway.
#[derive(Default)]
struct KeptConnections(HashMap<SocketAddr, BufReader<TcpStream>>);

impl KeptConnections {
    /// One request; `None` when there was no connection or no head.
    fn exchange(&mut self, address: SocketAddr, request: &[u8]) -> Option<Response> {
        let mut connection = match self.0.remove(&address) {
            Some(kept) => kept,
            None => connect(address)?,
        };
        connection.get_mut().write_all(request).ok()?;
        let reply = client::read_response(&mut connection);
        let closes = reply.header("connection").is_some_and(|value| value == "close");
        if reply.is_complete && !closes {
            self.0.insert(address, connection);
        }
        (reply.status != 0).then_some(reply)
    }
}

fn connect(address: SocketAddr) -> Option<BufReader<TcpStream>> {
    let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
    stream.set_read_timeout(Some(CALLER_PATIENCE)).ok()?;
    Some(BufReader::new(stream))
}

/// One request over a connection of its own; `None` when there was no connection or no head.
pub fn try_exchange(address: SocketAddr, request: &[u8]) -> Option<Response> {
    KeptConnections::default().exchange(address, request)
}

/// A caller that runs one program after the other.
pub struct Caller {
    pub number: usize,
    pub fronts: Vec<SocketAddr>,
    pub random: StdRng,
    pub records: Shared,
    pub is_over: Arc<AtomicBool>,
    kept: KeptConnections,
}

impl Caller {
    pub fn new(
        number: usize,
        fronts: Vec<SocketAddr>,
        random: StdRng,
        records: Shared,
        is_over: Arc<AtomicBool>,
    ) -> Self {
        Self { number, fronts, random, records, is_over, kept: KeptConnections::default() }
    }

    pub fn run(mut self) {
        let mut program = 0;
        while !self.is_over.load(Ordering::Relaxed) {
            program += 1;
            let name = format!("p{}-{program}", self.number);
            self.program(&name);
        }
    }

    fn front(&mut self) -> SocketAddr {
        self.fronts[self.random.random_range(0..self.fronts.len())]
    }

    fn program(&mut self, program: &str) {
        let mut previous: Option<String> = None;
        for turn in 0..TURNS {
            let Some(id) = self.turn(program, turn, previous.as_deref()) else {
                return;
            };
            previous = Some(id);
            self.call(program, turn, "/safe/x");
            self.call(program, turn, "/unsafe/x");
        }
    }

    /// The identity of the turn when it ended whole.
    pub fn turn(&mut self, program: &str, turn: usize, previous: Option<&str>) -> Option<String> {
        for attempt in 0..TRIES {
            let id = format!("{program}-t{turn}-{attempt}");
            let input = format!("<{id}>{}", ".".repeat(INPUT_BYTES));
            let mut more = vec![
                format!("Calicohoist-Program-Id: {program}"),
                format!("Calicohoist-Token-Budget: {BUDGET}"),
                format!("Calicohoist-Token-Usage: 10,{MOST_TOKENS}"),
            ];
            more.extend(previous.map(|previous| format!("Calicohoist-Previous-Turn: {previous}")));
            let more: Vec<&str> = more.iter().map(String::as_str).collect();
            let head = request_head("POST", "/retained/a", &id, input.len(), &more);
            {
                let mut records = self.records.lock();
                let asked = (previous.map(str::to_owned), input.clone());
                records.asked.insert(id.clone(), asked);
                records.once.insert(id.clone());
            }
            let front = self.front();
            let reply = self.kept.exchange(front, format!("{head}{input}").as_bytes());
            let reply = reply.unwrap_or_default();
            if self.take_turn(program, &id, previous, &input, &reply) {
                return Some(id);
            }
            if reply.status == 402 {
                return None;
            }
            thread::sleep(Duration::from_millis(30));
        }
        None
    }

    fn take_turn(
        &self,
        program: &str,
        id: &str,
        previous: Option<&str>,
        input: &str,
        reply: &Response,
    ) -> bool {
        let text = reply.text();
        let events = text.matches("data: ").count() as u64;
        let mut records = self.records.lock();
        *records.tokens.entry(program.to_owned()).or_default() += events * TOKENS_PER_EVENT;
        let is_own = text.lines().all(|line| !line.starts_with("data: ") || line.contains(id));
        if reply.status == 200 && !is_own {
            records.violations.push(format!("{id} got another answer: {text}"));
        }
        match reply.status {
            200 if reply.is_complete => {
                if events != EVENTS {
                    records.violations.push(format!("{id} ended whole after {events} events"));
                }
                let before = previous.map(|known| records.whole[known].clone());
                let said = format!("{}{input}{}", before.unwrap_or_default(), output(id));
                records.whole.insert(id.to_owned(), said);
                records.served += 1;
                true
            }
            404 => {
                records.violations.push(format!("{id}: 404, though {previous:?} ended whole"));
                false
            }
            402 | 408 | 429 | 503 => {
                records.refused.insert(id.to_owned());
                false
            }
            _ => false,
        }
    }

    fn call(&mut self, program: &str, turn: usize, path: &str) {
        let id = format!("{program}-c{turn}{}", path.replace('/', "-"));
        if path.starts_with("/unsafe") {
            self.records.lock().once.insert(id.clone());
        }
        let head = request_head("GET", path, &id, 0, &["Calicohoist-Deadline-Ms: 2000"]);
        let front = self.front();
        let Some(reply) = self.kept.exchange(front, head.as_bytes()) else {
            return;
        };
        let mut records = self.records.lock();
        match reply.status {
            200 if reply.is_complete && reply.text() != id => {
                let text = reply.text();
                records.violations.push(format!("{id} got another answer: {text}"));
            }
            200 => records.served += 1,
            408 | 429 | 503 => {
                records.refused.insert(id);
            }
            _ => {}
        }
    }
}

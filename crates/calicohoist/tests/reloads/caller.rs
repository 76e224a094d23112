//! Callers that keep connections for many requests.

use std::io::{BufReader, Write as _};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{RngExt as _, SeedableRng as _};

use crate::support::{Response, client, request_head};

const CALLERS_PER_KIND: usize = 4;
const MAX_WORK_MS: u64 = 400;
const MAX_THINK_MS: u64 = 80;
const PIPELINED_REQUESTS: usize = 3;
/// More tokens than a stream has.
const TOKEN_USAGE: &str = "Calicohoist-Token-Usage: 100,99";
const READ_TIMEOUT: Duration = Duration::from_secs(12);
const RETRY_INTERVAL: Duration = Duration::from_millis(20);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Calls of a tool.
    Tool,
    /// Several calls of a tool, sent one behind the other.
    Pipelined,
    /// Streams.
    Stream,
    /// Turns that are kept, each continuing the one before.
    Turn,
}

const KINDS: [Kind; 4] = [Kind::Tool, Kind::Pipelined, Kind::Stream, Kind::Turn];

impl Kind {
    fn route(self) -> &'static str {
        match self {
            Self::Tool | Self::Pipelined => "unsafe",
            Self::Stream => "stream",
            Self::Turn => "retained",
        }
    }
}

/// A request as its caller saw it.
#[derive(Debug)]
pub struct Attempt {
    pub id: String,
    pub kind: Kind,
    /// Turn that it continues.
    pub previous: Option<String>,
    pub status: u16,
    pub is_complete: bool,
    pub sent_at: Instant,
    pub ended_at: Instant,
    /// Whether it was sent behind one whose response announced the close of the connection.
    pub is_behind_close: bool,
}

impl Attempt {
    pub fn is_answered(&self) -> bool {
        self.status != 0 && self.is_complete
    }

    pub fn is_served(&self) -> bool {
        self.status == 200 && self.is_complete
    }
}

/// Sends requests of one kind until its run is over.
struct Caller<'a> {
    kind: Kind,
    name: String,
    address: SocketAddr,
    /// Lines added to the head of each request.
    headers: &'a [&'a str],
    random: StdRng,
    last_turn: Option<String>,
    is_over: &'a AtomicBool,
    attempts: Vec<Attempt>,
}

impl Caller<'_> {
    fn run(mut self) -> Vec<Attempt> {
        while !self.is_over.load(Ordering::SeqCst) {
            match TcpStream::connect(self.address) {
                Ok(stream) => self.use_connection(stream),
                Err(_) => thread::sleep(RETRY_INTERVAL),
            }
        }
        self.attempts
    }

    fn use_connection(&mut self, mut stream: TcpStream) {
        stream.set_read_timeout(Some(READ_TIMEOUT)).expect("set the read timeout");
        let mut input = BufReader::new(stream.try_clone().expect("a handle"));
        while !self.is_over.load(Ordering::SeqCst) {
            let count = if self.kind == Kind::Pipelined { PIPELINED_REQUESTS } else { 1 };
            let requests: Vec<_> = (0..count).map(|_| self.next_request()).collect();
            let heads: String = requests.iter().map(|(_, head)| head.as_str()).collect();
            if stream.write_all(heads.as_bytes()).is_err() {
                return;
            }
            let sent_at = Instant::now();
            let mut is_closing = false;
            for (id, _) in requests {
                let response = client::read_response(&mut input);
                self.record(id, &response, sent_at, is_closing);
                is_closing |= response.header("connection") == Some("close");
                is_closing |= !response.is_complete;
            }
            if is_closing {
                return;
            }
            thread::sleep(Duration::from_millis(self.random.random_range(0..MAX_THINK_MS)));
        }
    }

    /// Returns the id and the head of the next request.
    fn next_request(&mut self) -> (String, String) {
        let id = format!("{}-{}", self.name, self.random.random::<u64>());
        let work = self.random.random_range(0..MAX_WORK_MS);
        let path = format!("/{}/{work}", self.kind.route());
        let previous = self.last_turn.as_ref().filter(|_| self.kind == Kind::Turn);
        let previous = previous.map(|turn| format!("Calicohoist-Previous-Turn: {turn}"));
        let headers = self.headers.iter().copied().chain(previous.as_deref());
        let headers: Vec<&str> = headers.chain([TOKEN_USAGE]).collect();
        let head = request_head("GET", &path, &id, 0, &headers);
        (id, head)
    }

    fn record(&mut self, id: String, response: &Response, sent_at: Instant, is_behind_close: bool) {
        let attempt = Attempt {
            id,
            kind: self.kind,
            previous: self.last_turn.clone().filter(|_| self.kind == Kind::Turn),
            status: response.status,
            is_complete: response.is_complete,
            sent_at,
            ended_at: Instant::now(),
            is_behind_close,
        };
        if self.kind == Kind::Turn && attempt.is_served() {
            self.last_turn = Some(attempt.id.clone());
        }
        self.attempts.push(attempt);
    }
}

/// Runs callers of all kinds while `play` runs; returns what they saw.
pub fn run_beside<'a>(
    address: SocketAddr,
    headers: &'a [&'a str],
    play: impl FnOnce(),
) -> Vec<Attempt> {
    let is_over = AtomicBool::new(false);
    thread::scope(|scope| {
        let kinds = KINDS.into_iter().flat_map(|kind| [kind; CALLERS_PER_KIND]).zip(0..);
        let callers = kinds.map(|(kind, number)| {
            let caller = Caller {
                kind,
                name: format!("{kind:?}-{number}"),
                address,
                headers,
                random: StdRng::seed_from_u64(number),
                last_turn: None,
                is_over: &is_over,
                attempts: Vec::new(),
            };
            scope.spawn(move || caller.run())
        });
        let callers: Vec<_> = callers.collect();
        play();
        is_over.store(true, Ordering::SeqCst);
        callers.into_iter().flat_map(|caller| caller.join().expect("a caller")).collect()
    })
}

//! Requests as their callers saw them.

#![allow(dead_code)]

use std::collections::BTreeMap;
use std::io::{self, BufReader, ErrorKind, Read, Write as _};
use std::net::{IpAddr, Shutdown, SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use parking_lot::Mutex;

use crate::support::{Response, client};

const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
const READ_TIMEOUT: Duration = Duration::from_secs(6);
/// How often a waiting caller looks whether it should leave.
const LEAVE_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// How a connection ended on which an answer was due.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Cut {
    Closed,
    Reset,
    /// The caller gave up waiting.
    TimedOut,
    /// The caller left early, as it had intended.
    Left,
}

/// How a request ended for its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Ending {
    Complete(u16),
    /// The answer broke off.
    Incomplete(u16, Cut),
    /// Not a byte of the answer arrived.
    Unanswered(Cut),
    /// The connection was refused or timed out.
    Unconnected,
    /// The connection failed before the last byte was sent.
    Unsent,
}

/// What a caller is about to send.
#[derive(Clone, Debug)]
pub struct Submission {
    pub id: String,
    pub bytes: Vec<u8>,
    /// The deadline or the timeout of the route, whichever comes first.
    pub time_limit: Duration,
}

impl Submission {
    pub fn new(id: &str, text: &str, time_limit: Duration) -> Self {
        Self { id: id.to_owned(), bytes: text.as_bytes().to_vec(), time_limit }
    }
}

/// A request as its caller saw it.
#[derive(Clone, Debug)]
pub struct Attempt {
    pub id: String,
    pub node: IpAddr,
    pub time_limit: Duration,
    /// When the first byte was about to be sent.
    pub started: Instant,
    /// When the last byte had been sent.
    pub sent: Option<Instant>,
    pub first_received: Option<Instant>,
    pub last_received: Option<Instant>,
    pub ended: Instant,
    pub ending: Ending,
    /// Position on its connection, starting at 1.
    pub position: usize,
    /// Whether an earlier answer on the connection announced that it closes.
    pub is_behind_close: bool,
}

impl Attempt {
    /// Returns the kind of caller, which the letters that begin the id name.
    pub fn caller_kind(&self) -> String {
        self.id.chars().take_while(char::is_ascii_alphabetic).collect()
    }
}

#[derive(Default)]
struct AttemptCounts {
    /// Number of attempts by ending and kind of caller.
    by_ending: BTreeMap<(Ending, String), u64>,
    /// Attempts that did not end with a complete answer.
    unfinished: Vec<Attempt>,
}

/// Attempts of all callers.
#[derive(Clone, Default)]
pub struct AttemptLog(Arc<Mutex<AttemptCounts>>);

impl AttemptLog {
    pub fn record(&self, attempt: Attempt) {
        let mut counts = self.0.lock();
        *counts.by_ending.entry((attempt.ending, attempt.caller_kind())).or_default() += 1;
        if !matches!(attempt.ending, Ending::Complete(_)) {
            counts.unfinished.push(attempt);
        }
    }

    pub fn endings(&self) -> BTreeMap<(Ending, String), u64> {
        self.0.lock().by_ending.clone()
    }

    pub fn unfinished(&self) -> Vec<Attempt> {
        self.0.lock().unfinished.clone()
    }

    /// Removes those attempts from the unfinished ones that need no judgement.
    pub fn remove_unfinished(&self, is_removed: impl Fn(&Attempt) -> bool) {
        self.0.lock().unfinished.retain(|attempt| !is_removed(attempt));
    }
}

/// Stream that notes when bytes arrive, and how it ends.
pub struct ObservedStream {
    stream: TcpStream,
    /// Pause before each read and maximum number of bytes per read.
    pace: Option<(Duration, usize)>,
    /// Makes the caller leave once it is set.
    stop_flag: Option<Arc<AtomicBool>>,
    first_received: Option<Instant>,
    last_received: Option<Instant>,
    cut: Option<(Cut, Instant)>,
}

impl ObservedStream {
    fn reset_observations(&mut self) {
        self.first_received = None;
        self.last_received = None;
    }

    fn is_leaving(&self) -> bool {
        self.stop_flag.as_ref().is_some_and(|flag| flag.load(Ordering::Relaxed))
    }

    /// Reads; fails with `TimedOut` after [`READ_TIMEOUT`], and sooner if the caller leaves.
    fn read_within_timeout(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        let until = Instant::now() + READ_TIMEOUT;
        loop {
            match self.stream.read(buffer) {
                Err(error)
                    if error.kind() == ErrorKind::WouldBlock
                        && Instant::now() < until
                        && !self.is_leaving() => {}
                result => return result,
            }
        }
    }
}

impl Read for ObservedStream {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        if self.is_leaving() {
            self.cut = Some((Cut::Left, Instant::now()));
            return Err(ErrorKind::ConnectionAborted.into());
        }
        let most = match self.pace {
            Some((pause, most)) => {
                std::thread::sleep(pause);
                most.min(buffer.len())
            }
            None => buffer.len(),
        };
        let result = self.read_within_timeout(&mut buffer[..most]);
        let now = Instant::now();
        match &result {
            Ok(0) => self.cut = Some((Cut::Closed, now)),
            Ok(_) => {
                self.first_received.get_or_insert(now);
                self.last_received = Some(now);
            }
            Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
                let cut = if self.is_leaving() { Cut::Left } else { Cut::TimedOut };
                self.cut = Some((cut, now));
            }
            Err(_) => self.cut = Some((Cut::Reset, now)),
        }
        result
    }
}

/// Ends with the given number of events.
struct EventReader<'a> {
    input: &'a mut BufReader<ObservedStream>,
    /// The line being read, and the number of events still to come.
    line: Vec<u8>,
    missing: usize,
}

impl Read for EventReader<'_> {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        if self.missing == 0 {
            return Ok(0);
        }
        let length = self.input.read(&mut buffer[..1])?;
        self.line.extend_from_slice(&buffer[..length]);
        if self.line.ends_with(b"\n") {
            self.missing -= usize::from(self.line.starts_with(b"data: "));
            self.line.clear();
        }
        Ok(length)
    }
}

/// A request that was sent and whose answer is due.
pub struct SentRequest {
    id: String,
    time_limit: Duration,
    started: Instant,
    sent: Option<Instant>,
    position: usize,
}

/// Connection of a caller to a node, whose requests are recorded.
pub struct RecordedConnection {
    node: SocketAddr,
    input: BufReader<ObservedStream>,
    /// Number of requests sent so far.
    sent_count: usize,
    is_closing: bool,
    log: AttemptLog,
}

impl RecordedConnection {
    /// Connects for the given request, and records it if that fails.
    pub fn open(node: SocketAddr, submission: &Submission, log: &AttemptLog) -> Option<Self> {
        let started = Instant::now();
        let stream = TcpStream::connect_timeout(&node, CONNECT_TIMEOUT).and_then(|stream| {
            stream.set_read_timeout(Some(LEAVE_POLL_INTERVAL))?;
            stream.set_nodelay(true)?;
            Ok(stream)
        });
        let Ok(stream) = stream else {
            let request = SentRequest {
                id: submission.id.clone(),
                time_limit: submission.time_limit,
                started,
                sent: None,
                position: 1,
            };
            log.record(request.attempt(node, Instant::now(), Ending::Unconnected));
            return None;
        };
        let stream = ObservedStream {
            stream,
            pace: None,
            stop_flag: None,
            first_received: None,
            last_received: None,
            cut: None,
        };
        let input = BufReader::new(stream);
        Some(Self { node, input, sent_count: 0, is_closing: false, log: log.clone() })
    }

    /// Makes the caller read slowly from now on.
    pub fn set_pace(&mut self, pause: Duration, most_bytes: usize) {
        self.input.get_mut().pace = Some((pause, most_bytes));
    }

    /// Makes the caller leave in the middle of an answer once the flag is set.
    pub fn leave_on(&mut self, stop_flag: &Arc<AtomicBool>) {
        self.input.get_mut().stop_flag = Some(Arc::clone(stop_flag));
    }

    /// Sends requests at once, and returns them in the order of their answers.
    pub fn send(&mut self, submissions: &[Submission]) -> Vec<SentRequest> {
        let bytes: Vec<u8> =
            submissions.iter().flat_map(|submission| submission.bytes.iter().copied()).collect();
        let started = Instant::now();
        let result = self.input.get_mut().stream.write_all(&bytes);
        let sent = result.is_ok().then(Instant::now);
        self.input.get_mut().reset_observations();
        let mut requests = Vec::new();
        for submission in submissions {
            self.sent_count += 1;
            requests.push(SentRequest {
                id: submission.id.clone(),
                time_limit: submission.time_limit,
                started,
                sent,
                position: self.sent_count,
            });
        }
        requests
    }

    /// Sends a request up to byte `cut`, and the rest after `pause`.
    pub fn send_in_parts(
        &mut self,
        submission: &Submission,
        cut: usize,
        pause: Duration,
    ) -> SentRequest {
        let (first, rest) = submission.bytes.split_at(cut);
        let started = Instant::now();
        let stream = &mut self.input.get_mut().stream;
        let result = stream.write_all(first).and_then(|()| {
            std::thread::sleep(pause);
            stream.write_all(rest)
        });
        self.input.get_mut().reset_observations();
        self.sent_count += 1;
        SentRequest {
            id: submission.id.clone(),
            time_limit: submission.time_limit,
            started,
            sent: result.is_ok().then(Instant::now),
            position: self.sent_count,
        }
    }

    /// Shuts the sending side.
    pub fn finish_sending(&self) {
        let _ = self.input.get_ref().stream.shutdown(Shutdown::Write);
    }

    /// Reads the answer to a request and records how it ended.
    pub fn receive(&mut self, request: SentRequest) -> Response {
        // An answer that comes late must not be taken for that of the next request.
        let has_ended = self.input.get_ref().cut.is_some();
        let reply = match has_ended {
            true => Response::default(),
            false => client::read_response(&mut self.input),
        };
        let cut = self.input.get_ref().cut;
        let (cut, ended) = cut.unwrap_or((Cut::Closed, Instant::now()));
        let ending = request.ending(&reply, cut);
        self.record(request, ending, ended);
        self.is_closing |= reply.header("connection").is_some_and(|value| value == "close");
        reply
    }

    /// Reads the answer up to the given number of events, and leaves.
    pub fn receive_events(&mut self, request: SentRequest, count: usize) -> Response {
        let mut events = EventReader { input: &mut self.input, line: Vec::new(), missing: count };
        let reply = client::read_response(&mut BufReader::with_capacity(1, &mut events));
        let (cut, ended) = self.input.get_ref().cut.unwrap_or((Cut::Left, Instant::now()));
        let ending = request.ending(&reply, cut);
        self.record(request, ending, ended);
        reply
    }

    /// Reads part of the answer, and leaves; returns `false` if the answer ended before.
    pub fn leave_after(&mut self, request: SentRequest, bytes: usize) -> bool {
        let mut part = vec![0; bytes];
        if self.input.read_exact(&mut part).is_err() {
            return false;
        }
        self.record(request, Ending::Incomplete(0, Cut::Left), Instant::now());
        true
    }

    /// Returns when the last bytes arrived; `None` if none came since the last request was sent.
    pub fn last_received(&self) -> Option<Instant> {
        self.input.get_ref().last_received
    }

    /// Returns whether the node has closed the connection, which no answer is due on.
    pub fn is_closed(&self) -> bool {
        let stream = &self.input.get_ref().stream;
        let _ = stream.set_nonblocking(true);
        let peeked = stream.peek(&mut [0]);
        let _ = stream.set_nonblocking(false);
        !matches!(peeked, Err(error) if error.kind() == ErrorKind::WouldBlock)
    }

    /// Returns whether further requests may be sent after this answer.
    pub fn is_reusable(&self, reply: &Response) -> bool {
        reply.is_complete && !self.is_closing
    }

    fn record(&self, request: SentRequest, ending: Ending, ended: Instant) {
        let stream = self.input.get_ref();
        let attempt = Attempt {
            first_received: stream.first_received,
            last_received: stream.last_received,
            is_behind_close: self.is_closing,
            ..request.attempt(self.node, ended, ending)
        };
        self.log.record(attempt);
    }
}

impl SentRequest {
    /// Returns when the last byte had been sent; `None` if the connection failed before.
    pub fn sent(&self) -> Option<Instant> {
        self.sent
    }

    /// Returns how the request ended for its caller; `cut` counts if the answer is not complete.
    fn ending(&self, reply: &Response, cut: Cut) -> Ending {
        match reply.status {
            0 if self.sent.is_none() => Ending::Unsent,
            0 => Ending::Unanswered(cut),
            status if reply.is_complete => Ending::Complete(status),
            status => Ending::Incomplete(status, cut),
        }
    }

    fn attempt(self, node: SocketAddr, ended: Instant, ending: Ending) -> Attempt {
        Attempt {
            id: self.id,
            node: node.ip(),
            time_limit: self.time_limit,
            started: self.started,
            sent: self.sent,
            first_received: None,
            last_received: None,
            ended,
            ending,
            position: self.position,
            is_behind_close: false,
        }
    }
}

/// Sends a request over a new connection; returns `None` without an answer's head.
pub fn exchange_recorded(
    node: SocketAddr,
    submission: &Submission,
    log: &AttemptLog,
) -> Option<Response> {
    let mut connection = RecordedConnection::open(node, submission, log)?;
    let request = connection.send(std::slice::from_ref(submission)).pop()?;
    let reply = connection.receive(request);
    (reply.status != 0).then_some(reply)
}

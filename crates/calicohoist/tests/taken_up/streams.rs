//! Streams that begin at replicas of several software versions, and are taken up by their clients.

use std::fmt;
use std::io::{BufRead, BufReader, Write as _};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use parking_lot::Mutex;
use serde_json::json;

use crate::support::replica::Exchange;
use crate::support::{Response, ScriptedReplica, client, request_head};

const EVENTS_PER_STREAM: u64 = 3;

/// A stream that has had its first event.
pub struct BegunStream {
    id: String,
    pub version: String,
    connection: TcpStream,
}

impl BegunStream {
    /// Breaks the connection of the client.
    pub fn break_off(&self) {
        // Fails if the gateway has closed it.
        let _ = self.connection.shutdown(Shutdown::Both);
    }
}

/// What became of a stream that was taken up.
#[derive(Debug)]
pub struct StreamFate {
    id: String,
    began_at: String,
    /// Versions that sent the remaining events.
    continued_at: Vec<String>,
    /// Tries that ran although their answer says that they did not.
    false_refusals: usize,
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

    /// Returns whether a try was refused as not run, and has run.
    pub fn is_falsely_refused(&self) -> bool {
        self.false_refusals > 0
    }
}

/// Request ids of the runs, with the software version of the replica.
#[derive(Clone, Default)]
pub struct RunLog(Arc<Mutex<Vec<(String, String)>>>);

impl RunLog {
    fn record(&self, request: &str, version: &str) {
        self.0.lock().push((request.to_owned(), version.to_owned()));
    }

    fn versions_of(&self, request: &str) -> Vec<String> {
        let runs = self.0.lock();
        let of_request = runs.iter().filter(|(run, _)| run == request);
        of_request.map(|(_, version)| version.clone()).collect()
    }
}

/// Gateway at which clients take up their streams, and their patience.
pub struct TakeUp<'a> {
    pub gateway: SocketAddr,
    pub max_tries: usize,
    pub runs: &'a RunLog,
}

impl TakeUp<'_> {
    /// Takes a stream up after its first event. A client that is asked to come back does so.
    pub fn run(&self, stream: &BegunStream, is_served: bool) -> StreamFate {
        let mut response = Response::default();
        let mut continued_at = Vec::new();
        let mut false_refusals = 0;
        for attempt in 0..self.max_tries {
            let id = format!("{}-again-{attempt}", stream.id);
            response = resume(self.gateway, &id, &stream.id);
            let versions = self.runs.versions_of(&id);
            let says_not_run = matches!(response.status, 409 | 429 | 503);
            false_refusals += usize::from(says_not_run && !versions.is_empty());
            continued_at.extend(versions);
            if response.status != 503 {
                break;
            }
            thread::sleep(retry_after(&response));
        }
        let is_whole = response.status == 200
            && response.is_complete
            && response.text().matches("data: ").count() as u64 == EVENTS_PER_STREAM - 1;
        StreamFate {
            id: stream.id.clone(),
            began_at: stream.version.clone(),
            continued_at,
            false_refusals,
            status: response.status,
            is_whole,
            is_served,
            reason: if response.status == 200 { String::new() } else { response.text() },
        }
    }
}

fn retry_after(response: &Response) -> Duration {
    let seconds = response.header("retry-after").and_then(|value| value.parse().ok());
    Duration::from_secs_f64(seconds.unwrap_or(0.5))
}

/// Software of a replica's process.
#[derive(Clone, Debug)]
pub struct ReplicaSoftware {
    pub id: String,
    pub version: String,
    /// Start time that the replica reports, if it has one.
    pub start: Option<u64>,
}

impl ReplicaSoftware {
    /// Starts a replica that breaks off no stream: a new one pauses after its first event.
    pub fn start(&self, runs: &RunLog) -> ScriptedReplica {
        ScriptedReplica::start(&self.id, self.script(runs))
    }

    /// Returns what the process does with a request.
    pub fn script(
        &self,
        runs: &RunLog,
    ) -> impl Fn(&mut Exchange<'_>) + Send + Sync + 'static + use<> {
        let (software, runs) = (self.clone(), runs.clone());
        move |exchange| software.serve(exchange, &runs)
    }

    fn serve(&self, exchange: &mut Exchange<'_>, runs: &RunLog) {
        if exchange.request.line.starts_with("GET /-/report ") {
            let report = json!({ "born": self.start, "busy": false }).to_string();
            return exchange.respond("200 OK", "", &report);
        }
        let expected = exchange.request.header("calicohoist-expect-instance");
        if expected.is_some_and(|expected| expected != self.id) {
            let not_run = "Calicohoist-Not-Executed: other\r\n";
            return exchange.respond("421 Misdirected Request", not_run, "");
        }
        let last = exchange.request.header("last-event-id").and_then(|last| last.parse().ok());
        runs.record(exchange.request.id(), &self.version);
        exchange.start_stream();
        send_events(exchange, &self.version, last);
    }
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

/// Begins streams at the same time, and waits for their first events.
pub fn begin_streams(gateway: SocketAddr, name: &str, count: usize) -> Vec<BegunStream> {
    let ids = (0..count).map(|number| format!("{name}{number}"));
    let clients: Vec<_> = ids.map(|id| thread::spawn(move || begin_stream(gateway, &id))).collect();
    clients.into_iter().map(|client| client.join().expect("a stream begins")).collect()
}

/// Begins a stream and reads its first event. Its body is that of no other stream, so that a replica that
/// ends under one does not count against the others.
fn begin_stream(address: SocketAddr, id: &str) -> BegunStream {
    let mut connection = client::connect(address);
    let head = request_head("POST", "/resumable/a", id, id.len(), &[]);
    connection.write_all(format!("{head}{id}").as_bytes()).expect("the request is sent");
    let reader = BufReader::new(connection.try_clone().expect("a handle"));
    let mut received = Vec::new();
    let mut lines =
        reader.lines().map_while(Result::ok).inspect(|line| received.push(line.clone()));
    let data = lines.find_map(|line| line.strip_prefix("data: ").map(str::to_owned));
    let version = data.unwrap_or_else(|| panic!("{id} has no event: {received:#?}"));
    BegunStream { id: id.to_owned(), version, connection }
}

fn resume(address: SocketAddr, id: &str, first: &str) -> Response {
    let resumes = format!("Resumes: {first}");
    let headers = ["Last-Event-Id: 1", &resumes];
    let head = request_head("POST", "/resumable/a", id, first.len(), &headers);
    client::exchange(address, format!("{head}{first}").as_bytes())
}

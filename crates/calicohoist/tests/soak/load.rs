//! Callers of the sound service: many small requests on kept and new connections, pipelined
//! requests, callers that shut their sending side, and slow readers of bulk answers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::Shared;
use crate::attempts::{AttemptLog, RecordedConnection, Submission, exchange_recorded};
use crate::caller::try_exchange;
use crate::faults::Soak;
use crate::sound::{EVENTS, SOUND_TIMEOUT, bulk_answer, bulk_path, stream_path, work_path};
use crate::support::{Response, request_head};

/// Separates the random streams of these callers from those of the others.
const LOAD_SEED: u64 = 74 << 40;
const KEEPING_CALLERS: usize = 20;
const CONNECTING_CALLERS: usize = 10;
const PIPELINING_CALLERS: usize = 2;
const HALF_CLOSING_CALLERS: usize = 2;
const BULK_READERS: usize = 2;
const STREAM_READERS: usize = 1;
/// Requests that a caller sends back to back.
const BURST: usize = 10;
/// Requests after which a caller changes its gateway.
const REQUESTS_PER_CONNECTION: usize = 50;
/// Probability that a caller picks a gateway that is only stopped and reloaded.
const PLANNED_PROBABILITY: f64 = 0.6;
const RETRY_PAUSE: Duration = Duration::from_millis(20);
/// Interval between two reads of a slow reader.
const READ_INTERVAL: Duration = Duration::from_millis(20);
const READS_PER_SECOND: usize = 50;
/// Larger than what socket buffers hold. The slowest answer takes less than a node's grace, and
/// longer than a gateway without requests takes to stop.
const BULK_BYTES: std::ops::Range<usize> = 8_000_000..12_000_000;
const BULK_BYTES_PER_SECOND: std::ops::Range<usize> = 2_000_000..3_000_000;
/// At most what a gateway accepts as an event.
const EVENT_BYTES: std::ops::Range<usize> = 300_000..1_000_000;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Kind {
    Keeping,
    Connecting,
    Pipelining,
    HalfClosing,
    Bulk,
    Stream,
}

const CALLERS: [(Kind, usize); 6] = [
    (Kind::Keeping, KEEPING_CALLERS),
    (Kind::Connecting, CONNECTING_CALLERS),
    (Kind::Pipelining, PIPELINING_CALLERS),
    (Kind::HalfClosing, HALF_CLOSING_CALLERS),
    (Kind::Bulk, BULK_READERS),
    (Kind::Stream, STREAM_READERS),
];

/// Starts all callers.
pub fn start_callers(
    seed: u64,
    soak: &Soak,
    records: &Shared,
    stop_flag: &Arc<AtomicBool>,
) -> Vec<JoinHandle<()>> {
    let kinds = CALLERS.iter().flat_map(|(kind, count)| std::iter::repeat_n(*kind, *count));
    let callers = kinds.enumerate().map(|(number, kind)| LoadCaller {
        kind,
        number,
        count: 0,
        gateways: soak.gateways(),
        planned_gateways: soak.planned_gateways(),
        ready_port: soak.cluster.ports.ready,
        rng: StdRng::seed_from_u64((seed << 8 | number as u64) ^ LOAD_SEED),
        attempts: records.lock().attempts.clone(),
        records: Arc::clone(records),
        stop_flag: Arc::clone(stop_flag),
    });
    callers.map(|caller| thread::spawn(|| caller.run())).collect()
}

struct LoadCaller {
    kind: Kind,
    number: usize,
    /// Number of requests so far.
    count: usize,
    gateways: Vec<SocketAddr>,
    planned_gateways: Vec<SocketAddr>,
    ready_port: u16,
    rng: StdRng,
    attempts: AttemptLog,
    records: Shared,
    stop_flag: Arc<AtomicBool>,
}

impl LoadCaller {
    fn run(mut self) {
        while !self.has_stopped() {
            let gateway = self.pick_gateway();
            let is_served = match self.kind {
                Kind::Keeping => self.keep_connection(gateway),
                Kind::Connecting => self.connect(gateway),
                Kind::Pipelining => self.pipeline(gateway),
                Kind::HalfClosing => self.half_close(gateway),
                Kind::Bulk => self.read_bulk(gateway),
                Kind::Stream => self.read_stream(gateway),
            };
            if is_served.is_none() {
                thread::sleep(RETRY_PAUSE);
            }
        }
    }

    fn pick_gateway(&mut self) -> SocketAddr {
        let is_planned = self.rng.random_bool(PLANNED_PROBABILITY);
        let gateways = if is_planned { &self.planned_gateways } else { &self.gateways };
        let index = self.rng.random_range(0..gateways.len());
        // A gateway may buffer one bulk answer at a time, so each reader has gateways of its own.
        let index = match self.kind {
            Kind::Bulk => index - index % BULK_READERS + self.number % BULK_READERS,
            _ => index,
        };
        gateways[index % gateways.len()]
    }

    fn has_stopped(&self) -> bool {
        self.stop_flag.load(Ordering::Relaxed)
    }

    fn next_request(&mut self, path: &str) -> Submission {
        self.count += 1;
        let id = format!("{:?}-{}-{}", self.kind, self.number, self.count);
        Submission::new(&id, &request_head("GET", path, &id, 0, &[]), SOUND_TIMEOUT)
    }

    fn pause(&mut self, from_ms: u64, to_ms: u64) {
        thread::sleep(Duration::from_millis(self.rng.random_range(from_ms..to_ms)));
    }

    fn is_ready(&self, gateway: SocketAddr) -> bool {
        let address = SocketAddr::new(gateway.ip(), self.ready_port);
        let request = b"GET /-/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
        try_exchange(address, request).is_some_and(|reply| reply.status == 200)
    }

    /// Reads the answer to a request for work, which is its id.
    fn receive(
        &self,
        connection: &mut RecordedConnection,
        request: crate::attempts::SentRequest,
        id: &str,
    ) -> Response {
        let reply = connection.receive(request);
        self.check(id, &reply, id);
        reply
    }

    fn check(&self, id: &str, reply: &Response, expected: &str) {
        if reply.status == 200 && reply.is_complete && reply.text() != expected {
            let violation = format!("{id} received {} bytes of another answer", reply.body.len());
            self.records.lock().violations.push(violation);
        }
    }

    fn keep_connection(&mut self, gateway: SocketAddr) -> Option<()> {
        let mut submission = self.next_request(&work_path(Duration::ZERO));
        let mut connection = RecordedConnection::open(gateway, &submission, &self.attempts)?;
        for number in 1..=REQUESTS_PER_CONNECTION {
            let request = connection.send(std::slice::from_ref(&submission)).pop()?;
            let reply = self.receive(&mut connection, request, &submission.id);
            if !connection.is_reusable(&reply) || self.has_stopped() {
                return (reply.status == 200).then_some(());
            }
            if number % BURST == 0 || reply.status != 200 {
                self.pause(100, 300);
            }
            submission = self.next_request(&work_path(Duration::ZERO));
        }
        Some(())
    }

    fn connect(&mut self, gateway: SocketAddr) -> Option<()> {
        let submission = self.next_request(&work_path(Duration::ZERO));
        self.pause(10, 40);
        let reply = exchange_recorded(gateway, &submission, &self.attempts)?;
        self.check(&submission.id, &reply, &submission.id);
        Some(())
    }

    fn pipeline(&mut self, gateway: SocketAddr) -> Option<()> {
        self.pause(20, 100);
        let request_count = self.rng.random_range(2..=3);
        let submissions: Vec<Submission> = (0..request_count)
            .map(|_| {
                let work = Duration::from_millis(self.rng.random_range(0..300));
                self.next_request(&work_path(work))
            })
            .collect();
        let mut connection = RecordedConnection::open(gateway, &submissions[0], &self.attempts)?;
        let requests = connection.send(&submissions);
        for (request, submission) in requests.into_iter().zip(&submissions) {
            self.receive(&mut connection, request, &submission.id);
        }
        Some(())
    }

    fn half_close(&mut self, gateway: SocketAddr) -> Option<()> {
        self.pause(20, 100);
        let work = Duration::from_millis(self.rng.random_range(50..600));
        let submission = self.next_request(&work_path(work));
        let mut connection = RecordedConnection::open(gateway, &submission, &self.attempts)?;
        let request = connection.send(std::slice::from_ref(&submission)).pop()?;
        connection.finish_sending();
        self.receive(&mut connection, request, &submission.id);
        Some(())
    }

    fn read_slowly(&mut self, gateway: SocketAddr, submission: &Submission) -> Option<Response> {
        if !self.is_ready(gateway) {
            return None;
        }
        let mut connection = RecordedConnection::open(gateway, submission, &self.attempts)?;
        let request = connection.send(std::slice::from_ref(submission)).pop()?;
        let bytes_per_second = self.rng.random_range(BULK_BYTES_PER_SECOND);
        connection.set_pace(READ_INTERVAL, bytes_per_second / READS_PER_SECOND);
        connection.leave_on(&self.stop_flag);
        Some(connection.receive(request))
    }

    fn read_bulk(&mut self, gateway: SocketAddr) -> Option<()> {
        let bytes = self.rng.random_range(BULK_BYTES);
        let submission = self.next_request(&bulk_path(bytes));
        self.pause(20, 100);
        let reply = self.read_slowly(gateway, &submission)?;
        self.check(&submission.id, &reply, &bulk_answer(&submission.id, bytes));
        (reply.status == 200).then_some(())
    }

    fn read_stream(&mut self, gateway: SocketAddr) -> Option<()> {
        let bytes = self.rng.random_range(EVENT_BYTES);
        let submission = self.next_request(&stream_path(bytes));
        self.pause(20, 100);
        let reply = self.read_slowly(gateway, &submission)?;
        let has_all = reply.text().matches("data: ").count() as u64 == EVENTS;
        if reply.status == 200 && reply.is_complete && !has_all {
            let violation = format!("{} was complete before its last event", submission.id);
            self.records.lock().violations.push(violation);
        }
        (reply.status == 200).then_some(())
    }
}

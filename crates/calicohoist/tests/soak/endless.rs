//! Callers that ask replicas for responses that never end.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::arrivals::{Arrival, ArrivalLog, Outcome};
use crate::attempts::{Attempt, AttemptLog, Cut, Ending, RecordedConnection, Submission};
use crate::faults::Soak;
use crate::support::replica::Exchange;
use crate::support::{EndlessKind, request_head};
use crate::timeline::{DisruptionKind, Machine, Timeline};
use crate::unanswered::{Findings, judge_all};
use crate::{ROUTE_TIMEOUT, Shared};

/// Separates the random streams of these callers from those of the others.
const ENDLESS_SEED: u64 = 80 << 40;
/// Bounds the responses at a time, whose writers share the machine with everything else.
const CALLERS: usize = 4;
/// Letters that begin the ids of requests for streams and for other responses.
pub const STREAM_CALLER: &str = "EndlessStream";
pub const CALL_CALLER: &str = "EndlessCall";
/// Path prefixes of routes for calls, and of routes for streams.
const CALL_ROUTES: [&str; 2] = ["/safe/", "/unsafe/"];
const STREAM_ROUTES: [&str; 3] = ["/stream/", "/resumable/", "/retained/"];
const STREAM_INPUT: &str = "hi";
/// Pause between two requests of a caller, in milliseconds.
const PAUSE_MS: std::ops::Range<u64> = 50..500;
/// Pause before each read, in milliseconds, and bytes per read, which bound what a caller stores.
const READ_PAUSE_MS: std::ops::Range<u64> = 1..20;
const READ_BYTES: usize = 64 << 10;

/// Returns whether the run has these callers, which `CALICOHOIST_SOAK_ENDLESS=0` turns off.
pub fn is_enabled() -> bool {
    std::env::var("CALICOHOIST_SOAK_ENDLESS").as_deref() != Ok("0")
}

/// Serves a request for an endless response; returns `None` for other requests.
pub fn serve_endless(exchange: &mut Exchange<'_>) -> Option<Outcome> {
    let path = exchange.request.line.split(' ').nth(1)?;
    let kind = EndlessKind::ALL.into_iter().find(|kind| path.ends_with(&path_end(*kind)))?;
    kind.serve(exchange);
    Some(Outcome::Endless)
}

fn path_end(kind: EndlessKind) -> String {
    format!("/endless-{kind:?}")
}

/// Starts the callers, whose attempts are recorded in a log of their own.
pub fn start_endless_callers(
    seed: u64,
    soak: &Soak,
    records: &Shared,
    stop_flag: &Arc<AtomicBool>,
) -> Vec<JoinHandle<()>> {
    let gateways = [soak.gateways(), soak.planned_gateways()].concat();
    let callers = (0..CALLERS).map(|number| EndlessCaller {
        number,
        count: 0,
        gateways: gateways.clone(),
        rng: StdRng::seed_from_u64((seed << 8 | number as u64) ^ ENDLESS_SEED),
        attempts: records.lock().endless_attempts.clone(),
        records: Arc::clone(records),
        stop_flag: Arc::clone(stop_flag),
    });
    callers.map(|caller| thread::spawn(|| caller.run())).collect()
}

struct EndlessCaller {
    number: usize,
    /// Number of requests so far.
    count: usize,
    gateways: Vec<SocketAddr>,
    rng: StdRng,
    attempts: AttemptLog,
    records: Shared,
    stop_flag: Arc<AtomicBool>,
}

impl EndlessCaller {
    fn run(mut self) {
        while !self.stop_flag.load(Ordering::Relaxed) {
            let submission = self.next_request();
            let gateway = self.gateways[self.rng.random_range(0..self.gateways.len())];
            self.exchange(gateway, submission);
            thread::sleep(Duration::from_millis(self.rng.random_range(PAUSE_MS)));
        }
    }

    fn next_request(&mut self) -> Submission {
        self.count += 1;
        let kind = EndlessKind::ALL[self.rng.random_range(0..EndlessKind::ALL.len())];
        let index = self.rng.random_range(0..CALL_ROUTES.len() + STREAM_ROUTES.len());
        let (caller, method, route, input) = match CALL_ROUTES.get(index) {
            Some(route) => (CALL_CALLER, "GET", route, ""),
            None => {
                (STREAM_CALLER, "POST", &STREAM_ROUTES[index - CALL_ROUTES.len()], STREAM_INPUT)
            }
        };
        let name = route.trim_matches('/');
        let id = format!("{caller}-{name}-{kind:?}-{}-{}", self.number, self.count);
        let path = format!("{}{}", route.trim_end_matches('/'), path_end(kind));
        let head = request_head(method, &path, &id, input.len(), &["Connection: close"]);
        // Safe requests and resumable streams may run again.
        if !matches!(*route, "/safe/" | "/resumable/") {
            self.records.lock().at_most_once.insert(id.clone());
        }
        Submission::new(&id, &format!("{head}{input}"), ROUTE_TIMEOUT)
    }

    fn exchange(&mut self, gateway: SocketAddr, submission: Submission) -> Option<()> {
        let id = submission.id.clone();
        let mut connection = RecordedConnection::open(gateway, &submission, &self.attempts)?;
        let request = connection.send(&[submission]).pop()?;
        let pause = Duration::from_millis(self.rng.random_range(READ_PAUSE_MS));
        connection.set_pace(pause, READ_BYTES);
        connection.leave_on(&self.stop_flag);
        let reply = connection.receive(request);
        let mut records = self.records.lock();
        match reply.status {
            0 | 502 | 504 => {}
            503 => {
                records.rejected.insert(id);
            }
            200 if !reply.is_complete => {}
            200 if id.contains(&format!("{:?}", EndlessKind::UnframedBody)) => {
                records.ended_bodies.push(id);
            }
            status => {
                let violation = format!("{id} was answered {status}, but its response never ends");
                records.violations.push(violation);
            }
        }
        Some(())
    }
}

/// Judges the attempts of these callers like those of others, except that a stream may be cut that
/// never ends by itself.
pub fn judge_endless(
    attempts: &AttemptLog,
    arrivals: &ArrivalLog,
    timeline: &Timeline,
    start: Instant,
) -> Findings {
    attempts.remove_unfinished(|attempt| is_cut_stream(attempt, &arrivals.of(&attempt.id)));
    judge_all(attempts, arrivals, timeline, start)
}

/// Returns a violation for each body up to the close of its connection that was taken for complete,
/// unless the replica's connections were broken meanwhile.
pub fn check_ended_bodies(
    ids: &[String],
    arrivals: &ArrivalLog,
    timeline: &Timeline,
) -> Vec<String> {
    let is_broken = |arrival: &Arrival| {
        let until = arrival.finished.unwrap_or_else(Instant::now);
        timeline.disruptions_between(arrival.at, until).any(|disruption| {
            disruption.machine == Machine::Replica(arrival.replica.clone())
                && disruption.kind == DisruptionKind::ConnectionsBroken
        })
    };
    let cut = ids.iter().filter(|id| !arrivals.of(id).iter().any(is_broken));
    cut.map(|id| format!("{id} was answered 200, but its response never ends")).collect()
}

/// Returns whether a stream that a replica began was cut for its caller.
pub fn is_cut_stream(attempt: &Attempt, arrivals: &[Arrival]) -> bool {
    attempt.caller_kind() == STREAM_CALLER
        && matches!(attempt.ending, Ending::Incomplete(200, Cut::Closed | Cut::Reset))
        && !arrivals.is_empty()
}

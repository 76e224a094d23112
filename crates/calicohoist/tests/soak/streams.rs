//! Callers whose streams break off, and who resume them at any gateway, while replicas of two
//! software versions serve.

use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use rand::RngExt;
use rand::rngs::StdRng;

use crate::arrivals::Outcome;
use crate::attempts::{AttemptLog, Submission, exchange_recorded};
use crate::support::replica::Exchange;
use crate::support::{Response, request_head};
use crate::{ROUTE_TIMEOUT, Records, Shared};

/// Id prefix of requests for streams that break off.
const STREAM_PREFIX: &str = "stream";
const EVENTS_PER_STREAM: u64 = 6;
/// Maximum number of requests that resume one stream.
const MAX_RESUMPTIONS: usize = 3;

/// Streams and their continuations.
#[derive(Clone, Debug, Default)]
pub struct StreamRecords {
    begun: u64,
    completed: u64,
    /// Requests that resumed a stream.
    resumptions: u64,
    /// Of these, requests that brought further events.
    continued: u64,
    /// Status codes of the others, 0 without an answer, with the reason.
    failed: BTreeMap<(u16, String), u64>,
    /// Events of each stream, in the order of arrival.
    events: Vec<Vec<String>>,
}

impl fmt::Display for StreamRecords {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { begun, completed, resumptions, continued, failed, .. } = self;
        write!(
            formatter,
            "{begun} streams begun, {completed} complete, {continued} of {resumptions} continued \
             (others: {failed:?})"
        )
    }
}

/// Returns the software version of a replica.
pub fn software_version(replica: &str) -> &'static str {
    if replica.ends_with('1') { "v1" } else { "v1.2" }
}

/// Serves a request for a stream that breaks off; returns `None` for other requests.
///
/// A replica breaks off a stream that it begins half of the time, and one that it continues never.
pub fn serve_stream(exchange: &mut Exchange<'_>, replica: &str) -> Option<Outcome> {
    let id = exchange.request.id().to_owned();
    if !id.starts_with(STREAM_PREFIX) {
        return None;
    }
    let last = exchange.request.header("last-event-id").and_then(|last| last.parse().ok());
    let is_odd = id.bytes().fold(0, |sum: u32, byte| sum + u32::from(byte)) % 2 == 1;
    exchange.start_stream();
    for number in last.unwrap_or(0) + 1..=EVENTS_PER_STREAM {
        if last.is_none() && is_odd && number == EVENTS_PER_STREAM / 2 {
            exchange.abort_connection();
            return Some(Outcome::BrokenOff);
        }
        thread::sleep(Duration::from_millis(4));
        exchange.send_event(number, &format!("{} {number}", software_version(replica)));
    }
    exchange.end_stream();
    Some(Outcome::Whole)
}

/// Requests streams sequentially, and resumes those that end early.
pub fn resume_streams(
    number: usize,
    gateways: &[SocketAddr],
    mut rng: StdRng,
    records: &Shared,
    stop_flag: &Arc<AtomicBool>,
) {
    let attempts = records.lock().attempts.clone();
    let mut count = 0;
    while !stop_flag.load(Ordering::Relaxed) {
        count += 1;
        let first = format!("{STREAM_PREFIX}-{number}-{count}");
        let mut events = Vec::new();
        for attempt in 0..=MAX_RESUMPTIONS {
            let gateway = gateways[rng.random_range(0..gateways.len())];
            let reply = request(gateway, &first, attempt, events.len(), &attempts);
            let reply = reply.unwrap_or_default();
            let arrived = events_of(&reply);
            let mut records = records.lock();
            records.streams.begun += u64::from(attempt == 0 && !arrived.is_empty());
            records.streams.resumptions += u64::from(attempt > 0);
            if attempt > 0 && arrived.is_empty() {
                *records.streams.failed.entry((reply.status, reply.text())).or_default() += 1;
            } else if attempt > 0 {
                records.streams.continued += 1;
            }
            records.streams.completed += u64::from(reply.status == 200 && reply.is_complete);
            drop(records);
            events.extend(arrived);
            if events.is_empty() || reply.is_complete && reply.status == 200 {
                break;
            }
            let retry_after = if reply.status == 503 { 400 } else { 0 };
            thread::sleep(Duration::from_millis(retry_after + rng.random_range(0..40)));
        }
        records.lock().streams.events.push(events);
        thread::sleep(Duration::from_millis(20));
    }
}

fn request(
    gateway: SocketAddr,
    first: &str,
    attempt: usize,
    received: usize,
    attempts: &AttemptLog,
) -> Option<Response> {
    let (last, resumes) = (format!("Last-Event-Id: {received}"), format!("Resumes: {first}"));
    let id = if attempt == 0 { first.to_owned() } else { format!("{first}-again-{attempt}") };
    let headers = if attempt == 0 { vec![] } else { vec![last.as_str(), resumes.as_str()] };
    let head = request_head("POST", "/resumable/a", &id, 2, &headers);
    let submission = Submission::new(&id, &format!("{head}hi"), ROUTE_TIMEOUT);
    exchange_recorded(gateway, &submission, attempts)
}

/// Returns the data of the events, each the version and the number.
fn events_of(reply: &Response) -> Vec<String> {
    let text = reply.text();
    text.lines().filter_map(|line| line.strip_prefix("data: ")).map(str::to_owned).collect()
}

/// Checks that each stream has events of one version only, in order.
pub fn check_versions(records: &mut Records) {
    let Records { streams, violations, .. } = records;
    for events in &streams.events {
        let Some((version, _)) = events.first().and_then(|event| event.split_once(' ')) else {
            continue;
        };
        let expected: Vec<String> =
            (1..=events.len()).map(|number| format!("{version} {number}")).collect();
        if *events != expected {
            violations.push(format!("a stream has the events {events:?}"));
        }
    }
}

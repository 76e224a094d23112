//! Service whose replicas have no faults.

use std::thread;
use std::time::Duration;

use serde_json::{Value, json};

use crate::arrivals::{ArrivalLog, Outcome};
use crate::faults::ZONES;
use crate::support::replica::Exchange;
use crate::support::{HOST, ListServer, ScriptedReplica};

const SERVICE: &str = "sound";
const REPLICAS: usize = 4;
/// Timeout of the routes; longer than any answer takes to be read.
pub const SOUND_TIMEOUT: Duration = Duration::from_secs(12);
pub const STREAM_PREFIX: &str = "/sound-stream/";
/// Number of events of a stream, all of the same size.
pub const EVENTS: u64 = 6;

/// Path of a request that the replica works on for a time, and answers with its id.
pub fn work_path(work: Duration) -> String {
    format!("/sound/work-{}", work.as_millis())
}

/// Path of a request whose answer has about `bytes`.
pub fn bulk_path(bytes: usize) -> String {
    format!("/sound/bulk-{bytes}")
}

/// Path of a stream whose events have `bytes` each.
pub fn stream_path(bytes: usize) -> String {
    format!("{STREAM_PREFIX}bulk-{bytes}")
}

/// Returns the answer to a bulk request.
pub fn bulk_answer(id: &str, bytes: usize) -> String {
    id.repeat(bytes / id.len())
}

/// Adds the routes and the service to a configuration.
pub fn add_sound_service(document: &mut Value) {
    let timeout_ms = SOUND_TIMEOUT.as_millis();
    let route = |name: &str, prefix: &str, kind: &str| {
        json!({
            "name": name, "host": HOST, "path_prefix": prefix, "kind": kind,
            "timeout_ms": timeout_ms, "target_latency_ms": 200, "priority": 1, "service": SERVICE,
            "max_attempts": 1, "retain": false, "retention_s": 60.0, "sticky": false,
            "resumable": false, "target_gap_ms": 200,
        })
    };
    let routes = document["routes"].as_array_mut().expect("a list");
    routes.push(route("sound", "/sound/", "unsafe"));
    routes.push(route("sound-stream", STREAM_PREFIX, "stream"));
    let service = json!({ "name": SERVICE, "health_path": "/health", "max_conns": 100 });
    document["services"].as_array_mut().expect("a list").push(service);
}

/// Starts the replicas.
pub fn start_replicas(list: &ListServer, arrivals: &ArrivalLog) -> Vec<ScriptedReplica> {
    let start = |number: usize| {
        let replica = arrivals.start_replica(&format!("s-{number}"), serve);
        list.put_in_zone(ZONES[number % ZONES.len()], &replica, SERVICE, "ready");
        replica
    };
    (0..REPLICAS).map(start).collect()
}

fn serve(exchange: &mut Exchange<'_>) -> Outcome {
    let id = exchange.request.id().to_owned();
    let path = exchange.request.line.split(' ').nth(1).unwrap_or_default().to_owned();
    let number = path.rsplit('-').next().and_then(|number| number.parse::<usize>().ok());
    let number = number.unwrap_or(0);
    if path.starts_with(STREAM_PREFIX) {
        exchange.start_stream();
        let data = "x".repeat(number);
        (1..=EVENTS).for_each(|event| exchange.send_event(event, &data));
        exchange.end_stream();
    } else if path.contains("/bulk-") {
        exchange.respond("200 OK", "", &bulk_answer(&id, number));
    } else {
        thread::sleep(Duration::from_millis(number as u64));
        exchange.respond("200 OK", "", &id);
    }
    Outcome::Whole
}

//! Callers that read large answers slowly or disconnect before the end.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use rand::RngExt;
use rand::rngs::StdRng;

use crate::attempts::{AttemptLog, RecordedConnection, Submission};
use crate::support::{Response, request_head};
use crate::{ROUTE_TIMEOUT, Shared};

/// Id prefix of requests for large answers.
const LARGE_PREFIX: &str = "large";
/// Maximum number of bytes per read; the reader pauses after each.
const READ_BYTES: usize = 64 << 10;

/// Returns the answer to a large request, its repeated id; `None` for other requests.
pub fn large_answer(id: &str) -> Option<String> {
    let size = id.strip_prefix(LARGE_PREFIX)?.split('-').nth(1)?.parse::<usize>().ok()?;
    Some(id.repeat(size / id.len()))
}

/// Requests large answers sequentially.
pub fn read_slowly(
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
        let size = rng.random_range(100_000..3_000_000);
        let id = format!("{LARGE_PREFIX}-{size}-{number}-{count}");
        records.lock().at_most_once.insert(id.clone());
        let gateway = gateways[rng.random_range(0..gateways.len())];
        let disconnects_early = rng.random_bool(0.2);
        let pause = Duration::from_millis(rng.random_range(0..20));
        match exchange(gateway, &id, pause, disconnects_early, &attempts) {
            Some(reply) => check_response(&id, &reply, records),
            None => thread::sleep(Duration::from_millis(50)),
        }
    }
}

/// Sends a request; returns the response, or `None` on failure or early disconnect.
fn exchange(
    gateway: SocketAddr,
    id: &str,
    pause: Duration,
    disconnects_early: bool,
    attempts: &AttemptLog,
) -> Option<Response> {
    let head = request_head("GET", "/unsafe/large", id, 0, &["Connection: close"]);
    let submission = Submission::new(id, &head, ROUTE_TIMEOUT);
    let mut connection = RecordedConnection::open(gateway, &submission, attempts)?;
    let request = connection.send(&[submission]).pop()?;
    connection.set_pace(pause, READ_BYTES);
    if disconnects_early {
        connection.leave_after(request, READ_BYTES + 1);
        return None;
    }
    let reply = connection.receive(request);
    (reply.status != 0).then_some(reply)
}

/// Records a rejection and checks that a complete answer belongs to its request.
fn check_response(id: &str, reply: &Response, records: &Shared) {
    let mut records = records.lock();
    if matches!(reply.status, 408 | 429 | 503) {
        records.rejected.insert(id.to_owned());
    }
    if reply.status != 200 || !reply.is_complete {
        return;
    }
    if large_answer(id).as_deref() != Some(reply.text().as_str()) {
        records
            .violations
            .push(format!("{id} received {} bytes that are not its answer", reply.body.len()));
    }
    records.served += 1;
}

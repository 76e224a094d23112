//! Callers that read large answers slowly or disconnect before the end.

use std::io::{Read, Write as _};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use rand::RngExt;
use rand::rngs::StdRng;

use crate::Shared;
use crate::support::request_head;

/// Id prefix of requests for large answers.
const LARGE_PREFIX: &str = "large";
const READ_TIMEOUT: Duration = Duration::from_secs(6);
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
    let mut count = 0;
    while !stop_flag.load(Ordering::Relaxed) {
        count += 1;
        let size = rng.random_range(100_000..3_000_000);
        let id = format!("{LARGE_PREFIX}-{size}-{number}-{count}");
        records.lock().at_most_once.insert(id.clone());
        let gateway = gateways[rng.random_range(0..gateways.len())];
        let disconnects_early = rng.random_bool(0.2);
        let pause = Duration::from_millis(rng.random_range(0..20));
        match exchange(gateway, &id, pause, disconnects_early) {
            Some(answer) => check_response(&id, &answer, records),
            None => thread::sleep(Duration::from_millis(50)),
        }
    }
}

/// Sends a request; returns the response bytes, or `None` on failure or early disconnect.
fn exchange(
    gateway: SocketAddr,
    id: &str,
    pause: Duration,
    disconnects_early: bool,
) -> Option<Vec<u8>> {
    let mut stream = TcpStream::connect_timeout(&gateway, Duration::from_secs(1)).ok()?;
    stream.set_read_timeout(Some(READ_TIMEOUT)).ok()?;
    let path = "/unsafe/large";
    let head = request_head("GET", path, id, 0, &["Connection: close"]);
    stream.write_all(head.as_bytes()).ok()?;
    let mut answer = Vec::new();
    let mut buffer = vec![0; READ_BYTES];
    loop {
        match stream.read(&mut buffer).ok()? {
            0 => return Some(answer),
            length => answer.extend_from_slice(&buffer[..length]),
        }
        if disconnects_early && answer.len() > READ_BYTES {
            return None;
        }
        thread::sleep(pause);
    }
}

/// Records a rejection and checks that a complete answer belongs to its request.
fn check_response(id: &str, answer: &[u8], records: &Shared) {
    let text = String::from_utf8_lossy(answer);
    let Some((head, body)) = text.split_once("\r\n\r\n") else {
        return;
    };
    let mut records = records.lock();
    let status = head.split(' ').nth(1).unwrap_or_default();
    if matches!(status, "408" | "429" | "503") {
        records.rejected.insert(id.to_owned());
    }
    if status != "200" {
        return;
    }
    let length = head.lines().find_map(|line| line.strip_prefix("content-length: "));
    let is_complete = length.and_then(|length| length.parse().ok()) == Some(body.len());
    if is_complete && large_answer(id).as_deref() != Some(body) {
        records
            .violations
            .push(format!("{id} received {} bytes that are not its answer", body.len()));
    }
    records.served += u64::from(is_complete);
}

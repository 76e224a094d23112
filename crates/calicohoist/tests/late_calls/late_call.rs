//! Calls whose bytes are sent at given times.

use std::net::SocketAddr;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use crate::caller::{CallerConnection, CallerReport, TimedBytes};
use crate::cluster::ledger::{large_configuration, request};
use crate::support::configuration;

/// Size of a large configuration, and the number of parts in which it is sent.
const LARGE_BYTES: usize = 2 << 20;
const LARGE_PARTS: usize = 32;

/// Time between the first bytes of the late calls and the stop.
pub const LEAD_TIME: Duration = Duration::from_millis(100);
/// Time after its last byte in which a call may cross the close of its connection.
pub const CROSSING_SLACK: Duration = Duration::from_millis(200);

/// An operator call, sent in parts.
pub struct LateCall {
    id: String,
    parts: Vec<(Instant, String)>,
}

impl LateCall {
    pub fn whole(id: &str, at: Instant, bytes: String) -> Self {
        Self { id: id.to_owned(), parts: vec![(at, bytes)] }
    }

    /// A call that is cut at a byte of its head, or of its body.
    fn split(id: &str, bytes: &str, at_byte: usize, times: [Instant; 2]) -> Self {
        let (first, second) = bytes.split_at(at_byte);
        let parts = vec![(times[0], first.to_owned()), (times[1], second.to_owned())];
        Self { id: id.to_owned(), parts }
    }

    pub fn with_split_head(id: &str, bytes: &str, times: [Instant; 2]) -> Self {
        let head = bytes.find("\r\n\r\n").expect("the end of the head");
        Self::split(id, bytes, head / 2, times)
    }

    pub fn with_late_body(id: &str, bytes: &str, times: [Instant; 2]) -> Self {
        Self::split(id, bytes, bytes.len() - 1, times)
    }

    /// A large configuration that is sent evenly within the given times.
    pub fn large(id: &str, version: u64, [start, end]: [Instant; 2]) -> Self {
        let bytes = request("PUT", "/-/config", &large_configuration(version, LARGE_BYTES));
        let part_bytes = bytes.len().div_ceil(LARGE_PARTS);
        let interval = (end - start) / LARGE_PARTS as u32;
        let parts = bytes.as_bytes().chunks(part_bytes).zip(1..);
        let parts = parts.map(|(part, number)| {
            (start + interval * number, String::from_utf8_lossy(part).into_owned())
        });
        Self { id: id.to_owned(), parts: parts.collect() }
    }

    fn sent_at(&self) -> Instant {
        self.parts.last().expect("a part").0
    }
}

/// Returns the call that activates a version of the configuration.
pub fn put(version: u64) -> String {
    request("PUT", "/-/config", &configuration(version).to_string())
}

/// What the caller of a call saw.
pub struct CallReport {
    pub report: CallerReport,
    sent_at: Instant,
}

impl CallReport {
    /// Returns whether the call was neither answered nor crossed by the close of its connection.
    pub fn is_lost(&self) -> bool {
        !self.report.is_answered() && self.report.ended_at > self.sent_at + CROSSING_SLACK
    }

    /// Returns a line that tells the times from `origin`.
    pub fn line(&self, origin: Instant) -> String {
        let sent = self.sent_at.saturating_duration_since(origin);
        format!("sent at {sent:?}, {}", self.report.relative_to(origin))
    }
}

/// Sends calls behind each other on one connection.
pub fn send(address: SocketAddr, calls: Vec<LateCall>) -> JoinHandle<Vec<CallReport>> {
    let mut connection = CallerConnection::open(address);
    let sent_at: Vec<Instant> = calls.iter().map(LateCall::sent_at).collect();
    for LateCall { id, parts } in calls {
        let parts = parts.into_iter().map(|(at, bytes)| TimedBytes::at(at, bytes));
        connection.send(&id, parts.collect());
    }
    let reports = connection.start();
    std::thread::spawn(move || {
        let reports = reports.join().expect("the caller ends").into_iter().zip(sent_at);
        reports.map(|(report, sent_at)| CallReport { report, sent_at }).collect()
    })
}

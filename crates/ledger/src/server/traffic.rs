//! Counts of the bytes that a ledger machine sends and takes, by kind and by distance.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::time::Duration;

use calicohoist_routing::Distance;
use calicohoist_telemetry::metrics::TrafficCounter;
use calicohoist_telemetry::{Event, emit};
use parking_lot::Mutex;

/// Time between two log lines: a few bytes a second, and a crash loses little of the count.
const TELL_INTERVAL: Duration = Duration::from_secs(5);

static PEER_BYTES: TrafficCounter = TrafficCounter::new(
    "calicohoist_ledger_peer_bytes_total",
    "Bytes of frames to other ledger machines",
);
static ANSWER_BYTES: TrafficCounter =
    TrafficCounter::new("calicohoist_ledger_answer_bytes_total", "Bytes of answers to gateways");
static QUESTION_BYTES: TrafficCounter = TrafficCounter::new(
    "calicohoist_ledger_question_bytes_total",
    "Bytes of questions of gateways",
);

/// At which other end bytes are sent or taken. The names of the variants appear in the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Peer {
    /// Frames to another ledger machine.
    Ledger,
    /// Answers to a gateway.
    Gateway,
    /// Questions of a gateway.
    Asker,
}

type Totals = BTreeMap<(Peer, &'static str, &'static str), usize>;

static TOTALS: Mutex<Totals> = Mutex::new(Totals::new());

/// Counts bytes of this kind; a `distance` of `None` is not known yet.
pub fn note(peer: Peer, kind: &'static str, distance: Option<Distance>, bytes: usize) {
    let distance = distance.map_or("unknown", Distance::as_str);
    let counter = match peer {
        Peer::Ledger => &PEER_BYTES,
        Peer::Gateway => &ANSWER_BYTES,
        Peer::Asker => &QUESTION_BYTES,
    };
    counter.add(kind, distance, bytes);
    *TOTALS.lock().entry((peer, kind, distance)).or_default() += bytes;
}

/// Logs the totals now and then, for as long as the process runs.
pub async fn tell(machine: String) {
    loop {
        tokio::time::sleep(TELL_INTERVAL).await;
        let totals = TOTALS.lock().clone();
        let mut text = String::new();
        for ((peer, kind, distance), bytes) in totals {
            // Writing to a string does not fail.
            let _ = write!(text, " {peer:?}/{kind}/{distance}={bytes}");
        }
        emit!(Event::TrafficCounted; machine = machine, bytes = text.trim_start());
    }
}

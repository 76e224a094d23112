//! Counters of the bytes that a ledger machine sends and receives, by kind and distance.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::time::Duration;

use calicohoist_routing::Distance;
use calicohoist_telemetry::metrics::TrafficCounter;
use calicohoist_telemetry::{Event, emit};
use parking_lot::Mutex;

use super::duties;
use super::memory::MemoryCounter;

/// Interval at which the totals are logged.
const LOG_INTERVAL: Duration = Duration::from_secs(5);

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

/// Kind of peer and direction. The variant names appear in the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Peer {
    /// Frames sent to another ledger machine.
    Ledger,
    /// Answers sent to a gateway.
    Gateway,
    /// Questions received from a gateway.
    Asker,
}

type Totals = BTreeMap<(Peer, &'static str, &'static str), usize>;

static TOTALS: Mutex<Totals> = Mutex::new(Totals::new());

/// Adds to the counters. `distance` is `None` if it is not known yet.
pub fn record(peer: Peer, kind: &'static str, distance: Option<Distance>, bytes: usize) {
    let distance = distance.map_or("unknown", Distance::as_str);
    let counter = match peer {
        Peer::Ledger => &PEER_BYTES,
        Peer::Gateway => &ANSWER_BYTES,
        Peer::Asker => &QUESTION_BYTES,
    };
    counter.add(kind, distance, bytes);
    *TOTALS.lock().entry((peer, kind, distance)).or_default() += bytes;
}

/// Logs the totals, the long duties and the memory periodically. Runs until the process ends.
pub async fn log_totals(machine: String, memory: MemoryCounter) {
    loop {
        tokio::time::sleep(LOG_INTERVAL).await;
        let totals = TOTALS.lock().clone();
        let mut text = String::new();
        for ((peer, kind, distance), bytes) in totals {
            // Writing to a `String` cannot fail.
            let _ = write!(text, " {peer:?}/{kind}/{distance}={bytes}");
        }
        emit!(Event::TrafficCounted; machine = machine, bytes = text.trim_start());
        duties::log_runs(&machine);
        memory.log(&machine);
    }
}

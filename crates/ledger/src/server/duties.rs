//! Time that the leader's duties occupy a thread without a pause.
//!
//! While a duty runs, heartbeats and short answers of its thread wait. The longest run of each
//! shows what holds up a leader.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use calicohoist_telemetry::metrics::DurationHistogram;
use calicohoist_telemetry::{Event, emit};
use parking_lot::Mutex;

static DUTY_TIMES: DurationHistogram = DurationHistogram::new(
    "calicohoist_ledger_duty_seconds",
    "Time for which one run of a duty occupied its thread",
    "duty",
);

/// Duties whose longest run is shorter are not logged.
const MIN_LOGGED_RUN: Duration = Duration::from_millis(5);

/// A duty of a ledger machine. The variant names appear in the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Duty {
    /// Compares a complete replica list with the one before and publishes it.
    PublishList,
    /// Encodes a list or its changes for all gateways.
    EncodeList,
    /// Answers a watch without changes.
    Status,
    /// Places one turn, or the waiting turns.
    Place,
    /// Records the end of a turn and places waiting turns.
    EndTurn,
    /// Handles a batch of messages and requests of the replicated log, without the sync.
    Replicate,
    /// Writes, syncs and applies the entries of a batch.
    Flush,
}

impl Duty {
    /// Returns the name in metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::PublishList => "publish_list",
            Self::EncodeList => "encode_list",
            Self::Status => "status",
            Self::Place => "place",
            Self::EndTurn => "end_turn",
            Self::Replicate => "replicate",
            Self::Flush => "flush",
        }
    }
}

/// Runs of one duty since the last log line.
#[derive(Clone, Copy, Debug, Default)]
struct DutyRuns {
    count: u32,
    total: Duration,
    longest: Duration,
}

static RUNS: Mutex<BTreeMap<Duty, DutyRuns>> = Mutex::new(BTreeMap::new());

/// Runs a duty and records its time.
pub fn timed<T>(duty: Duty, run: impl FnOnce() -> T) -> T {
    let started_at = Instant::now();
    let result = run();
    record(duty, started_at.elapsed());
    result
}

/// Records one run of a duty.
pub fn record(duty: Duty, elapsed: Duration) {
    DUTY_TIMES.observe(duty.as_str(), elapsed);
    let mut runs = RUNS.lock();
    let runs = runs.entry(duty).or_default();
    runs.count += 1;
    runs.total += elapsed;
    runs.longest = runs.longest.max(elapsed);
}

/// Logs the runs since the last call of the duties that held up their thread.
pub fn log_runs(machine: &str) {
    let runs = std::mem::take(&mut *RUNS.lock());
    let long_runs = runs.into_iter().filter(|(_, runs)| runs.longest >= MIN_LOGGED_RUN);
    for (duty, DutyRuns { count, total, longest }) in long_runs {
        emit!(
            Event::DutyTimed;
            machine = machine,
            duty = duty.as_str(),
            runs = count,
            total_us = total.as_micros(),
            longest_us = longest.as_micros(),
        );
    }
}

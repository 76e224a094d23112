//! Times at which a process that was asked to stop ends its work.

use std::time::{Duration, Instant};

/// Maximum time that a process needs to exit after it has closed its connections.
const MAX_EXIT_TIME: Duration = Duration::from_millis(400);
/// Maximum time for delivering the last responses.
const MAX_DELIVERY_TIME: Duration = Duration::from_millis(600);
/// Minimum time for delivering the last responses, however late they are.
const MIN_DELIVERY_TIME: Duration = Duration::from_millis(50);
/// Part of the time for exiting in which late responses are still delivered.
const LATE_DELIVERY_DIVISOR: u32 = 2;
/// Parts of a short grace period that are left for exiting and for delivering.
const EXIT_DIVISOR: u32 = 10;
const DELIVERY_DIVISOR: u32 = 16;

/// Schedule of a graceful shutdown. A process promises no response after `answer_by`, so that what
/// it has promised is delivered before it exits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StopSchedule {
    answer_by: Instant,
    exit_by: Instant,
    terminated_at: Instant,
}

impl StopSchedule {
    /// Creates the schedule of a stop that was requested at `requested_at`, after which the process
    /// is terminated in `grace`.
    pub fn new(requested_at: Instant, grace: Duration) -> Self {
        let exit_time = MAX_EXIT_TIME.min(grace / EXIT_DIVISOR);
        let delivery_time = MAX_DELIVERY_TIME.min(grace / DELIVERY_DIVISOR);
        let exit_by = requested_at + (grace - exit_time);
        Self { answer_by: exit_by - delivery_time, exit_by, terminated_at: requested_at + grace }
    }

    /// Returns the time at which every request has been answered, so that no later deadline may be
    /// given to anyone.
    pub fn answer_by(&self) -> Instant {
        self.answer_by
    }

    /// Returns the time at which the remaining connections are cut.
    pub fn exit_by(&self) -> Instant {
        self.exit_by
    }

    /// Returns the time at which a process cuts the remaining connections that sees at `due_seen_at`
    /// that its answers are due. One that stood still meanwhile needs time to deliver them.
    pub fn cut_by(&self, due_seen_at: Instant) -> Instant {
        let delivery_time = self.exit_by - self.answer_by;
        let latest = self.exit_by + (self.terminated_at - self.exit_by) / LATE_DELIVERY_DIVISOR;
        let earliest = self.exit_by.max(due_seen_at + MIN_DELIVERY_TIME.min(delivery_time));
        (due_seen_at + delivery_time).min(latest).max(earliest)
    }
}

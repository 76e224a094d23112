//! Times at which a process that was asked to stop ends its work.

use std::time::{Duration, Instant};

/// Maximum time that a process needs to exit after it has closed its connections.
const MAX_EXIT_TIME: Duration = Duration::from_millis(400);
/// Maximum time for delivering the last responses.
const MAX_DELIVERY_TIME: Duration = Duration::from_millis(600);
/// Parts of a short grace period that are left for exiting and for delivering.
const EXIT_DIVISOR: u32 = 10;
const DELIVERY_DIVISOR: u32 = 12;

/// Schedule of a graceful shutdown. A process promises no response after `answer_by`, so that what
/// it has promised is delivered before it exits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StopSchedule {
    answer_by: Instant,
    exit_by: Instant,
}

impl StopSchedule {
    /// Creates the schedule of a stop that was requested at `requested_at`, after which the process
    /// is terminated in `grace`.
    pub fn new(requested_at: Instant, grace: Duration) -> Self {
        let exit_time = MAX_EXIT_TIME.min(grace / EXIT_DIVISOR);
        let delivery_time = MAX_DELIVERY_TIME.min(grace / DELIVERY_DIVISOR);
        let exit_by = requested_at + (grace - exit_time);
        Self { answer_by: exit_by - delivery_time, exit_by }
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
}

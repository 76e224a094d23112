//! Schedule of a planned stop, which ends calls before the process ends.

use std::time::Duration;

use calicohoist_types::Moment;

/// Minimum duration of a planned stop, in which requests in transit are still read and refused.
const MIN_STOP_TIME: Duration = Duration::from_millis(250);

/// Times of a planned stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct StopSchedule {
    earliest_end: Moment,
    calls_end: Moment,
}

impl StopSchedule {
    /// Creates the schedule of a stop that begins now and gives calls `call_time` to end.
    pub(crate) fn begin(now: Moment, call_time: Duration) -> Self {
        Self { earliest_end: now + MIN_STOP_TIME, calls_end: now + call_time }
    }

    /// Leaves calls no more than `call_time` from now.
    pub(crate) fn shorten(&mut self, now: Moment, call_time: Duration) {
        self.calls_end = self.calls_end.min(now + call_time);
    }

    /// Returns whether the stop may complete once no call is active.
    pub(crate) fn may_complete(&self, now: Moment) -> bool {
        now >= self.earliest_end || self.is_over(now)
    }

    /// Returns whether work that takes `duration` from now ends in time.
    pub(crate) fn has_time_for(&self, now: Moment, duration: Duration) -> bool {
        now + duration <= self.calls_end
    }

    /// Returns whether the calls' time is over.
    pub(crate) fn is_over(&self, now: Moment) -> bool {
        now >= self.calls_end
    }
}

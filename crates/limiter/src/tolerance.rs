//! How exact a limit must be, and what follows from it.
//!
//! In every span of a window, a tenant's requests must not exceed what its limit allows by
//! more than a share of that and a few. Two things use that up:
//!
//! - A permit is spent up to [`LimitTolerance::permit_life`] after it was issued, so that a
//!   window holds what was issued in a slightly longer time: a share of the rate.
//! - A leader does not know what the one before it issued. It begins with
//!   [`LimitTolerance::opening`] instead of a full bucket, which is half of what is left, so
//!   that two changes of leader fit in a window.

use std::time::Duration;

use calicohoist_routing::RateLimit;

/// Changes of leader that a window may hold without a limit being exceeded. An election
/// takes 180 to 360 ms and follows a loss; a window is some seconds.
const LEADER_CHANGES: f64 = 2.0;

/// How exact a limit must be.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitTolerance {
    /// Time over which requests are counted.
    pub window: Duration,
    /// Share of what a limit allows that may come on top.
    pub overshoot: f64,
    /// Requests that may come on top of that.
    pub slack: f64,
}

impl Default for LimitTolerance {
    /// For operators that say nothing: a tenth over five seconds, and one request for each
    /// change of leader that a window may hold, so that no tenant begins with nothing.
    fn default() -> Self {
        Self { window: Duration::from_secs(5), overshoot: 0.1, slack: LEADER_CHANGES }
    }
}

impl LimitTolerance {
    /// Time from the asking for a permit to its end.
    pub fn permit_life(&self) -> Duration {
        self.window.mul_f64(self.overshoot.clamp(0.0, 1.0))
    }

    /// What a bucket holds at most: the burst, or one request where the burst is less.
    pub fn capacity(&self, limit: RateLimit) -> f64 {
        limit.burst.max(1.0)
    }

    /// What a bucket holds when a leader begins.
    pub fn opening(&self, limit: RateLimit) -> f64 {
        let on_top = self.overshoot * limit.burst + self.slack;
        (on_top / LEADER_CHANGES).min(self.capacity(limit))
    }

    /// The most requests that a window may hold.
    pub fn most_in_window(&self, limit: RateLimit) -> f64 {
        let allowed = limit.per_second * self.window.as_secs_f64() + limit.burst;
        allowed * (1.0 + self.overshoot) + self.slack
    }
}

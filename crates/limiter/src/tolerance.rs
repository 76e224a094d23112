//! How exact a limit must be, and what follows from it.
//!
//! A tenant may send its rate times the window, and its burst, in every span of a window.
//! That must not be exceeded by more than a share of it and a few requests, whatever fails:
//!
//! - A permit is spent up to [`LimitTolerance::permit_life`] after it was issued. Permits are
//!   therefore counted over [`LimitTolerance::span`], a window and that life.
//! - A leader notes in the log what it issues, a little later. The next one does not know
//!   the rest, which is [`LimitTolerance::most_unnoted`] at most: half of what may come on
//!   top, so that two changes of leader fit in a window.

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
    /// change of leader that a window may hold.
    fn default() -> Self {
        Self { window: Duration::from_secs(5), overshoot: 0.1, slack: LEADER_CHANGES }
    }
}

impl LimitTolerance {
    /// Time from the asking for a permit to its end: a share of the window, as much as the
    /// limit may be exceeded by.
    pub fn permit_life(&self) -> Duration {
        self.window.mul_f64(self.overshoot.clamp(0.0, 1.0))
    }

    /// Time over which issued permits are counted: all that are spent within a window were
    /// issued within it.
    pub fn span(&self) -> Duration {
        self.window + self.permit_life()
    }

    /// Requests that a window holds at most by the limit alone; one at least.
    pub fn allowed(&self, limit: RateLimit) -> f64 {
        (limit.per_second * self.window.as_secs_f64() + limit.burst).max(1.0)
    }

    /// Permits that a leader may have issued and not noted in the log; one at least.
    pub fn most_unnoted(&self, limit: RateLimit) -> f64 {
        let on_top = self.allowed(limit) * self.overshoot + self.slack;
        (on_top / LEADER_CHANGES).max(1.0)
    }

    /// The most requests that a window may hold.
    pub fn most_in_window(&self, limit: RateLimit) -> f64 {
        self.allowed(limit) * (1.0 + self.overshoot) + self.slack
    }
}

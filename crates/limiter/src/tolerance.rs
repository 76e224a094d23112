//! How exact a limit must be, and what follows from it.
//!
//! A tenant may send its rate times the window, and its burst, in every span of a window. That
//! may be exceeded by a share of it and a few requests, and by no more, whatever fails. Up to
//! there nobody is refused, but for a reserve:
//!
//! - A leader notes in the log what it issues, a little later. The next one does not know
//!   the rest, which is [`LimitTolerance::most_unnoted`] at most for each change of leader.
//! - A request is sent up to [`LimitTolerance::permit_life`] after its permit was issued; the
//!   permit is counted for that much longer.

use std::time::Duration;

use calicohoist_routing::RateLimit;

/// Changes of leader that a window may hold without a limit being exceeded. An election takes
/// 180 to 360 ms and follows a loss; a window is some seconds.
const LEADER_CHANGES: f64 = 3.0;
/// Share of what may come on top of a limit that a leader may have issued without a note.
/// A tenth makes 3 requests of the smallest limits in use (12 a second): with notes within
/// some ms a leader rarely waits for one, and seven tenths of the tolerance serve callers.
const UNNOTED_SHARE: f64 = 0.1;

/// A permit holds at least for so long, however exact a limit must be: an answer of the leader takes
/// some ms, and a permit that ends before it comes lets nothing through.
const LEAST_PERMIT_LIFE: Duration = Duration::from_millis(100);

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
    /// The longest window that is accepted: notes of issued permits are kept for as long as
    /// such a window and the life of a permit in it, and a third more.
    pub const LONGEST_WINDOW: Duration = Duration::from_secs(10);

    /// Time from the asking for a permit to its end: nothing is sent with it afterwards.
    pub fn permit_life(&self) -> Duration {
        self.window.mul_f64(self.overshoot.clamp(0.0, 1.0)).max(LEAST_PERMIT_LIFE)
    }

    /// How long a permit counts: until a request that was sent with it has left the window.
    pub fn counted_for(&self) -> Duration {
        self.window + self.permit_life()
    }

    /// Requests that a window holds at most by the limit alone; one at least.
    pub fn allowed(&self, limit: RateLimit) -> f64 {
        (limit.per_second * self.window.as_secs_f64() + limit.burst).max(1.0)
    }

    /// Requests that may come on top.
    fn on_top(&self, limit: RateLimit) -> f64 {
        self.allowed(limit) * self.overshoot + self.slack
    }

    /// Permits that a leader may have issued and not noted in the log; one at least.
    pub fn most_unnoted(&self, limit: RateLimit) -> f64 {
        (self.on_top(limit) * UNNOTED_SHARE).max(1.0)
    }

    /// Permits that a leader issues within a window at most; one at least.
    pub fn issuable(&self, limit: RateLimit) -> f64 {
        let reserve = LEADER_CHANGES * self.most_unnoted(limit);
        (self.most_in_window(limit) - reserve).max(1.0)
    }

    /// The most requests that a window may hold.
    pub fn most_in_window(&self, limit: RateLimit) -> f64 {
        self.allowed(limit) + self.on_top(limit)
    }
}

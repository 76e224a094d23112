//! By how much a limit may be exceeded, and the bounds derived from that.
//!
//! Within any window a tenant may send its rate times the window, plus its burst. This bound may
//! be exceeded by the configured tolerance, and by no more under any failure. The leader uses the
//! tolerance up to a reserve for the following:
//!
//! - Issued permits are written to the log with a delay. A new leader does not know up to
//!   [`LimitTolerance::max_unlogged`] permits for each change of leader.
//! - A request may be sent up to [`LimitTolerance::permit_lifetime`] after its permit was issued,
//!   so a permit is counted for the window plus that time.

use std::time::Duration;

use calicohoist_routing::RateLimit;

/// Leader changes within one window that must not cause a limit to be exceeded. An election takes 180
/// to 360 ms, and a window is some seconds.
const MAX_LEADER_CHANGES: f64 = 3.0;
/// Share of the tolerated excess that may be issued but not yet logged. Entries are logged within
/// milliseconds, so a leader rarely waits for one, and seven tenths of the tolerance serve callers.
const UNLOGGED_SHARE: f64 = 0.1;

/// Lower bound on the lifetime of a permit: it must outlast the round trip to the leader.
const MIN_PERMIT_LIFETIME: Duration = Duration::from_millis(100);

/// By how much a limit may be exceeded.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitTolerance {
    /// Length of the sliding window over which requests are counted.
    pub window: Duration,
    /// Tolerated excess, as a share of what the limit allows.
    pub overshoot: f64,
    /// Tolerated excess in requests, in addition to `overshoot`.
    pub slack: f64,
}

impl Default for LimitTolerance {
    /// Default settings: 10 % over five seconds, and one request for each tolerated leader change.
    fn default() -> Self {
        Self { window: Duration::from_secs(5), overshoot: 0.1, slack: MAX_LEADER_CHANGES }
    }
}

impl LimitTolerance {
    /// Upper bound on the window. Log records of issued permits are retained long enough for it.
    pub const MAX_WINDOW: Duration = Duration::from_secs(10);

    /// Time from the request for a permit to its expiry. An expired permit allows no request.
    pub fn permit_lifetime(&self) -> Duration {
        self.window.mul_f64(self.overshoot.clamp(0.0, 1.0)).max(MIN_PERMIT_LIFETIME)
    }

    /// How long a permit is counted: until a request sent with it has left the window.
    pub fn counting_period(&self) -> Duration {
        self.window + self.permit_lifetime()
    }

    /// Maximum number of requests in a window without the tolerance; at least one.
    pub fn allowed(&self, limit: RateLimit) -> f64 {
        (limit.per_second * self.window.as_secs_f64() + limit.burst).max(1.0)
    }

    /// Number of requests by which the limit may be exceeded.
    fn tolerated_excess(&self, limit: RateLimit) -> f64 {
        self.allowed(limit) * self.overshoot + self.slack
    }

    /// Maximum number of issued permits that are not yet in the log; at least one.
    pub fn max_unlogged(&self, limit: RateLimit) -> f64 {
        (self.tolerated_excess(limit) * UNLOGGED_SHARE).max(1.0)
    }

    /// Maximum number of permits that a leader issues within a window; at least one.
    pub fn issuable(&self, limit: RateLimit) -> f64 {
        let reserve = MAX_LEADER_CHANGES * self.max_unlogged(limit);
        (self.max_in_window(limit) - reserve).max(1.0)
    }

    /// Maximum number of requests in a window, with the tolerance.
    pub fn max_in_window(&self, limit: RateLimit) -> f64 {
        self.allowed(limit) + self.tolerated_excess(limit)
    }
}

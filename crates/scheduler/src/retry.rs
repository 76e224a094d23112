//! Retries: a budget that keeps them from multiplying an outage, the pause before each, and
//! when callers are turned away and come back.

use std::time::Duration;

/// Retries earned by each first attempt.
const EARNED_PER_CALL: f64 = 0.2;
/// Retries that may be saved up.
const MAX_SAVED: f64 = 20.0;
/// Pause before the first retry.
const FIRST_PAUSE: Duration = Duration::from_millis(20);
/// Longest pause.
const LONGEST_PAUSE: Duration = Duration::from_secs(2);
/// Callers come back up to this share of the named time later. Enough that they do not come all
/// at once, and little enough that the last of them still has time for a turn.
const COME_BACK_SPREAD: f64 = 0.5;
/// Share of its caller's time for which a request waits for leave to run: less than half, so that
/// a second try has as much time as the first had.
const UNTRIED_SHARE: f64 = 0.45;

/// Lets retries through in proportion to first attempts.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    saved: f64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self { saved: MAX_SAVED }
    }
}

impl RetryBudget {
    /// A call made its first attempt.
    pub fn earn(&mut self) {
        self.saved = (self.saved + EARNED_PER_CALL).min(MAX_SAVED);
    }

    /// Asks for one retry.
    pub fn spend(&mut self) -> bool {
        let is_allowed = self.saved >= 1.0;
        if is_allowed {
            self.saved -= 1.0;
        }
        is_allowed
    }
}

/// Pause before retry `number` (from 1), doubled each time and shortened by
/// `jitter`, a share between 0 and 1.
pub fn backoff(number: u32, jitter: f64) -> Duration {
    let doubled = FIRST_PAUSE.saturating_mul(1 << number.saturating_sub(1).min(10));
    let longest = doubled.min(LONGEST_PAUSE);
    longest.mul_f64(1.0 - jitter.clamp(0.0, 1.0) / 2.0)
}

/// How long a request may wait for leave to run: a share of the time that its caller has `left`,
/// and `most` at most. The caller hears nothing while the request waits, so the wait ends while
/// there is time for another try.
pub fn untried_wait(left: Duration, most: Duration) -> Duration {
    left.mul_f64(UNTRIED_SHARE).min(most)
}

/// When a caller that is turned away may come back: `after` or somewhat later, as `hash`, the
/// hash of its request's identity, decides. Callers that are turned away together would else
/// come back together.
pub fn spread_retry(after: Duration, hash: u64) -> Duration {
    let share = hash as f64 / u64::MAX as f64;
    after.mul_f64(1.0 + COME_BACK_SPREAD * share)
}

//! Retries: a budget that keeps them from multiplying an outage, and the pause
//! before each.

use std::time::Duration;

/// Retries earned by each first attempt.
const EARNED_PER_CALL: f64 = 0.2;
/// Retries that may be saved up.
const MAX_SAVED: f64 = 20.0;
/// Pause before the first retry.
const FIRST_PAUSE: Duration = Duration::from_millis(20);
/// Longest pause.
const LONGEST_PAUSE: Duration = Duration::from_secs(2);

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

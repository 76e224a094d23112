//! Retry budget, backoff, queue timeout and jitter for retry delays.

use std::time::Duration;

/// Retries allowed per first attempt.
const RETRIES_PER_ATTEMPT: f64 = 0.2;
/// Maximum balance of a retry budget.
const MAX_BALANCE: f64 = 20.0;
/// Backoff before the first retry.
const INITIAL_BACKOFF: Duration = Duration::from_millis(20);
/// Maximum backoff.
const MAX_BACKOFF: Duration = Duration::from_secs(2);
/// Maximum jitter added to a retry delay, as a fraction of the delay.
const MAX_JITTER: f64 = 0.5;
/// Queue timeout as a fraction of the caller's remaining time. Less than half, so that a second
/// attempt has as much time as the first.
const QUEUE_TIMEOUT_FRACTION: f64 = 0.45;

/// Limits retries to a fraction of first attempts, so that they do not amplify an outage.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    balance: f64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self { balance: MAX_BALANCE }
    }
}

impl RetryBudget {
    /// Credits the budget for a first attempt.
    pub fn deposit(&mut self) {
        self.balance = (self.balance + RETRIES_PER_ATTEMPT).min(MAX_BALANCE);
    }

    /// Takes one retry from the budget; returns whether it is allowed.
    pub fn withdraw(&mut self) -> bool {
        let is_allowed = self.balance >= 1.0;
        if is_allowed {
            self.balance -= 1.0;
        }
        is_allowed
    }
}

/// Returns the backoff before retry `number` (from 1). It doubles with each retry and is
/// shortened by `jitter`, between 0 and 1, by up to half.
pub fn backoff(number: u32, jitter: f64) -> Duration {
    let doubled = INITIAL_BACKOFF.saturating_mul(1 << number.saturating_sub(1).min(10));
    let capped = doubled.min(MAX_BACKOFF);
    capped.mul_f64(1.0 - jitter.clamp(0.0, 1.0) / 2.0)
}

/// Returns how long a request may wait for admission: a fraction of the time that its caller has
/// `left`, at most `max`. It ends early enough for the caller to try again.
pub fn queue_timeout(left: Duration, max: Duration) -> Duration {
    left.mul_f64(QUEUE_TIMEOUT_FRACTION).min(max)
}

/// Adds jitter to a retry delay, so that callers refused together do not retry together. `hash`
/// is a hash of the request's identity.
pub fn jittered_delay(delay: Duration, hash: u64) -> Duration {
    let fraction = hash as f64 / u64::MAX as f64;
    delay.mul_f64(1.0 + MAX_JITTER * fraction)
}

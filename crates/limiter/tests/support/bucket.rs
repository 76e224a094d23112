//! Token bucket that serves as a baseline.

use std::time::Instant;

use calicohoist_routing::RateLimit;

/// Token bucket that is refilled at the rate of a limit.
#[derive(Clone, Copy, Debug)]
pub struct TokenBucket {
    limit: RateLimit,
    capacity: f64,
    level: f64,
    refilled_at: Instant,
}

impl TokenBucket {
    /// Creates a bucket that holds `level` tokens.
    pub fn new(limit: RateLimit, capacity: f64, level: f64, now: Instant) -> Self {
        Self { limit, capacity, level: level.min(capacity), refilled_at: now }
    }

    /// Changes the limit. Tokens are kept up to the new capacity.
    pub fn set_limit(&mut self, limit: RateLimit, capacity: f64, now: Instant) {
        self.refill(now);
        self.limit = limit;
        self.capacity = capacity;
        self.level = self.level.min(capacity);
    }

    /// Takes up to `wanted` whole tokens; returns how many were taken.
    pub fn take(&mut self, wanted: u32, now: Instant) -> u32 {
        self.refill(now);
        let taken = f64::from(wanted).min(self.level.floor()).max(0.0);
        self.level -= taken;
        // The cast is lossless: `taken` is at most `wanted`.
        taken as u32
    }

    /// Current number of tokens.
    pub fn level(&mut self, now: Instant) -> f64 {
        self.refill(now);
        self.level
    }

    pub fn capacity(&self) -> f64 {
        self.capacity
    }

    pub fn limit(&self) -> RateLimit {
        self.limit
    }

    fn refill(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.refilled_at).as_secs_f64();
        self.level = (self.level + elapsed * self.limit.per_second).min(self.capacity);
        self.refilled_at = self.refilled_at.max(now);
    }
}

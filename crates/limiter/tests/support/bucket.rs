//! What a tenant may still send now.

use std::time::Instant;

use calicohoist_routing::RateLimit;

/// A bucket that fills at a limit's rate.
#[derive(Clone, Copy, Debug)]
pub struct TokenBucket {
    limit: RateLimit,
    capacity: f64,
    level: f64,
    filled: Instant,
}

impl TokenBucket {
    /// A bucket with `level` requests in it.
    pub fn new(limit: RateLimit, capacity: f64, level: f64, now: Instant) -> Self {
        Self { limit, capacity, level: level.min(capacity), filled: now }
    }

    /// Puts another limit in force from now on. What was saved under the old one stays, as
    /// far as the new one holds so much.
    pub fn set_limit(&mut self, limit: RateLimit, capacity: f64, now: Instant) {
        self.fill(now);
        self.limit = limit;
        self.capacity = capacity;
        self.level = self.level.min(capacity);
    }

    /// Takes up to `wanted` requests out, whole ones only; returns how many.
    pub fn take(&mut self, wanted: u32, now: Instant) -> u32 {
        self.fill(now);
        let taken = f64::from(wanted).min(self.level.floor()).max(0.0);
        self.level -= taken;
        // At most `wanted`, which fits.
        taken as u32
    }

    /// Requests in it.
    pub fn level(&mut self, now: Instant) -> f64 {
        self.fill(now);
        self.level
    }

    /// Requests that it holds at most.
    pub fn capacity(&self) -> f64 {
        self.capacity
    }

    /// The limit.
    pub fn limit(&self) -> RateLimit {
        self.limit
    }

    fn fill(&mut self, now: Instant) {
        let passed = now.saturating_duration_since(self.filled).as_secs_f64();
        self.level = (self.level + passed * self.limit.per_second).min(self.capacity);
        self.filled = self.filled.max(now);
    }
}

//! Gateway's side of the limiter: cached permits, and an estimate of how many to prefetch.

use std::collections::HashMap;
use std::time::Instant;

use calicohoist_types::TenantId;

use crate::permit::PermitGrant;

/// Permits with the same expiry.
#[derive(Clone, Copy, Debug)]
struct PermitBatch {
    count: u32,
    expires_at: Instant,
}

/// Weight of the newest turn in the moving average.
const SMOOTHING_FACTOR: f64 = 0.1;
/// Initial estimate of the requests that follow a turn.
const INITIAL_REQUESTS_PER_TURN: f64 = 2.0;
/// Upper bound on the estimate of the requests that follow a turn.
const MAX_REQUESTS_PER_TURN: f64 = 16.0;
/// Number of concurrent turns for which permits are prefetched.
const MAX_PREFETCHED_TURNS: u32 = 4;

#[derive(Debug)]
struct TenantPermits {
    batches: Vec<PermitBatch>,
    /// Moving average of the requests that follow a turn.
    requests_per_turn: f64,
    /// Requests other than turns since the last turn.
    requests_since_turn: u32,
}

impl Default for TenantPermits {
    fn default() -> Self {
        Self {
            batches: Vec::new(),
            requests_per_turn: INITIAL_REQUESTS_PER_TURN,
            requests_since_turn: 0,
        }
    }
}

/// Cached permits of a gateway, by tenant.
#[derive(Debug, Default)]
pub struct PermitCache {
    tenants: HashMap<TenantId, TenantPermits>,
}

impl PermitCache {
    /// Consumes one permit for a request other than a turn. Returns the deadline for sending it,
    /// or `None` if there is no valid permit.
    pub fn consume(&mut self, tenant: &TenantId, now: Instant) -> Option<Instant> {
        let entry = self.tenants.entry(tenant.clone()).or_default();
        entry.requests_since_turn += 1;
        entry.batches.retain(|batch| batch.expires_at > now && batch.count > 0);
        // Use the permits that expire first.
        let first = entry.batches.iter_mut().min_by_key(|batch| batch.expires_at)?;
        first.count -= 1;
        Some(first.expires_at)
    }

    /// Records a turn, and returns the number of spare permits to request for the requests that
    /// follow it.
    pub fn record_turn(&mut self, tenant: &TenantId, now: Instant) -> u32 {
        let available = self.available(tenant, now);
        let entry = self.tenants.entry(tenant.clone()).or_default();
        let requests = f64::from(entry.requests_since_turn).min(MAX_REQUESTS_PER_TURN);
        entry.requests_since_turn = 0;
        entry.requests_per_turn += SMOOTHING_FACTOR * (requests - entry.requests_per_turn);
        // The cast is lossless: the average is at most `MAX_REQUESTS_PER_TURN`.
        let wanted = entry.requests_per_turn.ceil() as u32;
        if available > wanted * MAX_PREFETCHED_TURNS { 0 } else { wanted }
    }

    /// Adds the permits of a grant that was requested at `requested_at`, without the one that the
    /// requester itself uses.
    pub fn add_grant(
        &mut self,
        tenant: &TenantId,
        grant: PermitGrant,
        requested_at: Instant,
        now: Instant,
    ) {
        let expires_at = requested_at + grant.life;
        let count = grant.permits.saturating_sub(1);
        if count == 0 || expires_at <= now {
            return;
        }
        let entry = self.tenants.entry(tenant.clone()).or_default();
        entry.batches.retain(|batch| batch.expires_at > now);
        entry.batches.push(PermitBatch { count, expires_at });
    }

    /// Returns the number of valid permits of a tenant.
    pub fn available(&self, tenant: &TenantId, now: Instant) -> u32 {
        let entry = self.tenants.get(tenant);
        let available = entry.map(|entry| entry.batches.as_slice()).unwrap_or_default();
        available.iter().filter(|batch| batch.expires_at > now).map(|batch| batch.count).sum()
    }
}

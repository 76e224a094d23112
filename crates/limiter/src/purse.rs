//! A gateway's side: permits that it may still spend, and how many more it could use.

use std::collections::HashMap;
use std::time::Instant;

use calicohoist_types::TenantId;

use crate::permit::PermitGrant;

/// Permits that end together.
#[derive(Clone, Copy, Debug)]
struct Permits {
    count: u32,
    until: Instant,
}

/// Weight of the newest turn in what is learned.
const NEWEST_WEIGHT: f64 = 0.1;
/// Other requests after a turn before anything is learned.
const FIRST_GUESS: f64 = 2.0;
/// Most that is believed to come after one turn.
const MOST_AFTER_TURN: f64 = 16.0;
/// Turns whose later requests are provided for at a time, beside those of the one that asks.
const TURNS_AHEAD: u32 = 4;

#[derive(Debug)]
struct TenantPurse {
    permits: Vec<Permits>,
    /// Other requests that follow a turn, learned.
    after_turn: f64,
    /// Other requests since the last turn.
    since_turn: u32,
}

impl Default for TenantPurse {
    fn default() -> Self {
        Self { permits: Vec::new(), after_turn: FIRST_GUESS, since_turn: 0 }
    }
}

/// Permits by tenant.
#[derive(Debug, Default)]
pub struct PermitPurse {
    tenants: HashMap<TenantId, TenantPurse>,
}

impl PermitPurse {
    /// Spends one permit on a request that is no turn; returns until when it must be sent, `None`
    /// when there is no permit.
    pub fn spend(&mut self, tenant: &TenantId, now: Instant) -> Option<Instant> {
        let purse = self.tenants.entry(tenant.clone()).or_default();
        purse.since_turn += 1;
        purse.permits.retain(|permits| permits.until > now && permits.count > 0);
        // What ends first goes first.
        let first = purse.permits.iter_mut().min_by_key(|permits| permits.until)?;
        first.count -= 1;
        Some(first.until)
    }

    /// Notes a turn; returns how many permits are wanted for the requests after it.
    ///
    /// Measured in the comparison of `tests/ways.rs`, with two tool calls a turn: without
    /// spare permits every request asks the leader, with one 0.67 of them, with two 0.35.
    pub fn note_turn(&mut self, tenant: &TenantId, now: Instant) -> u32 {
        let held = self.held(tenant, now);
        let purse = self.tenants.entry(tenant.clone()).or_default();
        let since = f64::from(purse.since_turn).min(MOST_AFTER_TURN);
        purse.since_turn = 0;
        purse.after_turn += NEWEST_WEIGHT * (since - purse.after_turn);
        // At most `MOST_AFTER_TURN`.
        let wanted = purse.after_turn.ceil() as u32;
        if held > wanted * TURNS_AHEAD { 0 } else { wanted }
    }

    /// Takes in what was granted and `asked` for then, less the permit of the request that
    /// asked.
    pub fn put(&mut self, tenant: &TenantId, grant: PermitGrant, asked: Instant, now: Instant) {
        let until = asked + grant.life;
        let count = grant.permits.saturating_sub(1);
        if count == 0 || until <= now {
            return;
        }
        let purse = self.tenants.entry(tenant.clone()).or_default();
        purse.permits.retain(|permits| permits.until > now);
        purse.permits.push(Permits { count, until });
    }

    /// Permits of a tenant.
    pub fn held(&self, tenant: &TenantId, now: Instant) -> u32 {
        let purse = self.tenants.get(tenant);
        let held = purse.map(|purse| purse.permits.as_slice()).unwrap_or_default();
        held.iter().filter(|permits| permits.until > now).map(|permits| permits.count).sum()
    }
}

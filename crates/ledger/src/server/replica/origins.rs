//! Bounds the number of stream origins that the ledger keeps, and marks those that conflict.
//!
//! A request id that has begun streams of different origins names none of them. The state keeps the first
//! record, so the leader stores a conflict beside it, and readers get that in place of the record.

use std::collections::HashSet;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::Duration;

use super::CLOCK_INTERVAL;
use crate::commands::{
    Command, ReserveTurn, SettleTurn, TurnId, is_origin, origin_conflict_key, store_origin_conflict,
};
use crate::state::Turns;

/// Number of origins at a steady rate of new streams. Each takes up to 373 bytes of memory.
const STEADY_ORIGINS: usize = 32_768;
/// Maximum number of origins. It leaves room for the time after the rate has risen, while earlier
/// origins are still kept for longer.
pub const MAX_ORIGINS: usize = STEADY_ORIGINS * 5 / 2;
/// Interval at which the leader counts the origins that it holds.
pub const ORIGIN_COUNT_INTERVAL: Duration = Duration::from_secs(5);

/// Decides how long further origins are kept, from the rate at which streams begin.
///
/// All streams that begin at one rate get the same time, so that the oldest origins expire first.
#[derive(Debug, Default)]
pub struct OriginQuota {
    /// Origins at the last count, and those admitted since.
    held: usize,
    /// Origins admitted since the last count.
    admitted: AdmittedOrigins,
    /// Origins admitted between the last two counts.
    previously_admitted: AdmittedOrigins,
}

/// Origins admitted between two counts.
#[derive(Debug, Default)]
struct AdmittedOrigins {
    /// Hashes of the keys, also of those that are repeated because their write takes long.
    keys: HashSet<u64>,
    /// Number of origins that were not admitted before.
    count: usize,
}

impl OriginQuota {
    /// Sets the number of origins that the ledger holds, every [`ORIGIN_COUNT_INTERVAL`].
    pub fn recount(&mut self, held: usize) {
        self.held = held;
        self.previously_admitted = std::mem::take(&mut self.admitted);
    }

    /// Shortens the retention of an origin that is to be stored; `false` if there is no room for it.
    /// Other turns are left as they are.
    pub fn admit(&mut self, settle: &mut SettleTurn) -> bool {
        if !is_origin(&settle.turn) {
            return true;
        }
        let key = hash(&settle.turn);
        let is_known =
            self.admitted.keys.contains(&key) || self.previously_admitted.keys.contains(&key);
        if !is_known {
            if self.held >= MAX_ORIGINS {
                return false;
            }
            self.held += 1;
            self.admitted.count += 1;
        }
        self.admitted.keys.insert(key);
        settle.retention_ms = self.retention_ms(settle.retention_ms);
        true
    }

    /// Shortens the time by which a reader extends the retention of an origin.
    pub fn limit_extension(&self, reserve: &mut ReserveTurn) {
        if reserve.previous.as_deref().is_some_and(is_origin) {
            reserve.retention_ms = self.retention_ms(reserve.retention_ms);
        }
    }

    /// Returns the retention by the clock of the state, which lags by up to [`CLOCK_INTERVAL`].
    fn retention_ms(&self, requested_ms: u64) -> u64 {
        requested_ms.min(self.max_retention_ms()).saturating_add(millis(CLOCK_INTERVAL))
    }

    /// Returns the time in which [`STEADY_ORIGINS`] streams begin at the present rate.
    fn max_retention_ms(&self) -> u64 {
        let per_interval = self.admitted.count.max(self.previously_admitted.count).max(1);
        millis(ORIGIN_COUNT_INTERVAL).saturating_mul(STEADY_ORIGINS as u64) / per_interval as u64
    }
}

/// Origin that is being stored.
pub struct PendingOrigin {
    key: TurnId,
    record: Vec<u8>,
}

impl PendingOrigin {
    /// Returns the origin that `command` stores, if it stores one.
    pub fn of(command: &Command) -> Option<Self> {
        let Command::Settle(SettleTurn { turn, retained: Some(retained), .. }) = command else {
            return None;
        };
        is_origin(turn).then(|| Self { key: turn.clone(), record: retained.input.clone() })
    }

    /// Returns the command that stores a conflict, if the same request id has begun a stream of another
    /// origin before.
    pub fn conflict(&self, turns: &Turns) -> Option<SettleTurn> {
        let is_other = turns.has_other_content(&self.key, &self.record);
        let key = origin_conflict_key(&self.key).filter(|_| is_other)?;
        Some(store_origin_conflict(key))
    }
}

/// Returns the key that a reader of `previous` gets: that of the conflict, if there is one.
pub fn resolve_conflict(turns: &Turns, previous: Option<&TurnId>) -> Option<TurnId> {
    let conflict = previous.and_then(|previous| origin_conflict_key(previous));
    conflict.filter(|conflict| turns.contains(conflict)).or_else(|| previous.cloned())
}

fn hash(key: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    key.hash(&mut hasher);
    hasher.finish()
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

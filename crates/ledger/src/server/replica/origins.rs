//! Bounds the number of stream origins that the ledger keeps.

use std::time::Duration;

use super::CLOCK_INTERVAL;
use crate::commands::{ReserveTurn, SettleTurn, is_origin};

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
    admitted: usize,
    /// Origins admitted between the last two counts.
    previously_admitted: usize,
}

impl OriginQuota {
    /// Sets the number of origins that the ledger holds, every [`ORIGIN_COUNT_INTERVAL`].
    pub fn recount(&mut self, held: usize) {
        *self = Self { held, admitted: 0, previously_admitted: self.admitted };
    }

    /// Shortens the retention of an origin that is to be stored; `false` if there is no room for it.
    /// Other turns are left as they are.
    pub fn admit(&mut self, settle: &mut SettleTurn) -> bool {
        if !is_origin(&settle.turn) {
            return true;
        }
        if self.held >= MAX_ORIGINS {
            return false;
        }
        self.held += 1;
        self.admitted += 1;
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
        let per_interval = self.admitted.max(self.previously_admitted).max(1);
        millis(ORIGIN_COUNT_INTERVAL).saturating_mul(STEADY_ORIGINS as u64) / per_interval as u64
    }
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

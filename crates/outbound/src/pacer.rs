//! Share of processor time for the responses that are read through one process.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use parking_lot::Mutex;

/// Time by which all connections together may be ahead of the share. Avoids short pauses.
const MAX_LEAD: Duration = Duration::from_millis(10);
/// Longest time for which the share counts as used up.
const MAX_DEBT: Duration = Duration::from_secs(1);

/// Part of a processor core's time, in percent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReadShare(u32);

/// A share is not between 1 and 100 percent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("a share is between 1 and 100 percent")]
pub struct InvalidShare;

impl ReadShare {
    /// Share of large responses of replicas. Leaves most of the time to other requests.
    pub const OF_REPLICAS: Self = Self(20);
    /// Share of large pages of the replica list.
    pub const OF_LIST: Self = Self(10);
    /// Share of a blocking call, which has a thread of its own.
    pub const OF_BLOCKING_CALL: Self = Self(50);

    /// Creates a share.
    ///
    /// # Errors
    /// Returns an error if `percent` is not between 1 and 100.
    pub fn from_percent(percent: u32) -> Result<Self, InvalidShare> {
        if (1..=100).contains(&percent) { Ok(Self(percent)) } else { Err(InvalidShare) }
    }

    /// Returns the time after which work that took `spent` has used only this share.
    fn period_of(self, spent: Duration) -> Duration {
        spent * 100 / self.0
    }
}

impl fmt::Display for ReadShare {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}%", self.0)
    }
}

impl FromStr for ReadShare {
    type Err = InvalidShare;

    fn from_str(text: &str) -> Result<Self, InvalidShare> {
        let percent = text.strip_suffix('%').unwrap_or(text).parse().map_err(|_| InvalidShare)?;
        Self::from_percent(percent)
    }
}

/// Divides the share evenly among the connections that read large responses.
#[derive(Debug)]
pub struct ReadPacer {
    share: ReadShare,
    large_responses: AtomicUsize,
    /// Time by which all connections together have used no more than the share.
    even_at: Mutex<Option<Instant>>,
}

impl ReadPacer {
    /// Creates a pacer without connections.
    pub fn new(share: ReadShare) -> Arc<Self> {
        Arc::new(Self { share, large_responses: AtomicUsize::new(0), even_at: Mutex::new(None) })
    }

    /// Returns the number of large responses that are being read.
    pub fn large_responses(&self) -> usize {
        self.large_responses.load(Ordering::Relaxed)
    }

    /// Charges time spent on a large response. Returns the time after which its connection has used
    /// no more than its part of the share.
    pub(crate) fn charge(&self, spent: Duration, now: Instant) -> Duration {
        let period = self.share.period_of(spent);
        let mut even_at = self.even_at.lock();
        let earlier = even_at.map_or(now, |even_at| even_at.max(now));
        *even_at = Some((earlier + period).min(now + MAX_DEBT));
        let readers = u32::try_from(self.large_responses().max(1)).unwrap_or(u32::MAX);
        period.saturating_mul(readers)
    }

    /// Returns until when the share is used up.
    pub(crate) fn used_up_until(&self) -> Option<Instant> {
        (*self.even_at.lock())?.checked_sub(MAX_LEAD)
    }

    pub(crate) fn begin_large_response(&self) {
        self.large_responses.fetch_add(1, Ordering::Relaxed);
    }

    pub(crate) fn end_large_response(&self) {
        self.large_responses.fetch_sub(1, Ordering::Relaxed);
    }
}

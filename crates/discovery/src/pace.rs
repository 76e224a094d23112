//! Intervals between readings of the list, within the rate limit of the discovery service.
//!
//! The service limits the calls of all readers together, and each page of the list is one call.
//! Intervals therefore grow with the number of pages and of readers.

use std::fmt;
use std::num::ParseFloatError;
use std::str::FromStr;
use std::time::Duration;

/// Calls per second.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub struct CallRate(f64);

impl CallRate {
    /// Creates a rate; `None` unless it is finite and positive.
    pub fn new(per_second: f64) -> Option<Self> {
        (per_second.is_finite() && per_second > 0.0).then_some(Self(per_second))
    }

    /// Returns the time that `calls` take at a fraction of the rate.
    fn time_for(self, calls: usize, fraction: f64) -> Duration {
        let seconds = calls as f64 / (self.0 * fraction);
        Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX)
    }
}

impl fmt::Display for CallRate {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}/s", self.0)
    }
}

/// An error of parsing a [`CallRate`].
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CallRateError {
    /// The text is not a number followed by `/s`.
    #[error("not a number of calls per second: {0}")]
    NotANumber(#[from] ParseFloatError),
    /// The rate is zero, negative or infinite.
    #[error("the rate is not positive")]
    NotPositive,
}

impl FromStr for CallRate {
    type Err = CallRateError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let per_second = text.strip_suffix("/s").unwrap_or(text).parse()?;
        Self::new(per_second).ok_or(CallRateError::NotPositive)
    }
}

/// Fraction of the rate limit that the regular reader uses.
const REGULAR_FRACTION: f64 = 0.1;
/// Fraction of the rate limit that all substitute readers use together.
const SUBSTITUTE_FRACTION: f64 = 0.25;
/// The regular reader reads this many times within the time in which a change must take effect,
/// even if it then uses more than [`REGULAR_FRACTION`].
const READINGS_PER_DEADLINE: u32 = 3;

/// Time that a page may take on average, much longer than usual.
const TIMEOUT_PER_PAGE: Duration = Duration::from_millis(100);

/// Computes the intervals between readings of the list.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ListPace {
    /// Rate limit of the discovery service; `None` if it is unknown.
    pub rate: Option<CallRate>,
    /// Time after which a listed change must have taken effect everywhere.
    pub deadline: Duration,
    /// Minimum interval between two readings of the regular reader.
    pub min_interval: Duration,
}

impl ListPace {
    /// Returns the interval between readings of a list of `pages` by the regular reader.
    pub fn interval(&self, pages: usize) -> Duration {
        let by_rate = self.rate.map(|rate| rate.time_for(pages, REGULAR_FRACTION));
        let max = self.deadline / READINGS_PER_DEADLINE;
        by_rate.unwrap_or_default().min(max).max(self.min_interval)
    }

    /// Returns the time after which a reading of about `pages` is given up.
    pub fn timeout(&self, pages: usize) -> Duration {
        let by_pages = TIMEOUT_PER_PAGE.saturating_mul(u32::try_from(pages).unwrap_or(u32::MAX));
        by_pages.min(self.deadline).max(self.deadline / READINGS_PER_DEADLINE)
    }

    /// Returns the interval between readings by each of `readers` that substitute for the regular
    /// one. It has no upper bound: more readers must not make more calls.
    pub fn substitute_interval(&self, pages: usize, readers: usize) -> Duration {
        let calls = pages.saturating_mul(readers);
        let by_rate = self.rate.map(|rate| rate.time_for(calls, SUBSTITUTE_FRACTION));
        by_rate.unwrap_or_default().max(self.min_interval)
    }
}

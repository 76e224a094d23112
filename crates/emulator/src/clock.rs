//! Real time as [`Moment`]s that all emulated parts of a process share.

use std::sync::OnceLock;
use std::time::{Duration, Instant};

use calicohoist_types::Moment;

static ORIGIN: OnceLock<Instant> = OnceLock::new();

/// The process's real clock.
#[derive(Clone, Copy, Debug, Default)]
pub struct RealClock;

impl RealClock {
    /// Time since the clock was first read in this process.
    pub fn now(self) -> Moment {
        let origin = ORIGIN.get_or_init(Instant::now);
        Moment::ZERO + origin.elapsed()
    }

    /// Sleeps until `moment`.
    pub fn sleep_until(self, moment: Moment) {
        let left = moment.since(self.now());
        if left > Duration::ZERO {
            std::thread::sleep(left);
        }
    }
}

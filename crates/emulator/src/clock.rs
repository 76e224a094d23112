//! Wall clock shared by all emulated components and callers on a host.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use calicohoist_types::Moment;

/// System clock. Its [`Moment`]s count from the Unix epoch, which makes records of different
/// processes comparable.
#[derive(Clone, Copy, Debug, Default)]
pub struct RealClock;

impl RealClock {
    /// Returns the current time.
    pub fn now(self) -> Moment {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
        Moment::ZERO + since_epoch.unwrap_or_default()
    }

    /// Sleeps until `moment`.
    pub fn sleep_until(self, moment: Moment) {
        let remaining = moment.since(self.now());
        if remaining > Duration::ZERO {
            std::thread::sleep(remaining);
        }
    }
}

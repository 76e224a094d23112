//! Real time as [`Moment`]s that all emulated parts and callers of a machine share.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use calicohoist_types::Moment;

/// The machine's real clock. Its moments count from the start of Unix time, so
/// that records of several processes can be compared.
#[derive(Clone, Copy, Debug, Default)]
pub struct RealClock;

impl RealClock {
    /// Now.
    pub fn now(self) -> Moment {
        let since = SystemTime::now().duration_since(UNIX_EPOCH);
        Moment::ZERO + since.unwrap_or_default()
    }

    /// Sleeps until `moment`.
    pub fn sleep_until(self, moment: Moment) {
        let left = moment.since(self.now());
        if left > Duration::ZERO {
            std::thread::sleep(left);
        }
    }
}

//! Whether this machine is too slow to lead.
//!
//! A leader whose disk takes long to sync still sends heartbeats, so nobody replaces it,
//! while every turn waits for it. It gives the leadership away by itself.

use std::time::Duration;

/// A flush that takes this long is slow; a healthy one takes a sync, some milliseconds.
const SLOW_FLUSH: Duration = Duration::from_millis(50);
/// Slow flushes in a row after which the leadership is given away: one alone may be a
/// snapshot.
const IN_A_ROW: u32 = 3;

/// Counts slow flushes.
#[derive(Clone, Copy, Debug, Default)]
pub struct Slowness {
    in_a_row: u32,
}

impl Slowness {
    /// Notes how long a flush took; returns whether a leader should hand over now.
    pub fn note(&mut self, flush: Duration) -> bool {
        if flush < SLOW_FLUSH {
            self.in_a_row = 0;
            return false;
        }
        self.in_a_row += 1;
        let is_too_slow = self.in_a_row >= IN_A_ROW;
        if is_too_slow {
            // The next leader gets some time, should it be as slow.
            self.in_a_row = 0;
        }
        is_too_slow
    }
}

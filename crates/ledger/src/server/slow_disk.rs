//! Detection of a leader with a slow disk.
//!
//! A leader whose disk syncs slowly still sends heartbeats and is not replaced by an election,
//! while every turn waits for its disk. It therefore transfers the leadership itself.

use std::time::Duration;

/// Duration from which a flush counts as slow.
const SLOW_FLUSH_THRESHOLD: Duration = Duration::from_millis(50);
/// Consecutive slow flushes before the leadership is transferred. A single one may be caused by a
/// snapshot.
const MAX_SLOW_FLUSHES: u32 = 3;

/// Counts consecutive slow flushes.
#[derive(Clone, Copy, Debug, Default)]
pub struct SlowDiskDetector {
    consecutive: u32,
}

impl SlowDiskDetector {
    /// Records the duration of a flush; returns whether a leader should transfer the leadership.
    pub fn record_flush(&mut self, flush: Duration) -> bool {
        if flush < SLOW_FLUSH_THRESHOLD {
            self.consecutive = 0;
            return false;
        }
        self.consecutive += 1;
        let is_too_slow = self.consecutive >= MAX_SLOW_FLUSHES;
        if is_too_slow {
            // The next transfer takes as many slow flushes again.
            self.consecutive = 0;
        }
        is_too_slow
    }
}

//! A leader steps down because of a slow disk only after several slow flushes in a row.

use std::time::Duration;

use calicohoist_ledger::server::slow_disk::SlowDiskDetector;

const SLOW: Duration = Duration::from_millis(150);
const FAST: Duration = Duration::from_millis(5);

#[test]
fn consecutive_slow_flushes_end_the_leadership() {
    let mut slowness = SlowDiskDetector::default();
    let steps_down: Vec<bool> = (0..6).map(|_| slowness.record_flush(SLOW)).collect();
    assert_eq!(steps_down, [false, false, true, false, false, true]);
}

#[test]
fn isolated_slow_flushes_do_not_end_the_leadership() {
    let mut slowness = SlowDiskDetector::default();
    for _ in 0..10 {
        assert!(!slowness.record_flush(SLOW));
        assert!(!slowness.record_flush(SLOW));
        assert!(!slowness.record_flush(FAST));
    }
}

//! A leader with a slow disk gives the leadership away, and not for a single pause.

use std::time::Duration;

use calicohoist_ledger::server::slow_disk::SlowDiskDetector;

const SLOW: Duration = Duration::from_millis(150);
const FAST: Duration = Duration::from_millis(5);

#[test]
fn slow_flushes_in_a_row_end_the_leadership() {
    let mut slowness = SlowDiskDetector::default();
    let told: Vec<bool> = (0..6).map(|_| slowness.record_flush(SLOW)).collect();
    assert_eq!(told, [false, false, true, false, false, true]);
}

#[test]
fn single_pauses_do_not() {
    let mut slowness = SlowDiskDetector::default();
    for _ in 0..10 {
        assert!(!slowness.record_flush(SLOW));
        assert!(!slowness.record_flush(SLOW));
        assert!(!slowness.record_flush(FAST));
    }
}

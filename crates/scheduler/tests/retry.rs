//! Retry delays and queue timeouts of refused callers.

use std::time::Duration;

use calicohoist_scheduler::{jittered_delay, queue_timeout};
use proptest::prelude::*;

#[test]
fn retry_delays_have_up_to_half_jitter() {
    let delay = Duration::from_millis(300);
    assert_eq!(jittered_delay(delay, 0), delay);
    assert_eq!(jittered_delay(delay, u64::MAX), Duration::from_millis(450));
    assert_eq!(jittered_delay(Duration::ZERO, 77), Duration::ZERO);
}

#[test]
fn the_queue_timeout_leaves_time_for_a_retry() {
    let second = Duration::from_secs(1);
    assert_eq!(queue_timeout(Duration::from_secs(60), second), second);
    for left_ms in [10, 300, 1_500] {
        let left = Duration::from_millis(left_ms);
        let timeout = queue_timeout(left, second);
        assert!(timeout < left - timeout, "{timeout:?} of {left:?}");
    }
}

proptest! {
    #[test]
    fn jitter_is_bounded_and_deterministic(delay_ms in 0u64..10_000, hash: u64) {
        let delay = Duration::from_millis(delay_ms);
        let jittered = jittered_delay(delay, hash);
        prop_assert!(jittered >= delay && jittered <= delay.mul_f64(1.5));
        prop_assert_eq!(jittered, jittered_delay(delay, hash));
    }
}

//! When callers that are turned away come back.

use std::time::Duration;

use calicohoist_scheduler::{spread_retry, untried_wait};
use proptest::prelude::*;

#[test]
fn callers_come_back_over_half_the_time_again() {
    let after = Duration::from_millis(300);
    assert_eq!(spread_retry(after, 0), after);
    assert_eq!(spread_retry(after, u64::MAX), Duration::from_millis(450));
    assert_eq!(spread_retry(Duration::ZERO, 77), Duration::ZERO);
}

#[test]
fn a_request_that_nobody_runs_is_turned_away_in_time_for_another_try() {
    let second = Duration::from_secs(1);
    assert_eq!(untried_wait(Duration::from_secs(60), second), second);
    for left_ms in [10, 300, 1_500] {
        let left = Duration::from_millis(left_ms);
        let waited = untried_wait(left, second);
        assert!(waited < left - waited, "{waited:?} of {left:?}");
    }
}

proptest! {
    #[test]
    fn nobody_comes_back_early_or_much_later(after_ms in 0u64..10_000, hash: u64) {
        let after = Duration::from_millis(after_ms);
        let own = spread_retry(after, hash);
        prop_assert!(own >= after && own <= after.mul_f64(1.5));
        prop_assert_eq!(own, spread_retry(after, hash));
    }
}

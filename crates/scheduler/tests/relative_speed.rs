//! Speed of replicas relative to others of their service.

use std::time::{Duration, Instant};

use calicohoist_scheduler::RunSample;
use calicohoist_scheduler::relative_speed::{RelativeSpeed, RelativeSpeedTracker};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

fn sample(token_ms: f64) -> RunSample {
    RunSample { generated: 100, time_ms: (token_ms * 100.0) as u32 }
}

/// Creates a tracker with enough samples for replicas of one service with these times per token.
fn tracker(token_ms: &[f64]) -> RelativeSpeedTracker {
    let mut tracker = RelativeSpeedTracker::default();
    for (number, token_ms) in token_ms.iter().enumerate() {
        (0..100)
            .for_each(|_| tracker.record_sample(&format!("r{number}"), "llm", sample(*token_ms)));
    }
    tracker.compare(Instant::now());
    tracker
}

#[test]
fn replicas_of_different_speed_are_detected() {
    let tracker = tracker(&[2.0, 5.0, 5.0]);
    assert!((tracker.get("llm", "r0").relative_token_time - 1.0).abs() < 0.05);
    assert!((tracker.get("llm", "r1").relative_token_time - 2.5).abs() < 0.1);
    assert!((tracker.mean_relative_token_time("llm") - 2.0).abs() < 0.1, "mean of 1, 2.5 and 2.5");
    assert_eq!(tracker.get("other", "r0"), RelativeSpeed::EQUAL);
}

#[test]
fn replicas_that_differ_little_count_as_equal() {
    let tracker = tracker(&[2.0, 2.2, 2.5]);
    for replica in ["r0", "r1", "r2"] {
        assert_eq!(tracker.get("llm", replica), RelativeSpeed::EQUAL);
    }
}

/// Short contention on a machine does not make its replica count as slow.
#[test]
fn temporary_contention_is_not_a_slow_replica() {
    let mut tracker = tracker(&[2.0, 2.0]);
    (0..20).for_each(|_| tracker.record_sample("r1", "llm", sample(5.0)));
    tracker.compare(Instant::now() + Duration::from_secs(1));
    assert_eq!(tracker.get("llm", "r1"), RelativeSpeed::EQUAL);
}

#[test]
fn a_new_replica_is_assumed_to_have_the_mean_speed() {
    let mut tracker = tracker(&[2.0, 6.0]);
    assert!((tracker.get("llm", "new").relative_token_time - 2.0).abs() < 0.1);
    tracker.retain(|replica| replica != "r0");
    tracker.compare(Instant::now() + Duration::from_secs(1));
    assert_eq!(tracker.get("llm", "r1"), RelativeSpeed::EQUAL, "no other replica to compare with");
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 200,
        rng_seed: RngSeed::Fixed(18),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Relative speeds stay bounded, also with extreme samples and responses of a single token.
    #[test]
    fn relative_speeds_are_bounded(
        runs in prop::collection::vec((0..6usize, 0..2_000u32, 0..100_000u32), 1..600),
    ) {
        let mut tracker = RelativeSpeedTracker::default();
        for (replica, generated, time_ms) in runs {
            tracker.record_sample(&format!("r{replica}"), "llm", RunSample { generated, time_ms });
        }
        tracker.compare(Instant::now());
        for replica in 0..7 {
            let speed = tracker.get("llm", &format!("r{replica}"));
            prop_assert!((1.0..=8.0).contains(&speed.relative_token_time), "{speed:?}");
            prop_assert!(speed.turn_ms.is_none_or(|turn_ms| turn_ms.is_finite() && turn_ms > 0.0));
        }
    }
}

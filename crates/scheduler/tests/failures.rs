//! Outlier detection: replicas that fail repeatedly are ejected, others stay in use.

use std::time::{Duration, Instant};

use calicohoist_routing::{Replica, ReplicaState};
use calicohoist_scheduler::OutlierDetector;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

fn replicas(count: usize) -> Vec<Replica> {
    let replica = |number: usize| Replica {
        id: format!("i-{number}"),
        service: "models".to_owned(),
        address: "127.0.0.1:1".parse().expect("an address"),
        zone: "hall".to_owned(),
        slots: 8,
        state: ReplicaState::Ready,
        version: None,
    };
    (0..count).map(replica).collect()
}

fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

/// Records failures of one replica at the times `at`; returns the ejections that started.
fn ejections(
    detector: &mut OutlierDetector,
    id: &str,
    start: Instant,
    at: &[u64],
) -> Vec<Duration> {
    let listed = replicas(10);
    at.iter().filter_map(|at| detector.record_failure(id, &listed, start + ms(*at))).collect()
}

#[test]
fn repeated_failures_eject_a_replica_for_increasing_times() {
    let mut detector = OutlierDetector::default();
    let start = Instant::now();
    assert_eq!(ejections(&mut detector, "i-1", start, &[0, 100, 200]), [ms(1_000)]);
    assert_eq!(detector.ejected(start + ms(500)), [("i-1".to_owned(), ms(700))]);
    // Failures of requests that were in flight do not extend the ejection.
    assert!(ejections(&mut detector, "i-1", start, &[300, 400, 500, 600]).is_empty());
    assert!(detector.ejected(start + ms(1_200)).is_empty());
    assert_eq!(ejections(&mut detector, "i-1", start, &[1_300, 1_301, 1_302]), [ms(2_000)]);
    assert_eq!(ejections(&mut detector, "i-1", start, &[3_400, 3_401, 3_402]), [ms(4_000)]);
    // After a long time without an ejection the duration is reset.
    assert_eq!(ejections(&mut detector, "i-1", start, &[30_000, 30_001, 30_002]), [ms(1_000)]);
}

#[test]
fn rare_failures_and_unknown_replicas_are_ignored() {
    let mut detector = OutlierDetector::default();
    let start = Instant::now();
    let rare: Vec<u64> = (0..50).map(|number| number * 160).collect();
    assert!(ejections(&mut detector, "i-1", start, &rare).is_empty());
    assert!(ejections(&mut detector, "i-99", start, &[0, 1, 2, 3]).is_empty());
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(31),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// At most a third of a service is ejected, and no ejection exceeds the maximum duration.
    #[test]
    fn most_replicas_stay_in_use(
        count in 1_usize..40,
        failures in proptest::collection::vec((0_usize..40, 0_u64..200), 0..400),
    ) {
        let listed = replicas(count);
        let mut detector = OutlierDetector::default();
        let mut now = Instant::now();
        for (replica, pause) in failures {
            now += ms(pause);
            let ejection = detector.record_failure(&format!("i-{replica}"), &listed, now);
            prop_assert!(ejection.unwrap_or_default() <= ms(8_000));
            prop_assert!(detector.ejected(now).len() * 3 <= count);
        }
    }
}

//! Replicas that fail one request after the other are left alone, and others are not.

use std::time::{Duration, Instant};

use calicohoist_routing::{Replica, ReplicaState};
use calicohoist_scheduler::FailureBoard;
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
    };
    (0..count).map(replica).collect()
}

fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

/// Notes failures of one replica at these times; returns the rests that began.
fn rests(board: &mut FailureBoard, id: &str, begin: Instant, at: &[u64]) -> Vec<Duration> {
    let listed = replicas(10);
    at.iter().filter_map(|at| board.note(id, &listed, begin + ms(*at))).collect()
}

#[test]
fn three_failures_in_a_row_are_too_many_and_each_rest_is_longer() {
    let mut board = FailureBoard::default();
    let begin = Instant::now();
    assert_eq!(rests(&mut board, "i-1", begin, &[0, 100, 200]), [ms(1_000)]);
    assert_eq!(board.resting(begin + ms(500)), [("i-1".to_owned(), ms(700))]);
    // What was under way fails, too, and changes nothing.
    assert!(rests(&mut board, "i-1", begin, &[300, 400, 500, 600]).is_empty());
    assert!(board.resting(begin + ms(1_200)).is_empty());
    assert_eq!(rests(&mut board, "i-1", begin, &[1_300, 1_301, 1_302]), [ms(2_000)]);
    assert_eq!(rests(&mut board, "i-1", begin, &[3_400, 3_401, 3_402]), [ms(4_000)]);
    // Long after that it begins anew.
    assert_eq!(rests(&mut board, "i-1", begin, &[30_000, 30_001, 30_002]), [ms(1_000)]);
}

#[test]
fn failures_far_apart_and_unknown_replicas_change_nothing() {
    let mut board = FailureBoard::default();
    let begin = Instant::now();
    let apart: Vec<u64> = (0..50).map(|number| number * 160).collect();
    assert!(rests(&mut board, "i-1", begin, &apart).is_empty());
    assert!(rests(&mut board, "i-99", begin, &[0, 1, 2, 3]).is_empty());
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(31),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// However many fail, two thirds of a service stay in use, and no rest lasts longer than
    /// the longest.
    #[test]
    fn most_replicas_stay_in_use(
        count in 1_usize..40,
        failures in proptest::collection::vec((0_usize..40, 0_u64..200), 0..400),
    ) {
        let listed = replicas(count);
        let mut board = FailureBoard::default();
        let mut now = Instant::now();
        for (replica, pause) in failures {
            now += ms(pause);
            let rest = board.note(&format!("i-{replica}"), &listed, now);
            prop_assert!(rest.unwrap_or_default() <= ms(8_000));
            prop_assert!(board.resting(now).len() * 3 <= count);
        }
    }
}

//! Calls to the discovery service do not grow with the number of gateways, and stay within its
//! rate limit whatever fails.

use std::time::Duration;

use calicohoist_discovery::{CallRate, ListPace};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

fn pace(rate_per_s: f64) -> ListPace {
    ListPace {
        rate: CallRate::new(rate_per_s),
        deadline: Duration::from_secs(5),
        min_interval: Duration::from_millis(700),
    }
}

fn calls_per_second(pages: usize, readers: usize, interval: Duration) -> f64 {
    (pages * readers) as f64 / interval.as_secs_f64()
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 500,
        rng_seed: RngSeed::Fixed(64),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn substitute_readers_stay_within_a_part_of_the_rate(
        rate in 1.0..2_000.0_f64, pages in 1..500_usize, readers in 1..5_000_usize,
    ) {
        let interval = pace(rate).substitute_interval(pages, readers);
        prop_assert!(calls_per_second(pages, readers, interval) <= rate * 0.25 + 1e-6);
    }

    #[test]
    fn a_change_is_read_three_times_before_it_must_take_effect(
        rate in 1.0..2_000.0_f64, pages in 1..500_usize,
    ) {
        let pace = pace(rate);
        prop_assert!(pace.interval(pages) * 3 <= pace.deadline + Duration::from_millis(1));
        prop_assert!(pace.interval(pages) >= pace.min_interval);
        prop_assert!(pace.timeout(pages) <= pace.deadline);
    }
}

#[test]
fn calls_without_a_leader_are_the_same_for_20_and_500_gateways() {
    let pace = pace(390.0);
    let calls =
        |gateways| calls_per_second(50, gateways, pace.substitute_interval(50, gateways)).round();
    assert_eq!(calls(20), calls(500));
}

#[test]
fn a_short_list_is_read_at_the_minimum_interval() {
    assert_eq!(pace(44.0).interval(1), Duration::from_millis(700));
    assert_eq!(pace(44.0).substitute_interval(1, 4), Duration::from_millis(700));
}

#[test]
fn a_service_without_a_rate_limit_is_read_at_the_minimum_interval() {
    let pace = ListPace { rate: None, ..pace(1.0) };
    assert_eq!(pace.interval(500), Duration::from_millis(700));
}

#[test]
fn rates_are_parsed_as_they_are_formatted() {
    let rate = CallRate::new(44.5).expect("a valid rate");
    assert_eq!(rate.to_string().parse(), Ok(rate));
    for invalid in ["0", "-1/s", "inf/s", "many"] {
        assert!(invalid.parse::<CallRate>().is_err(), "{invalid}");
    }
}

//! No window holds more requests than its limit and tolerance allow, whatever fails.

mod support;

use std::time::Duration;

use calicohoist_limiter::LimitTolerance;
use calicohoist_routing::RateLimit;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use support::{
    APPLY, Demand, Flaw, Trouble, Way, World, delayed, tolerance, traffic, worst_excess,
};

const GATEWAYS: usize = 12;
const SECONDS: f64 = 24.0;
const WAYS: [Way; 3] = [Way::AskEach, Way::Leased { spare: 6 }, Way::LeasedLearned];

fn config() -> ProptestConfig {
    ProptestConfig {
        cases: 200,
        rng_seed: RngSeed::Fixed(29),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

fn limit(per_second: f64, burst: f64) -> RateLimit {
    RateLimit { per_second, burst }
}

fn demands() -> impl Strategy<Value = Vec<Demand>> {
    let demand =
        (1.0_f64..60.0, 0.0_f64..80.0, 0.1_f64..12.0).prop_map(|(rate, burst, programs)| Demand {
            limit: limit(rate, burst),
            programs_per_s: programs,
        });
    proptest::collection::vec(demand, 1..4)
}

/// Troubles of gateways at any time, and changes of leader no more often than a window
/// bears.
fn troubles() -> impl Strategy<Value = Vec<(Duration, Trouble)>> {
    let at = (0.0..SECONDS).prop_map(Duration::from_secs_f64);
    let of_gateways = prop_oneof![
        (0..GATEWAYS).prop_map(Trouble::GatewayRestart),
        ((0..GATEWAYS), 0.1_f64..8.0)
            .prop_map(|(gateway, lasting)| Trouble::Cut(gateway, Duration::from_secs_f64(lasting))),
    ];
    let gateways = proptest::collection::vec((at, of_gateways), 0..20);
    let least_apart = tolerance().window.as_secs_f64() / 2.0;
    let leaders = proptest::collection::vec(least_apart..8.0, 0..6).prop_map(|pauses| {
        let mut at = 0.0;
        let times = pauses.into_iter().map(move |pause| {
            at += pause;
            Duration::from_secs_f64(at)
        });
        times.map(|at| (at, Trouble::LeaderChange)).collect::<Vec<_>>()
    });
    (gateways, leaders).prop_map(|(mut gateways, leaders)| {
        gateways.extend(leaders);
        gateways.sort_by_key(|(at, _)| *at);
        gateways
    })
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn no_window_is_over_its_limit(
        demands in demands(), troubles in troubles(), seed in any::<u64>(),
    ) {
        let traffic = traffic(&demands, GATEWAYS, SECONDS, seed);
        for way in WAYS {
            let outcome = World::new(way, Flaw::None, &demands, GATEWAYS).play(&traffic, &troubles);
            for (tenant, ran) in &outcome.ran {
                let excess = worst_excess(ran, demands[*tenant].limit, Duration::ZERO);
                prop_assert!(excess <= 0.0, "{way:?}, tenant {tenant}: over by {excess}");
            }
        }
    }

    /// A request goes to its replica up to the life of its permit after that was issued.
    #[test]
    fn requests_that_are_sent_late_stay_within_the_limit(
        demands in demands(), troubles in troubles(), seed in any::<u64>(),
    ) {
        let traffic = delayed(traffic(&demands, GATEWAYS, SECONDS, seed), seed);
        let world = World::new(Way::LeasedLearned, Flaw::None, &demands, GATEWAYS);
        for (tenant, ran) in &world.play(&traffic, &troubles).ran {
            let excess = worst_excess(ran, demands[*tenant].limit, Duration::ZERO);
            prop_assert!(excess <= 0.0, "tenant {tenant}: over by {excess}");
        }
    }

    /// A lower limit binds one window after the gateways know it.
    #[test]
    fn a_lowered_limit_binds(
        demands in demands(), troubles in troubles(), seed in any::<u64>(),
        at in 2.0_f64..8.0, share in 0.2_f64..0.9,
    ) {
        let traffic = traffic(&demands, GATEWAYS, SECONDS, seed);
        let before = demands[0].limit;
        let lower = limit(before.per_second * share, before.burst * share);
        let changed = Duration::from_secs_f64(at);
        // A gateway that is cut off goes on with what it knows; the newest limit that the
        // leader was told counts all the same.
        let mut troubles = troubles;
        troubles.push((changed, Trouble::Limit(0, lower)));
        troubles.sort_by_key(|(at, _)| *at);
        let way = Way::LeasedLearned;
        let outcome = World::new(way, Flaw::None, &demands, GATEWAYS).play(&traffic, &troubles);
        let ran = outcome.ran.get(&0).cloned().unwrap_or_default();
        let excess = worst_excess(&ran, lower, changed + APPLY + tolerance().window);
        prop_assert!(excess <= 0.0, "over by {excess}");
    }
}

/// A tenant that asks for many times its limit, at one hot gateway and many others.
fn pressing() -> Vec<Demand> {
    vec![Demand { limit: limit(20.0, 100.0), programs_per_s: 12.0 }]
}

fn excess_with(flaw: Flaw, troubles: &[(Duration, Trouble)], from: Duration) -> f64 {
    let demands = pressing();
    let traffic = traffic(&demands, GATEWAYS, SECONDS, 11);
    let way = Way::LeasedLearned;
    let outcome = World::new(way, flaw, &demands, GATEWAYS).play(&traffic, troubles);
    let limits = troubles.iter().find_map(|(_, trouble)| match trouble {
        Trouble::Limit(_, limit) => Some(*limit),
        _ => None,
    });
    worst_excess(&outcome.ran[&0], limits.unwrap_or(demands[0].limit), from)
}

struct FlawCase {
    flaw: Flaw,
    troubles: Vec<(Duration, Trouble)>,
    /// Windows that begin before this are not judged.
    from: Duration,
}

impl FlawCase {
    fn new(flaw: Flaw, troubles: Vec<(Duration, Trouble)>) -> Self {
        Self { flaw, troubles, from: Duration::ZERO }
    }
}

#[test]
fn each_rule_broken_on_purpose_is_found() {
    let second = Duration::from_secs(1);
    let changes = (1..8).map(|place| (place * 5 * second / 2, Trouble::LeaderChange));
    let cuts = (0..GATEWAYS).map(|gateway| (second, Trouble::Cut(gateway, 20 * second)));
    let lowered = vec![(4 * second, Trouble::Limit(0, limit(10.0, 10.0)))];
    let after_lowered = 4 * second + APPLY + tolerance().window;
    let cases = [
        FlawCase::new(Flaw::EndlessPermits, Vec::new()),
        FlawCase::new(Flaw::NothingInherited, changes.clone().collect()),
        FlawCase::new(Flaw::NeverNoted, changes.collect()),
        FlawCase::new(Flaw::OpenWhenCut, cuts.collect()),
        FlawCase { from: after_lowered, ..FlawCase::new(Flaw::LimitStays, lowered) },
    ];
    for FlawCase { flaw, troubles, from } in cases {
        let right = excess_with(Flaw::None, &troubles, from);
        assert!(right <= 0.0, "without {flaw:?}: over by {right}");
        let broken = excess_with(flaw, &troubles, from);
        assert!(broken > 0.0, "{flaw:?} is not found: {broken}");
    }
}

/// Where nothing may come on top of a limit, what is below it is served all the same.
#[test]
fn a_permit_holds_for_a_while_however_exact_a_limit_must_be() {
    let exact = LimitTolerance { overshoot: 0.0, slack: 0.0, ..tolerance() };
    assert!(exact.permit_life() >= Duration::from_millis(100));
}

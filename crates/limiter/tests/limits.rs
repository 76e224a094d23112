//! No window exceeds its limit and tolerance under leader changes, restarts and partitions.

mod support;

use std::time::Duration;

use calicohoist_limiter::LimitTolerance;
use calicohoist_routing::RateLimit;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use support::{
    CONFIG_PROPAGATION, FaultEvent, InjectedBug, Scheme, Simulation, TenantLoad, max_excess,
    tolerance, traffic, with_delays,
};

const GATEWAYS: usize = 12;
const SECONDS: f64 = 24.0;
const SCHEMES: [Scheme; 3] = [Scheme::AskEach, Scheme::Leased { spare: 6 }, Scheme::LeasedLearned];

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

fn loads() -> impl Strategy<Value = Vec<TenantLoad>> {
    let load = (1.0_f64..60.0, 0.0_f64..80.0, 0.1_f64..12.0).prop_map(|(rate, burst, programs)| {
        TenantLoad { limit: limit(rate, burst), programs_per_s: programs }
    });
    proptest::collection::vec(load, 1..4)
}

/// Gateway faults at any time, and leader changes no more often than the tolerance allows.
fn faults() -> impl Strategy<Value = Vec<(Duration, FaultEvent)>> {
    let at = (0.0..SECONDS).prop_map(Duration::from_secs_f64);
    let gateway_fault = prop_oneof![
        (0..GATEWAYS).prop_map(FaultEvent::GatewayRestart),
        ((0..GATEWAYS), 0.1_f64..8.0).prop_map(|(gateway, duration)| FaultEvent::Partition(
            gateway,
            Duration::from_secs_f64(duration)
        )),
    ];
    let gateways = proptest::collection::vec((at, gateway_fault), 0..20);
    let min_interval = tolerance().window.as_secs_f64() / 2.0;
    let leaders = proptest::collection::vec(min_interval..8.0, 0..6).prop_map(|intervals| {
        let mut at = 0.0;
        let times = intervals.into_iter().map(move |interval| {
            at += interval;
            Duration::from_secs_f64(at)
        });
        times.map(|at| (at, FaultEvent::LeaderChange)).collect::<Vec<_>>()
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
    fn no_window_exceeds_its_limit(
        loads in loads(), faults in faults(), seed in any::<u64>(),
    ) {
        let traffic = traffic(&loads, GATEWAYS, SECONDS, seed);
        for scheme in SCHEMES {
            let outcome = Simulation::new(scheme, InjectedBug::None, &loads, GATEWAYS).run(&traffic, &faults);
            for (tenant, send_times) in &outcome.send_times {
                let excess = max_excess(send_times, loads[*tenant].limit, Duration::ZERO);
                prop_assert!(excess <= 0.0, "{scheme:?}, tenant {tenant}: exceeded by {excess}");
            }
        }
    }

    /// A request may be sent until its permit expires.
    #[test]
    fn delayed_requests_stay_within_the_limit(
        loads in loads(), faults in faults(), seed in any::<u64>(),
    ) {
        let traffic = with_delays(traffic(&loads, GATEWAYS, SECONDS, seed), seed);
        let simulation = Simulation::new(Scheme::LeasedLearned, InjectedBug::None, &loads, GATEWAYS);
        for (tenant, send_times) in &simulation.run(&traffic, &faults).send_times {
            let excess = max_excess(send_times, loads[*tenant].limit, Duration::ZERO);
            prop_assert!(excess <= 0.0, "tenant {tenant}: exceeded by {excess}");
        }
    }

    /// A lowered limit is enforced one window after it has propagated to the gateways.
    #[test]
    fn a_lowered_limit_is_enforced(
        loads in loads(), faults in faults(), seed in any::<u64>(),
        at in 2.0_f64..8.0, factor in 0.2_f64..0.9,
    ) {
        let traffic = traffic(&loads, GATEWAYS, SECONDS, seed);
        let before = loads[0].limit;
        let lowered = limit(before.per_second * factor, before.burst * factor);
        let changed_at = Duration::from_secs_f64(at);
        // A partitioned gateway keeps its old configuration; the leader applies the newest one.
        let mut faults = faults;
        faults.push((changed_at, FaultEvent::LimitChange(0, lowered)));
        faults.sort_by_key(|(at, _)| *at);
        let scheme = Scheme::LeasedLearned;
        let outcome = Simulation::new(scheme, InjectedBug::None, &loads, GATEWAYS).run(&traffic, &faults);
        let send_times = outcome.send_times.get(&0).cloned().unwrap_or_default();
        let excess = max_excess(&send_times, lowered, changed_at + CONFIG_PROPAGATION + tolerance().window);
        prop_assert!(excess <= 0.0, "exceeded by {excess}");
    }
}

/// A tenant whose demand is several times its limit.
fn overloaded_tenant() -> Vec<TenantLoad> {
    vec![TenantLoad { limit: limit(20.0, 100.0), programs_per_s: 12.0 }]
}

fn excess_of(bug: InjectedBug, faults: &[(Duration, FaultEvent)], from: Duration) -> f64 {
    let loads = overloaded_tenant();
    let traffic = traffic(&loads, GATEWAYS, SECONDS, 11);
    let scheme = Scheme::LeasedLearned;
    let outcome = Simulation::new(scheme, bug, &loads, GATEWAYS).run(&traffic, faults);
    let changed_limit = faults.iter().find_map(|(_, fault)| match fault {
        FaultEvent::LimitChange(_, limit) => Some(*limit),
        _ => None,
    });
    max_excess(&outcome.send_times[&0], changed_limit.unwrap_or(loads[0].limit), from)
}

struct BugCase {
    bug: InjectedBug,
    faults: Vec<(Duration, FaultEvent)>,
    /// Windows that begin before this are not checked.
    from: Duration,
}

impl BugCase {
    fn new(bug: InjectedBug, faults: Vec<(Duration, FaultEvent)>) -> Self {
        Self { bug, faults, from: Duration::ZERO }
    }
}

#[test]
fn each_injected_bug_is_detected() {
    let second = Duration::from_secs(1);
    let changes = (1..8).map(|index| (index * 5 * second / 2, FaultEvent::LeaderChange));
    let partitions =
        (0..GATEWAYS).map(|gateway| (second, FaultEvent::Partition(gateway, 20 * second)));
    let lowered = vec![(4 * second, FaultEvent::LimitChange(0, limit(10.0, 10.0)))];
    let after_lowered = 4 * second + CONFIG_PROPAGATION + tolerance().window;
    let cases = [
        BugCase::new(InjectedBug::EndlessPermits, Vec::new()),
        BugCase::new(InjectedBug::NothingInherited, changes.clone().collect()),
        BugCase::new(InjectedBug::NeverNoted, changes.collect()),
        BugCase::new(InjectedBug::OpenWhenCut, partitions.collect()),
        BugCase { from: after_lowered, ..BugCase::new(InjectedBug::LimitStays, lowered) },
    ];
    for BugCase { bug, faults, from } in cases {
        let excess = excess_of(InjectedBug::None, &faults, from);
        assert!(excess <= 0.0, "without {bug:?}: exceeded by {excess}");
        let excess_with_bug = excess_of(bug, &faults, from);
        assert!(excess_with_bug > 0.0, "{bug:?} is not detected: {excess_with_bug}");
    }
}

/// With zero tolerance, permits must still outlast the round trip to the leader.
#[test]
fn permits_have_a_minimum_lifetime_with_zero_tolerance() {
    let exact = LimitTolerance { overshoot: 0.0, slack: 0.0, ..tolerance() };
    assert!(exact.permit_lifetime() >= Duration::from_millis(100));
}

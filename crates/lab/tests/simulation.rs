//! Fleets in virtual time: every scenario, named seeds of failures that were
//! found, equal digests, and drawn schedules of faults that shrink.

use std::time::Duration;

use calicohoist_lab::deployment::Deployment;
use calicohoist_lab::sim::fault::Fault;
use calicohoist_lab::sim::{Scenario, SimReport, SimSettings, run, run_many, run_planned};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

/// Seeds of each scenario and deployment; many more are run by hand.
const SEEDS: u64 = 200;

fn assert_good(report: &SimReport) {
    assert!(report.is_good(), "{}", report.describe());
}

fn run_seed(deployment: Deployment, scenario: Scenario, seed: u64) -> SimReport {
    let (report, _) = run(&SimSettings { scenario, deployment, seed });
    assert_good(&report);
    report
}

/// Half of the cores: both deployments run at the same time.
fn threads() -> usize {
    std::thread::available_parallelism().map_or(1, |cores| cores.get().div_ceil(2))
}

fn run_all(deployment: Deployment) {
    for scenario in Scenario::ALL {
        let reports = run_many(*scenario, deployment, 0..SEEDS, threads());
        assert_eq!(reports.len() as u64, SEEDS);
        reports.iter().for_each(assert_good);
        let looks: u64 = reports
            .iter()
            .flat_map(|report| report.invariants.named().map(|(_, verdict)| verdict.checked))
            .sum();
        assert!(looks > SEEDS * 50, "{} looked at almost nothing", scenario.name());
    }
}

#[test]
fn every_scenario_holds_at_celje() {
    run_all(Deployment::Celje);
}

#[test]
fn every_scenario_holds_at_kushiro() {
    run_all(Deployment::Kushiro);
}

#[test]
fn a_calm_run_completes_every_program_with_enough_budget() {
    let report = run_seed(Deployment::Celje, Scenario::Calm, 3);
    assert_eq!(report.unfinished, 0);
    assert_eq!(report.faults_injected, 0);
    assert!(report.program_latency_ms.p50 > 0);
}

#[test]
fn every_seed_of_the_combined_scenario_puts_every_promise_to_the_test() {
    for deployment in [Deployment::Celje, Deployment::Kushiro] {
        for seed in 0..12 {
            let report = run_seed(deployment, Scenario::Combined, seed);
            let promises = report.invariants.named();
            let untested = promises.iter().filter(|(_, verdict)| verdict.checked == 0);
            let untested: Vec<&str> = untested.map(|(promise, _)| *promise).collect();
            assert!(untested.is_empty(), "seed {seed}: {untested:?}");
        }
    }
}

#[test]
fn the_same_seed_gives_the_same_digest() {
    let settings =
        SimSettings { scenario: Scenario::Combined, deployment: Deployment::Kushiro, seed: 11 };
    let (first, _) = run(&settings);
    let (second, _) = run(&settings);
    assert_eq!(first, second);
    let (other, _) = run(&SimSettings { seed: 12, ..settings });
    assert_ne!(first.digest, other.digest);
}

#[test]
fn a_gateway_that_returns_uses_no_limits_of_an_old_configuration() {
    run_seed(Deployment::Celje, Scenario::GatewayDeath, 8);
    run_seed(Deployment::Celje, Scenario::RestartAfterLag, 0);
}

#[test]
fn an_attempt_whose_mark_took_long_goes_to_no_back_end_that_left_meanwhile() {
    run_seed(Deployment::Celje, Scenario::Combined, 84);
    run_seed(Deployment::Celje, Scenario::Combined, 234);
    run_seed(Deployment::Kushiro, Scenario::Combined, 85);
}

#[test]
fn attempts_whose_answers_were_lost_are_charged_to_the_budget() {
    run_seed(Deployment::Celje, Scenario::GatewayDeath, 39);
    run_seed(Deployment::Celje, Scenario::GatewayDeath, 46);
}

#[test]
fn a_cancelled_call_that_may_have_run_is_not_called_not_run() {
    run_seed(Deployment::Kushiro, Scenario::Mixed, 769);
}

#[test]
fn a_lossy_network_starts_no_storm_of_messages() {
    run_seed(Deployment::Kushiro, Scenario::LossyNetwork, 177);
    run_seed(Deployment::Kushiro, Scenario::Mixed, 2157);
}

#[test]
fn a_late_snapshot_drops_no_acknowledged_entry() {
    run_seed(Deployment::Kushiro, Scenario::LossyNetwork, 79);
}

#[test]
fn a_new_disk_that_catches_up_starts_no_storm_of_messages() {
    run_seed(Deployment::Celje, Scenario::SecondLossAfterRepair, 66);
}

#[test]
fn a_planned_stop_right_after_a_standstill_cuts_no_request() {
    run_seed(Deployment::Celje, Scenario::Twice, 827);
    run_seed(Deployment::Celje, Scenario::Twice, 9_305);
    run_seed(Deployment::Celje, Scenario::Twice, 9_443);
}

fn drawn_fault() -> impl Strategy<Value = Fault> {
    let span = (200u64..6_000).prop_map(Duration::from_millis);
    prop_oneof![
        (0usize..4, span.clone()).prop_map(|(index, span)| Fault::KillGateway(index, span)),
        (0usize..4, span.clone()).prop_map(|(index, span)| Fault::FreezeGateway(index, span)),
        (0usize..4, span.clone()).prop_map(|(index, span)| Fault::IsolateGateway(index, span)),
        (0usize..4, span.clone()).prop_map(|(index, span)| Fault::StopGateway(index, span)),
        (0usize..6, span.clone()).prop_map(|(index, span)| Fault::KillEngine(index, span)),
        (0usize..6, span.clone()).prop_map(|(index, span)| Fault::HangEngine(index, span)),
        (0usize..4, span.clone()).prop_map(|(index, span)| Fault::HangReplica(index, span)),
        (0usize..3, span.clone()).prop_map(|(index, span)| Fault::KillStore(index, span)),
        (0usize..3, span.clone()).prop_map(|(index, span)| Fault::FreezeStore(index, span)),
        (0usize..3, span.clone()).prop_map(|(index, span)| Fault::SlowDisk(index, span)),
        span.clone().prop_map(Fault::IsolateLeader),
        span.clone().prop_map(Fault::LoseReplies),
        span.prop_map(Fault::LossyNetwork),
        Just(Fault::CancelProgram),
        Just(Fault::WriteConflict),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 40,
        // The same schedules on every run, so that a verdict is one of the code.
        rng_seed: RngSeed::Fixed(2_026),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn any_schedule_of_faults_keeps_every_promise(
        faults in prop::collection::vec((0u64..14_000, drawn_fault()), 0..10),
        seed in 0u64..1_000,
    ) {
        let planned: Vec<_> = faults
            .into_iter()
            .map(|(at, fault)| (Duration::from_millis(at), fault))
            .collect();
        let settings =
            SimSettings { scenario: Scenario::Combined, deployment: Deployment::Celje, seed };
        let (report, _) = run_planned(&settings, &planned);
        prop_assert!(report.is_good(), "{}", report.describe());
    }
}

//! For every promise a rule of the product is broken on purpose, and the
//! simulator must find it within a number of seeds.

use calicohoist_lab::check::Verdict;
use calicohoist_lab::deployment::Deployment;
use calicohoist_lab::sim::{Scenario, SimReport, SimSettings, run};
use calicohoist_store::broken_rules::{Rule, break_rule};

/// Seeds within which a broken rule must be found.
const MOST_SEEDS: u64 = 200;

/// Breaks `rule`; returns the seed that shows a violation of `promise`.
fn seed_that_finds(rule: Rule, scenario: Scenario, promise: &str) -> Option<u64> {
    break_rule(Some(rule));
    let settings = |seed| SimSettings { scenario, deployment: Deployment::Celje, seed };
    let found = (0..MOST_SEEDS).find(|seed| violates(&run(&settings(*seed)).0, promise));
    break_rule(None);
    found
}

fn violates(report: &SimReport, promise: &str) -> bool {
    let verdicts = report.invariants.named();
    let named: Option<&(&str, &Verdict)> = verdicts.iter().find(|(name, _)| *name == promise);
    named.is_some_and(|(_, verdict)| verdict.violations > 0)
}

fn assert_found(rule: Rule, scenario: Scenario, promise: &str) {
    let seed = seed_that_finds(rule, scenario, promise);
    println!("{rule:?} in {}: {promise} by seed {seed:?}", scenario.name());
    assert!(seed.is_some(), "{rule:?} went unnoticed in {MOST_SEEDS} seeds");
}

#[test]
fn a_call_that_does_not_wait_for_its_turn_is_found() {
    assert_found(Rule::WaitForTurn, Scenario::Calm, "call_order");
}

#[test]
fn a_lost_answer_in_a_history_is_found() {
    assert_found(Rule::KeepAnswers, Scenario::Calm, "history_integrity");
}

#[test]
fn an_attempt_that_is_not_charged_is_found() {
    assert_found(Rule::ChargeLostAttempts, Scenario::GatewayDeath, "budget_limit");
}

#[test]
fn memory_that_is_not_released_is_found() {
    assert_found(Rule::ReleaseMemory, Scenario::Calm, "cache_release");
}

#[test]
fn an_answer_that_is_resumed_elsewhere_is_found() {
    assert_found(Rule::ResumeAtOffset, Scenario::Calm, "response_integrity");
}

#[test]
fn a_call_that_ran_and_is_called_not_run_is_found() {
    assert_found(Rule::KeepMayHaveRun, Scenario::RunawayProgram, "refused_not_executed");
}

#[test]
fn a_print_that_is_repeated_is_found() {
    assert_found(Rule::RepeatOnlyRepeatable, Scenario::ToolHang, "at_most_once");
}

#[test]
fn work_for_a_leaving_engine_is_found() {
    assert_found(Rule::AvoidLeaving, Scenario::BackendDrain, "backend_drain");
}

#[test]
fn a_stop_that_cuts_calls_is_found() {
    assert_found(Rule::FinishCalls, Scenario::GracefulShutdown, "graceful_shutdown");
}

#[test]
fn limits_of_an_old_configuration_are_found() {
    assert_found(Rule::UseCurrentLimits, Scenario::RestartAfterLag, "config_convergence");
}

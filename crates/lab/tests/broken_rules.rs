//! Mutation tests: for every invariant a rule of the scheduler is disabled, and the simulator must
//! detect the violation within a number of seeds.

use calicohoist_lab::check::Verdict;
use calicohoist_lab::deployment::Deployment;
use calicohoist_lab::sim::{Scenario, SimReport, SimSettings, run};
use calicohoist_store::broken_rules::{Rule, break_rule};

/// Number of seeds within which a broken rule must be detected.
const MAX_SEEDS: u64 = 200;

/// Breaks `rule` and returns the first seed that violates `invariant`.
fn first_violating_seed(rule: Rule, scenario: Scenario, invariant: &str) -> Option<u64> {
    break_rule(Some(rule));
    let settings = |seed| SimSettings { scenario, deployment: Deployment::Celje, seed };
    let found = (0..MAX_SEEDS).find(|seed| violates(&run(&settings(*seed)).0, invariant));
    break_rule(None);
    found
}

fn violates(report: &SimReport, invariant: &str) -> bool {
    let verdicts = report.invariants.named();
    let matching: Option<&(&str, &Verdict)> = verdicts.iter().find(|(name, _)| *name == invariant);
    matching.is_some_and(|(_, verdict)| verdict.violations > 0)
}

fn assert_detected(rule: Rule, scenario: Scenario, invariant: &str) {
    let seed = first_violating_seed(rule, scenario, invariant);
    println!("{rule:?} in {}: {invariant} violated by seed {seed:?}", scenario.name());
    assert!(seed.is_some(), "{rule:?} was not detected within {MAX_SEEDS} seeds");
}

#[test]
fn detects_calls_out_of_order() {
    assert_detected(Rule::WaitForTurn, Scenario::Calm, "call_order");
}

#[test]
fn detects_an_answer_missing_from_a_history() {
    assert_detected(Rule::KeepAnswers, Scenario::Calm, "history_integrity");
}

#[test]
fn detects_an_attempt_that_is_not_charged() {
    assert_detected(Rule::ChargeLostAttempts, Scenario::GatewayDeath, "budget_limit");
}

#[test]
fn detects_cache_that_is_not_released() {
    assert_detected(Rule::ReleaseMemory, Scenario::Calm, "cache_release");
}

#[test]
fn detects_an_answer_resumed_at_a_wrong_offset() {
    assert_detected(Rule::ResumeAtOffset, Scenario::Calm, "response_integrity");
}

#[test]
fn detects_an_executed_call_reported_as_not_run() {
    assert_detected(Rule::KeepMayHaveRun, Scenario::RunawayProgram, "refused_not_executed");
}

#[test]
fn detects_a_repeated_non_repeatable_job() {
    assert_detected(Rule::RepeatOnlyRepeatable, Scenario::ToolHang, "at_most_once");
}

#[test]
fn detects_work_for_a_leaving_engine() {
    assert_detected(Rule::AvoidLeaving, Scenario::BackendDrain, "backend_drain");
}

#[test]
fn detects_calls_interrupted_by_a_shutdown() {
    assert_detected(Rule::FinishCalls, Scenario::GracefulShutdown, "graceful_shutdown");
}

#[test]
fn detects_limits_of_an_outdated_configuration() {
    assert_detected(Rule::UseCurrentLimits, Scenario::RestartAfterLag, "config_convergence");
}

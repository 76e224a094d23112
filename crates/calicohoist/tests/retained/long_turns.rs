//! Turns that run for longer than what they need is kept.

use std::thread;
use std::time::Duration;

use crate::deployment::{RetainingDeployment, RouteTimes, TURN_TOKENS, Turn, part_of_history};
use crate::support::ScriptedReplica;

const TIMEOUT: Duration = Duration::from_secs(6);
const RETENTION: Duration = Duration::from_secs(1);
/// Part of the id of a turn that the model answers after [`GENERATION_TIME`].
const LONG: &str = "long";
const GENERATION_TIME: Duration = Duration::from_secs(3);
/// Time after a turn at which it is continued.
const PAUSE: Duration = Duration::from_millis(700);
/// Programs that start at this interval meet every phase of the clock of the ledger.
const PROGRAM_INTERVAL: Duration = Duration::from_millis(200);
const PROGRAMS: usize = 25;
const BUDGET_SPENT: u16 = 402;

fn start(retention: Duration) -> RetainingDeployment {
    let model = ScriptedReplica::start("model", |exchange| {
        let id = exchange.request.id().to_owned();
        if id.contains(LONG) {
            thread::sleep(GENERATION_TIME);
        }
        exchange.send_stream(&id);
    });
    RetainingDeployment::start_with_times(model, RouteTimes { retention, timeout: TIMEOUT })
}

/// Runs programs side by side; returns those for which `run` does not return `expected`, with what it
/// does.
fn run_programs(expected: u16, run: impl Fn(&str) -> u16 + Sync) -> Vec<(String, u16)> {
    let run = &run;
    thread::scope(|scope| {
        let programs: Vec<_> = (0..PROGRAMS)
            .map(|number| {
                thread::sleep(PROGRAM_INTERVAL);
                scope.spawn(move || {
                    let program = format!("program-{number}");
                    let status = run(&program);
                    (program, status)
                })
            })
            .collect();
        let outcomes = programs.into_iter().map(|program| program.join().expect("a program"));
        outcomes.filter(|(_, status)| *status != expected).collect()
    })
}

fn assert_none(others: &[(String, u16)]) {
    println!("{} of {PROGRAMS} programs with another outcome", others.len());
    assert!(others.is_empty(), "{} of {PROGRAMS}: {others:?}", others.len());
}

#[test]
fn turn_that_runs_longer_than_its_retention_is_kept_with_its_history() {
    let deployment = start(RETENTION);
    let others = run_programs(200, |program| {
        let ids = ["first", LONG, "last"].map(|name| format!("{program}-{name}"));
        let [first, long, last] = ids.each_ref().map(String::as_str);
        let retained = |id, previous| Turn { id, previous, is_retained: true, ..Turn::default() };
        assert_eq!(deployment.send(&retained(first, None)).status, 200);
        assert_eq!(deployment.send(&retained(long, Some(first))).status, 200);
        thread::sleep(PAUSE);
        let status = deployment.send(&retained(last, Some(long))).status;
        if status == 200 {
            let history = [first, long].map(part_of_history).concat();
            assert_eq!(deployment.received_body(last), format!("{history}input ").as_bytes());
        }
        status
    });
    assert_none(&others);
}

/// Spends a budget of two turns with a short and a long one, and asks again.
fn assert_budget_outlives_long_turn(retention: Duration, is_retained: bool) {
    let deployment = start(retention);
    let others = run_programs(BUDGET_SPENT, |program| {
        let ids = ["first", LONG, "last"].map(|name| format!("{program}-{name}"));
        let account = Some((program, 2 * TURN_TOKENS));
        let statuses = ids.each_ref().map(|id| {
            let turn = Turn { id, account, is_retained, ..Turn::default() };
            let status = deployment.send(&turn).status;
            thread::sleep(PAUSE);
            status
        });
        assert_eq!(statuses[..2], [200, 200], "{program}");
        statuses[2]
    });
    assert_none(&others);
}

#[test]
fn budget_outlives_a_turn_that_runs_longer_than_its_retention() {
    assert_budget_outlives_long_turn(RETENTION, true);
}

#[test]
fn budget_outlives_a_turn_that_is_not_kept() {
    assert_budget_outlives_long_turn(Duration::ZERO, false);
}

/// The tokens of a turn that runs are reserved, however long it runs.
#[test]
fn budget_is_not_spent_twice_side_by_side() {
    let deployment = start(RETENTION);
    let others = run_programs(BUDGET_SPENT, |program| {
        let account = Some((program, TURN_TOKENS));
        let ids = [LONG, "beside"].map(|name| format!("{program}-{name}"));
        let [long, beside] =
            ids.each_ref().map(|id| Turn { id, account, is_retained: true, ..Turn::default() });
        thread::scope(|scope| {
            let running = scope.spawn(|| deployment.send(&long).status);
            thread::sleep(GENERATION_TIME - PAUSE);
            let status = deployment.send(&beside).status;
            assert_eq!(running.join().expect("a turn"), 200, "{program}");
            status
        })
    });
    assert_none(&others);
}

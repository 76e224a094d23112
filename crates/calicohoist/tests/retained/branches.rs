//! Turns that share ancestors, judged by the histories that the model receives.

use std::thread;
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::cluster::number_from_environment;
use crate::deployment::{RetainingDeployment, RouteTimes, Turn, complete, part_of_history, send};
use crate::support::ScriptedReplica;

/// Time before the end of its retention at which a turn is continued.
const CONTINUED_BEFORE: Duration = Duration::from_millis(300);
const TURN_LIMIT: Duration = Duration::from_secs(10);
const NOT_FOUND: u16 = 404;

fn start(times: RouteTimes) -> RetainingDeployment {
    let model = ScriptedReplica::start("model", |exchange| {
        let id = exchange.request.id().to_owned();
        exchange.send_stream(&id);
    });
    RetainingDeployment::start_with_times(model, times)
}

/// A turn that was answered, with the history that its successors have.
#[derive(Clone, Debug)]
struct Answered {
    id: String,
    history: String,
    at: Instant,
}

/// Completes a turn and asserts that the model received its whole history.
fn complete_after(
    deployment: &RetainingDeployment,
    name: &str,
    previous: Option<&Answered>,
) -> Answered {
    let id = previous.map(|previous| previous.id.as_str());
    let turn = Turn { id: name, previous: id, is_retained: true, ..Turn::default() };
    let (id, at) = complete(deployment.gateway(), &turn, TURN_LIMIT)
        .unwrap_or_else(|| panic!("{name} is answered"));
    let history = previous.map(|previous| previous.history.as_str()).unwrap_or_default();
    let received = String::from_utf8(deployment.received_body(&id)).expect("text");
    assert_eq!(received, format!("{history}input "), "{id}");
    let history = format!("{history}{}", part_of_history(&id));
    Answered { id, history, at }
}

fn sleep_until(moment: Instant) {
    thread::sleep(moment.saturating_duration_since(Instant::now()));
}

/// A program continues only its youngest turn, just before the end of its retention.
#[test]
fn ancestors_are_kept_while_only_the_youngest_turn_is_continued() {
    const PROGRAMS: usize = 20;
    const TURNS: usize = 4;
    let times = RouteTimes { retention: Duration::from_secs(2), ..RouteTimes::default() };
    let deployment = &start(times);
    thread::scope(|scope| {
        for program in 0..PROGRAMS {
            thread::sleep(Duration::from_millis(150));
            scope.spawn(move || {
                let mut youngest = complete_after(deployment, &format!("{program}-0"), None);
                for number in 1..TURNS {
                    sleep_until(youngest.at + times.retention - CONTINUED_BEFORE);
                    let name = format!("{program}-{number}");
                    youngest = complete_after(deployment, &name, Some(&youngest));
                }
            });
        }
    });
}

/// Programs branch off one turn at the same time. One of them is continued long after the others, just
/// before the end of its own retention, and the others after that.
#[test]
fn shared_ancestors_are_kept_for_the_branch_that_is_continued_last() {
    const GROUPS: usize = 12;
    const BRANCHES: usize = 5;
    let times = RouteTimes { retention: Duration::from_secs(3), ..RouteTimes::default() };
    let deployment = &start(times);
    thread::scope(|scope| {
        for group in 0..GROUPS {
            thread::sleep(Duration::from_millis(400));
            scope.spawn(move || {
                let root = complete_after(deployment, &format!("{group}-root"), None);
                let shared = complete_after(deployment, &format!("{group}-shared"), Some(&root));
                sleep_until(root.at + times.retention - CONTINUED_BEFORE);
                let branches: Vec<Answered> = (0..BRANCHES)
                    .map(|branch| {
                        let from = if branch % 2 == 0 { &shared } else { &root };
                        complete_after(deployment, &format!("{group}-{branch}"), Some(from))
                    })
                    .collect();
                for (branch, answered) in branches.iter().enumerate() {
                    // The first one is continued at once, the last one at the end of its retention.
                    let share = branch as f64 / (BRANCHES - 1) as f64;
                    let pause = (times.retention - CONTINUED_BEFORE).mul_f64(share);
                    sleep_until(answered.at + pause);
                    complete_after(deployment, &format!("{group}-{branch}-next"), Some(answered));
                }
            });
        }
    });
}

/// After the end of its retention a turn may be gone, but its history is never shortened.
#[test]
fn history_is_whole_or_not_found_while_turns_expire() {
    const PROGRAMS: usize = 80;
    const TURNS: usize = 4;
    const DEFAULT_SEED: u64 = 98;
    /// Covers what the gateway adds to the retention and two steps of the clock of the ledger.
    const CONTINUED_WITHIN: Duration = Duration::from_secs(12);
    let times = RouteTimes { retention: Duration::from_secs(1), timeout: Duration::from_secs(1) };
    let deployment = &start(times);
    let mut rng = StdRng::seed_from_u64(number_from_environment("RETAINED_SEED", DEFAULT_SEED));
    let statuses: Vec<u16> = thread::scope(|scope| {
        let programs: Vec<_> = (0..PROGRAMS)
            .map(|program| {
                thread::sleep(Duration::from_millis(60));
                let age = rng.random_range(Duration::from_millis(500)..CONTINUED_WITHIN);
                let ancestor = rng.random_range(0..TURNS);
                scope.spawn(move || continue_at_age(deployment, program, TURNS, ancestor, age))
            })
            .collect();
        programs.into_iter().map(|program| program.join().expect("a program")).collect()
    });
    let gone = statuses.iter().filter(|status| **status == NOT_FOUND).count();
    println!("{gone} of {PROGRAMS} turns gone");
    assert!(gone > 0 && gone < PROGRAMS, "{gone} of {PROGRAMS} turns gone");
}

/// Continues one turn of a chain once its youngest turn has the given age; returns the status of that.
fn continue_at_age(
    deployment: &RetainingDeployment,
    program: usize,
    turns: usize,
    ancestor: usize,
    age: Duration,
) -> u16 {
    let mut chain: Vec<Answered> = Vec::new();
    for number in 0..turns {
        let name = format!("{program}-{number}");
        chain.push(complete_after(deployment, &name, chain.last()));
    }
    let youngest_at = chain[turns - 1].at;
    let continued = &chain[ancestor];
    sleep_until(youngest_at + age);
    let id = format!("{program}-next");
    let turn =
        Turn { id: &id, previous: Some(&continued.id), is_retained: true, ..Turn::default() };
    let status = send(deployment.gateway(), &turn).status;
    let received = String::from_utf8(deployment.received_body(&id)).expect("text");
    match status {
        200 => assert_eq!(received, format!("{}input ", continued.history), "{id} at {age:?}"),
        NOT_FOUND => {
            let age = continued.at.elapsed();
            assert!(age >= deployment.retention && received.is_empty(), "{id} at {age:?}");
        }
        other => assert!(received.is_empty(), "{id}: {other} after it ran"),
    }
    status
}

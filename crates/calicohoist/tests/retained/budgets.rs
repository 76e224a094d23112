//! Programs that ask again after their budget was spent.

use std::thread;
use std::time::{Duration, Instant};

use crate::deployment::{RetainingDeployment, TURN_TOKENS, Turn, complete};

const PROGRAMS: usize = 80;
/// Time between the starts of two programs.
const PROGRAM_INTERVAL: Duration = Duration::from_millis(75);
/// Time before the end of the retention at which a program asks again.
const ASKED_BEFORE: Duration = Duration::from_millis(400);
const BUDGET_SPENT: u16 = 402;
const TURN_LIMIT: Duration = Duration::from_secs(10);

/// Spends the budget of a program and asks again just before its retention ends, counted from the last
/// answer; returns the status of that.
fn spend_and_return(deployment: &RetainingDeployment, number: usize, is_retained: bool) -> u16 {
    let program = format!("program-{number}-{is_retained}");
    let account = Some((program.as_str(), TURN_TOKENS));
    let first = Turn { id: &program, account, is_retained, ..Turn::default() };
    let _ = complete(deployment.gateway(), &first, TURN_LIMIT).expect("the first turn is served");
    let ask = |name: &str| {
        let id = format!("{program}-{name}");
        deployment.send(&Turn { id: &id, account, is_retained, ..Turn::default() }).status
    };
    // A turn that is not retained is settled in the background.
    let settled_at = Instant::now();
    let mut refusal = ask("second-0");
    for attempt in 1.. {
        if refusal == BUDGET_SPENT || settled_at.elapsed() > TURN_LIMIT {
            break;
        }
        refusal = ask(&format!("second-{attempt}"));
    }
    assert_eq!(refusal, BUDGET_SPENT, "{program}");
    thread::sleep(deployment.retention - ASKED_BEFORE);
    ask("returning")
}

fn assert_budgets_stay_spent(is_retained: bool) {
    let deployment = RetainingDeployment::start();
    let deployment = &deployment;
    let statuses: Vec<u16> = thread::scope(|scope| {
        let programs: Vec<_> = (0..PROGRAMS)
            .map(|number| {
                thread::sleep(PROGRAM_INTERVAL);
                scope.spawn(move || spend_and_return(deployment, number, is_retained))
            })
            .collect();
        programs.into_iter().map(|program| program.join().expect("a program")).collect()
    });
    let served = statuses.iter().filter(|status| **status == 200).count();
    println!("{served} of {PROGRAMS} programs served again");
    assert!(statuses.iter().all(|status| *status == BUDGET_SPENT), "{statuses:?}");
}

#[test]
fn a_spent_budget_is_not_spent_again_before_the_retention_ends() {
    assert_budgets_stay_spent(false);
}

#[test]
fn a_spent_budget_is_not_spent_again_by_retained_turns_before_the_retention_ends() {
    assert_budgets_stay_spent(true);
}

/// Its turns are not kept, so that its callers may go on after any time.
#[test]
fn a_spent_budget_is_not_spent_again_after_the_retention() {
    let deployment = RetainingDeployment::start();
    let account = Some(("idle", TURN_TOKENS));
    let first = Turn { id: "first", account, ..Turn::default() };
    let _ = complete(deployment.gateway(), &first, TURN_LIMIT).expect("the first turn is served");
    thread::sleep(3 * deployment.retention);
    let status = deployment.send(&Turn { id: "second", account, ..Turn::default() }).status;
    assert_eq!(status, BUDGET_SPENT);
}

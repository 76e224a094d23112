//! Tests of the judgement of continued turns that are refused again and again.

use std::time::{Duration, Instant};

use crate::refusals::{MIN_FIRST_TURNS, MIN_REFUSALS, TurnTry, judge_refusals};

/// Time between two tries of a turn.
const INTERVAL: Duration = Duration::from_millis(100);

fn tried(start: Instant, number: usize, turn: &str, is_continued: bool, status: u16) -> TurnTry {
    let from = start + INTERVAL * u32::try_from(number).expect("few tries");
    let id = format!("{turn}-{number}-{status}");
    TurnTry { id, turn: turn.to_owned(), is_continued, status, from, until: from + INTERVAL / 2 }
}

/// Returns the number of violations of a turn whose tries have the given statuses, beside first
/// turns of which `refused` of every ten are refused.
fn violations(statuses: &[u16], first_turns: usize, refused: usize) -> usize {
    let start = Instant::now();
    let continued = statuses.iter().enumerate();
    let mut tries: Vec<TurnTry> =
        continued.map(|(number, status)| tried(start, number, "again", true, *status)).collect();
    for number in 0..first_turns {
        let status = if number % 10 < refused { 503 } else { 200 };
        let position = number % statuses.len();
        tries.push(tried(start, position, &format!("first-{number}"), false, status));
    }
    judge_refusals(&tries, |id| id.ends_with("-200")).violations().len()
}

#[test]
fn turns_that_are_refused_while_first_ones_are_served_are_violations() {
    let refused = [503; MIN_REFUSALS];
    assert_eq!(violations(&refused, MIN_FIRST_TURNS, 0), 1);
    assert_eq!(violations(&refused, MIN_FIRST_TURNS, 1), 1);
    assert_eq!(violations(&[502; MIN_REFUSALS + 3], 2 * MIN_FIRST_TURNS, 0), 1);
}

#[test]
fn turns_may_be_refused_while_first_ones_are_refused_or_not_sent() {
    let refused = [503; MIN_REFUSALS];
    assert_eq!(violations(&refused, MIN_FIRST_TURNS, 2), 0);
    assert_eq!(violations(&refused, MIN_FIRST_TURNS - 1, 0), 0);
}

#[test]
fn turns_that_reach_a_replica_in_between_are_no_violations() {
    assert_eq!(violations(&[503, 503, 503, 503, 200], MIN_FIRST_TURNS, 0), 0);
    assert_eq!(violations(&[503, 503, 503, 200, 503, 503, 503, 503], MIN_FIRST_TURNS, 0), 0);
}

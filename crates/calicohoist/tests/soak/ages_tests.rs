//! Tests of the judgement of turns that are not found.

use std::sync::Arc;
use std::time::{Duration, Instant};

use parking_lot::Mutex;
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::caller::Caller;
use crate::support::ScriptedReplica;
use crate::{Records, Shared};

const RETENTION: Duration = Duration::from_secs(60);

/// Returns the number of violations after a turn of the given age was continued in vain.
fn violations(status: &'static str, age: Option<Duration>) -> usize {
    let gateway =
        ScriptedReplica::start("gateway", move |exchange| exchange.respond(status, "", ""));
    let records: Shared =
        Arc::new(Mutex::new(Records { retention: RETENTION, ..Records::default() }));
    let now = Instant::now();
    let completed = age.and_then(|age| now.checked_sub(age));
    records
        .lock()
        .completed_at
        .extend(completed.map(|completed| ("earlier".to_owned(), completed)));
    let rng = StdRng::seed_from_u64(0);
    let (copy, stop_flag) = (Arc::clone(&records), Arc::default());
    let mut caller = Caller::new(0, vec![gateway.address], rng, copy, stop_flag);
    let previous = completed.map(|_| "earlier");
    let outcome = caller.try_turn(gateway.address, "program", "turn", previous);
    assert!(!outcome.is_whole && outcome.status != 0);
    records.lock().violations.len()
}

#[test]
fn turns_that_are_not_found_before_their_retention_ends_are_violations() {
    assert_eq!(violations("404 Not Found", Some(RETENTION / 2)), 1);
    assert_eq!(violations("410 Gone", Some(RETENTION / 2)), 1);
}

#[test]
fn first_turns_that_are_not_found_are_violations() {
    assert_eq!(violations("404 Not Found", None), 1);
}

#[test]
fn turns_may_be_forgotten_after_their_retention_and_refused_before() {
    assert_eq!(violations("404 Not Found", Some(RETENTION)), 0);
    assert_eq!(violations("503 Service Unavailable", Some(RETENTION / 2)), 0);
}

//! Judges requests from the sides of their callers and of the replicas.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::caller::Attempt;

/// Time after its last byte in which a request may cross the close of its connection.
const CROSSING_SLACK: Duration = Duration::from_millis(200);
/// Statuses that promise that a request has not run and never will.
const NOT_RUN_STATUSES: [u16; 4] = [408, 421, 429, 503];
/// Smallest number of requests that a run serves.
const MIN_SERVED: usize = 100;

/// What may occur in a run beside whole responses and refusals of requests that did not run.
#[derive(Clone, Copy, Debug, Default)]
pub struct Accepted<'a> {
    /// Further statuses.
    pub statuses: &'a [u16],
    /// Shortest timeout of a route, at which a stream that has begun is cut.
    pub stream_timeout: Option<Duration>,
}

/// Asserts that each request was answered, that none was refused and run, and that none ran twice.
pub fn assert_kept(
    name: &str,
    attempts: &[Attempt],
    runs: &BTreeMap<String, usize>,
    accepted: Accepted<'_>,
) {
    let mut statuses: BTreeMap<u16, usize> = BTreeMap::new();
    attempts.iter().for_each(|attempt| *statuses.entry(attempt.status).or_default() += 1);
    let problems: Vec<String> =
        attempts.iter().filter_map(|attempt| find_problem(attempt, runs, accepted)).collect();
    println!("{name}: {} requests by status {statuses:?}", attempts.len());
    assert!(problems.is_empty(), "{name}: {problems:#?}");
    let served = attempts.iter().filter(|attempt| attempt.is_served()).count();
    assert!(served >= MIN_SERVED, "{name}: {served} requests were served");
}

fn find_problem(
    attempt: &Attempt,
    runs: &BTreeMap<String, usize>,
    accepted: Accepted<'_>,
) -> Option<String> {
    let runs = runs.get(&attempt.id).copied().unwrap_or(0);
    let after = attempt.ended_at - attempt.sent_at;
    let problem = |what: &str| {
        let Attempt { id, status, previous, .. } = attempt;
        Some(format!("{id}, behind {previous:?}: {what}, {status} after {after:?}, {runs} runs"))
    };
    if runs > 1 {
        return problem("run twice");
    }
    if !attempt.is_answered() {
        let has_crossed = runs == 0 && (after <= CROSSING_SLACK || attempt.is_behind_close);
        let is_begun = attempt.status == 200;
        let is_timed_out = is_begun && accepted.stream_timeout.is_some_and(|end| after >= end);
        return if has_crossed || is_timed_out { None } else { problem("no answer") };
    }
    if NOT_RUN_STATUSES.contains(&attempt.status) {
        return if runs == 0 { None } else { problem("refused and run") };
    }
    let is_accepted = attempt.status == 200 || accepted.statuses.contains(&attempt.status);
    if is_accepted { None } else { problem("unexpected answer") }
}

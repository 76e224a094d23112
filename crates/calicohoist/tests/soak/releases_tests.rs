//! Tests of the judgement of streams that are taken up beside releases.

use std::time::{Duration, Instant};

use crate::releases::{
    LATE, LIST_DELAY, Listing, Listings, MIN_JUDGED_STREAMS, ReleaseRecords, Stream, TakenUp,
    judge_releases,
};

const VERSION: &str = "r1";

fn taken_up(from: Instant, wait: Duration, events: &[&str]) -> TakenUp {
    let events: Vec<String> = events.iter().map(|event| (*event).to_owned()).collect();
    let goes_on = events.len() > 1;
    let stream = Stream { first: "first".to_owned(), events, wait, due: from };
    TakenUp { stream, from, until: from, goes_on, reply: (409, String::new()) }
}

/// Returns the violations of streams that are taken up while their version serves, or after it
/// left.
fn violations(count: usize, wait: Duration, events: &[&str], is_served: bool) -> Vec<String> {
    let start = Instant::now();
    let from = start + LIST_DELAY;
    let until = (!is_served).then_some(start);
    let listings = Listings::from([(VERSION.to_owned(), Listing { from: start, until })]);
    let taken_up = vec![taken_up(from, wait, events); count];
    let records = ReleaseRecords { requested: 20, begun: 15, taken_up };
    judge_releases(&records, &listings).violations()
}

#[test]
fn streams_that_do_not_go_on_while_their_version_serves_are_violations() {
    for wait in [Duration::ZERO, LATE] {
        assert_eq!(violations(MIN_JUDGED_STREAMS, wait, &["r1 1"], true).len(), 1);
        assert!(violations(MIN_JUDGED_STREAMS, wait, &["r1 1", "r1 2"], true).is_empty());
    }
}

#[test]
fn few_streams_and_those_of_versions_that_left_may_end() {
    assert!(violations(MIN_JUDGED_STREAMS - 1, LATE, &["r1 1"], true).is_empty());
    assert!(violations(MIN_JUDGED_STREAMS, LATE, &["r1 1"], false).is_empty());
}

#[test]
fn streams_with_events_of_two_versions_or_out_of_order_are_violations() {
    for events in [["r1 1", "r2 2"], ["r1 1", "r1 3"], ["r1 1", "r1 1"]] {
        assert_eq!(violations(1, LATE, &events, false).len(), 1);
        assert_eq!(violations(1, Duration::ZERO, &events, true).len(), 1);
    }
}

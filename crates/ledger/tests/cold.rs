//! The leader tells every gateway which replicas became cold, once for each change.

use std::sync::Arc;
use std::time::{Duration, Instant};

use calicohoist_ledger::protocol::{ChangeMark, ListMark, Seen};
use calicohoist_ledger::server::list::DiscoverySnapshot;
use calicohoist_routing::{ColdReplicas, Replica, ReplicaState};

#[test]
fn a_replica_that_became_cold_is_news_until_it_was_seen() {
    let now = Instant::now();
    let mut cold = ColdReplicas::none();
    cold.mark_cold("i-1", now + Duration::from_millis(3_000));
    cold.mark_cold("i-2", now);
    let mark = ChangeMark { term: 4, change: 1 };
    let reading =
        DiscoverySnapshot { cold: Arc::new(cold), cold_mark: mark, ..DiscoverySnapshot::default() };
    let news = reading.cold_update(ChangeMark::default(), now);
    assert_eq!(news, Some((mark, vec![("i-1".to_owned(), 3_000)])));
    let later = now + Duration::from_millis(1_000);
    assert_eq!(reading.cold_update(mark, later), None, "only the time left has changed");
    let again = reading.cold_update(ChangeMark { term: 3, change: 9 }, later);
    assert_eq!(again, Some((mark, vec![("i-1".to_owned(), 2_000)])));
}

#[test]
fn a_gateway_is_told_who_is_cold_before_the_list() {
    let replica = Replica {
        id: "i-1".to_owned(),
        service: "models".to_owned(),
        address: "127.0.0.1:1".parse().expect("an address"),
        zone: "hall".to_owned(),
        slots: 4,
        state: ReplicaState::Ready,
    };
    let (term, mark) = (4, ListMark::of(&[replica]));
    let cold_mark = ChangeMark { term, change: 1 };
    let reading = DiscoverySnapshot { term, mark, cold_mark, ..DiscoverySnapshot::default() };
    let fresh = Seen::default();
    assert!(
        !reading.should_send_list(term, &fresh),
        "a gateway that has just started knows no cold one"
    );
    assert!(reading.should_send_list(term, &Seen { cold: cold_mark, ..fresh.clone() }));
    assert!(
        !reading.should_send_list(term, &Seen { cold: cold_mark, list: mark, ..fresh.clone() })
    );
    let without = DiscoverySnapshot { cold_mark: ChangeMark { term: 3, change: 2 }, ..reading };
    assert!(without.should_send_list(term, &fresh), "none is cold in this term");
}

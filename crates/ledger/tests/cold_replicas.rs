//! Distribution of cold replicas from the leader to gateways.

use std::sync::Arc;
use std::time::{Duration, Instant};

use calicohoist_ledger::protocol::{ListDigest, TermVersion, WatchRequest};
use calicohoist_ledger::server::list::DiscoverySnapshot;
use calicohoist_routing::{ColdReplicas, Replica, ReplicaState};

#[test]
fn a_change_of_cold_replicas_is_sent_until_the_gateway_has_it() {
    let now = Instant::now();
    let mut cold = ColdReplicas::none();
    cold.mark_cold("i-1", now + Duration::from_millis(3_000));
    cold.mark_cold("i-2", now);
    let mark = TermVersion { term: 4, change: 1 };
    let reading =
        DiscoverySnapshot { cold: Arc::new(cold), cold_mark: mark, ..DiscoverySnapshot::default() };
    let update = reading.cold_update(TermVersion::default(), now);
    assert_eq!(update, Some((mark, vec![("i-1".to_owned(), 3_000)])));
    let later = now + Duration::from_millis(1_000);
    assert_eq!(reading.cold_update(mark, later), None, "only the remaining time has changed");
    let after_new_term = reading.cold_update(TermVersion { term: 3, change: 9 }, later);
    assert_eq!(after_new_term, Some((mark, vec![("i-1".to_owned(), 2_000)])));
}

#[test]
fn cold_replicas_are_sent_before_the_replica_list() {
    let replica = Replica {
        id: "i-1".to_owned(),
        service: "models".to_owned(),
        address: "127.0.0.1:1".parse().expect("valid address"),
        zone: "hall".to_owned(),
        slots: 4,
        state: ReplicaState::Ready,
        version: None,
    };
    let (term, mark) = (4, ListDigest::of(&[replica]));
    let cold_mark = TermVersion { term, change: 1 };
    let reading = DiscoverySnapshot { term, mark, cold_mark, ..DiscoverySnapshot::default() };
    let initial = WatchRequest::default();
    assert!(!reading.should_send_list(term, &initial), "the gateway has no cold replicas yet");
    assert!(reading.should_send_list(term, &WatchRequest { cold: cold_mark, ..initial.clone() }));
    assert!(
        !reading.should_send_list(
            term,
            &WatchRequest { cold: cold_mark, list: mark, ..initial.clone() }
        )
    );
    let without_cold =
        DiscoverySnapshot { cold_mark: TermVersion { term: 3, change: 2 }, ..reading };
    assert!(without_cold.should_send_list(term, &initial), "no replica became cold in this term");
}

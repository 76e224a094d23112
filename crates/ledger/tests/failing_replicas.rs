//! Distribution of failing replicas from the leader to gateways.

use calicohoist_ledger::protocol::TermVersion;
use calicohoist_ledger::server::failures::FailureTracker;
use calicohoist_routing::{Replica, ReplicaState};

fn replicas() -> Vec<Replica> {
    let replica = |number: usize| Replica {
        id: format!("i-{number}"),
        service: "models".to_owned(),
        address: "127.0.0.1:1".parse().expect("valid address"),
        zone: "hall".to_owned(),
        slots: 8,
        state: ReplicaState::Ready,
        version: None,
    };
    (0..6).map(replica).collect()
}

#[test]
fn a_change_is_sent_until_the_gateway_has_it() {
    let desk = FailureTracker::default();
    let initial = TermVersion::default();
    assert_eq!(desk.changes_since(initial), None);
    assert!(desk.record_failure(1, "i-1", &replicas()).is_none());
    assert!(desk.record_failure(1, "i-1", &replicas()).is_none());
    assert_eq!(desk.changes_since(initial), None);
    assert!(desk.record_failure(1, "i-1", &replicas()).is_some());
    let (mark, failing) = desk.changes_since(initial).expect("update");
    assert_eq!(mark, TermVersion { term: 1, change: 1 });
    assert_eq!(failing.len(), 1);
    assert_eq!(failing[0].0, "i-1");
    assert!(failing[0].1 > 0);
    assert_eq!(desk.changes_since(mark), None);
}

#[test]
fn failures_of_earlier_terms_are_not_counted() {
    let desk = FailureTracker::default();
    for _ in 0..2 {
        assert!(desk.record_failure(1, "i-1", &replicas()).is_none());
    }
    assert!(
        desk.record_failure(2, "i-1", &replicas()).is_none(),
        "failures of term 1 were counted"
    );
    for _ in 0..2 {
        desk.record_failure(2, "i-1", &replicas());
    }
    let mark = *desk.subscribe().borrow();
    assert_eq!(mark, TermVersion { term: 2, change: 1 });
}

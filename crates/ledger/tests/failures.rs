//! The leader tells every gateway which replicas are left alone, once for each change.

use calicohoist_ledger::protocol::ChangeMark;
use calicohoist_ledger::server::failures::FailureTracker;
use calicohoist_routing::{Replica, ReplicaState};

fn replicas() -> Vec<Replica> {
    let replica = |number: usize| Replica {
        id: format!("i-{number}"),
        service: "models".to_owned(),
        address: "127.0.0.1:1".parse().expect("an address"),
        zone: "hall".to_owned(),
        slots: 8,
        state: ReplicaState::Ready,
    };
    (0..6).map(replica).collect()
}

#[test]
fn a_change_is_news_until_it_was_seen() {
    let desk = FailureTracker::default();
    let nothing = ChangeMark::default();
    assert_eq!(desk.changes_since(nothing), None);
    assert!(desk.record_failure(1, "i-1", &replicas()).is_none());
    assert!(desk.record_failure(1, "i-1", &replicas()).is_none());
    assert_eq!(desk.changes_since(nothing), None);
    assert!(desk.record_failure(1, "i-1", &replicas()).is_some());
    let (mark, failing) = desk.changes_since(nothing).expect("news");
    assert_eq!(mark, ChangeMark { term: 1, change: 1 });
    assert_eq!(failing.len(), 1);
    assert_eq!(failing[0].0, "i-1");
    assert!(failing[0].1 > 0);
    assert_eq!(desk.changes_since(mark), None);
}

#[test]
fn a_later_term_begins_anew() {
    let desk = FailureTracker::default();
    for _ in 0..2 {
        assert!(desk.record_failure(1, "i-1", &replicas()).is_none());
    }
    assert!(desk.record_failure(2, "i-1", &replicas()).is_none(), "counted for another leader");
    for _ in 0..2 {
        desk.record_failure(2, "i-1", &replicas());
    }
    let mark = *desk.subscribe().borrow();
    assert_eq!(mark, ChangeMark { term: 2, change: 1 });
}

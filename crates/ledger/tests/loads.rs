//! Replica loads reported by gateways, and digests of replica lists.

use std::sync::Arc;
use std::time::{Duration, Instant};

use calicohoist_ledger::protocol::ListDigest;
use calicohoist_ledger::server::list::DiscoverySnapshot;
use calicohoist_ledger::server::loads::LoadAggregator;
use calicohoist_routing::{Replica, ReplicaList, ReplicaState};

fn replica(id: &str) -> Replica {
    Replica {
        id: id.to_owned(),
        service: "models".to_owned(),
        address: "127.0.0.1:80".parse().expect("valid address"),
        zone: "hall".to_owned(),
        slots: 4,
        state: ReplicaState::Ready,
        version: None,
    }
}

fn reading(ids: &[&str]) -> DiscoverySnapshot {
    let replicas: Vec<Replica> = ids.iter().map(|id| replica(id)).collect();
    let mark = ListDigest::of(&replicas);
    let list = Arc::new(ReplicaList { version: 1, replicas });
    DiscoverySnapshot { mark, list, term: 1, ..DiscoverySnapshot::default() }
}

fn loads(of: &[(&str, u32)]) -> Vec<(String, u32)> {
    of.iter().map(|(id, load)| ((*id).to_owned(), *load)).collect()
}

#[test]
fn a_gateway_receives_the_loads_of_all_others() {
    let now = Instant::now();
    let mut board = LoadAggregator::default();
    board.record_report("front-1", &loads(&[("a", 2), ("b", 1)]), now);
    board.record_report("front-2", &loads(&[("b", 3), ("gone", 9)]), now);
    let list = reading(&["a", "b", "c"]);
    assert_eq!(board.load_from_others("front-1", &list, now), [0, 3, 0]);
    assert_eq!(board.load_from_others("front-2", &list, now), [2, 1, 0]);
    assert_eq!(board.load_from_others("front-3", &list, now), [2, 4, 0]);
}

#[test]
fn loads_follow_the_order_of_the_newest_list() {
    let now = Instant::now();
    let mut board = LoadAggregator::default();
    board.record_report("front-1", &loads(&[("a", 2), ("b", 1)]), now);
    assert_eq!(board.load_from_others("front-2", &reading(&["a", "b"]), now), [2, 1]);
    assert_eq!(board.load_from_others("front-2", &reading(&["b", "c", "a"]), now), [1, 0, 2]);
}

#[test]
fn expired_reports_are_ignored() {
    let now = Instant::now();
    let later = now + Duration::from_secs(10);
    let mut board = LoadAggregator::default();
    board.record_report("front-1", &loads(&[("a", 2)]), now);
    assert_eq!(board.load_from_others("front-2", &reading(&["a"]), later), [0]);
}

#[test]
fn equal_lists_have_equal_digests() {
    let digest = |ids: &[&str]| reading(ids).mark;
    assert_eq!(digest(&["a", "b"]), digest(&["a", "b"]));
    assert_ne!(digest(&["a", "b"]), digest(&["b", "a"]));
    assert_ne!(digest(&["a"]), digest(&["a", "b"]));
    assert_ne!(digest(&[]), ListDigest::default(), "an empty list differs from no list");
    let mut draining = replica("a");
    draining.state = ReplicaState::Draining;
    assert_ne!(ListDigest::of(&[draining]), digest(&["a"]));
}

/// A count that is too low lets each gateway read the list more often than all of them may.
#[test]
fn a_new_leader_does_not_know_the_number_of_gateways_at_once() {
    let start = Instant::now();
    let mut board = LoadAggregator::default();
    assert_eq!(board.gateways(1, start), None);
    let later = start + Duration::from_secs(2);
    board.record_report("front-1", &[], later);
    board.record_report("front-2", &[], later);
    assert_eq!(board.gateways(1, later), Some(2));
    assert_eq!(board.gateways(2, later), None);
}

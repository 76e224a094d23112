//! Starts of replicas under one identity.

use std::net::{Ipv4Addr, SocketAddr};

use calicohoist_routing::{
    Incarnation, ListedStart, NewestStarts, Replica, ReplicaState, StartTime,
};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

fn config() -> ProptestConfig {
    ProptestConfig {
        cases: 1_000,
        rng_seed: RngSeed::Fixed(47),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

fn replica(identity: &str, start: Option<u64>, port: u16) -> Replica {
    let start = start.map(StartTime::from_unix_ms);
    Replica {
        id: Incarnation { identity: identity.to_owned(), start }.to_string(),
        service: "models".to_owned(),
        address: SocketAddr::from((Ipv4Addr::LOCALHOST, port)),
        zone: "hall".to_owned(),
        slots: 4,
        state: ReplicaState::Ready,
    }
}

fn used(starts: &mut NewestStarts, list: &[Replica]) -> Vec<Replica> {
    let review = starts.take(list.iter());
    let entries = list.iter().zip(review.entries);
    let newest = entries.filter(|(_, start)| *start == ListedStart::Newest);
    newest.map(|(replica, _)| replica.clone()).collect()
}

proptest! {
    #![proptest_config(config())]

    /// An identity may be any text, with the separator of a start in it, too.
    #[test]
    fn a_start_is_read_as_it_was_shown(
        identity in "[a-z0-9@-]{1,12}", start in proptest::option::of(any::<u64>()),
    ) {
        let start = start.map(StartTime::from_unix_ms);
        let incarnation = Incarnation { identity, start };
        let id = incarnation.to_string();
        prop_assert_eq!(&Incarnation::from(id.as_str()), &incarnation);
        prop_assert_eq!(Incarnation::identity_of(&id), incarnation.identity.as_str());
    }

    /// Lists of several readers, each of them late by its own measure, in any order.
    #[test]
    fn once_a_start_is_known_no_earlier_one_is_used(
        lists in proptest::collection::vec(
            proptest::collection::vec((0_u8..3, proptest::option::of(0_u64..5)), 0..6), 1..20,
        ),
    ) {
        let mut starts = NewestStarts::default();
        let mut newest = [None; 3];
        for list in lists {
            let list: Vec<Replica> = list
                .iter()
                .map(|(identity, start)| replica(&format!("i-{identity}"), *start, 1))
                .collect();
            for listed in &list {
                let Incarnation { identity, start } = Incarnation::from(listed.id.as_str());
                let place: usize = identity[2..].parse().expect("a number");
                newest[place] = newest[place].max(start);
            }
            for used in used(&mut starts, &list) {
                let Incarnation { identity, start } = Incarnation::from(used.id.as_str());
                let place: usize = identity[2..].parse().expect("a number");
                prop_assert_eq!(start, newest[place]);
            }
        }
    }
}

#[test]
fn of_two_entries_the_later_start_is_used() {
    let mut starts = NewestStarts::default();
    let list = [replica("i-1", Some(7), 1), replica("i-1", Some(9), 2), replica("i-1", None, 3)];
    assert_eq!(used(&mut starts, &list), [list[1].clone()]);
}

/// It is not known which of them is the replica, and requests must not go to another one.
#[test]
fn of_two_entries_that_differ_about_one_start_none_is_used() {
    let mut starts = NewestStarts::default();
    let other = replica("i-2", None, 3);
    let list = [replica("i-1", Some(7), 1), other.clone(), replica("i-1", Some(7), 2)];
    assert_eq!(used(&mut starts, &list), [other]);
    let same = [replica("i-1", Some(7), 1), replica("i-1", Some(7), 1)];
    assert_eq!(used(&mut starts, &same), [same[0].clone()], "equal entries are one");
}

#[test]
fn a_start_under_a_known_identity_is_counted_once() {
    let mut starts = NewestStarts::default();
    assert_eq!(starts.take([replica("i-1", Some(7), 1)].iter()).restarted, 0);
    assert_eq!(starts.take([replica("i-1", Some(9), 1)].iter()).restarted, 1);
    assert_eq!(starts.take([replica("i-1", Some(9), 1)].iter()).restarted, 0);
    assert_eq!(starts.take([replica("i-1", Some(7), 1)].iter()).restarted, 0);
}

/// A start that was wrong about its time does not keep its successors out for good.
#[test]
fn a_start_that_is_listed_no_more_is_forgotten() {
    let mut starts = NewestStarts::default();
    used(&mut starts, &[replica("i-1", Some(9), 1)]);
    let earlier = [replica("i-1", Some(7), 1)];
    let used_at = (0..1_000).position(|_| !used(&mut starts, &earlier).is_empty());
    assert!(used_at.is_some_and(|readings| readings > 50), "{used_at:?}");
}

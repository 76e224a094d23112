//! Tracking of replica incarnations over successive lists.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::{Duration, Instant};

use calicohoist_routing::{
    EntryStatus, Incarnation, IncarnationTracker, Replica, ReplicaState, StartTime,
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
        version: None,
    }
}

fn usable_entries(tracker: &mut IncarnationTracker, list: &[Replica]) -> Vec<Replica> {
    let update = tracker.update(list.iter());
    let entries = list.iter().zip(update.entries);
    let newest = entries.filter(|(_, start)| *start == EntryStatus::Newest);
    newest.map(|(replica, _)| replica.clone()).collect()
}

proptest! {
    #![proptest_config(config())]

    /// An identity may contain the separator.
    #[test]
    fn an_incarnation_is_parsed_as_it_was_formatted(
        identity in "[a-z0-9@-]{1,12}", start in proptest::option::of(any::<u64>()),
    ) {
        let start = start.map(StartTime::from_unix_ms);
        let incarnation = Incarnation { identity, start };
        let id = incarnation.to_string();
        prop_assert_eq!(&Incarnation::from(id.as_str()), &incarnation);
        prop_assert_eq!(Incarnation::identity_of(&id), incarnation.identity.as_str());
    }

    /// Lists may arrive in any order, since readers have different delays.
    #[test]
    fn an_earlier_start_never_replaces_a_later_one(
        lists in proptest::collection::vec(
            proptest::collection::vec((0_u8..3, proptest::option::of(0_u64..5)), 0..6), 1..20,
        ),
    ) {
        let mut tracker = IncarnationTracker::default();
        let mut newest = [None; 3];
        for list in lists {
            let list: Vec<Replica> = list
                .iter()
                .map(|(identity, start)| replica(&format!("i-{identity}"), *start, 1))
                .collect();
            for listed in &list {
                let Incarnation { identity, start } = Incarnation::from(listed.id.as_str());
                let index: usize = identity[2..].parse().expect("a number");
                newest[index] = newest[index].max(start);
            }
            for used in usable_entries(&mut tracker, &list) {
                let Incarnation { identity, start } = Incarnation::from(used.id.as_str());
                let index: usize = identity[2..].parse().expect("a number");
                prop_assert_eq!(start, newest[index]);
            }
        }
    }
}

#[test]
fn the_entry_with_the_latest_start_is_used() {
    let mut tracker = IncarnationTracker::default();
    let list = [replica("i-1", Some(7), 1), replica("i-1", Some(9), 2), replica("i-1", None, 3)];
    assert_eq!(usable_entries(&mut tracker, &list), [list[1].clone()]);
}

/// It is unknown which entry is correct, and requests must not be sent to a wrong address.
#[test]
fn conflicting_entries_of_one_start_are_not_used() {
    let mut tracker = IncarnationTracker::default();
    let unrelated = replica("i-2", None, 3);
    let list = [replica("i-1", Some(7), 1), unrelated.clone(), replica("i-1", Some(7), 2)];
    assert_eq!(usable_entries(&mut tracker, &list), [unrelated]);
    let duplicates = [replica("i-1", Some(7), 1), replica("i-1", Some(7), 1)];
    assert_eq!(
        usable_entries(&mut tracker, &duplicates),
        [duplicates[0].clone()],
        "equal entries are used once"
    );
}

#[test]
fn a_restart_is_counted_once() {
    let mut tracker = IncarnationTracker::default();
    assert_eq!(tracker.update([replica("i-1", Some(7), 1)].iter()).restarted, 0);
    assert_eq!(tracker.update([replica("i-1", Some(9), 1)].iter()).restarted, 1);
    assert_eq!(tracker.update([replica("i-1", Some(9), 1)].iter()).restarted, 0);
    assert_eq!(tracker.update([replica("i-1", Some(7), 1)].iter()).restarted, 0);
}

/// Interval of a leader's readings.
const READING_INTERVAL: Duration = Duration::from_millis(700);

fn replace(tracker: &mut IncarnationTracker, list: &[Replica], now: Instant) -> Vec<Replica> {
    let update = tracker.replace(list.iter(), now);
    let used = list.iter().zip(update.entries);
    let used = used.filter(|(_, status)| *status == EntryStatus::Newest);
    used.map(|(replica, _)| replica.clone()).collect()
}

/// A wrong start time must not exclude later incarnations forever.
#[test]
fn an_unlisted_start_is_forgotten() {
    let mut tracker = IncarnationTracker::default();
    usable_entries(&mut tracker, &[replica("i-1", Some(9), 1)]);
    let earlier = [replica("i-1", Some(7), 1)];
    let readings_until_used =
        (0..1_000).position(|_| !usable_entries(&mut tracker, &earlier).is_empty());
    assert!(readings_until_used.is_some_and(|readings| readings > 50), "{readings_until_used:?}");
}

/// A leader reads the list all the time, and passes it on when what it makes of it has changed.
#[test]
fn an_unlisted_start_is_forgotten_by_a_gateway_that_gets_few_lists() {
    let (mut leader, mut gateway) = (IncarnationTracker::default(), IncarnationTracker::default());
    let (later, earlier) = ([replica("i-1", Some(9), 1)], [replica("i-1", Some(7), 1)]);
    let mut passed_on = usable_entries(&mut leader, &later);
    let mut now = Instant::now();
    let mut used = replace(&mut gateway, &passed_on, now);
    assert_eq!(used, later);
    // The later one is listed for a while, without a change.
    now += Duration::from_secs(600);
    let restarted_at = now;
    while used != earlier {
        now += READING_INTERVAL;
        assert!(now - restarted_at < Duration::from_secs(300), "the restarted replica is not used");
        let listed = usable_entries(&mut leader, &earlier);
        if listed != passed_on {
            passed_on = listed;
            used = replace(&mut gateway, &passed_on, now);
        }
    }
}

/// Lists of different leaders may arrive out of order.
#[test]
fn a_late_list_brings_back_no_earlier_start_at_a_gateway() {
    let mut gateway = IncarnationTracker::default();
    let (later, earlier) = ([replica("i-1", Some(9), 1)], [replica("i-1", Some(7), 1)]);
    let mut now = Instant::now();
    replace(&mut gateway, &later, now);
    now += Duration::from_secs(600);
    replace(&mut gateway, &[], now);
    for _ in 0..20 {
        now += Duration::from_secs(1);
        assert!(replace(&mut gateway, &earlier, now).is_empty());
    }
}

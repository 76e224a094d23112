//! What readings of the list tell of cold replicas.

use std::time::{Duration, Instant};

use calicohoist_routing::{
    COLD_PLACEMENT_LIFE, ColdWatch, DrainedZones, LIST_SETTLES, PlacedReplica, ReturnedZones,
};
use calicohoist_types::Zone;

const READING: Duration = Duration::from_millis(700);
const WARM: Option<Duration> = Some(Duration::ZERO);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Takes in a reading; returns the replicas that it shows to have become cold.
fn take(watch: &mut ColdWatch, listed: &[(&str, Option<Duration>)], at: Instant) -> Vec<String> {
    watch.take(listed.iter().copied(), at).became_cold
}

#[test]
fn a_list_that_lags_warms_no_replica_early() {
    let mut watch = ColdWatch::default();
    let now = Instant::now();
    assert_eq!(take(&mut watch, &[("a", Some(ms(3_000)))], now), ["a"]);
    take(&mut watch, &[("a", WARM)], now + READING);
    take(&mut watch, &[("a", Some(ms(100)))], now + READING * 2);
    assert!(watch.cold().is_cold("a", now + ms(2_999)));
    assert!(!watch.cold().is_cold("a", now + ms(3_800)), "no longer than the list may lag");
}

#[test]
fn the_same_cold_time_told_again_is_no_news() {
    let mut watch = ColdWatch::default();
    let now = Instant::now();
    assert_eq!(take(&mut watch, &[("a", Some(ms(3_000)))], now).len(), 1);
    // The list trails by another time: 2.3 s would be left.
    for (readings, left) in [(1, 3_000), (2, 1_700), (3, 1_500)] {
        assert!(take(&mut watch, &[("a", Some(ms(left)))], now + READING * readings).is_empty());
    }
}

#[test]
fn a_replica_that_is_cold_again_is_news() {
    let mut watch = ColdWatch::default();
    let now = Instant::now();
    take(&mut watch, &[("a", Some(ms(1_000)))], now);
    assert_eq!(take(&mut watch, &[("a", Some(ms(3_000)))], now + READING), ["a"]);
    assert!(watch.cold().is_cold("a", now + READING + ms(2_999)));
    take(&mut watch, &[("a", WARM)], now + ms(10_000));
    assert_eq!(take(&mut watch, &[("a", Some(ms(3_000)))], now + ms(10_700)), ["a"]);
}

#[test]
fn a_new_replica_of_which_the_list_tells_nothing_is_cold_for_a_while() {
    let mut watch = ColdWatch::default();
    let now = Instant::now();
    assert!(take(&mut watch, &[("old", None)], now).is_empty(), "the first reading is believed");
    let both = [("old", None), ("new", None)];
    assert_eq!(take(&mut watch, &both, now + READING), ["new"]);
    assert!(take(&mut watch, &both, now + READING * 2).is_empty());
    assert!(watch.cold().is_cold("new", now + READING + ms(3_000)));
    assert!(!watch.cold().is_cold("old", now + READING));
}

#[test]
fn a_new_replica_that_the_list_calls_warm_is_warm() {
    let mut watch = ColdWatch::default();
    let now = Instant::now();
    take(&mut watch, &[("old", WARM)], now);
    assert!(take(&mut watch, &[("old", WARM), ("new", WARM)], now + READING).is_empty());
}

#[test]
fn a_time_that_is_too_long_to_be_one_ends_and_is_forgotten() {
    let mut watch = ColdWatch::default();
    let now = Instant::now();
    take(&mut watch, &[("a", Some(Duration::MAX))], now);
    assert!(watch.cold().is_cold("a", now + ms(59_000)));
    let later = now + ms(62_000);
    let change = watch.take([].into_iter(), later);
    assert_eq!(change.became_warm, ["a"]);
    assert_eq!(watch.cold().left(now).count(), 0, "it is forgotten");
}

#[test]
fn replicas_of_a_zone_that_is_given_back_may_be_cold_until_the_list_can_tell() {
    let mut returned = ReturnedZones::default();
    let now = Instant::now();
    let drained = DrainedZones { version: 1, zones: [Zone::new("a")].into() };
    returned.note(&drained, now);
    assert!(!returned.contains("a", now));
    returned.note(&DrainedZones { version: 2, zones: [].into() }, now);
    assert!(returned.contains("a", now + LIST_SETTLES - ms(1)));
    assert!(!returned.contains("b", now));
    assert!(!returned.contains("a", now + LIST_SETTLES));
}

#[test]
fn a_zone_that_was_given_back_long_ago_costs_no_more_look_ups() {
    let mut returned = ReturnedZones::default();
    let now = Instant::now();
    returned.note(&DrainedZones { version: 1, zones: [Zone::new("a")].into() }, now);
    let none = DrainedZones { version: 2, zones: [].into() };
    returned.note(&none, now);
    assert_ne!(returned, ReturnedZones::default());
    returned.note(&none, now + LIST_SETTLES);
    assert_eq!(returned, ReturnedZones::default());
}

#[test]
fn a_placement_at_a_cold_replica_lapses_and_counts_the_wait_at_the_leader() {
    let asked = Instant::now();
    let placed = PlacedReplica::cold("a".to_owned(), asked, ms(700));
    let placed_at = asked + ms(700);
    assert!(placed.holds(true, placed_at + COLD_PLACEMENT_LIFE - ms(1)));
    assert!(!placed.holds(true, placed_at + COLD_PLACEMENT_LIFE));
    assert!(!placed.holds(false, placed_at + COLD_PLACEMENT_LIFE), "it was counted as cold");
}

#[test]
fn a_placement_at_a_replica_that_has_turned_cold_does_not_hold() {
    let placed = PlacedReplica::warm("a".to_owned());
    let now = Instant::now();
    assert!(placed.holds(false, now + ms(10_000)));
    assert!(!placed.holds(true, now));
}

//! Tracking of cold replicas over successive readings of the replica list.

use std::time::{Duration, Instant};

use calicohoist_routing::{
    COLD_PLACEMENT_LIFETIME, ColdTracker, DrainedZones, LIST_SETTLE_TIME, PlacedReplica,
    UndrainedZones,
};
use calicohoist_types::Zone;

const READING_INTERVAL: Duration = Duration::from_millis(700);
const WARM: Option<Duration> = Some(Duration::ZERO);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Processes a reading, and returns the replicas that became cold.
fn newly_cold(
    tracker: &mut ColdTracker,
    listed: &[(&str, Option<Duration>)],
    at: Instant,
) -> Vec<String> {
    tracker.update(listed.iter().copied(), at).became_cold
}

#[test]
fn a_delayed_list_does_not_end_the_cold_time_early() {
    let mut tracker = ColdTracker::default();
    let now = Instant::now();
    assert_eq!(newly_cold(&mut tracker, &[("a", Some(ms(3_000)))], now), ["a"]);
    newly_cold(&mut tracker, &[("a", WARM)], now + READING_INTERVAL);
    newly_cold(&mut tracker, &[("a", Some(ms(100)))], now + READING_INTERVAL * 2);
    assert!(tracker.cold().is_cold("a", now + ms(2_999)));
    assert!(!tracker.cold().is_cold("a", now + ms(3_800)), "extended by the list delay at most");
}

#[test]
fn an_unchanged_cold_time_is_not_reported_again() {
    let mut tracker = ColdTracker::default();
    let now = Instant::now();
    assert_eq!(newly_cold(&mut tracker, &[("a", Some(ms(3_000)))], now).len(), 1);
    // The delay of the list varies; without it, 2.3 s would remain.
    for (readings, left) in [(1, 3_000), (2, 1_700), (3, 1_500)] {
        assert!(
            newly_cold(&mut tracker, &[("a", Some(ms(left)))], now + READING_INTERVAL * readings)
                .is_empty()
        );
    }
}

#[test]
fn a_replica_that_is_cold_again_is_reported() {
    let mut tracker = ColdTracker::default();
    let now = Instant::now();
    newly_cold(&mut tracker, &[("a", Some(ms(1_000)))], now);
    assert_eq!(newly_cold(&mut tracker, &[("a", Some(ms(3_000)))], now + READING_INTERVAL), ["a"]);
    assert!(tracker.cold().is_cold("a", now + READING_INTERVAL + ms(2_999)));
    newly_cold(&mut tracker, &[("a", WARM)], now + ms(10_000));
    assert_eq!(newly_cold(&mut tracker, &[("a", Some(ms(3_000)))], now + ms(10_700)), ["a"]);
}

#[test]
fn a_new_replica_without_a_listed_cold_time_is_cold() {
    let mut tracker = ColdTracker::default();
    let now = Instant::now();
    assert!(
        newly_cold(&mut tracker, &[("old", None)], now).is_empty(),
        "replicas of the first reading are warm"
    );
    let both = [("old", None), ("new", None)];
    assert_eq!(newly_cold(&mut tracker, &both, now + READING_INTERVAL), ["new"]);
    assert!(newly_cold(&mut tracker, &both, now + READING_INTERVAL * 2).is_empty());
    assert!(tracker.cold().is_cold("new", now + READING_INTERVAL + ms(3_000)));
    assert!(!tracker.cold().is_cold("old", now + READING_INTERVAL));
}

#[test]
fn a_new_replica_listed_as_warm_is_warm() {
    let mut tracker = ColdTracker::default();
    let now = Instant::now();
    newly_cold(&mut tracker, &[("old", WARM)], now);
    assert!(
        newly_cold(&mut tracker, &[("old", WARM), ("new", WARM)], now + READING_INTERVAL)
            .is_empty()
    );
}

#[test]
fn the_cold_time_is_bounded() {
    let mut tracker = ColdTracker::default();
    let now = Instant::now();
    newly_cold(&mut tracker, &[("a", Some(Duration::MAX))], now);
    assert!(tracker.cold().is_cold("a", now + ms(59_000)));
    let later = now + ms(62_000);
    let change = tracker.update([].into_iter(), later);
    assert_eq!(change.became_warm, ["a"]);
    assert_eq!(tracker.cold().remaining(now).count(), 0, "the replica is removed");
}

#[test]
fn an_undrained_zone_is_tracked_until_the_list_is_reliable() {
    let mut undrained = UndrainedZones::default();
    let now = Instant::now();
    let drained = DrainedZones { version: 1, zones: [Zone::new("a")].into() };
    undrained.update(&drained, now);
    assert!(!undrained.contains("a", now));
    undrained.update(&DrainedZones { version: 2, zones: [].into() }, now);
    assert!(undrained.contains("a", now + LIST_SETTLE_TIME - ms(1)));
    assert!(!undrained.contains("b", now));
    assert!(!undrained.contains("a", now + LIST_SETTLE_TIME));
}

#[test]
fn an_undrained_zone_is_removed_when_the_list_is_reliable() {
    let mut undrained = UndrainedZones::default();
    let now = Instant::now();
    undrained.update(&DrainedZones { version: 1, zones: [Zone::new("a")].into() }, now);
    let none = DrainedZones { version: 2, zones: [].into() };
    undrained.update(&none, now);
    assert_ne!(undrained, UndrainedZones::default());
    undrained.update(&none, now + LIST_SETTLE_TIME);
    assert_eq!(undrained, UndrainedZones::default());
}

#[test]
fn a_placement_at_a_cold_replica_expires() {
    let sent_at = Instant::now();
    let placed = PlacedReplica::cold("a".to_owned(), sent_at, ms(700));
    let placed_at = sent_at + ms(700);
    assert!(placed.is_valid(true, placed_at + COLD_PLACEMENT_LIFETIME - ms(1)));
    assert!(!placed.is_valid(true, placed_at + COLD_PLACEMENT_LIFETIME));
    assert!(
        !placed.is_valid(false, placed_at + COLD_PLACEMENT_LIFETIME),
        "expires even if the gateway considers the replica warm"
    );
}

#[test]
fn a_placement_at_a_warm_replica_is_invalid_if_it_is_cold() {
    let placed = PlacedReplica::warm("a".to_owned());
    let now = Instant::now();
    assert!(placed.is_valid(false, now + ms(10_000)));
    assert!(!placed.is_valid(true, now));
}

//! Which voter leads: where the way of a turn is shortest, and only for a clear gain.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use calicohoist_ledger::server::preference::{
    GroupView, LeaderPreference, VoterLocation, ZoneLoads,
};
use calicohoist_routing::Topology;
use calicohoist_types::{Region, Zone};

fn topology() -> Topology {
    let zones = ["north-a", "north-b", "south-a", "south-b", "west-a"];
    let region = |zone: &str| zone.split('-').next().unwrap_or_default().to_owned();
    let regions = zones.map(|zone| (Zone::new(zone), Region::new(region(zone))));
    Topology::new(BTreeMap::from(regions))
}

/// A voter on machine 1, 2, ... in each of these zones.
fn voters(zones: &[&str]) -> Vec<VoterLocation> {
    let placed =
        |(machine, zone): (u32, &&str)| VoterLocation { machine, zone: (*zone).to_owned() };
    (1..).zip(zones).map(placed).collect()
}

fn loads(turns: &[(&str, u32)], now: Instant) -> ZoneLoads {
    let mut loads = ZoneLoads::default();
    for (zone, count) in turns {
        (0..*count).for_each(|_| loads.record(zone, now));
    }
    loads
}

/// Machines that machine 1 hands over to within 100 s, half a second at a time; the machine that
/// leads then stays 1, as when the other one does not take over.
fn moves(
    voters: &[VoterLocation],
    loads: &ZoneLoads,
    is_stable: impl Fn(u64) -> bool,
) -> Vec<(u64, u32)> {
    let topology = topology();
    let begin = Instant::now();
    let mut preference = LeaderPreference::default();
    let mut moves = Vec::new();
    for step in 0..200 {
        let view = GroupView {
            topology: &topology,
            leader: 1,
            voters,
            loads,
            is_stable: is_stable(step),
            retiring: &BTreeSet::new(),
        };
        let now = begin + Duration::from_millis(500 * step);
        moves.extend(preference.decide(&view, now).map(|moved| (step, moved.to)));
    }
    moves
}

#[test]
fn a_leader_far_from_a_quorum_hands_over_once_that_is_certain() {
    let voters = voters(&["west-a", "south-a", "north-a", "north-b", "north-a"]);
    let moved = moves(&voters, &ZoneLoads::default(), |_| true);
    assert_eq!(moved.first(), Some(&(10, 3)));
    // No sooner than half a minute later if the first time was of no use.
    assert_eq!(moved.get(1), Some(&(70, 3)));
}

#[test]
fn nothing_moves_in_trouble_and_the_time_counts_from_its_end() {
    let voters = voters(&["west-a", "south-a", "north-a", "north-b", "north-a"]);
    assert_eq!(moves(&voters, &ZoneLoads::default(), |_| false), []);
    // A moment of trouble every four seconds.
    assert_eq!(moves(&voters, &ZoneLoads::default(), |step| step % 8 != 0), []);
    let moved = moves(&voters, &ZoneLoads::default(), |step| step >= 9);
    assert_eq!(moved.first(), Some(&(19, 3)));
}

#[test]
fn the_leader_goes_to_the_load_when_quorums_are_equally_far() {
    let voters = voters(&["north-a", "south-a", "west-a"]);
    let now = Instant::now();
    let from_south = loads(&[("south-b", 90), ("north-a", 10)], now);
    assert_eq!(moves(&voters, &from_south, |_| true).first(), Some(&(10, 2)));
    let even = loads(&[("south-b", 34), ("north-a", 33), ("west-a", 33)], now);
    assert_eq!(moves(&voters, &even, |_| true), []);
}

#[test]
fn within_one_region_nothing_moves_whatever_the_load() {
    let voters = voters(&["north-a", "north-b", "north-b"]);
    let all = loads(&[("north-b", 1_000)], Instant::now());
    assert_eq!(moves(&voters, &all, |_| true), []);
}

#[test]
fn a_group_of_one_stays_where_it_is() {
    let all = loads(&[("south-a", 100)], Instant::now());
    assert_eq!(moves(&voters(&["north-a"]), &all, |_| true), []);
}

#[test]
fn load_of_long_ago_counts_for_nothing() {
    let voters = voters(&["north-a", "south-a", "west-a"]);
    let now = Instant::now();
    let mut shifted = loads(&[("south-b", 100)], now);
    for step in 1..=20 {
        shifted.record("north-a", now + Duration::from_secs(10 * step));
    }
    assert_eq!(moves(&voters, &shifted, |_| true), []);
}

#[test]
fn load_that_ended_long_ago_is_outweighed_by_a_few_turns() {
    let voters = voters(&["north-a", "south-a", "west-a"]);
    let now = Instant::now();
    let mut shifted = loads(&[("south-b", 1_000)], now);
    let later = now + Duration::from_secs(600);
    (0..10).for_each(|_| shifted.record("north-a", later));
    assert_eq!(moves(&voters, &shifted, |_| true), []);
}

#[test]
fn load_that_swings_does_not_drag_the_leadership_along() {
    let voters = voters(&["north-a", "south-a", "west-a"]);
    let topology = topology();
    let begin = Instant::now();
    let swings = [loads(&[("south-b", 100)], begin), loads(&[("north-b", 100)], begin)];
    let mut preferences = BTreeMap::from([1, 2, 3].map(|one| (one, LeaderPreference::default())));
    let mut leader = 1;
    let mut moved_at = Vec::new();
    for step in 0..400_usize {
        // Each side is the better one for 8 s: longer than what counts as lasting.
        let view = GroupView {
            topology: &topology,
            leader,
            voters: &voters,
            loads: &swings[step / 16 % 2],
            is_stable: true,
            retiring: &BTreeSet::new(),
        };
        let now = begin + Duration::from_millis(500 * step as u64);
        for (machine, preference) in &mut preferences {
            if *machine != view.leader {
                preference.follow(true);
            } else if let Some(moved) = preference.decide(&view, now) {
                leader = moved.to;
                moved_at.push(step);
            }
        }
    }
    assert!(moved_at.len() > 1, "{moved_at:?}");
    assert!(moved_at.windows(2).all(|pair| pair[1] - pair[0] >= 60), "{moved_at:?}");
}

#[test]
fn only_a_retiring_machine_that_still_votes_holds_the_leadership_up() {
    let voters = voters(&["west-a", "south-a", "north-a", "north-b", "north-a"]);
    let topology = topology();
    let begin = Instant::now();
    let moves = |retiring: u32| -> Vec<u32> {
        let mut preference = LeaderPreference::default();
        let view = GroupView {
            topology: &topology,
            leader: 1,
            voters: &voters,
            loads: &ZoneLoads::default(),
            is_stable: true,
            retiring: &BTreeSet::from([retiring]),
        };
        let mut moved = Vec::new();
        for step in 0..200 {
            let now = begin + Duration::from_millis(500 * step);
            moved.extend(preference.decide(&view, now).map(|better| better.to));
        }
        moved
    };
    assert!(moves(2).is_empty());
    assert_eq!(moves(9).first(), Some(&3));
}

#[test]
fn a_hand_over_that_cost_an_election_is_not_tried_again_at_once() {
    let voters = voters(&["west-a", "south-a", "north-a", "north-b", "north-a"]);
    let topology = topology();
    let begin = Instant::now();
    let mut preference = LeaderPreference::default();
    let mut moved_at = Vec::new();
    for step in 0..100 {
        let view = GroupView {
            topology: &topology,
            leader: 1,
            voters: &voters,
            loads: &ZoneLoads::default(),
            is_stable: true,
            retiring: &BTreeSet::new(),
        };
        if preference.decide(&view, begin + Duration::from_millis(500 * step)).is_some() {
            moved_at.push(step);
            // The other one reaches too few voters; this one is elected again.
            preference.follow(false);
        }
    }
    assert_eq!(moved_at, [10, 70]);
}

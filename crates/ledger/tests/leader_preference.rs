//! Leadership transfers to the voter with the lowest expected latency.

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

/// Returns voters on machines 1, 2, ... in the given zones.
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

/// Returns the transfers that machine 1 decides on in 200 steps of 500 ms, as (step, target). All
/// transfers fail, so machine 1 stays the leader.
fn transfers(
    voters: &[VoterLocation],
    loads: &ZoneLoads,
    is_stable: impl Fn(u64) -> bool,
) -> Vec<(u64, u32)> {
    let topology = topology();
    let begin = Instant::now();
    let mut preference = LeaderPreference::default();
    let mut transfers = Vec::new();
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
        transfers.extend(preference.decide(&view, now).map(|transfer| (step, transfer.to)));
    }
    transfers
}

#[test]
fn a_leader_far_from_a_quorum_transfers_leadership_after_a_delay() {
    let voters = voters(&["west-a", "south-a", "north-a", "north-b", "north-a"]);
    let decided = transfers(&voters, &ZoneLoads::default(), |_| true);
    assert_eq!(decided.first(), Some(&(10, 3)));
    // After a failed transfer, the next one follows no sooner than 30 s later.
    assert_eq!(decided.get(1), Some(&(70, 3)));
}

#[test]
fn instability_prevents_transfers_and_restarts_the_delay() {
    let voters = voters(&["west-a", "south-a", "north-a", "north-b", "north-a"]);
    assert_eq!(transfers(&voters, &ZoneLoads::default(), |_| false), []);
    // One unstable step every 4 s.
    assert_eq!(transfers(&voters, &ZoneLoads::default(), |step| step % 8 != 0), []);
    let decided = transfers(&voters, &ZoneLoads::default(), |step| step >= 9);
    assert_eq!(decided.first(), Some(&(19, 3)));
}

#[test]
fn leadership_follows_the_load_if_quorums_are_equally_distant() {
    let voters = voters(&["north-a", "south-a", "west-a"]);
    let now = Instant::now();
    let from_south = loads(&[("south-b", 90), ("north-a", 10)], now);
    assert_eq!(transfers(&voters, &from_south, |_| true).first(), Some(&(10, 2)));
    let even = loads(&[("south-b", 34), ("north-a", 33), ("west-a", 33)], now);
    assert_eq!(transfers(&voters, &even, |_| true), []);
}

#[test]
fn load_causes_no_transfer_within_a_region() {
    let voters = voters(&["north-a", "north-b", "north-b"]);
    let all = loads(&[("north-b", 1_000)], Instant::now());
    assert_eq!(transfers(&voters, &all, |_| true), []);
}

#[test]
fn a_single_voter_causes_no_transfer() {
    let all = loads(&[("south-a", 100)], Instant::now());
    assert_eq!(transfers(&voters(&["north-a"]), &all, |_| true), []);
}

#[test]
fn old_load_is_ignored() {
    let voters = voters(&["north-a", "south-a", "west-a"]);
    let now = Instant::now();
    let mut shifted = loads(&[("south-b", 100)], now);
    for step in 1..=20 {
        shifted.record("north-a", now + Duration::from_secs(10 * step));
    }
    assert_eq!(transfers(&voters, &shifted, |_| true), []);
}

#[test]
fn a_few_recent_turns_outweigh_old_load() {
    let voters = voters(&["north-a", "south-a", "west-a"]);
    let now = Instant::now();
    let mut shifted = loads(&[("south-b", 1_000)], now);
    let later = now + Duration::from_secs(600);
    (0..10).for_each(|_| shifted.record("north-a", later));
    assert_eq!(transfers(&voters, &shifted, |_| true), []);
}

#[test]
fn oscillating_load_causes_few_transfers() {
    let voters = voters(&["north-a", "south-a", "west-a"]);
    let topology = topology();
    let begin = Instant::now();
    let oscillating_loads = [loads(&[("south-b", 100)], begin), loads(&[("north-b", 100)], begin)];
    let mut preferences =
        BTreeMap::from([1, 2, 3].map(|machine| (machine, LeaderPreference::default())));
    let mut leader = 1;
    let mut transfer_steps = Vec::new();
    for step in 0..400_usize {
        // The load alternates every 8 s, which exceeds the delay before a transfer.
        let view = GroupView {
            topology: &topology,
            leader,
            voters: &voters,
            loads: &oscillating_loads[step / 16 % 2],
            is_stable: true,
            retiring: &BTreeSet::new(),
        };
        let now = begin + Duration::from_millis(500 * step as u64);
        for (machine, preference) in &mut preferences {
            if *machine != view.leader {
                preference.follow(true);
            } else if let Some(transfer) = preference.decide(&view, now) {
                leader = transfer.to;
                transfer_steps.push(step);
            }
        }
    }
    assert!(transfer_steps.len() > 1, "{transfer_steps:?}");
    assert!(transfer_steps.windows(2).all(|pair| pair[1] - pair[0] >= 60), "{transfer_steps:?}");
}

#[test]
fn only_a_retiring_voter_prevents_transfers() {
    let voters = voters(&["west-a", "south-a", "north-a", "north-b", "north-a"]);
    let topology = topology();
    let begin = Instant::now();
    let transfers_while_retiring = |retiring: u32| -> Vec<u32> {
        let mut preference = LeaderPreference::default();
        let view = GroupView {
            topology: &topology,
            leader: 1,
            voters: &voters,
            loads: &ZoneLoads::default(),
            is_stable: true,
            retiring: &BTreeSet::from([retiring]),
        };
        let mut targets = Vec::new();
        for step in 0..200 {
            let now = begin + Duration::from_millis(500 * step);
            targets.extend(preference.decide(&view, now).map(|transfer| transfer.to));
        }
        targets
    };
    assert!(transfers_while_retiring(2).is_empty());
    assert_eq!(transfers_while_retiring(9).first(), Some(&3));
}

#[test]
fn a_failed_transfer_is_not_retried_immediately() {
    let voters = voters(&["west-a", "south-a", "north-a", "north-b", "north-a"]);
    let topology = topology();
    let begin = Instant::now();
    let mut preference = LeaderPreference::default();
    let mut transfer_steps = Vec::new();
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
            transfer_steps.push(step);
            // The target does not win the election and machine 1 is elected again.
            preference.follow(false);
        }
    }
    assert_eq!(transfer_steps, [10, 70]);
}

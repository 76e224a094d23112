//! Selection of the machine that a gateway contacts during changes of leader.

use std::time::{Duration, Instant};

use calicohoist_ledger::client::LeaderTracker;

const OLD_LEADER: u32 = 1;
const FOLLOWER: u32 = 2;
const PARTITIONED: u32 = 3;
const NEW_LEADER: u32 = 4;

fn tracker() -> LeaderTracker {
    let seeds = vec![OLD_LEADER, PARTITIONED, FOLLOWER];
    let mut trackers = (0..).map(|salt| LeaderTracker::new(seeds.clone(), salt));
    trackers.find(|tracker| tracker.current() == OLD_LEADER).expect("salt that selects OLD_LEADER")
}

#[test]
fn a_hint_is_followed_without_backoff() {
    let mut tracker = tracker();
    assert!(tracker.record_refusal(OLD_LEADER, Some(FOLLOWER), Instant::now()));
    assert_eq!(tracker.current(), FOLLOWER);
}

/// Regression test: a gateway alternated between the old leader and a partitioned machine that
/// kept naming it, instead of contacting the new leader.
#[test]
fn outdated_hints_do_not_keep_the_client_from_the_new_leader() {
    let mut tracker = tracker();
    tracker.update_members(vec![OLD_LEADER, FOLLOWER, PARTITIONED, NEW_LEADER]);
    let now = Instant::now();
    let mut contacted = Vec::new();
    for step in 0..6 {
        let machine = tracker.current();
        contacted.push(machine);
        if machine == NEW_LEADER {
            break;
        }
        let hint = (machine == PARTITIONED).then_some(OLD_LEADER);
        tracker.record_refusal(machine, hint, now + Duration::from_millis(step * 5));
    }
    assert_eq!(contacted.last(), Some(&NEW_LEADER), "{contacted:?}");
    assert!(contacted.len() <= 4, "{contacted:?}");
}

#[test]
fn backoff_is_required_once_all_machines_have_refused() {
    let mut tracker = tracker();
    let now = Instant::now();
    let without_backoff: Vec<bool> =
        (0..3).map(|_| tracker.record_refusal(tracker.current(), None, now)).collect();
    assert_eq!(without_backoff, [true, true, false]);
}

#[test]
fn refusals_of_a_previous_target_do_not_change_the_target() {
    let mut tracker = tracker();
    let now = Instant::now();
    tracker.record_refusal(OLD_LEADER, Some(FOLLOWER), now);
    tracker.record_refusal(OLD_LEADER, Some(PARTITIONED), now);
    assert_eq!(tracker.current(), FOLLOWER);
}

/// The load of simultaneous leader searches is spread over all machines.
#[test]
fn gateways_start_with_different_machines() {
    let machines: Vec<u32> = (1..=7).collect();
    let mut first_contacted = [0_u32; 8];
    for salt in 0..255 {
        let tracker = LeaderTracker::new(machines.clone(), salt);
        first_contacted[tracker.current() as usize] += 1;
    }
    let max_count = first_contacted.iter().max();
    assert!(max_count.is_some_and(|count| *count < 2 * 255 / 7), "{first_contacted:?}");
}

#[test]
fn a_leader_is_known_only_after_confirmation() {
    let mut tracker = tracker();
    assert_eq!(tracker.leader(), None);
    tracker.confirm_leader(FOLLOWER);
    assert_eq!(tracker.leader(), Some(FOLLOWER));
    tracker.record_refusal(FOLLOWER, None, Instant::now());
    assert_eq!(tracker.leader(), None);
}

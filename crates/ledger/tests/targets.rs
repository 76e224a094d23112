//! Which ledger machine a gateway asks next, while the leader changes.

use std::time::{Duration, Instant};

use calicohoist_ledger::client::Targets;

const OLD_LEADER: u32 = 1;
const FOLLOWER: u32 = 2;
const CUT_OFF: u32 = 3;
const NEW_LEADER: u32 = 4;

fn targets() -> Targets {
    let seeds = vec![OLD_LEADER, CUT_OFF, FOLLOWER];
    let mut orders = (0..).map(|salt| Targets::new(seeds.clone(), salt));
    orders.find(|targets| targets.current() == OLD_LEADER).expect("some order begins with it")
}

#[test]
fn a_hint_is_followed_at_once() {
    let mut targets = targets();
    assert!(targets.refused(OLD_LEADER, Some(FOLLOWER), Instant::now()));
    assert_eq!(targets.current(), FOLLOWER);
}

/// Found in an incident: for 1.1 s a gateway went back and forth between a machine that
/// named the old leader and that old leader, while a new one had been elected.
#[test]
fn a_machine_that_goes_on_to_name_the_old_leader_is_left() {
    let mut targets = targets();
    targets.learn(vec![OLD_LEADER, FOLLOWER, CUT_OFF, NEW_LEADER]);
    let now = Instant::now();
    let mut asked = Vec::new();
    for step in 0..6 {
        let machine = targets.current();
        asked.push(machine);
        if machine == NEW_LEADER {
            break;
        }
        let hint = (machine == CUT_OFF).then_some(OLD_LEADER);
        targets.refused(machine, hint, now + Duration::from_millis(step * 5));
    }
    assert_eq!(asked.last(), Some(&NEW_LEADER), "{asked:?}");
    assert!(asked.len() <= 4, "{asked:?}");
}

#[test]
fn when_everybody_has_just_refused_there_is_a_pause() {
    let mut targets = targets();
    let now = Instant::now();
    let paces: Vec<bool> = (0..3).map(|_| targets.refused(targets.current(), None, now)).collect();
    assert_eq!(paces, [true, true, false]);
}

#[test]
fn a_question_that_was_overtaken_moves_nothing() {
    let mut targets = targets();
    let now = Instant::now();
    targets.refused(OLD_LEADER, Some(FOLLOWER), now);
    targets.refused(OLD_LEADER, Some(CUT_OFF), now);
    assert_eq!(targets.current(), FOLLOWER);
}

/// Hundreds of gateways look for a leader at the same moment.
#[test]
fn gateways_do_not_all_ask_the_same_machine_first() {
    let machines: Vec<u32> = (1..=7).collect();
    let mut first_asked = [0_u32; 8];
    for salt in 0..255 {
        let targets = Targets::new(machines.clone(), salt);
        first_asked[targets.current() as usize] += 1;
    }
    let most = first_asked.iter().max();
    assert!(most.is_some_and(|most| *most < 2 * 255 / 7), "{first_asked:?}");
}

#[test]
fn a_leader_is_known_only_once_it_has_said_so() {
    let mut targets = targets();
    assert_eq!(targets.leader(), None);
    targets.confirm(FOLLOWER);
    assert_eq!(targets.leader(), Some(FOLLOWER));
    targets.refused(FOLLOWER, None, Instant::now());
    assert_eq!(targets.leader(), None);
}

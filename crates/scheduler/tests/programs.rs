//! What is expected of programs under way, and which kinds are let in too seldom.

use std::time::{Duration, Instant};

use calicohoist_scheduler::overload::{ProgramKind, ProgramLoad};
use calicohoist_scheduler::shares::KindShares;

fn kind(priority: u8) -> ProgramKind {
    ProgramKind { service: "llm".to_owned(), priority }
}

/// Programs of one turn, then three at a time, each of 100 ms, with a pause between; they are
/// allowed twice as long as they last.
fn learned(now: &mut Instant) -> ProgramLoad {
    let mut load = ProgramLoad::default();
    let turn_time = Duration::from_millis(100);
    for number in 0..30 {
        let program = format!("p{number}");
        let finish = Some(*now + turn_time * 6);
        load.begin_turn("first", &program, &kind(0), finish, true, *now);
        *now += turn_time;
        load.end_turn("first", *now);
        *now += turn_time;
        for agent in ["a", "b", "c"] {
            load.begin_turn(agent, &program, &kind(0), finish, false, *now);
        }
        *now += turn_time;
        for agent in ["a", "b", "c"] {
            load.end_turn(agent, *now);
        }
        *now += Duration::from_secs(3);
        load.sweep(|_| Some(1.0), *now);
    }
    load
}

#[test]
fn a_program_that_pauses_is_still_expected_to_bring_turns() {
    let mut now = Instant::now();
    let mut load = learned(&mut now);
    assert!(load.load("llm") < f64::EPSILON, "all are over");
    load.begin_turn("t", "new", &kind(0), None, true, now);
    let expected = load.load("llm");
    assert!(expected >= 1.0);
    load.end_turn("t", now + Duration::from_millis(100));
    load.sweep(|_| Some(1.0), now + Duration::from_millis(150));
    assert!(load.load("llm") > 0.5, "it only pauses");
    load.sweep(|_| Some(1.0), now + Duration::from_secs(5));
    assert!(load.load("llm") < f64::EPSILON, "it is over");
}

#[test]
fn the_slowdown_that_is_still_in_time_is_learned() {
    let mut now = Instant::now();
    let load = learned(&mut now);
    // 200 ms of turns and 100 ms of pause within 600 ms: 2.5 times as slow is in time still.
    let target = load.target(&kind(0)).expect("enough programs have ended");
    assert!((1.5..2.5).contains(&target), "{target}");
    assert_eq!(load.target(&kind(1)), None, "nothing is known of others");
    let lasts = load.lasts_share(&kind(0)).expect("known");
    assert!((0.5..1.0).contains(&lasts), "{lasts}");
}

#[test]
fn a_turn_told_twice_counts_once() {
    let now = Instant::now();
    let mut load = ProgramLoad::default();
    assert!(load.begin_turn("t", "p", &kind(0), None, true, now));
    assert!(!load.begin_turn("t", "p", &kind(0), None, true, now));
    load.end_turn("t", now);
    load.end_turn("t", now);
    load.begin_turn("u", "p", &kind(0), None, false, now);
    assert!((load.load("llm") - 1.0).abs() < f64::EPSILON);
}

#[test]
fn a_new_leader_counts_no_program_of_the_last_one() {
    let mut now = Instant::now();
    let mut load = learned(&mut now);
    load.begin_turn("t", "p", &kind(0), None, true, now);
    load.begin_term();
    assert!(load.load("llm") < f64::EPSILON);
    assert!(load.target(&kind(0)).is_some(), "what was learned stays");
}

#[test]
fn a_kind_that_is_hardly_let_in_is_starved_until_it_is() {
    let now = Instant::now();
    let mut shares = KindShares::default();
    for _ in 0..10 {
        shares.note_asked(&kind(0), now);
        shares.note_begun(&kind(0), now);
        shares.note_asked(&kind(1), now);
    }
    assert_eq!(shares.starved(now), [kind(1)]);
    for _ in 0..3 {
        shares.note_begun(&kind(1), now);
    }
    assert_eq!(shares.starved(now), []);
    let long_after = now + Duration::from_secs(60);
    assert_eq!(shares.starved(long_after), [], "old counts mean nothing");
}

//! Retained turns that are continued just before their retention ends.

use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::cluster::STORE_IPS;
use crate::deployment::{
    Callers, RetainingDeployment, Turn, complete, load_time, part_of_history, send,
};

/// Time between two turns.
const TURN_INTERVAL: Duration = Duration::from_millis(100);
/// Time before the end of its retention at which a turn is continued.
const CONTINUED_BEFORE: Duration = Duration::from_millis(300);
/// How long a turn is tried before it is given up.
const TURN_LIMIT: Duration = Duration::from_secs(10);
const NOT_FOUND: u16 = 404;

/// What became of a turn that was continued.
#[derive(Debug)]
pub enum Continued {
    /// By the status of the last try; 0 without a response.
    Answered(u16),
    /// No such turn, although its retention had not ended.
    Lost {
        turn: String,
        age: Duration,
    },
    /// No try began before the retention had ended, because the caller came late.
    CameLate,
    NeverBegan,
}

/// Sends two turns, and continues the second one just before its retention ends, counted from its last
/// byte. The tries go to one gateway after the other.
fn keep_and_continue(callers: &Callers, number: usize) -> Continued {
    let first = format!("turn-{number}");
    let second = format!("{first}-second");
    let turn = Turn { id: &first, is_retained: true, ..Turn::default() };
    let Some((first, _)) = complete(callers.gateway(number), &turn, TURN_LIMIT) else {
        return Continued::NeverBegan;
    };
    let turn = Turn { id: &second, previous: Some(&first), ..turn };
    let Some((second, completed_at)) = complete(callers.gateway(number + 1), &turn, TURN_LIMIT)
    else {
        return Continued::NeverBegan;
    };
    let continued_at = completed_at + callers.retention - CONTINUED_BEFORE;
    thread::sleep(continued_at.saturating_duration_since(Instant::now()));
    let mut status = 0;
    for attempt in 0.. {
        let age = completed_at.elapsed();
        if age >= callers.retention {
            if attempt == 0 {
                println!("{second} is continued {age:?} after its last byte");
                return Continued::CameLate;
            }
            break;
        }
        let next = format!("{second}-next-{attempt}");
        let turn =
            Turn { id: &next, previous: Some(&second), is_retained: true, ..Turn::default() };
        status = send(callers.gateway(number + attempt), &turn).status;
        match status {
            200 => {
                let history = [&first, &second].map(|id| part_of_history(id)).concat();
                let received = String::from_utf8(callers.received_body(&next)).expect("text");
                assert_eq!(received, format!("{history}input "), "{next}");
                break;
            }
            NOT_FOUND => return Continued::Lost { turn: second, age },
            _ => thread::sleep(Duration::from_millis(50)),
        }
    }
    Continued::Answered(status)
}

/// Sends turns for the time of the load, each continued just before its retention ends, while `fault`
/// runs; returns what became of them.
pub fn play(
    deployment: &mut RetainingDeployment,
    fault: fn(&mut RetainingDeployment, &AtomicBool),
) -> Vec<Continued> {
    let callers = &deployment.callers();
    let turns = (load_time().as_millis() / TURN_INTERVAL.as_millis()) as usize;
    let is_over = AtomicBool::new(false);
    thread::scope(|scope| {
        let is_over = &is_over;
        let faults = scope.spawn(move || fault(deployment, is_over));
        let programs: Vec<_> = (0..turns)
            .map(|number| {
                thread::sleep(TURN_INTERVAL);
                scope.spawn(move || keep_and_continue(callers, number))
            })
            .collect();
        let continued =
            programs.into_iter().map(|caller| caller.join().expect("a caller")).collect();
        is_over.store(true, Ordering::SeqCst);
        faults.join().expect("the faults");
        continued
    })
}

pub fn assert_none_lost(continued: &[Continued]) {
    let age = |turn: &Continued| match turn {
        Continued::Lost { turn, age } => Some(format!("{turn} after {age:?}")),
        Continued::Answered(_) | Continued::CameLate | Continued::NeverBegan => None,
    };
    let lost: Vec<String> = continued.iter().filter_map(age).collect();
    println!("{} of {} turns lost", lost.len(), continued.len());
    assert!(lost.is_empty(), "{} of {}, the first: {}", lost.len(), continued.len(), lost[0]);
    let is_served = |turn: &&Continued| matches!(turn, Continued::Answered(200));
    let served = continued.iter().filter(is_served).count();
    assert!(served * 2 > continued.len(), "only {served} of {}: {continued:?}", continued.len());
}

#[test]
fn retained_turns_are_kept_until_their_retention_ends() {
    let mut deployment = RetainingDeployment::start();
    let continued = play(&mut deployment, |_, _| {});
    assert_none_lost(&continued);
    let is_unserved = |turn: &&Continued| !matches!(turn, Continued::Answered(200));
    let unserved: Vec<&Continued> = continued.iter().filter(is_unserved).collect();
    assert!(unserved.is_empty(), "{} of {}: {unserved:?}", unserved.len(), continued.len());
}

#[test]
fn retained_turns_are_kept_while_ledger_machines_stop_in_series() {
    const PAUSE: Duration = Duration::from_secs(4);
    let mut deployment = RetainingDeployment::start();
    let continued = play(&mut deployment, |deployment, is_over| {
        for ip in STORE_IPS.into_iter().cycle() {
            if is_over.load(Ordering::SeqCst) {
                return;
            }
            deployment.ledger.machine(ip).terminate();
            deployment.ledger.restart(ip);
            thread::sleep(PAUSE);
        }
    });
    assert_none_lost(&continued);
}

#[test]
fn retained_turns_are_kept_while_leaders_are_killed() {
    const ABSENCE: Duration = Duration::from_secs(2);
    let mut deployment = RetainingDeployment::start();
    let continued = play(&mut deployment, |deployment, is_over| {
        while !is_over.load(Ordering::SeqCst) {
            thread::sleep(ABSENCE);
            let leader = deployment.ledger.cluster.leader();
            deployment.ledger.machine(leader).kill();
            thread::sleep(ABSENCE);
            deployment.ledger.restart(leader);
        }
    });
    assert_none_lost(&continued);
}

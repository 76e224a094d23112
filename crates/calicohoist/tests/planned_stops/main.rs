//! Calls of a stopping gateway, as callers see them.

#[path = "../support/gateway_log.rs"]
mod gateway_log;

mod caller;
mod deployment;
mod stores;

use std::net::TcpStream;
use std::thread;
use std::time::Duration;

use caller::{Answer, send};
use deployment::Deployment;
use rustix::process::Signal;

const PAUSE: Duration = Duration::from_millis(300);
/// Longest wait for the end of a gateway that does not wait for back ends.
const END_TIMEOUT: Duration = Duration::from_secs(12);
/// Longer than the gateways of these tests wait for anything.
const ENDLESS_MILLIS: u64 = 40_000;
const SLOTS: u32 = 2;

/// Starts as many calls as run at a time and as many that wait, all endless.
fn start_calls(deployment: &Deployment) -> (Vec<TcpStream>, Vec<TcpStream>) {
    let job = deployment.job("", ENDLESS_MILLIS);
    let begun = deployment.replica.begun();
    let start = || (0..SLOTS).map(|_| send(deployment.address, &job)).collect::<Vec<_>>();
    let running = start();
    deployment
        .wait_until("the first calls run", || deployment.replica.begun() == begun + SLOTS as usize);
    let waiting = start();
    thread::sleep(PAUSE);
    (running, waiting)
}

fn statuses(streams: &mut [TcpStream]) -> Vec<(u16, Option<String>)> {
    let answers = streams.iter_mut().map(Answer::read);
    let status = |answer: Option<Answer>| {
        answer.map_or((0, None), |answer| (answer.status, answer.outcome().map(str::to_owned)))
    };
    answers.map(status).collect()
}

fn expected(status: u16, outcome: &str) -> Vec<(u16, Option<String>)> {
    vec![(status, Some(outcome.to_owned())); SLOTS as usize]
}

#[test]
fn second_signal_ends_the_gateway_with_an_answer_to_each_call() {
    let mut deployment = Deployment::start("stall_timeout_ms = 60000", SLOTS);
    let (mut running, mut waiting) = start_calls(&deployment);
    let begun = deployment.replica.begun();
    deployment.signal(Signal::TERM);
    thread::sleep(PAUSE);
    deployment.signal(Signal::TERM);
    let status = deployment.wait_for_end(END_TIMEOUT).expect("the gateway ends");
    assert!(!status.success(), "{status}");
    assert_eq!(statuses(&mut running), expected(504, "unknown"));
    assert_eq!(statuses(&mut waiting), expected(503, "not_run"));
    assert_eq!(deployment.replica.begun(), begun);
}

#[test]
fn gateway_ends_in_its_stop_timeout_with_an_answer_to_each_call() {
    let options = "stall_timeout_ms = 60000\nstop_timeout_ms = 4000";
    let mut deployment = Deployment::start(options, SLOTS);
    let (mut running, mut waiting) = start_calls(&deployment);
    let begun = deployment.replica.begun();
    deployment.signal(Signal::TERM);
    let mut late = send(deployment.address, &deployment.job("", 0));
    let refusal = Answer::read(&mut late).expect("a late call is answered");
    let status = deployment.wait_for_end(END_TIMEOUT).expect("the gateway ends");
    assert!(!status.success(), "{status}");
    assert_eq!(statuses(&mut running), expected(504, "unknown"));
    assert_eq!(statuses(&mut waiting), expected(503, "not_run"));
    assert_eq!((refusal.status, refusal.outcome()), (503, Some("not_run")));
    assert!(refusal.closes_connection(), "{refusal:?}");
    assert_eq!(deployment.replica.begun(), begun);
}

#[test]
fn calls_that_end_in_time_complete_in_a_planned_stop() {
    let options = "stall_timeout_ms = 2000\nstop_timeout_ms = 8000";
    let mut deployment = Deployment::start(options, SLOTS);
    let job = deployment.job("", 1_000);
    let mut calls: Vec<_> = (0..2 * SLOTS).map(|_| send(deployment.address, &job)).collect();
    thread::sleep(PAUSE);
    deployment.signal(Signal::TERM);
    let expected = [expected(200, "completed"), expected(200, "completed")].concat();
    assert_eq!(statuses(&mut calls), expected);
    let status = deployment.wait_for_end(END_TIMEOUT).expect("the gateway ends");
    assert!(status.success(), "{status}");
}

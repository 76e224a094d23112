//! Requests that arrive late in the grace period of a stopping gateway, as callers and replicas see
//! them, with real processes.

#[path = "../../../../platform/tests/support/mod.rs"]
mod support;

#[path = "../cluster/mod.rs"]
mod cluster;

mod caller;
mod deployment;

use std::time::{Duration, Instant};

use caller::{CallerConnection, CallerReport, TimedBytes};
use deployment::{Deployment, GRACE};

/// Route kinds that a late request is tried on.
const ROUTES: [&str; 4] = ["unsafe", "safe", "stream", "resumable"];
/// Route kinds whose requests must not run twice, or whose response is a stream.
const PAIRED_ROUTES: [&str; 3] = ["unsafe", "safe", "stream"];

const fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

/// Builds one request for a replica that works for `work`.
fn request(route: &str, name: &str, work: Duration) -> (String, String) {
    let id = format!("{route}-{name}");
    let work = format!("{}: {}", deployment::WORK_HEADER, work.as_millis());
    let head = support::request_head("POST", &format!("/{route}/a"), &id, 0, &[&work]);
    (id, head)
}

/// Plays all cases beside each other at one gateway; `stop` is when it gets SIGTERM.
fn play(deployment: &Deployment, stop: Instant) -> Vec<CallerReport> {
    let mut connections = Vec::new();
    let address = deployment.http();
    let open = || CallerConnection::open(address);
    for route in ROUTES {
        for kind in ["new", "kept"] {
            let mut connection = open();
            if kind == "kept" {
                let (id, head) = request(route, "before", ms(0));
                connection.send(&id, vec![TimedBytes::at(stop - ms(300), head)]);
            }
            let (id, head) = request(route, kind, ms(9_000));
            connection.send(&id, vec![TimedBytes::at(stop + ms(2_400), head)]);
            connections.push(connection);
        }
    }
    for route in PAIRED_ROUTES {
        let mut connection = open();
        for (name, at) in [("pair-first", 2_000), ("pair-second", 3_500)] {
            let (id, head) = request(route, name, ms(3_500));
            connection.send(&id, vec![TimedBytes::at(stop + ms(at), head)]);
        }
        connections.push(connection);
    }
    let mut triple = open();
    for (name, at) in [("triple-first", 2_300), ("triple-second", 3_200), ("triple-third", 4_000)] {
        let (id, head) = request("unsafe", name, ms(2_600));
        triple.send(&id, vec![TimedBytes::at(stop + ms(at), head)]);
    }
    connections.push(triple);
    for kind in ["split-new", "split-kept"] {
        let mut connection = open();
        if kind == "split-kept" {
            let (id, head) = request("unsafe", "split-before", ms(0));
            connection.send(&id, vec![TimedBytes::at(stop - ms(300), head)]);
        }
        let (id, head) = request("unsafe", kind, ms(4_200));
        let (first, second) = head.split_at(head.len() / 2);
        let parts = vec![
            TimedBytes::at(stop + ms(2_200), first.to_owned()),
            TimedBytes::at(stop + ms(4_200), second.to_owned()),
        ];
        connection.send(&id, parts);
        connections.push(connection);
    }
    let mut slow_body = open();
    let work = format!("{}: 4200", deployment::WORK_HEADER);
    let head = support::request_head("POST", "/unsafe/a", "unsafe-slow-body", 4, &[&work]);
    let parts = vec![
        TimedBytes::at(stop + ms(1_500), head),
        TimedBytes::at(stop + ms(4_000), "body".to_owned()),
    ];
    slow_body.send("unsafe-slow-body", parts);
    connections.push(slow_body);
    let mut quick_second = open();
    for (route, name, at, work) in
        [("unsafe", "long-first", 2_400, 3_000), ("safe", "quick-second", 3_500, 50)]
    {
        let (id, head) = request(route, name, ms(work));
        quick_second.send(&id, vec![TimedBytes::at(stop + ms(at), head)]);
    }
    connections.push(quick_second);
    let callers: Vec<_> = connections.into_iter().map(CallerConnection::start).collect();
    callers.into_iter().flat_map(|caller| caller.join().expect("the caller ends")).collect()
}

/// Plays all cases on routes with the given timeout and returns what callers saw.
fn stop_with_late_requests(timeout: Duration) {
    let mut deployment = Deployment::start(timeout);
    let stop = Instant::now() + ms(1_000);
    let reports = std::thread::scope(|scope| {
        let reports = scope.spawn(|| play(&deployment, stop));
        std::thread::sleep(stop.saturating_duration_since(Instant::now()));
        deployment.stop_gateway();
        reports.join().expect("the callers end")
    });
    let exited_at = deployment.wait_until_stopped();
    let records = deployment.requests();
    let mut problems = Vec::new();
    for report in &reports {
        let run = records.iter().find(|record| record.id() == report.id);
        let ran = if run.is_some() { "ran" } else { "did not run" };
        println!("{}, {ran}", report.relative_to(stop));
        if !report.is_answered() {
            problems.push(format!("{} has no answer ({ran})", report.id));
        }
        if report.status == 503 && run.is_some() {
            problems.push(format!("{} was refused and has run", report.id));
        }
    }
    for record in &records {
        let deadline = record.header("calicohoist-deadline-ms").and_then(|left| left.parse().ok());
        let promised = record.received_at.zip(deadline.map(Duration::from_millis));
        let is_in_stop = record.received_at.is_some_and(|received| received > stop);
        match promised {
            Some((received, left)) if is_in_stop && received + left > stop + GRACE => {
                let excess = received + left - (stop + GRACE);
                problems.push(format!("the deadline of {} ends {excess:?} late", record.id()));
            }
            Some(_) => {}
            None => problems.push(format!("{} was sent without a deadline", record.id())),
        }
    }
    println!("the gateway exited {:?} after SIGTERM", exited_at - stop);
    assert!(problems.is_empty(), "{problems:#?}");
    assert!(exited_at < stop + GRACE, "the gateway was still there when its grace ended");
}

#[test]
fn late_requests_are_answered_before_the_gateway_exits() {
    stop_with_late_requests(ms(4_000));
}

#[test]
fn late_requests_with_timeouts_beyond_the_grace_period_are_answered() {
    stop_with_late_requests(ms(6_000));
}

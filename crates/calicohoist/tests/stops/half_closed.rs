//! Callers that shut down their sending side, or close their connection.

use std::io::Read as _;
use std::net::Shutdown;
use std::sync::mpsc;
use std::thread;
use std::time::Duration;

use crate::{Deployment, assert_complete, read_response};

const WORK: Duration = Duration::from_millis(1_500);
/// Shorter than the time limits of the routes, after which requests end in any case.
const CANCEL_TIMEOUT: Duration = Duration::from_millis(2_500);

fn start() -> Deployment {
    Deployment::start(|exchange| {
        if exchange.request.line.contains("/stream/") {
            exchange.start_stream();
            exchange.send_event(1, "first");
            thread::sleep(WORK);
            exchange.send_event(2, "second");
            return exchange.end_stream();
        }
        thread::sleep(WORK);
        exchange.respond("200 OK", "", "whole");
    })
}

#[test]
fn caller_that_shuts_its_sending_side_gets_its_response() {
    let deployment = start();
    let stream = deployment.send("GET", "/unsafe/a", "half-closed", &[]);
    stream.shutdown(Shutdown::Write).expect("shut down the sending side");
    assert_complete(&read_response(stream), 200);
}

#[test]
fn caller_that_shuts_its_sending_side_gets_its_stream() {
    let deployment = start();
    let stream = deployment.send("GET", "/stream/a", "half-closed", &[]);
    stream.shutdown(Shutdown::Write).expect("shut down the sending side");
    let response = read_response(stream);
    assert_complete(&response, 200);
    assert_eq!(response.text().matches("data: ").count(), 2);
}

#[test]
fn caller_that_shuts_its_sending_side_gets_its_response_from_a_stopping_gateway() {
    let mut deployment = start();
    let stream = deployment.send("GET", "/unsafe/a", "half-closed", &[]);
    deployment.wait_until_running("half-closed");
    deployment.stop_gateway();
    stream.shutdown(Shutdown::Write).expect("shut down the sending side");
    assert_complete(&read_response(stream), 200);
    deployment.wait_until_stopped();
}

/// A closed connection looks like one whose sending side was shut down until something is sent.
#[test]
fn caller_that_closes_its_connection_cancels_its_request() {
    let (cancelled, cancellations) = mpsc::channel();
    let deployment = Deployment::start(move |exchange| {
        if exchange.wait_for_close() {
            let _ = cancelled.send(());
        }
    });
    let expect: &[&str] = &["Expect: 100-continue"];
    let requests = [("/unsafe/a", &[] as &[&str]), ("/stream/a", &[]), ("/unsafe/a", expect)];
    for (number, (path, headers)) in requests.into_iter().enumerate() {
        let id = format!("left-{number}");
        let stream = deployment.send("GET", path, &id, headers);
        deployment.wait_until_running(&id);
        drop(stream);
        let cancelled = cancellations.recv_timeout(CANCEL_TIMEOUT);
        cancelled.unwrap_or_else(|_| panic!("{id} still runs"));
    }
}

/// Nothing is sent in such a gap by which the close could be noticed.
#[test]
fn caller_that_closes_its_connection_between_two_events_cancels_its_stream() {
    let (cancelled, cancellations) = mpsc::channel();
    let deployment = Deployment::start(move |exchange| {
        exchange.start_stream();
        exchange.send_event(1, "first");
        if exchange.wait_for_close() {
            let _ = cancelled.send(());
        }
    });
    let mut stream = deployment.send("GET", "/stream/a", "left", &[]);
    let mut received = String::new();
    while !received.contains("first") {
        let mut buffer = [0; 512];
        let length = stream.read(&mut buffer).expect("read the first event");
        received.push_str(&String::from_utf8_lossy(&buffer[..length]));
    }
    drop(stream);
    cancellations.recv_timeout(CANCEL_TIMEOUT).expect("the stream is cancelled");
}

#[test]
fn caller_that_shuts_its_sending_side_between_two_events_gets_its_stream() {
    let deployment = start();
    let stream = deployment.send("GET", "/stream/a", "half-closed", &[]);
    deployment.wait_until_running("half-closed");
    thread::sleep(WORK / 3);
    stream.shutdown(Shutdown::Write).expect("shut down the sending side");
    let response = read_response(stream);
    assert_complete(&response, 200);
    assert_eq!(response.text().matches("data: ").count(), 2);
}

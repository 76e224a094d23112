//! Callers that read their responses slowly, or not at all for a while.

use std::thread;
use std::time::Duration;

use crate::{Deployment, assert_complete, read_response, read_slowly};

const MIB: usize = 1 << 20;
/// Larger than what socket buffers hold.
const RESPONSE_BYTES: usize = 12 * MIB;
/// Slow enough that a response takes longer than the time between readiness and shutdown.
const BYTES_PER_SECOND: usize = 5 * MIB / 2;
/// So large that reading the last one alone takes a while.
const EVENT_BYTES: usize = MIB - 1_024;
const EVENTS: u64 = 9;
const EVENT_BYTES_PER_SECOND: usize = 3 * MIB / 2;

fn start() -> Deployment {
    Deployment::start(|exchange| {
        if exchange.request.line.contains("/stream/") {
            let data = "x".repeat(EVENT_BYTES);
            exchange.start_stream();
            for event in 1..=EVENTS {
                exchange.send_event(event, &data);
            }
            exchange.end_stream();
        } else {
            exchange.respond("200 OK", "", &"x".repeat(RESPONSE_BYTES));
        }
    })
}

#[test]
fn slow_reader_of_a_large_response_gets_all_of_it_from_a_stopping_gateway() {
    let mut deployment = start();
    let stream = deployment.send("GET", "/unsafe/a", "large", &[]);
    deployment.wait_until_running("large");
    let reader = thread::spawn(move || read_slowly(stream, BYTES_PER_SECOND));
    thread::sleep(Duration::from_millis(500));
    deployment.stop_gateway();
    let response = reader.join().expect("the reader ends");
    assert_complete(&response, 200);
    assert_eq!(response.body.len(), RESPONSE_BYTES);
    deployment.wait_until_stopped();
}

#[test]
fn slow_reader_of_a_stream_gets_its_last_events_from_a_stopping_gateway() {
    let mut deployment = start();
    let stream = deployment.send("GET", "/stream/a", "stream", &[]);
    deployment.wait_until_running("stream");
    let reader = thread::spawn(move || read_slowly(stream, EVENT_BYTES_PER_SECOND));
    thread::sleep(Duration::from_millis(500));
    deployment.stop_gateway();
    let response = reader.join().expect("the reader ends");
    assert_complete(&response, 200);
    assert_eq!(response.text().matches("data: ").count() as u64, EVENTS);
    deployment.wait_until_stopped();
}

/// A peer whose receive window stays closed is alive as long as it acknowledges window probes.
#[test]
fn reader_that_pauses_longer_than_the_acknowledgement_timeout_gets_a_whole_response() {
    let deployment = start();
    let stream = deployment.send("GET", "/unsafe/a", "paused", &[]);
    thread::sleep(Duration::from_millis(7_000));
    let response = read_response(stream);
    assert_complete(&response, 200);
    assert_eq!(response.body.len(), RESPONSE_BYTES);
}

//! Requests that arrive while their gateway stops.

use std::io::{BufReader, Write as _};
use std::net::TcpStream;
use std::thread;
use std::time::{Duration, Instant};

use rustix::process::Signal;

use crate::support::{Response, client, request_head};
use crate::{Deployment, assert_complete, read_response, sleep_until};

/// Time after SIGTERM at which a gateway closes its listener and idle connections.
const CLOSING: Duration = Duration::from_millis(2_600);
/// Margin in which a paused gateway misses that moment.
const MARGIN: Duration = Duration::from_millis(300);

fn start(work: Duration) -> Deployment {
    Deployment::start(move |exchange| {
        thread::sleep(work);
        let id = exchange.request.id().to_owned();
        exchange.respond("200 OK", "", &id);
    })
}

/// Stops the gateway, and pauses it around the moment at which it closes its sockets; `send` runs
/// while it is paused.
fn pause_while_closing<T>(deployment: &Deployment, send: impl FnOnce() -> T) -> T {
    let stopped_at = Instant::now();
    deployment.stop_gateway();
    sleep_until(stopped_at + CLOSING - MARGIN);
    deployment.gateway.signal(Signal::STOP);
    let sent = send();
    sleep_until(stopped_at + CLOSING + MARGIN);
    deployment.gateway.signal(Signal::CONT);
    sent
}

#[test]
fn connections_that_were_not_accepted_yet_are_served_by_a_stopping_gateway() {
    let mut deployment = start(Duration::ZERO);
    let send = |number| deployment.send("GET", "/unsafe/a", &format!("new-{number}"), &[]);
    let streams: Vec<TcpStream> = pause_while_closing(&deployment, || (0..20).map(send).collect());
    let responses: Vec<Response> = streams.into_iter().map(read_response).collect();
    responses.iter().for_each(|response| assert_complete(response, 200));
    deployment.wait_until_stopped();
}

#[test]
fn requests_that_arrived_on_idle_connections_are_served_by_a_stopping_gateway() {
    let mut deployment = start(Duration::ZERO);
    let mut streams: Vec<TcpStream> = (0..20).map(|_| deployment.connect()).collect();
    let send = |streams: &mut Vec<TcpStream>, phase: &str| {
        for (number, stream) in streams.iter_mut().enumerate() {
            let head = request_head("GET", "/unsafe/a", &format!("{phase}-{number}"), 0, &[]);
            stream.write_all(head.as_bytes()).expect("send the request");
        }
    };
    send(&mut streams, "first");
    let mut connections: Vec<_> = streams.iter().map(BufReader::new).collect();
    for connection in &mut connections {
        assert_complete(&client::read_response(connection), 200);
    }
    drop(connections);
    pause_while_closing(&deployment, || send(&mut streams, "second"));
    let responses: Vec<Response> = streams.into_iter().map(read_response).collect();
    responses.iter().for_each(|response| assert_complete(response, 200));
    deployment.wait_until_stopped();
}

#[test]
fn pipelined_requests_are_all_answered_by_a_stopping_gateway() {
    let mut deployment = start(Duration::from_millis(500));
    let mut stream = deployment.connect();
    let ids = ["first", "second", "third"];
    let heads = ids.map(|id| request_head("GET", "/unsafe/a", id, 0, &[]));
    stream.write_all(heads.concat().as_bytes()).expect("send the requests");
    deployment.wait_until_running("first");
    deployment.stop_gateway();
    let mut connection = BufReader::new(stream);
    for id in ids {
        let response = client::read_response(&mut connection);
        assert_complete(&response, 200);
        assert_eq!(response.text(), id);
    }
    deployment.wait_until_stopped();
}

/// The rest of the body is still on its way when the gateway answers and closes the connection.
#[test]
fn refusal_of_a_large_body_reaches_a_caller_that_is_still_sending() {
    let mut deployment = start(Duration::ZERO);
    assert_refusal_arrives(&deployment);
    deployment.stop_gateway();
    assert_refusal_arrives(&deployment);
    deployment.wait_until_stopped();
}

fn assert_refusal_arrives(deployment: &Deployment) {
    const BODY_BYTES: usize = 4 << 20;
    const PART_BYTES: usize = 64 << 10;
    let mut stream = deployment.connect();
    let head = request_head("POST", "/unsafe/a", "large", BODY_BYTES, &[]);
    stream.write_all(head.as_bytes()).expect("send the head");
    for _ in 0..BODY_BYTES / PART_BYTES {
        stream.write_all(&[b'x'; PART_BYTES]).expect("send the body");
        thread::sleep(Duration::from_millis(5));
    }
    assert_complete(&read_response(stream), 413);
}

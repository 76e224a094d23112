//! Requests on kept connections around the moment at which a gateway with little processor time
//! closes them.

use std::io::{BufReader, Write as _};
use std::net::TcpStream;
use std::thread;
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{RngExt as _, SeedableRng as _};
use rustix::process::Signal;

use crate::cluster::number_from_environment;
use crate::series::CROSSING_SLACK;
use crate::support::{Response, client, request_head};
use crate::{Deployment, assert_complete, sleep_until};

/// Grace period of the gateway.
const GRACE: Duration = Duration::from_secs(8);

/// Number of plays; overridden by `IDLE_CONNECTION_PLAYS`.
const PLAYS: u64 = 1;
const CONNECTIONS: usize = 200;
/// Time after SIGTERM at which a gateway closes idle connections.
const CLOSING: Duration = Duration::from_millis(2_600);
/// How long before that the gateway begins to get little processor time, and for how long it does.
const LEAD: Duration = Duration::from_millis(50);
const SLOW_TIME: Duration = Duration::from_millis(3_500);
/// Times in which the gateway runs and stands still by turns.
const RUN_TIME: Duration = Duration::from_micros(500);
const PAUSE: Duration = Duration::from_millis(300);

/// A request on a kept connection, as its caller saw it.
struct Report {
    id: String,
    response: Response,
    /// Time from its last byte to its response, or to the end of its connection.
    after: Duration,
}

/// Sends a request at the given time and reads its response.
fn send_at(mut stream: TcpStream, id: String, at: Instant) -> Report {
    sleep_until(at);
    let head = request_head("GET", "/unsafe/a", &id, 0, &[]);
    // The gateway may have closed the connection.
    let _ = stream.write_all(head.as_bytes());
    let sent_at = Instant::now();
    let response = client::read_response(&mut BufReader::new(stream));
    Report { id, response, after: sent_at.elapsed() }
}

/// Gives the gateway a small share of a core until the given time.
fn slow_down(deployment: &Deployment, until: Instant) {
    while Instant::now() < until {
        deployment.gateway.signal(Signal::STOP);
        thread::sleep(PAUSE);
        deployment.gateway.signal(Signal::CONT);
        thread::sleep(RUN_TIME);
    }
}

/// Opens connections on which a request was answered.
fn open_connections(deployment: &Deployment) -> Vec<TcpStream> {
    let open = |number| {
        let mut stream = deployment.connect();
        let head = request_head("GET", "/unsafe/a", &format!("first-{number}"), 0, &[]);
        stream.write_all(head.as_bytes()).expect("send the request");
        let mut input = BufReader::new(stream);
        assert_complete(&client::read_response(&mut input), 200);
        input.into_inner()
    };
    (0..CONNECTIONS).map(open).collect()
}

/// Stops a gateway that gets little processor time while it closes its idle connections, on each of
/// which a request is sent meanwhile; returns what was lost.
fn play(seed: u64) -> Vec<String> {
    let mut deployment = Deployment::start(|exchange| {
        let id = exchange.request.id().to_owned();
        exchange.respond("200 OK", "", &id);
    });
    let streams = open_connections(&deployment);
    let mut random = StdRng::seed_from_u64(seed);
    let stopped_at = Instant::now();
    deployment.stop_gateway();
    let slow_from = stopped_at + CLOSING - LEAD;
    let reports: Vec<Report> = thread::scope(|scope| {
        let callers = streams.into_iter().enumerate().map(|(number, stream)| {
            let at = slow_from + SLOW_TIME.mul_f64(random.random_range(0.0..0.8));
            scope.spawn(move || send_at(stream, format!("second-{number}"), at))
        });
        let callers: Vec<_> = callers.collect();
        sleep_until(slow_from);
        slow_down(&deployment, slow_from + SLOW_TIME);
        callers.into_iter().map(|caller| caller.join().expect("a caller")).collect()
    });
    let served = reports.iter().filter(|report| report.response.status == 200).count();
    let refused = reports.iter().filter(|report| report.response.status == 408).count();
    let closed = reports.iter().filter(|report| report.response.status == 0).count();
    let lost: Vec<String> =
        reports.iter().filter_map(|report| find_loss(&deployment, report)).collect();
    println!(
        "seed {seed}: {served} served, {refused} refused, {closed} closed, {} lost",
        lost.len()
    );
    // A process that stands still may drop the last lines of its log.
    let status = deployment.gateway.child.wait().expect("the gateway exits");
    assert!(status.success(), "{status}");
    assert!(stopped_at.elapsed() < GRACE, "the gateway was still there when its grace ended");
    lost
}

/// Describes a request that ended without a complete response, or was refused and run.
fn find_loss(deployment: &Deployment, report: &Report) -> Option<String> {
    let Report { id, response: Response { status, is_complete, .. }, after } = report;
    let has_run = deployment.has_run(id);
    let is_answered = *status != 0 && *is_complete;
    let is_refused = matches!(status, 408 | 503);
    let is_lost = !is_answered && (has_run || *after > CROSSING_SLACK);
    let is_wrong = is_refused && has_run;
    (is_lost || is_wrong).then(|| format!("{id}: {status} after {after:?}, run: {has_run}"))
}

#[test]
fn requests_that_cross_the_close_of_idle_connections_are_answered_by_a_slow_gateway() {
    let plays = number_from_environment("IDLE_CONNECTION_PLAYS", PLAYS);
    let lost: Vec<String> = (0..plays).flat_map(play).collect();
    assert!(lost.is_empty(), "{lost:#?}");
}

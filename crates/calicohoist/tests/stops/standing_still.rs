//! Gateways that stand still when the answers of a stop are due.

use std::io::Write as _;
use std::net::TcpStream;
use std::thread;
use std::time::{Duration, Instant};

use rustix::process::Signal;

use crate::support::{Response, request_head};
use crate::{Deployment, read_response, sleep_until};

/// Grace period of the gateway.
const GRACE: Duration = Duration::from_secs(8);
/// Times after SIGTERM between which the gateway stands still: answers are due, and connections are to
/// be cut.
const STANDS_FROM: Duration = Duration::from_millis(7_000);
const STANDS_UNTIL: Duration = Duration::from_millis(7_620);
/// Time after SIGTERM at which requests are completed whose replica works beyond the stop.
const LATE: Duration = Duration::from_millis(5_000);
const WORK: Duration = Duration::from_secs(9);
const REQUESTS: usize = 20;

#[test]
fn late_requests_are_answered_by_a_gateway_that_stood_still_until_its_exit() {
    let mut deployment = Deployment::start(|exchange| {
        thread::sleep(WORK);
        exchange.respond("200 OK", "", "late");
    });
    let heads = (0..REQUESTS).map(|number| {
        let head = request_head("GET", "/unsafe/a", &format!("late-{number}"), 0, &[]);
        let middle = head.len() / 2;
        (head, middle)
    });
    let heads: Vec<(String, usize)> = heads.collect();
    let mut streams: Vec<TcpStream> = heads.iter().map(|_| deployment.connect()).collect();
    for (stream, (head, middle)) in streams.iter_mut().zip(&heads) {
        stream.write_all(&head.as_bytes()[..*middle]).expect("send the start");
    }
    thread::sleep(Duration::from_millis(100));
    let stopped_at = Instant::now();
    deployment.stop_gateway();
    sleep_until(stopped_at + LATE);
    for (stream, (head, middle)) in streams.iter_mut().zip(&heads) {
        stream.write_all(&head.as_bytes()[*middle..]).expect("send the rest");
    }
    let responses = streams.into_iter().map(|stream| thread::spawn(|| read_response(stream)));
    let responses: Vec<_> = responses.collect();
    sleep_until(stopped_at + STANDS_FROM);
    deployment.gateway.signal(Signal::STOP);
    sleep_until(stopped_at + STANDS_UNTIL);
    deployment.gateway.signal(Signal::CONT);
    let status = deployment.gateway.child.wait().expect("the gateway exits");
    println!("exited {:?} after SIGTERM, {status}", stopped_at.elapsed());
    assert!(status.success(), "{status}");
    assert!(stopped_at.elapsed() < GRACE, "the gateway was still there when its grace ended");
    let responses = responses.into_iter().map(|response| response.join().expect("a caller"));
    let cut = responses.filter(|Response { is_complete, .. }| !is_complete).count();
    let run = (0..REQUESTS).filter(|number| deployment.has_run(&format!("late-{number}"))).count();
    assert_eq!(cut, 0, "requests without an answer; {run} were run");
}

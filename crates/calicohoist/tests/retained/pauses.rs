//! Turns that are continued in time at gateways that stand still for longer than the turns are kept.

use std::io::BufReader;
use std::net::TcpStream;
use std::thread;
use std::time::{Duration, Instant};

use rustix::process::Signal;

use crate::cluster::STORE_IPS;
use crate::deployment::{RetainingDeployment, RouteTimes, Turn, begin, complete, send};
use crate::support::{Response, ScriptedReplica, client};

const TIMES: RouteTimes =
    RouteTimes { retention: Duration::from_secs(2), timeout: Duration::from_secs(1) };
/// Longer than a turn is kept: its retention, what the gateway adds for the delivery and the arrival of a
/// request, and two steps of the clock of the ledger.
const PAUSE: Duration = Duration::from_secs(16);
const TURNS: usize = 10;
const TURN_LIMIT: Duration = Duration::from_secs(10);
/// Time after the pause in which the ledger has a leader again and the gateway has found it.
const RECOVERY_TIME: Duration = Duration::from_secs(10);
const RETRY_INTERVAL: Duration = Duration::from_millis(100);
const NOT_FOUND: u16 = 404;
const NOT_RUN: u16 = 503;
const READ_LATE: &str = "read late";

fn start() -> RetainingDeployment {
    let model = ScriptedReplica::start("model", |exchange| {
        let id = exchange.request.id().to_owned();
        exchange.send_stream(&id);
    });
    RetainingDeployment::start_with_times(model, TIMES)
}

fn signal(deployment: &RetainingDeployment, with_ledger: bool, signal: Signal) {
    deployment.gateways[0].signal(signal);
    if with_ledger {
        STORE_IPS.iter().for_each(|ip| deployment.ledger.signal(ip, signal));
    }
}

/// A turn that is continued by a request which is sent while its gateway stands still.
struct ContinuedTurn {
    id: String,
    response: Response,
}

/// Completes turns, and continues them within their retention while the gateway stands still.
fn continue_in_pause(deployment: &RetainingDeployment, with_ledger: bool) -> Vec<ContinuedTurn> {
    let turns: Vec<(String, Instant)> = (0..TURNS)
        .map(|number| {
            let id = format!("turn-{number}");
            let turn = Turn { id: &id, is_retained: true, ..Turn::default() };
            complete(deployment.gateway(), &turn, TURN_LIMIT).expect("the turn is answered")
        })
        .collect();
    signal(deployment, with_ledger, Signal::STOP);
    let sent: Vec<(String, TcpStream)> = turns
        .into_iter()
        .filter_map(|(id, completed_at)| {
            let mut stream = TcpStream::connect(deployment.gateway()).expect("connect");
            let next = format!("{id}-next");
            let turn =
                Turn { id: &next, previous: Some(&id), is_retained: true, ..Turn::default() };
            begin(&mut stream, &turn).expect("send the turn");
            // The rule covers only requests that are sent within the retention.
            (completed_at.elapsed() < TIMES.retention).then_some((id, stream))
        })
        .collect();
    assert!(!sent.is_empty(), "no turn was continued within its retention");
    thread::sleep(PAUSE);
    signal(deployment, with_ledger, Signal::CONT);
    let continued = sent.into_iter().map(|(id, stream)| {
        let response = client::read_response(&mut BufReader::new(stream));
        println!("{id}: {} {}", response.status, response.text());
        ContinuedTurn { id, response }
    });
    continued.collect()
}

/// Continues a turn again until the answer is another one than 503; returns its status.
fn continue_again(deployment: &RetainingDeployment, id: &str) -> u16 {
    let until = Instant::now() + RECOVERY_TIME;
    for attempt in 0.. {
        let next = format!("{id}-again-{attempt}");
        let turn = Turn { id: &next, previous: Some(id), is_retained: true, ..Turn::default() };
        let status = send(deployment.gateway(), &turn).status;
        if status != NOT_RUN || Instant::now() > until {
            return status;
        }
        thread::sleep(RETRY_INTERVAL);
    }
    NOT_RUN
}

/// The turns are gone, but not by a fault of their callers, who may go on otherwise.
#[test]
fn turn_that_was_continued_in_time_is_not_called_unknown_by_a_gateway_that_stood_still() {
    let deployment = start();
    let continued = continue_in_pause(&deployment, false);
    for ContinuedTurn { id, response } in &continued {
        assert_eq!(response.status, NOT_RUN, "{id}: {}", response.text());
        let retry_after_s: Option<f64> =
            response.header("retry-after").and_then(|seconds| seconds.parse().ok());
        assert!(retry_after_s.is_some_and(|seconds| seconds > 0.0), "{id}: {retry_after_s:?}");
    }
    let is_read_late = |turn: &ContinuedTurn| turn.response.text().contains(READ_LATE);
    assert!(continued.iter().any(is_read_late), "no turn was refused for being read late");
    // A request that is sent after the retention has the final answer.
    assert_eq!(continue_again(&deployment, &continued[0].id), NOT_FOUND);
}

/// Nobody could continue the turns meanwhile.
#[test]
fn turns_are_kept_while_gateways_and_ledger_stand_still() {
    let deployment = start();
    for ContinuedTurn { id, response } in continue_in_pause(&deployment, true) {
        let status = match response.status {
            NOT_RUN => continue_again(&deployment, &id),
            status => status,
        };
        assert_eq!(status, 200, "{id}: {}", response.text());
    }
}

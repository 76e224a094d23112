//! Operators that keep their connections and send without a pause while machines stop in series.

use std::io::{BufReader, Write as _};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::support::{Response, client, configuration};
use crate::{Ledger, STORE_IPS, request};

/// Requests of one operator.
#[derive(Debug, Default)]
struct Tally {
    answered: u64,
    /// Without an answer, and how each of them ended.
    unanswered: Vec<String>,
}

/// Sends changes and reads to one machine until `stop`, on a connection kept for as long as the
/// machine permits.
fn operate(address: SocketAddr, version: &AtomicU64, stop: &AtomicBool) -> Tally {
    let mut tally = Tally::default();
    while !stop.load(Ordering::Relaxed) {
        let Ok(stream) = TcpStream::connect(address) else {
            thread::sleep(Duration::from_millis(2));
            continue;
        };
        let connected_at = Instant::now();
        stream.set_read_timeout(Some(Duration::from_secs(12))).expect("set the read timeout");
        let mut connection = BufReader::new(stream);
        for number in 0.. {
            let next = version.fetch_add(1, Ordering::Relaxed);
            let call = if number % 2 == 0 {
                request("PUT", "/-/config", &configuration(next).to_string())
            } else {
                request("GET", "/-/config", "")
            };
            let sent_after = connected_at.elapsed();
            let sent = connection.get_mut().write_all(call.as_bytes());
            let response = client::read_response(&mut connection);
            if response.status == 0 || !response.is_complete {
                let sent = sent.map_err(|error| error.kind());
                tally.unanswered.push(format!(
                    "request {number} of its connection, sent {sent:?} after {sent_after:?}, ended \
                     after {:?}",
                    connected_at.elapsed(),
                ));
                break;
            }
            tally.answered += 1;
            if closes(&response) || stop.load(Ordering::Relaxed) {
                break;
            }
        }
    }
    tally
}

fn closes(response: &Response) -> bool {
    response.header("connection").is_some_and(|value| value.eq_ignore_ascii_case("close"))
}

#[test]
fn no_request_is_unanswered_while_machines_stop_in_series() {
    const OPERATORS_PER_MACHINE: usize = 2;
    const ROUNDS: usize = 2;
    let mut ledger = Ledger::start();
    let (version, stop) = (AtomicU64::new(2), AtomicBool::new(false));
    let mut tally = Tally::default();
    thread::scope(|scope| {
        let addresses = STORE_IPS.map(|ip| ledger.cluster.control(ip));
        let operators: Vec<_> = addresses
            .iter()
            .flat_map(|address| [*address; OPERATORS_PER_MACHINE])
            .map(|address| {
                let (version, stop) = (&version, &stop);
                scope.spawn(move || operate(address, version, stop))
            })
            .collect();
        for ip in [STORE_IPS; ROUNDS].concat() {
            thread::sleep(Duration::from_millis(600));
            ledger.signal(ip, rustix::process::Signal::TERM);
            ledger.wait_until_stopped(ip);
            ledger.restart(ip);
            ledger.active_version();
        }
        stop.store(true, Ordering::Relaxed);
        for operator in operators {
            let Tally { answered, unanswered } = operator.join().expect("an operator");
            tally.answered += answered;
            tally.unanswered.extend(unanswered);
        }
    });
    assert!(tally.answered > 100, "{tally:?}");
    assert_eq!(tally.unanswered, Vec::<String>::new(), "{} were answered", tally.answered);
}

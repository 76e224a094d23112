//! Repeated signals during the stop of a ledger machine, while configurations are under way.

use std::io::Write as _;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use rustix::process::Signal;

use crate::cluster::STORE_IPS;
use crate::cluster::ledger::{Ledger, read_response};
use crate::late_call::put;
use crate::support::Response;

const GRACE: Duration = Duration::from_secs(3);
const OPERATORS: usize = 3;
/// Signals that follow the first SIGTERM, with the pause before each.
const LATER_SIGNALS: [(u64, Signal); 5] = [
    (0, Signal::HUP),
    (50, Signal::TERM),
    (100, Signal::HUP),
    (100, Signal::TERM),
    (100, Signal::INT),
];

/// Activates versions on one machine until it no longer accepts connections.
fn operate(address: SocketAddr, version: &AtomicU64) -> Vec<(u64, Response)> {
    let mut answers = Vec::new();
    while let Ok(mut stream) = TcpStream::connect(address) {
        let next = version.fetch_add(1, Ordering::SeqCst);
        // The machine may have closed the connection.
        let _ = stream.write_all(put(next).as_bytes());
        answers.push((next, read_response(stream)));
    }
    answers
}

#[test]
fn acknowledged_configurations_survive_repeated_signals() {
    let mut ledger = Ledger::start_with_grace(GRACE);
    let version = AtomicU64::new(2);
    for ip in STORE_IPS {
        let address = ledger.cluster.control(ip);
        let answers: Vec<(u64, Response)> = thread::scope(|scope| {
            let operator = || scope.spawn(|| operate(address, &version));
            let operators: Vec<_> = (0..OPERATORS).map(|_| operator()).collect();
            thread::sleep(Duration::from_millis(200));
            let stop = Instant::now();
            ledger.signal(ip, Signal::TERM);
            for (pause, signal) in LATER_SIGNALS {
                thread::sleep(Duration::from_millis(pause));
                ledger.signal(ip, signal);
            }
            ledger.wait_until_stopped(ip);
            assert!(stop.elapsed() < GRACE, "exited after {:?}", stop.elapsed());
            let operators = operators.into_iter();
            operators.flat_map(|operator| operator.join().expect("an operator")).collect()
        });
        let acknowledged = answers.iter().filter(|(_, response)| response.status == 200);
        let newest = acknowledged.map(|(version, _)| *version).max().unwrap_or_default();
        println!("{ip}: {} calls, acknowledged version {newest}", answers.len());
        ledger.restart(ip);
        assert!(ledger.active_version() >= newest);
    }
}

//! Repeated signals during the stop of a ledger machine, while configurations are under way.

use std::io::Write as _;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use rustix::process::Signal;

use crate::cluster::STORE_IPS;
use crate::cluster::ledger::{Ledger, read_response};
use crate::late_call::{CROSSING_SLACK, put};
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

/// A change of the configuration and its answer.
struct Change {
    version: u64,
    response: Response,
    /// Time from the last byte of the call to the end of the answer or connection.
    after: Duration,
}

impl Change {
    fn is_lost(&self) -> bool {
        let is_answered = self.response.status != 0 && self.response.is_complete;
        !is_answered && self.after > CROSSING_SLACK
    }
}

/// Activates versions on one machine until it no longer accepts connections.
fn operate(address: SocketAddr, version: &AtomicU64) -> Vec<Change> {
    let mut changes = Vec::new();
    while let Ok(mut stream) = TcpStream::connect(address) {
        let next = version.fetch_add(1, Ordering::SeqCst);
        // The machine may have closed the connection.
        let _ = stream.write_all(put(next).as_bytes());
        let sent_at = Instant::now();
        let response = read_response(stream);
        changes.push(Change { version: next, response, after: sent_at.elapsed() });
    }
    changes
}

#[test]
fn acknowledged_configurations_survive_repeated_signals() {
    let mut ledger = Ledger::start_with_grace(GRACE);
    let version = AtomicU64::new(2);
    for ip in STORE_IPS {
        let address = ledger.cluster.control(ip);
        let changes: Vec<Change> = thread::scope(|scope| {
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
        let acknowledged = changes.iter().filter(|change| change.response.status == 200);
        let newest = acknowledged.map(|change| change.version).max().unwrap_or_default();
        let lost = changes.iter().filter(|change| change.is_lost()).count();
        println!("{ip}: {} calls, {lost} lost, acknowledged version {newest}", changes.len());
        assert_eq!(lost, 0, "{ip}");
        ledger.restart(ip);
        assert!(ledger.active_version() >= newest);
    }
}

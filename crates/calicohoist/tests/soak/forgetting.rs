//! Turns whose retention has ended are forgotten.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::thread;
use std::time::{Duration, Instant};

use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::caller::Caller;
use crate::faults::Soak;
use crate::operator::read_version;
use crate::{ROUTE_TIMEOUT, Shared};

/// Time after its retention in which a turn is forgotten while the ledger runs: three steps of the clock
/// of its state, and what gateways add for the delivery of the response and the arrival of a request.
const FORGETTING_TIME: Duration = Duration::from_secs(15 + 2 * ROUTE_TIMEOUT.as_secs());
/// Longest time in which an answer of the ledger tells that it runs.
const MAX_PAUSE: Duration = Duration::from_secs(1);
const PROBE_INTERVAL: Duration = Duration::from_millis(200);
/// Number of times that the ledger may take until it has answered without a pause.
const MAX_WAITS: u32 = 5;
/// Maximum number of turns that are asked for.
const MAX_TURNS: usize = 100;
/// Time in which a turn is asked for until the answer tells whether it is kept.
const ANSWER_TIME: Duration = Duration::from_secs(20);
const RETRY_PAUSE: Duration = Duration::from_millis(20);
/// Number of the caller among the callers of turns.
const CALLER: usize = 500;

/// Waits until all turns that were stored until now must have been forgotten: until the ledger has
/// answered for long enough without a pause. The clock of its state stands still while its machines do,
/// for instance in a flush.
pub fn wait_until_forgotten(soak: &mut Soak, records: &Shared) {
    let needed = records.lock().retention + FORGETTING_TIME;
    let controls = soak.controls();
    let limit = Instant::now() + MAX_WAITS * needed;
    let mut answering_since = Instant::now();
    while answering_since.elapsed() < needed {
        assert!(Instant::now() < limit, "the ledger never answers for {needed:?} without a pause");
        let asked = Instant::now();
        let is_answered = controls.iter().any(|control| read_version(*control).is_some());
        if !is_answered || asked.elapsed() > MAX_PAUSE {
            answering_since = Instant::now();
        }
        soak.run_for(PROBE_INTERVAL);
    }
}

/// Asks for a sample of all turns; returns a violation for each that is not forgotten.
pub fn check_forgotten(
    gateways: Vec<SocketAddr>,
    records: &Shared,
    stop_flag: &Arc<AtomicBool>,
) -> Vec<String> {
    let turns: Vec<String> = records.lock().completed.keys().cloned().collect();
    let step = turns.len().div_ceil(MAX_TURNS).max(1);
    let rng = StdRng::seed_from_u64(0);
    let (records, stop_flag) = (Arc::clone(records), Arc::clone(stop_flag));
    let mut caller = Caller::new(CALLER, gateways, rng, records, stop_flag);
    let mut kept = Vec::new();
    for turn in turns.iter().step_by(step) {
        match status_after(&mut caller, turn) {
            404 => {}
            status => kept.push(format!("{turn}, whose retention has ended, got {status}")),
        }
    }
    kept
}

/// Continues a turn until the answer tells whether it is kept; returns the last status.
fn status_after(caller: &mut Caller, turn: &str) -> u16 {
    let program = format!("old-{turn}");
    let until = Instant::now() + ANSWER_TIME;
    let mut attempt = 0;
    loop {
        attempt += 1;
        let gateway = caller.pick_gateway();
        let id = format!("{program}-{attempt}");
        let status = caller.try_turn(gateway, &program, &id, Some(turn)).status;
        if matches!(status, 200 | 404) || Instant::now() >= until {
            return status;
        }
        thread::sleep(RETRY_PAUSE);
    }
}

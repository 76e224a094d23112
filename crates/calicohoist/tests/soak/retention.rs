//! Continues completed turns at the end of a run, as their callers may.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::Instant;

use parking_lot::Mutex;
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::Shared;
use crate::caller::Caller;
use crate::support::wait_until;

/// Maximum number of turns that are continued.
const MAX_TURNS: usize = 300;
const VERIFIERS: usize = 6;
/// Number of the first verifier among the callers.
const FIRST_VERIFIER: usize = 99;

/// Continues completed turns, oldest first; panics if one cannot be continued. Returns their number.
pub fn continue_turns(
    gateways: &[SocketAddr],
    seed: u64,
    records: &Shared,
    stop_flag: &Arc<AtomicBool>,
) -> u64 {
    let retention = records.lock().retention;
    let turns = Mutex::new(retained_turns(records).into_iter().enumerate());
    let continued = AtomicU64::new(0);
    thread::scope(|scope| {
        for number in 0..VERIFIERS {
            let rng = StdRng::seed_from_u64(seed + number as u64);
            let (records, stop_flag) = (Arc::clone(records), Arc::clone(stop_flag));
            let gateways = gateways.to_vec();
            let verifier = Caller::new(FIRST_VERIFIER + number, gateways, rng, records, stop_flag);
            let (turns, continued) = (&turns, &continued);
            scope.spawn(move || {
                let verifier = Mutex::new(verifier);
                let next_turn = || turns.lock().next();
                while let Some((number, (turn, completed))) = next_turn() {
                    if completed.elapsed() < retention {
                        continue_turn(&verifier, number, &turn, completed + retention);
                        continued.fetch_add(1, Ordering::Relaxed);
                    }
                }
            });
        }
    });
    continued.into_inner()
}

/// Continues a turn. One whose retention ends meanwhile need not be found.
fn continue_turn(verifier: &Mutex<Caller>, number: usize, turn: &str, retained_until: Instant) {
    let count = AtomicU64::new(0);
    wait_until("every completed turn can be continued", || {
        let program = format!("end{number}-{}", count.fetch_add(1, Ordering::Relaxed));
        let is_continued = verifier.lock().turn(&program, 0, Some(turn)).is_some();
        is_continued || Instant::now() >= retained_until
    });
}

/// Returns a sample of the completed turns with the moments of their completion, oldest first.
fn retained_turns(records: &Shared) -> Vec<(String, Instant)> {
    let records = records.lock();
    let mut turns: Vec<(String, Instant)> =
        records.completed_at.iter().map(|(turn, at)| (turn.clone(), *at)).collect();
    turns.sort_by_key(|(_, at)| *at);
    let step = turns.len().div_ceil(MAX_TURNS).max(1);
    turns.into_iter().step_by(step).collect()
}

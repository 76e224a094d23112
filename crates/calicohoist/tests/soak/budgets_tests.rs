//! Tests of the judgement of programs that return after they have spent their budget.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use parking_lot::Mutex;
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::budgets::ReturningCaller;
use crate::caller::Caller;
use crate::support::{ScriptedReplica, wait_until};
use crate::{EVENTS_PER_ANSWER, MAX_TURN_TOKENS, Records, Shared, TOKEN_BUDGET};

const RETENTION: Duration = Duration::from_secs(3);
/// Turns that a budget allows.
const TURNS: u64 = TOKEN_BUDGET / MAX_TURN_TOKENS;

/// Starts a gateway that serves the given number of turns of each program.
fn start_gateway(turns: u64) -> ScriptedReplica {
    let served: Mutex<BTreeMap<String, u64>> = Mutex::default();
    ScriptedReplica::start("gateway", move |exchange| {
        let program = exchange.request.header("calicohoist-program-id").unwrap_or_default();
        let mut served = served.lock();
        let served = served.entry(program.to_owned()).or_default();
        if *served == turns {
            return exchange.respond("402 Payment Required", "", "");
        }
        *served += 1;
        let id = exchange.request.id().to_owned();
        exchange.start_stream();
        (1..=EVENTS_PER_ANSWER).for_each(|number| exchange.send_event(number, &id));
        exchange.end_stream();
    })
}

/// Returns the number of violations after programs have spent their budget and returned.
fn violations(turns: u64) -> usize {
    let gateway = start_gateway(turns);
    let records: Shared =
        Arc::new(Mutex::new(Records { retention: RETENTION, ..Records::default() }));
    let stop_flag: Arc<AtomicBool> = Arc::default();
    let rng = StdRng::seed_from_u64(0);
    let (copy, stop) = (Arc::clone(&records), Arc::clone(&stop_flag));
    let caller = Caller::new(0, vec![gateway.address], rng, copy, stop);
    let caller = thread::spawn(|| ReturningCaller::new(caller, RETENTION).run());
    wait_until("a program has returned", || records.lock().budgets.has_returned());
    stop_flag.store(true, Ordering::Relaxed);
    caller.join().expect("the caller");
    records.lock().violations.len()
}

#[test]
fn programs_that_are_served_beyond_their_budget_are_violations() {
    assert_eq!(violations(TURNS + 1), 1);
}

#[test]
fn programs_that_are_refused_once_their_budget_is_spent_are_no_violations() {
    assert_eq!(violations(TURNS), 0);
}

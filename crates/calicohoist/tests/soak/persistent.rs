//! Callers that do not give a turn up, at gateways that are only stopped and reloaded.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use rand::SeedableRng;
use rand::rngs::StdRng;
use rand::seq::IteratorRandom as _;

use crate::Shared;
use crate::caller::Caller;
use crate::faults::Soak;
use crate::refusals::TurnTry;

/// Separates the random streams of these callers from those of the others.
const PERSISTENT_SEED: u64 = 87 << 40;
/// Number of the first of these callers among the callers of turns.
const FIRST_CALLER: usize = 200;
/// Callers that continue retained turns, and those that begin programs.
const CONTINUING_CALLERS: usize = 3;
const BEGINNING_CALLERS: usize = 3;
/// Pause between two tries of a continued turn.
const RETRY_PAUSE: Duration = Duration::from_millis(100);
const FIRST_TURN_PAUSE: Duration = Duration::from_millis(20);
/// Age up to which turns are continued, as a share of their retention.
const MAX_AGE: (u32, u32) = (2, 3);

/// Starts the callers.
pub fn start_persistent_callers(
    seed: u64,
    soak: &Soak,
    records: &Shared,
    stop_flag: &Arc<AtomicBool>,
) -> Vec<JoinHandle<()>> {
    let callers = (0..CONTINUING_CALLERS + BEGINNING_CALLERS).map(|number| {
        let rng = StdRng::seed_from_u64((seed << 8 | number as u64) ^ PERSISTENT_SEED);
        let (records, stop_flag) = (Arc::clone(records), Arc::clone(stop_flag));
        let gateways = soak.planned_gateways();
        let caller = Caller::new(FIRST_CALLER + number, gateways, rng, records, stop_flag);
        PersistentCaller { caller, is_continuing: number < CONTINUING_CALLERS }
    });
    callers.map(|caller| thread::spawn(|| caller.run())).collect()
}

struct PersistentCaller {
    caller: Caller,
    is_continuing: bool,
}

impl PersistentCaller {
    fn run(mut self) {
        for number in 0.. {
            if self.has_stopped() {
                return;
            }
            let name = if self.is_continuing { "again" } else { "first" };
            let program = format!("{name}{}-{number}", self.caller.number);
            match self.is_continuing {
                true => self.continue_turn(&program),
                false => {
                    self.try_turn(&program, 0, None);
                    thread::sleep(FIRST_TURN_PAUSE);
                }
            }
        }
    }

    fn has_stopped(&self) -> bool {
        self.caller.stop_flag.load(Ordering::Relaxed)
    }

    /// Continues a completed turn until it is answered whole or the program's budget is spent.
    fn continue_turn(&mut self, program: &str) {
        let Some(previous) = self.pick_turn() else {
            return thread::sleep(RETRY_PAUSE);
        };
        for attempt in 0.. {
            let is_over = self.try_turn(program, attempt, Some(&previous));
            if is_over || self.has_stopped() || self.has_expired(&previous) {
                return;
            }
            thread::sleep(RETRY_PAUSE);
        }
    }

    fn pick_turn(&mut self) -> Option<String> {
        let Caller { records, rng, .. } = &mut self.caller;
        let records = records.lock();
        let (numerator, denominator) = MAX_AGE;
        let max_age = records.retention * numerator / denominator;
        let is_picked = |turn: &str, at: &Instant| at.elapsed() < max_age && records.is_short(turn);
        let retained = records.completed_at.iter().filter(|(turn, at)| is_picked(turn, at));
        retained.choose(rng).map(|(turn, _)| turn.clone())
    }

    fn has_expired(&self, turn: &str) -> bool {
        let records = self.caller.records.lock();
        records.age(turn, Instant::now()).is_some_and(|age| age >= records.retention)
    }

    /// Sends a turn once; returns whether it needs no other try.
    fn try_turn(&mut self, program: &str, attempt: usize, previous: Option<&str>) -> bool {
        let (id, from) = (format!("{program}-{attempt}"), Instant::now());
        let gateway = self.caller.pick_gateway();
        let outcome = self.caller.try_turn(gateway, program, &id, previous);
        if outcome.status != 0 {
            let tried = TurnTry {
                id,
                turn: program.to_owned(),
                is_continued: previous.is_some(),
                status: outcome.status,
                from,
                until: Instant::now(),
            };
            self.caller.records.lock().turn_tries.push(tried);
        }
        outcome.is_whole || outcome.status == 402
    }
}

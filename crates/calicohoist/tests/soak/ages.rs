//! Callers that continue completed turns at random ages during a run, many of them shortly before
//! the retention of the turn ends, and some after it.

use std::collections::BTreeMap;
use std::fmt;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use rand::RngExt;
use rand::rngs::StdRng;

use crate::caller::Caller;
use crate::faults::Soak;
use crate::{Records, Shared};

/// Separates the random streams of these callers from those of the others.
const AGE_SEED: u64 = 98 << 40;
/// Number of the first of these callers among the callers of turns.
const FIRST_CALLER: usize = 300;
const CALLERS: usize = 12;
/// Pause between two turns of a caller, in ms.
const PAUSE_MS: std::ops::Range<u64> = 30..150;
const RETRY_PAUSE: Duration = Duration::from_millis(50);
/// Probability that a turn is continued shortly before its retention ends.
const LATE_PROBABILITY: f64 = 0.6;
/// Probability that a turn is continued after its retention has ended.
const EXPIRED_PROBABILITY: f64 = 0.15;
/// Largest remaining retention of a turn that is continued late.
const LATE: Duration = Duration::from_millis(600);
/// Largest remaining retention of a turn that is continued at the last moment.
const LAST_MOMENT: Duration = Duration::from_millis(50);
/// Longest age of an expired turn that is continued, in retentions.
const MAX_RETENTIONS: f64 = 3.0;
/// Largest difference between the age that a caller picked and that of the turn it waits for.
const MAX_WAIT: Duration = Duration::from_millis(300);

/// Age of a turn when it was continued.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum AgeClass {
    Early,
    /// Shortly before its retention ended.
    Late,
    /// After its retention had ended.
    Expired,
}

/// Tries that continued turns, by the age of the turn and the status; 0 without a response.
#[derive(Clone, Debug, Default)]
pub struct AgeCounts(BTreeMap<(AgeClass, u16), u64>);

impl fmt::Display for AgeCounts {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for class in [AgeClass::Early, AgeClass::Late, AgeClass::Expired] {
            let of_class = self.0.iter().filter(|((other, _), _)| *other == class);
            let counts: Vec<String> =
                of_class.map(|((_, status), count)| format!("{count} x {status}")).collect();
            write!(formatter, "{class:?}: {}; ", counts.join(", "))?;
        }
        Ok(())
    }
}

/// Starts the callers.
pub fn start_aging_callers(
    seed: u64,
    soak: &Soak,
    records: &Shared,
    stop_flag: &Arc<AtomicBool>,
) -> Vec<JoinHandle<()>> {
    let retention = records.lock().retention;
    let numbers = (FIRST_CALLER, CALLERS);
    let callers = Caller::with_large_turns(numbers, seed, AGE_SEED, soak, records, stop_flag);
    let callers = callers.into_iter().map(|caller| AgingCaller { caller, retention });
    callers.map(|caller| thread::spawn(|| caller.run())).collect()
}

/// Returns an age at which a turn is continued shortly before its retention ends.
pub fn late_age(rng: &mut StdRng, retention: Duration) -> Duration {
    let most = if rng.random_bool(0.5) { LATE } else { LAST_MOMENT };
    retention.saturating_sub(most.mul_f64(rng.random_range(0.0..1.0)))
}

struct AgingCaller {
    caller: Caller,
    retention: Duration,
}

impl AgingCaller {
    fn run(mut self) {
        for number in 0.. {
            if self.caller.stop_flag.load(Ordering::Relaxed) {
                return;
            }
            let age = self.pick_age();
            if let Some((turn, completed)) = self.pick_turn(age) {
                thread::sleep((completed + age).saturating_duration_since(Instant::now()));
                self.continue_turn(&format!("age{}-{number}", self.caller.number), &turn);
            }
            let pause_ms = self.caller.rng.random_range(PAUSE_MS);
            thread::sleep(Duration::from_millis(pause_ms));
        }
    }

    fn pick_age(&mut self) -> Duration {
        let (rng, retention) = (&mut self.caller.rng, self.retention);
        if rng.random_bool(LATE_PROBABILITY) {
            return late_age(rng, retention);
        }
        match rng.random_bool(EXPIRED_PROBABILITY) {
            true => retention.mul_f64(rng.random_range(1.0..MAX_RETENTIONS)),
            false => retention.mul_f64(rng.random_range(0.0..1.0)),
        }
    }

    /// Takes a turn that nobody has continued and that is a little younger than `age`.
    fn pick_turn(&self, age: Duration) -> Option<(String, Instant)> {
        let now = Instant::now();
        let from = (now.checked_sub(age)?, String::new());
        let until = (now + MAX_WAIT).checked_sub(age)?;
        let mut records = self.caller.records.lock();
        let mut leaves = records.leaves.range(from..).take_while(|(at, _)| *at < until);
        let leaf = leaves.find(|(_, turn)| records.is_short(turn)).cloned()?;
        records.leaves.remove(&leaf);
        Some((leaf.1, leaf.0))
    }

    /// Continues a turn until it is answered, and not again once its retention has ended.
    fn continue_turn(&mut self, program: &str, turn: &str) {
        for attempt in 0.. {
            let gateway = self.caller.pick_gateway();
            let id = format!("{program}-{attempt}");
            let outcome = self.caller.try_turn(gateway, program, &id, Some(turn));
            let mut records = self.caller.records.lock();
            let age = records.age(turn, outcome.sent).unwrap_or_default();
            let class = age_class(&records, age);
            *records.ages.0.entry((class, outcome.status)).or_default() += 1;
            drop(records);
            let is_over = outcome.is_whole || matches!(outcome.status, 402 | 404 | 410);
            let is_stopping = self.caller.stop_flag.load(Ordering::Relaxed);
            if is_over || is_stopping || class == AgeClass::Expired {
                return;
            }
            thread::sleep(RETRY_PAUSE);
        }
    }
}

fn age_class(records: &Records, age: Duration) -> AgeClass {
    match records.retention.checked_sub(age) {
        None | Some(Duration::ZERO) => AgeClass::Expired,
        Some(remaining) if remaining <= LATE => AgeClass::Late,
        Some(_) => AgeClass::Early,
    }
}

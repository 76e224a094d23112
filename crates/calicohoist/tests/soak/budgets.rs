//! Programs that spend their budget, and return before the retention after their last answer ends.

use std::fmt;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use rand::RngExt;

use crate::ages::late_age;
use crate::caller::{Caller, TurnOutcome};
use crate::faults::Soak;
use crate::{MAX_TURN_TOKENS, Shared, TOKEN_BUDGET};

/// Separates the random streams of these callers from those of the others.
const BUDGET_SEED: u64 = 99 << 40;
/// Number of the first of these callers among the callers of turns.
const FIRST_CALLER: usize = 400;
const CALLERS: usize = 16;
const RETRY_PAUSE: Duration = Duration::from_millis(30);
/// Probability that a program returns shortly before the retention ends.
const LATE_PROBABILITY: f64 = 0.7;
/// How often a program returns.
const RETURNS: usize = 3;
/// Tries in which a program spends its budget.
const MAX_SPENDING_TRIES: usize = 20;
const BUDGET_SPENT: u16 = 402;

/// Programs whose budget was spent.
#[derive(Clone, Debug, Default)]
pub struct BudgetCounts {
    spent: u64,
    /// Returns that were refused.
    refused: u64,
    /// Returns within the retention that were served.
    served: u64,
    /// Returns that got no clear answer until the retention ended.
    unclear: u64,
}

impl BudgetCounts {
    /// Returns whether a return was answered.
    pub fn has_returned(&self) -> bool {
        self.refused + self.served > 0
    }
}

impl fmt::Display for BudgetCounts {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { spent, refused, served, unclear } = self;
        write!(
            formatter,
            "{spent} budgets spent; returns: {refused} refused, {served} served, {unclear} unclear"
        )
    }
}

/// Starts the callers.
pub fn start_returning_callers(
    seed: u64,
    soak: &Soak,
    records: &Shared,
    stop_flag: &Arc<AtomicBool>,
) -> Vec<JoinHandle<()>> {
    let retention = records.lock().retention;
    let numbers = (FIRST_CALLER, CALLERS);
    let callers = Caller::with_large_turns(numbers, seed, BUDGET_SEED, soak, records, stop_flag);
    let callers = callers.into_iter().map(|caller| ReturningCaller::new(caller, retention));
    callers.map(|caller| thread::spawn(|| caller.run())).collect()
}

/// Runs programs sequentially, each of which spends its budget and returns.
pub struct ReturningCaller {
    caller: Caller,
    retention: Duration,
}

/// A program and its last answer.
struct SpendingProgram {
    name: String,
    tries: usize,
    last_answer: Instant,
}

impl ReturningCaller {
    pub fn new(caller: Caller, retention: Duration) -> Self {
        Self { caller, retention }
    }

    pub fn run(mut self) {
        for number in 0.. {
            if self.has_stopped() {
                return;
            }
            let name = format!("back{}-{number}", self.caller.number);
            let mut program = SpendingProgram { name, tries: 0, last_answer: Instant::now() };
            if !self.spend(&mut program) {
                continue;
            }
            self.caller.records.lock().budgets.spent += 1;
            for _ in 0..RETURNS {
                if self.has_stopped() || !self.return_once(&mut program) {
                    break;
                }
            }
        }
    }

    fn has_stopped(&self) -> bool {
        self.caller.stop_flag.load(Ordering::Relaxed)
    }

    fn try_turn(&mut self, program: &mut SpendingProgram) -> TurnOutcome {
        program.tries += 1;
        let id = format!("{}-{}", program.name, program.tries);
        let gateway = self.caller.pick_gateway();
        let outcome = self.caller.try_turn(gateway, &program.name, &id, None);
        if outcome.is_whole || outcome.status == BUDGET_SPENT {
            program.last_answer = outcome.ended;
        }
        outcome
    }

    /// Runs turns until no other one fits the budget; returns whether that is so. Tokens that the caller
    /// has not received do not count: those of a turn that broke off may be given back.
    fn spend(&mut self, program: &mut SpendingProgram) -> bool {
        while program.tries < MAX_SPENDING_TRIES && !self.has_stopped() {
            let outcome = self.try_turn(program);
            let tokens = self.caller.records.lock().tokens.get(&program.name).copied();
            if tokens.unwrap_or(0) + MAX_TURN_TOKENS > TOKEN_BUDGET {
                return outcome.is_whole;
            }
            if outcome.status == BUDGET_SPENT {
                return false;
            }
            thread::sleep(RETRY_PAUSE);
        }
        false
    }

    /// Asks again within the retention after the last answer; returns whether that was refused.
    fn return_once(&mut self, program: &mut SpendingProgram) -> bool {
        let (rng, retention) = (&mut self.caller.rng, self.retention);
        let idle = match rng.random_bool(LATE_PROBABILITY) {
            true => late_age(rng, retention),
            false => retention.mul_f64(rng.random_range(0.0..1.0)),
        };
        let last_answer = program.last_answer;
        thread::sleep((last_answer + idle).saturating_duration_since(Instant::now()));
        while last_answer.elapsed() < retention && !self.has_stopped() {
            let outcome = self.try_turn(program);
            let idle = outcome.sent.saturating_duration_since(last_answer);
            let mut records = self.caller.records.lock();
            match outcome.status {
                BUDGET_SPENT => {
                    records.budgets.refused += 1;
                    return true;
                }
                200 if idle < retention => {
                    records.budgets.served += 1;
                    records.violations.push(format!(
                        "{} was served in try {} although its budget was spent, {idle:?} after its \
                         last answer",
                        program.name, program.tries
                    ));
                    return false;
                }
                200 => return false,
                _ => {}
            }
            drop(records);
            thread::sleep(RETRY_PAUSE);
        }
        self.caller.records.lock().budgets.unclear += 1;
        false
    }
}

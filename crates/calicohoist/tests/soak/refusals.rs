//! Callers that do not give a turn up, at gateways that are only stopped and reloaded, and the
//! judgement of retained turns that are refused again and again while first turns are served.

use std::collections::BTreeMap;
use std::fmt;
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
/// Refused tries in a row from which a continued turn is judged.
pub const MIN_REFUSALS: usize = 5;
/// First turns that must have been tried meanwhile.
pub const MIN_FIRST_TURNS: usize = 10;
/// Share of these that must have reached a replica.
const SERVED_SHARE: (usize, usize) = (9, 10);

/// A try of a turn that was answered.
#[derive(Clone, Debug)]
pub struct TurnTry {
    pub id: String,
    /// Turn, which all of its tries share.
    pub turn: String,
    pub is_continued: bool,
    pub status: u16,
    pub from: Instant,
    pub until: Instant,
}

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
        let retained = records.completed_at.iter().filter(|(_, at)| at.elapsed() < max_age);
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

/// Tries, and those that reached a replica.
#[derive(Clone, Copy, Debug, Default)]
struct Share {
    reached: usize,
    tried: usize,
}

impl Share {
    fn add(&mut self, has_reached: bool) {
        self.tried += 1;
        self.reached += usize::from(has_reached);
    }

    fn is_served(self) -> bool {
        let (numerator, denominator) = SERVED_SHARE;
        self.tried >= MIN_FIRST_TURNS && self.reached * denominator >= self.tried * numerator
    }
}

/// What was found about the turns of a run.
#[derive(Debug, Default)]
pub struct RefusalFindings {
    first: Share,
    continued: Share,
    /// Number of tries by status, of continued turns.
    statuses: BTreeMap<u16, usize>,
    /// Refused tries in a row of one turn, at most.
    longest: usize,
    stuck: Vec<String>,
}

impl RefusalFindings {
    pub fn violations(&self) -> Vec<String> {
        self.stuck.clone()
    }
}

impl fmt::Display for RefusalFindings {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { first, continued, statuses, longest, stuck } = self;
        write!(
            formatter,
            "{}/{} tries of first turns reached a replica, {}/{} of continued ones ({statuses:?}), \
             at most {longest} refused in a row, {} turns refused while first ones were served",
            first.reached,
            first.tried,
            continued.reached,
            continued.tried,
            stuck.len()
        )
    }
}

/// Judges the answered tries of a run; `has_reached` tells whether one reached a replica.
pub fn judge_refusals(tries: &[TurnTry], has_reached: impl Fn(&str) -> bool) -> RefusalFindings {
    let mut findings = RefusalFindings::default();
    let mut turns: BTreeMap<&str, Vec<&TurnTry>> = BTreeMap::new();
    let mut first_turns: Vec<(Instant, bool)> = Vec::new();
    for each in tries {
        let reached = has_reached(&each.id);
        if each.is_continued {
            findings.continued.add(reached);
            *findings.statuses.entry(each.status).or_default() += 1;
            turns.entry(&each.turn).or_default().push(each);
        } else {
            findings.first.add(reached);
            first_turns.push((each.from, reached));
        }
    }
    for tries in turns.values() {
        for refused in tries.split(|each| has_reached(&each.id)) {
            findings.longest = findings.longest.max(refused.len());
            if let Some(violation) = judge_refused(refused, &first_turns) {
                findings.stuck.push(violation);
            }
        }
    }
    findings
}

/// Judges tries in a row that reached no replica. Any [`MIN_REFUSALS`] of them may be a violation.
fn judge_refused(refused: &[&TurnTry], first_turns: &[(Instant, bool)]) -> Option<String> {
    refused.windows(MIN_REFUSALS).find_map(|window| {
        let (begin, end) = (window.first()?, window.last()?);
        let mut share = Share::default();
        first_turns
            .iter()
            .filter(|(from, _)| (begin.from..=end.until).contains(from))
            .for_each(|(_, has_reached)| share.add(*has_reached));
        let statuses: Vec<u16> = window.iter().map(|each| each.status).collect();
        share.is_served().then(|| {
            let Share { reached, tried } = share;
            format!(
                "{} was refused from {} on ({statuses:?}), while {reached} of {tried} first turns \
                 reached a replica",
                begin.turn, begin.id
            )
        })
    })
}

//! Retained turns after a fault that ends all processes at the same moment: how soon they reach a
//! replica when their callers try again, beside first turns.

use std::collections::{BTreeMap, HashMap};
use std::fmt;
use std::ops::Range;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::seq::{IndexedRandom as _, SliceRandom as _};
use rand::{RngExt as _, SeedableRng as _};

use crate::STORE_IPS;
use crate::cluster::{GATEWAY_IPS, number_from_environment};
use crate::final_fault::{
    KilledDeployment, RETRY_INTERVAL, Turn, kill_in_turn, start_in_random_order, try_exchange,
    turn_request,
};

/// Seed of the first deployment; overridden by `RECOVERY_SEED`.
const FIRST_SEED: u64 = 1;
/// Number of deployments; overridden by `RECOVERY_DEPLOYMENTS`.
const DEPLOYMENTS: u64 = 1;
/// Time after which requests must be served again.
const RECOVERY_TIME: Duration = Duration::from_secs(12);
/// The end of that time, in which the turns are judged.
const JUDGED_PERIOD: Range<Duration> = Duration::from_secs(8)..RECOVERY_TIME;
/// Callers of each kind.
const CALLERS: usize = 4;
/// Tries of a turn after which it must have reached a replica.
const MIN_TRIES: usize = 5;
const INPUT: &str = "next ";

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Kind {
    /// Continues a turn of its own program.
    Returning,
    /// The first turn of a program, which continues a turn of another one.
    Branching,
    /// Continues no turn.
    First,
}

/// A try of a turn.
struct Try {
    id: String,
    kind: Kind,
    /// Number of the turn; its tries share it.
    turn: usize,
    /// Index of the continued turn.
    previous: Option<usize>,
    at: Instant,
    /// 0 without a response.
    status: u16,
}

/// Sends turns until the end of the recovery time.
struct Caller<'a> {
    deployment: &'a KilledDeployment,
    is_over: &'a AtomicBool,
    next_turn: &'a AtomicUsize,
    random: StdRng,
    tries: Vec<Try>,
}

impl Caller<'_> {
    fn is_over(&self) -> bool {
        self.is_over.load(Ordering::SeqCst)
    }

    /// Continues retained turns one after another, each of them until it is answered whole.
    fn continue_turns(mut self, kind: Kind, mut order: Vec<usize>) -> Vec<Try> {
        order.shuffle(&mut self.random);
        for previous in order.into_iter().cycle() {
            if self.is_over() {
                break;
            }
            self.run(kind, Some(previous));
        }
        self.tries
    }

    fn begin_programs(mut self) -> Vec<Try> {
        while !self.is_over() {
            self.run(Kind::First, None);
        }
        self.tries
    }

    /// Tries a turn until it is answered whole.
    fn run(&mut self, kind: Kind, previous: Option<usize>) {
        let deployment = self.deployment;
        let number = self.next_turn.fetch_add(1, Ordering::SeqCst);
        let continued = previous.map(|index| &deployment.turns()[index]);
        let program = match (kind, continued) {
            (Kind::Returning, Some(turn)) => turn.program.clone(),
            _ => format!("program-{number}"),
        };
        for attempt in 0.. {
            let id = format!("{kind:?}-{number}-{attempt}");
            let request = turn_request(&program, &id, continued.map(|turn| &*turn.id), INPUT);
            let gateway = GATEWAY_IPS.choose(&mut self.random).expect("a gateway");
            let at = Instant::now();
            let response = try_exchange(deployment.cluster().http(gateway), &request);
            let response = response.unwrap_or_default();
            let is_served = response.status == 200 && response.is_complete;
            let status = response.status;
            self.tries.push(Try { id, kind, turn: number, previous, at, status });
            if is_served || self.is_over() {
                return;
            }
            thread::sleep(RETRY_INTERVAL);
        }
    }
}

/// Turns that were tried, and those that have reached a replica.
#[derive(Clone, Copy, Default)]
struct Share {
    reached: usize,
    tried: usize,
}

impl Share {
    fn value(self) -> f64 {
        self.reached as f64 / self.tried.max(1) as f64
    }
}

impl fmt::Display for Share {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}/{}", self.reached, self.tried)
    }
}

/// All tries, with the bodies that replicas have received.
struct Findings<'a> {
    turns: &'a [Turn],
    /// Moment at which all machines are back.
    back_at: Instant,
    tries: Vec<Try>,
    bodies: HashMap<String, Vec<u8>>,
}

impl Findings<'_> {
    /// Returns the share of the tries that have reached a replica, of those made between two times
    /// since the machines are back.
    fn tries(&self, kind: Kind, period: &Range<Duration>) -> Share {
        let mut share = Share::default();
        for each in self.tries.iter().filter(|each| each.kind == kind && self.is_in(each, period)) {
            share.tried += 1;
            share.reached += usize::from(self.bodies.contains_key(&each.id));
        }
        share
    }

    fn is_in(&self, each: &Try, period: &Range<Duration>) -> bool {
        each.at >= self.back_at && period.contains(&each.at.duration_since(self.back_at))
    }

    /// Prints the share of the tries that have reached a replica, for each second.
    fn print(&self) {
        for second in 0..RECOVERY_TIME.as_secs() {
            let second_of = Duration::from_secs(second)..Duration::from_secs(second + 1);
            let share = |kind| self.tries(kind, &second_of);
            println!(
                "{second} s: {} of returning, {} of branching, {} of first turns",
                share(Kind::Returning),
                share(Kind::Branching),
                share(Kind::First)
            );
        }
        let mut statuses: BTreeMap<(Kind, u16), usize> = BTreeMap::new();
        for each in &self.tries {
            *statuses.entry((each.kind, each.status)).or_default() += 1;
        }
        println!("statuses, with those before the machines were back: {statuses:?}");
    }

    /// Returns the tries of each turn in the judged time.
    fn judged(&self) -> HashMap<usize, Vec<&Try>> {
        let mut judged: HashMap<usize, Vec<&Try>> = HashMap::new();
        for each in self.tries.iter().filter(|each| self.is_in(each, &JUDGED_PERIOD)) {
            judged.entry(each.turn).or_default().push(each);
        }
        judged
    }

    fn assert_none_denied(&self) {
        let is_denied = |each: &&Try| [402, 404, 410].contains(&each.status);
        let denied: Vec<&str> =
            self.tries.iter().filter(is_denied).map(|each| each.id.as_str()).collect();
        assert!(denied.is_empty(), "{denied:?}");
    }

    /// Asserts that the replicas have received whole histories.
    fn assert_histories(&self) {
        for each in &self.tries {
            let Some(body) = self.bodies.get(&each.id) else {
                continue;
            };
            let history = each.previous.map_or("", |index| self.turns[index].history.as_str());
            let body = String::from_utf8_lossy(body);
            assert!(body == format!("{history}{INPUT}"), "history of {}", each.id);
        }
    }

    /// Asserts that each turn that was tried again and again reaches a replica, and that continued
    /// turns do so as often as first ones.
    fn assert_recovered(&self) {
        let stuck: Vec<&str> = self
            .judged()
            .values()
            .filter(|tries| tries.len() >= MIN_TRIES)
            .filter(|tries| tries.iter().all(|each| !self.bodies.contains_key(&each.id)))
            .map(|tries| tries[0].id.as_str())
            .collect();
        assert!(stuck.is_empty(), "no try of {stuck:?} reached a replica");
        let first = self.tries(Kind::First, &JUDGED_PERIOD);
        assert!(first.value() >= 0.8, "{first} first turns reached a replica");
        for kind in [Kind::Returning, Kind::Branching] {
            let share = self.tries(kind, &JUDGED_PERIOD);
            assert!(share.tried > MIN_TRIES, "{share} of {kind:?}");
            assert!(share.value() >= 0.8 * first.value(), "{share} of {kind:?}, {first} first");
        }
    }
}

/// Tries turns of all kinds while the machines start and until the end of the recovery time.
fn try_turns(deployment: &mut KilledDeployment, random: &mut StdRng) -> (Vec<Try>, Instant) {
    let (is_over, next_turn) = (AtomicBool::new(false), AtomicUsize::new(0));
    let mut machines = deployment.take_machines();
    let deployment = &*deployment;
    let (tries, back_at) = thread::scope(|scope| {
        let mut caller = || Caller {
            deployment,
            is_over: &is_over,
            next_turn: &next_turn,
            random: StdRng::seed_from_u64(random.random()),
            tries: Vec::new(),
        };
        let mut threads = Vec::new();
        for number in 0..CALLERS {
            let share = (0..deployment.turns().len()).skip(number).step_by(CALLERS);
            let share: Vec<usize> = share.collect();
            for kind in [Kind::Returning, Kind::Branching] {
                let (caller, order) = (caller(), share.clone());
                threads.push(scope.spawn(move || caller.continue_turns(kind, order)));
            }
            let caller = caller();
            threads.push(scope.spawn(|| caller.begin_programs()));
        }
        start_in_random_order(deployment.cluster(), &mut machines, random);
        let back_at = Instant::now();
        thread::sleep(RECOVERY_TIME);
        is_over.store(true, Ordering::SeqCst);
        let tries = threads.into_iter().flat_map(|thread| thread.join().expect("a caller"));
        (tries.collect(), back_at)
    });
    (tries, back_at)
}

fn play(seed: u64, loses_disk: bool) {
    println!("seed {seed}, loses a disk: {loses_disk}");
    let mut random = StdRng::seed_from_u64(seed);
    let mut deployment = KilledDeployment::play(&mut random, kill_in_turn);
    if loses_disk {
        deployment.lose_disk(STORE_IPS.choose(&mut random).expect("a machine"));
    }
    let (tries, back_at) = try_turns(&mut deployment, &mut random);
    let arrivals = deployment.arrivals().into_iter();
    let bodies = arrivals.map(|request| (request.id().to_owned(), request.body)).collect();
    let findings = Findings { turns: deployment.turns(), back_at, tries, bodies };
    findings.print();
    findings.assert_none_denied();
    findings.assert_histories();
    findings.assert_recovered();
}

fn play_all(loses_disk: bool) {
    let first = number_from_environment("RECOVERY_SEED", FIRST_SEED);
    let deployments = number_from_environment("RECOVERY_DEPLOYMENTS", DEPLOYMENTS);
    (first..first + deployments).for_each(|seed| play(seed, loses_disk));
}

#[test]
fn retained_turns_reach_replicas_as_first_ones_do_after_the_end_of_all_processes() {
    play_all(false);
}

#[test]
fn retained_turns_reach_replicas_as_first_ones_do_after_the_loss_of_a_disk() {
    play_all(true);
}

//! One run, its report, and many runs on all cores.

use std::ops::Range;
use std::str::FromStr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use calicohoist_types::Moment;
use parking_lot::Mutex;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};

use super::backends::PROBE_MODEL;
use super::disturb::MAX_CALLS;
use super::fault::Fault;
use super::scenario::{Planned, Scenario};
use super::waste::{HeldSamples, WastedCache, rebuilt_share};
use super::world::{Happening, START, World, WorldSize};
use crate::check::{Invariants, check};
use crate::demo::Percentiles;
use crate::deployment::Deployment;
use crate::history::{History, Holding};
use crate::workload::generate_programs;

/// Sizes of a simulated fleet.
const SIZE: WorldSize =
    // Few entries, so that snapshots are written and sent in every run.
    WorldSize { stores: 3, gateways: 4, engines: 6, replicas: 4, entries_per_snapshot: 300 };
/// The fleet has this long to come up and be declared.
const START_UP: Duration = Duration::from_secs(5);
/// Programs start within this time.
const START_WINDOW: Duration = Duration::from_secs(12);
/// Programs besides those of bursts.
const PROGRAMS: usize = 12;
/// Changes of the configuration that are probed, and the time between them.
const PROBES: u32 = 4;
const PROBE_INTERVAL: Duration = Duration::from_secs(4);
/// Nothing runs longer than this.
const LONGEST_RUN: Duration = Duration::from_secs(400);
/// A run with more events than this is a storm of messages, and no good run.
const MAX_EVENTS: u64 = 300_000;
/// Longest wait for engines to have released everything.
const RELEASE_PATIENCE: Duration = Duration::from_secs(30);
/// Time between looks at what engines hold.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(100);
/// Virtual time at which the fleet is up, in microseconds.
const START_MICROS: u64 = START.as_micros() + START_UP.as_micros() as u64;
/// Makes the faults of a seed independent of everything else drawn from it.
const FAULT_SEED: u64 = 0x005e_ed0f_fa17;
/// Lines of an excerpt.
const MAX_EXCERPT: usize = 16;

/// What to simulate.
#[derive(Clone, Copy, Debug)]
pub struct SimSettings {
    /// What goes wrong.
    pub scenario: Scenario,
    /// The service.
    pub deployment: Deployment,
    /// Everything follows from this.
    pub seed: u64,
}

/// What came of one run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SimReport {
    /// Name of the scenario.
    pub scenario: String,
    /// The service.
    pub deployment: Deployment,
    /// The seed.
    pub seed: u64,
    /// Digest of the whole event history.
    pub digest: String,
    /// Faults that were brought about.
    pub faults_injected: u64,
    /// Programs that ran, without sub-agents.
    pub programs: usize,
    /// Programs that had not come to an end when the run was cut off.
    pub unfinished: usize,
    /// The ten promises.
    pub invariants: Invariants,
    /// Latency of completed programs, in milliseconds of virtual time.
    pub program_latency_ms: Percentiles,
    /// Engine memory held or computed in vain.
    pub wasted_cache: WastedCache,
    /// Things that happened in the run.
    pub events: u64,
    /// Virtual time of the run, in milliseconds.
    pub virtual_ms: u64,
    /// The faults and when they began, in microseconds after the fleet was up.
    pub faults: Vec<(u64, Fault)>,
    /// Lines of the history that show the first violation.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub excerpt: Vec<String>,
}

impl SimReport {
    /// Whether every promise held and every program came to an end.
    pub fn is_good(&self) -> bool {
        let is_storm = self.events >= MAX_EVENTS;
        self.invariants.violations() == 0 && self.unfinished == 0 && !is_storm
    }

    /// Seed, promise and excerpt, for a person.
    pub fn describe(&self) -> String {
        let head = format!("{} {} seed {}", self.scenario, self.deployment.name(), self.seed);
        let mut lines = Vec::new();
        for (name, verdict) in self.invariants.named() {
            let examples = verdict.examples.iter();
            lines.extend(examples.map(|example| format!("{head}: {name}: {example}")));
        }
        if self.events >= MAX_EVENTS {
            lines.push(format!("{head}: a storm of more than {MAX_EVENTS} events"));
        }
        if self.unfinished > 0 {
            lines.push(format!("{head}: {} programs did not come to an end", self.unfinished));
        }
        for (at, fault) in &self.faults {
            lines.push(format!("    fault at {} us: {fault:?}", START_MICROS + at));
        }
        lines.extend(self.excerpt.iter().map(|line| format!("    {line}")));
        lines.join("\n")
    }
}

/// Seeds from a first one up to, but without, a last one; written `A..B`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SeedRange {
    /// The seeds.
    pub seeds: Range<u64>,
}

impl FromStr for SeedRange {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let (first, end) = text.split_once("..").ok_or("seeds are written A..B")?;
        let number = |part: &str| part.parse::<u64>().map_err(|error| format!("{part:?}: {error}"));
        Ok(Self { seeds: number(first)?..number(end)? })
    }
}

/// Runs one seed with the faults that its scenario draws.
pub fn run(settings: &SimSettings) -> (SimReport, History) {
    let mut random = ChaCha8Rng::seed_from_u64(settings.seed ^ FAULT_SEED);
    let planned = settings.scenario.plan(SIZE, &mut random);
    run_planned(settings, &planned)
}

/// Runs one seed with the given faults.
pub fn run_planned(settings: &SimSettings, planned: &[Planned]) -> (SimReport, History) {
    let mut world = World::new(settings.deployment, SIZE, settings.seed);
    let mut held = HeldSamples::default();
    world.declare_fleet();
    advance_until(&mut world, &mut held, START + START_UP);
    for plan in generate_programs(settings.deployment, PROGRAMS, START_WINDOW, settings.seed) {
        world.add_program(plan, MAX_CALLS);
    }
    for (at, fault) in planned {
        world.plan_in(*at, Happening::FaultBegins(*fault));
    }
    for number in 0..PROBES {
        advance_by(&mut world, &mut held, PROBE_INTERVAL * number.min(1));
        world.probe_change();
    }
    let latest = planned.iter().map(|(at, _)| START + START_UP + *at).max().unwrap_or_default();
    while world.now < START + LONGEST_RUN && (world.now < latest || !world.clients.are_done()) {
        advance_by(&mut world, &mut held, SAMPLE_INTERVAL);
    }
    wait_for_release(&mut world, &mut held);
    let (mut report, history) = conclude(settings, world, held);
    let micros = |(at, fault): &Planned| (at.as_micros() as u64, *fault);
    report.faults = planned.iter().map(micros).collect();
    report.faults.sort_by_key(|(at, _)| *at);
    (report, history)
}

fn advance_by(world: &mut World, held: &mut HeldSamples, time: Duration) {
    let end = world.now + time;
    advance_until(world, held, end);
}

fn advance_until(world: &mut World, held: &mut HeldSamples, end: Moment) {
    while world.now < end {
        let next = end.min(world.now + SAMPLE_INTERVAL);
        while world.events < MAX_EVENTS && world.advance(next) {}
        world.now = next;
        held.sample(world);
    }
}

fn wait_for_release(world: &mut World, held: &mut HeldSamples) {
    let end = world.now + RELEASE_PATIENCE;
    while world.now < end && holds_dead_memory(world) {
        advance_by(world, held, SAMPLE_INTERVAL);
    }
}

fn holds_dead_memory(world: &World) -> bool {
    let ended = world.ended_programs();
    let holdings = world.engines.iter().flat_map(|engine| engine.holdings());
    holdings.into_iter().any(|(program, _)| ended.contains(program.as_str()))
}

fn conclude(settings: &SimSettings, mut world: World, held: HeldSamples) -> (SimReport, History) {
    let unfinished = world.clients.programs.iter().filter(|program| !program.is_over).count();
    let mut history = std::mem::take(&mut world.history);
    // Probes are no programs of callers, so there is nothing to judge them by.
    for engine in world.engines.iter().filter(|engine| engine.model_name.as_str() != PROBE_MODEL) {
        history.engine_records.extend(engine.records());
        let holdings = engine.holdings().into_iter().map(|(program, tokens)| Holding {
            engine: engine.name.to_string(),
            program: program.to_string(),
            tokens,
        });
        history.holdings.extend(holdings);
    }
    let replicas = world.replicas.iter();
    history.service_records = replicas.flat_map(|replica| replica.records()).collect();
    let invariants = check(&history);
    let roots: Vec<_> = history.programs.iter().filter(|trace| trace.id == trace.root).collect();
    let completed = roots.iter().filter(|trace| trace.completed);
    let latencies = completed.filter_map(|trace| Some(trace.ended?.since(trace.started)));
    let latencies = latencies.map(|latency| latency.as_millis() as u64).collect();
    let report = SimReport {
        scenario: settings.scenario.name().to_owned(),
        deployment: settings.deployment,
        seed: settings.seed,
        digest: world.digest_with(&history),
        faults_injected: world.faults,
        programs: roots.len(),
        unfinished,
        faults: Vec::new(),
        excerpt: excerpt(&history, &invariants),
        invariants,
        program_latency_ms: Percentiles::of(latencies),
        wasted_cache: WastedCache {
            dead_held_share: held.dead_share(),
            rebuilt_token_share: rebuilt_share(&history.engine_records),
        },
        events: world.events,
        virtual_ms: world.now.since(START).as_millis() as u64,
    };
    (report, history)
}

/// Lines of the history about the program that the first violation names.
fn excerpt(history: &History, invariants: &Invariants) -> Vec<String> {
    let verdicts = invariants.named();
    let Some(example) = verdicts.iter().find_map(|(_, verdict)| verdict.examples.first()) else {
        return Vec::new();
    };
    let named = history.programs.iter().map(|trace| trace.id.as_str());
    let of_tries = history.tries.iter().map(|call| call.program.as_str());
    let program = named.chain(of_tries).filter(|id| example.contains(id)).max_by_key(|id| id.len());
    let Some(program) = program else {
        return Vec::new();
    };
    let mut lines: Vec<(Moment, String)> = Vec::new();
    for call in history.tries.iter().filter(|call| call.program == program) {
        let end = format!("{:?}", call.end).chars().take(60).collect::<String>();
        let text = format!(
            "{} to {} us: call {} key {} at gateway {}: {end}",
            call.sent.as_micros(),
            call.ended.as_micros(),
            call.sequence,
            call.key,
            call.gateway
        );
        lines.push((call.sent, text));
    }
    for record in history.engine_records.iter().filter(|record| record.program.as_str() == program)
    {
        let text = format!(
            "{} us: {} took attempt {}, finished {:?}",
            record.arrived.as_micros(),
            record.engine,
            record.attempt,
            record.finished.map(Moment::as_micros)
        );
        lines.push((record.arrived, text));
    }
    lines.sort();
    let surplus = lines.len().saturating_sub(MAX_EXCERPT);
    lines.into_iter().skip(surplus).map(|(_, text)| text).collect()
}

/// Runs every seed on all cores, in no order, and returns reports by seed.
pub fn run_many(
    scenario: Scenario,
    deployment: Deployment,
    seeds: Range<u64>,
    threads: usize,
) -> Vec<SimReport> {
    let next = AtomicU64::new(seeds.start);
    let reports = Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        for _ in 0..threads {
            scope.spawn(|| {
                loop {
                    let seed = next.fetch_add(1, Ordering::SeqCst);
                    if seed >= seeds.end {
                        return;
                    }
                    let (report, _) = run(&SimSettings { scenario, deployment, seed });
                    reports.lock().push(report);
                }
            });
        }
    });
    let mut reports = reports.into_inner();
    reports.sort_by_key(|report: &SimReport| report.seed);
    reports
}

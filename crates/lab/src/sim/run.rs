//! Runs single seeds and ranges of seeds, and reports the results.

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
use super::fault::Fault;
use super::fault_injection::MAX_CALLS;
use super::scenario::{Scenario, ScheduledFault};
use super::waste::{CacheSamples, WastedCache, recomputed_share};
use super::world::{START, SimEvent, World, WorldSize};
use crate::check::{Invariants, check};
use crate::demo::Percentiles;
use crate::deployment::Deployment;
use crate::history::{History, Holding};
use crate::workload::generate_programs;

/// Size of the simulated fleet.
const SIZE: WorldSize =
    // Low enough that every run writes and sends snapshots.
    WorldSize { stores: 3, gateways: 4, engines: 6, replicas: 4, entries_per_snapshot: 300 };
/// Time for the fleet to start and its configuration to be applied.
const STARTUP: Duration = Duration::from_secs(5);
/// Period within which the programs start.
const START_WINDOW: Duration = Duration::from_secs(12);
/// Number of programs, not counting bursts.
const PROGRAM_COUNT: usize = 12;
/// Number of probed configuration changes and the interval between them.
const PROBE_COUNT: u32 = 4;
const PROBE_INTERVAL: Duration = Duration::from_secs(4);
/// Maximum virtual duration of a run.
const MAX_DURATION: Duration = Duration::from_secs(400);
/// Maximum number of events; a run that reaches it fails as a message storm.
const MAX_EVENTS: u64 = 300_000;
/// Maximum wait for engines to release the cache of ended programs.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(30);
/// Interval between samples of the engine caches.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(100);
/// Virtual time at the end of startup, in microseconds.
const STARTUP_END_MICROS: u64 = START.as_micros() + STARTUP.as_micros() as u64;
/// Combined with the seed, so that faults use a random stream of their own.
const FAULT_SEED: u64 = 0x005e_ed0f_fa17;
/// Maximum number of lines of an excerpt.
const MAX_EXCERPT_LINES: usize = 16;

/// Settings of a run.
#[derive(Clone, Copy, Debug)]
pub struct SimSettings {
    /// The scenario.
    pub scenario: Scenario,
    /// The deployment.
    pub deployment: Deployment,
    /// Seed of all random decisions.
    pub seed: u64,
}

/// Result of one run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SimReport {
    /// Name of the scenario.
    pub scenario: String,
    /// The deployment.
    pub deployment: Deployment,
    /// The seed.
    pub seed: u64,
    /// Digest of all events and of the recorded history.
    pub digest: String,
    /// Number of injected faults.
    pub faults_injected: u64,
    /// Number of programs, without sub-agents.
    pub programs: usize,
    /// Number of programs still running when the run ended.
    pub unfinished: usize,
    /// Results of the invariant checks.
    pub invariants: Invariants,
    /// Latency of completed programs, in milliseconds of virtual time.
    pub program_latency_ms: Percentiles,
    /// Engine cache held for ended programs or computed more than once.
    pub wasted_cache: WastedCache,
    /// Number of events processed.
    pub events: u64,
    /// Virtual time of the run, in milliseconds.
    pub virtual_ms: u64,
    /// Scheduled faults with their injection times, in microseconds after startup.
    pub faults: Vec<(u64, Fault)>,
    /// Lines of the history about the first violation.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub excerpt: Vec<String>,
}

impl SimReport {
    /// Returns whether all invariants held and all programs ended within the event limit.
    pub fn is_good(&self) -> bool {
        let is_message_storm = self.events >= MAX_EVENTS;
        self.invariants.violations() == 0 && self.unfinished == 0 && !is_message_storm
    }

    /// Returns a readable description of the failures.
    pub fn describe(&self) -> String {
        let prefix = format!("{} {} seed {}", self.scenario, self.deployment.name(), self.seed);
        let mut lines = Vec::new();
        for (name, verdict) in self.invariants.named() {
            let examples = verdict.examples.iter();
            lines.extend(examples.map(|example| format!("{prefix}: {name}: {example}")));
        }
        if self.events >= MAX_EVENTS {
            lines.push(format!(
                "{prefix}: message storm: the run reached the limit of {MAX_EVENTS} events"
            ));
        }
        if self.unfinished > 0 {
            lines.push(format!("{prefix}: {} programs did not end", self.unfinished));
        }
        for (at, fault) in &self.faults {
            lines.push(format!("    fault at {} us: {fault:?}", STARTUP_END_MICROS + at));
        }
        lines.extend(self.excerpt.iter().map(|line| format!("    {line}")));
        lines.join("\n")
    }
}

/// A half-open range of seeds, written `A..B`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SeedRange {
    /// The seeds.
    pub seeds: Range<u64>,
}

impl FromStr for SeedRange {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let (first, end) = text.split_once("..").ok_or("a seed range must have the form A..B")?;
        let number = |part: &str| part.parse::<u64>().map_err(|error| format!("{part:?}: {error}"));
        Ok(Self { seeds: number(first)?..number(end)? })
    }
}

/// Runs one seed with the random faults of its scenario.
pub fn run(settings: &SimSettings) -> (SimReport, History) {
    let mut random = ChaCha8Rng::seed_from_u64(settings.seed ^ FAULT_SEED);
    let faults = settings.scenario.draw_faults(SIZE, &mut random);
    run_with_faults(settings, &faults)
}

/// Runs one seed with the given faults.
pub fn run_with_faults(settings: &SimSettings, faults: &[ScheduledFault]) -> (SimReport, History) {
    let mut world = World::new(settings.deployment, SIZE, settings.seed);
    let mut samples = CacheSamples::default();
    world.declare_fleet();
    advance_until(&mut world, &mut samples, START + STARTUP);
    for plan in generate_programs(settings.deployment, PROGRAM_COUNT, START_WINDOW, settings.seed) {
        world.add_program(plan, MAX_CALLS);
    }
    for (at, fault) in faults {
        world.schedule_in(*at, SimEvent::InjectFault(*fault));
    }
    for number in 0..PROBE_COUNT {
        advance_by(&mut world, &mut samples, PROBE_INTERVAL * number.min(1));
        world.probe_change();
    }
    let latest = faults.iter().map(|(at, _)| START + STARTUP + *at).max().unwrap_or_default();
    while world.now < START + MAX_DURATION && (world.now < latest || !world.clients.all_done()) {
        advance_by(&mut world, &mut samples, SAMPLE_INTERVAL);
    }
    wait_for_release(&mut world, &mut samples);
    let (mut report, history) = build_report(settings, world, samples);
    let to_micros = |(at, fault): &ScheduledFault| (at.as_micros() as u64, *fault);
    report.faults = faults.iter().map(to_micros).collect();
    report.faults.sort_by_key(|(at, _)| *at);
    (report, history)
}

fn advance_by(world: &mut World, samples: &mut CacheSamples, time: Duration) {
    let end = world.now + time;
    advance_until(world, samples, end);
}

fn advance_until(world: &mut World, samples: &mut CacheSamples, end: Moment) {
    while world.now < end {
        let next = end.min(world.now + SAMPLE_INTERVAL);
        while world.events < MAX_EVENTS && world.advance(next) {}
        world.now = next;
        samples.sample(world);
    }
}

fn wait_for_release(world: &mut World, samples: &mut CacheSamples) {
    let end = world.now + RELEASE_TIMEOUT;
    while world.now < end && has_unreleased_cache(world) {
        advance_by(world, samples, SAMPLE_INTERVAL);
    }
}

fn has_unreleased_cache(world: &World) -> bool {
    let ended = world.ended_programs();
    let holdings = world.engines.iter().flat_map(|engine| engine.holdings());
    holdings.into_iter().any(|(program, _)| ended.contains(program.as_str()))
}

fn build_report(
    settings: &SimSettings,
    mut world: World,
    samples: CacheSamples,
) -> (SimReport, History) {
    let unfinished = world.clients.programs.iter().filter(|program| !program.is_done).count();
    let mut history = std::mem::take(&mut world.history);
    // The calls of configuration probes belong to no recorded program.
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
            dead_held_share: samples.ended_share(),
            rebuilt_token_share: recomputed_share(&history.engine_records),
        },
        events: world.events,
        virtual_ms: world.now.since(START).as_millis() as u64,
    };
    (report, history)
}

/// Returns history lines about the program that the first violation mentions.
fn excerpt(history: &History, invariants: &Invariants) -> Vec<String> {
    let verdicts = invariants.named();
    let Some(example) = verdicts.iter().find_map(|(_, verdict)| verdict.examples.first()) else {
        return Vec::new();
    };
    let program_ids = history.programs.iter().map(|trace| trace.id.as_str());
    let call_program_ids = history.tries.iter().map(|call| call.program.as_str());
    let program = program_ids
        .chain(call_program_ids)
        .filter(|id| example.contains(id))
        .max_by_key(|id| id.len());
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
    let skipped = lines.len().saturating_sub(MAX_EXCERPT_LINES);
    lines.into_iter().skip(skipped).map(|(_, text)| text).collect()
}

/// Runs the seeds on `threads` threads and returns the reports in the order of seeds.
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

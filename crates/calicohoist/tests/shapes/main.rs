//! Plays of a deployment's whole shape as real processes.
//!
//! A shape is read from a file: zones, gateways, ledger machines with spares, services, routes with
//! retention and homes, tenants with keys and rates. Programs run chains of turns with branches and
//! calls of tools, while planned work of all kinds overlaps; nothing fails. All that callers,
//! operators and replicas saw is judged at the end.
//!
//! `CALICOHOIST_SHAPE` (a file in this folder), `CALICOHOIST_SHAPE_SECONDS` and
//! `CALICOHOIST_SHAPE_SEED` select another play, and `CALICOHOIST_SHAPE_BINARY` another build. A seed determines the order of
//! the planned work, but not the timing of the processes.

#[path = "../cluster/mod.rs"]
mod cluster;
#[path = "../../../../platform/tests/support/mod.rs"]
mod support;

#[path = "../soak/arrivals.rs"]
mod arrivals;
#[path = "../soak/attempts.rs"]
mod attempts;
#[path = "../soak/pool.rs"]
mod pool;
#[path = "../soak/refusals.rs"]
mod refusals;
#[path = "../soak/timeline.rs"]
mod timeline;
#[path = "../soak/unanswered.rs"]
mod unanswered;

mod client;
mod documents;
mod fleet;
mod judge;
mod kept;
mod operators;
mod planned;
mod programs;
mod records;
mod replicas;
mod shape;
mod shares;

use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use client::{Client, World};
use cluster::number_from_environment;
use documents::Variation;
use fleet::{Entry, Fleet};
use kept::{KeptTurns, continue_kept_turns};
use operators::{FIRST_VERSION, Versions, assert_played, operate, probe, put_version, read_last};
use planned::{PlannedWork, release, reload, restart_gateways, restart_ledger, retire};
use programs::{resume_streams, run_programs};
use rand::SeedableRng;
use rand::rngs::StdRng;
use shape::Shape;
use shares::share_core;
use support::wait_until;

const DEFAULT_SHAPE: &str = "small.toml";
const DEFAULT_SECONDS: u64 = 14;
const DEFAULT_SEED: u64 = 98;
/// Operators that change the configuration side by side.
const OPERATORS: u64 = 2;
/// Pause between two trims of what replicas have recorded.
const TRIM_INTERVAL: Duration = Duration::from_secs(1);
/// Violations that are printed.
const MAX_PRINTED: usize = 40;

/// Starts the processes and replicas of a shape, and waits until all gateways are ready.
fn start(shape: Shape, work: &PlannedWork, versions: &Versions) -> Arc<World> {
    let fleet = Fleet::start(shape);
    let entry = Entry::new(&fleet);
    let world = Arc::new(World {
        fleet,
        entry,
        records: Arc::default(),
        arrivals: arrivals::ArrivalLog::default(),
        kept_turns: KeptTurns::default(),
        is_over: AtomicBool::new(false),
    });
    for (index, service) in world.shape().services.iter().enumerate() {
        (0..service.replicas).for_each(|_| work.start_replica(&world, index));
    }
    let mut rng = StdRng::seed_from_u64(0);
    let variation = Variation::default();
    assert!(put_version(&world, versions, &mut rng, FIRST_VERSION, variation), "accepted");
    wait_until("all gateways are ready", || {
        world.fleet.gateways.iter().all(|gateway| world.fleet.is_ready(gateway))
    });
    world
}

/// Plays a shape; returns the violations.
fn play(shape: Shape, seed: u64, duration: Duration) -> Vec<String> {
    let (work, versions) = (PlannedWork::default(), Versions::default());
    let world = start(shape, &work, &versions);
    let started_at = Instant::now();
    let rng = |number: u64| StdRng::seed_from_u64(seed << 16 | number);
    let client = |number: u64| Client::new(&world, seed << 16 | number << 8, number as usize);
    let callers = world.shape().callers;
    thread::scope(|scope| {
        let (world, work, versions) = (&world, &work, &versions);
        scope.spawn(move || world.entry.watch(&world.fleet, &world.is_over));
        for number in 0..callers.programs {
            let client = client(number as u64);
            scope.spawn(move || run_programs(world, number, client));
        }
        for number in 0..callers.streams {
            let client = client(1_000 + number as u64);
            scope.spawn(move || resume_streams(world, number, client));
        }
        for number in 0..callers.keepers {
            let client = client(2_000 + number as u64);
            scope.spawn(move || continue_kept_turns(world, client));
        }
        for number in 0..OPERATORS {
            let rng = rng(10 + number);
            scope.spawn(move || operate(world, versions, rng));
        }
        let probe_rng = rng(20);
        scope.spawn(move || probe(world, versions, probe_rng));
        for series in 0..world.shape().planned.gateway_series {
            let rng = rng(30 + series as u64);
            scope.spawn(move || restart_gateways(world, work, series, rng));
        }
        let (ledger_rng, reload_rng, retire_rng) = (rng(50), rng(51), rng(52));
        scope.spawn(move || restart_ledger(world, work, ledger_rng));
        scope.spawn(move || reload(world, work, reload_rng));
        let share = move |node| {
            scope.spawn(move || share_core(world, &node));
        };
        world.fleet.gateways.iter().cloned().chain(world.fleet.ledger()).for_each(share);
        scope.spawn(move || retire(world, work, retire_rng, share));
        for index in 0..world.shape().services.len() {
            scope.spawn(move || release(world, work, index));
        }
        while started_at.elapsed() < duration {
            thread::sleep(TRIM_INTERVAL);
            work.trim();
        }
        world.is_over.store(true, Ordering::Relaxed);
    });
    read_last(&world, &versions, &mut rng(60));
    println!("configurations {:?}, slowest {:?}", versions.counts(), versions.slowest());
    let violations = judge::judge(&world, &work, started_at);
    let world = Arc::into_inner(world).expect("no other owner");
    let folder = world.fleet.end(!violations.is_empty());
    if violations.is_empty() {
        assert_played(&versions);
    }
    println!("logs {folder:?}");
    violations
}

#[test]
fn nothing_is_lost_in_planned_work_on_a_whole_shape() {
    let name = std::env::var("CALICOHOIST_SHAPE").unwrap_or_else(|_| DEFAULT_SHAPE.to_owned());
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/shapes");
    let shape = Shape::read(&folder.join(name));
    let seed = number_from_environment("CALICOHOIST_SHAPE_SEED", DEFAULT_SEED);
    let seconds = number_from_environment("CALICOHOIST_SHAPE_SECONDS", DEFAULT_SECONDS);
    let violations = play(shape, seed, Duration::from_secs(seconds));
    violations.iter().take(MAX_PRINTED).for_each(|violation| println!("{violation}"));
    assert!(violations.is_empty(), "seed {seed}: {} violations", violations.len());
}

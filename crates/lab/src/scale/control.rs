//! Control at a ladder of sizes: hollow gateways, which run the real protocol
//! but no calls, around three store machines, in virtual time.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::ENTRIES_PER_SNAPSHOT;
use crate::demo::Percentiles;
use crate::deployment::Deployment;
use crate::sim::cost::CostTracker;
use crate::sim::frame::Actor;
use crate::sim::world::{World, WorldSize};

/// Gateways of each rung; the last is the design size.
const RUNGS: [usize; 5] = [25, 50, 100, 200, 390];
/// Engines for each gateway at the design size, 600 before 390.
const ENGINES_PER_GATEWAY: f64 = 600.0 / 390.0;
/// The fleet has this long to come up and be declared.
const START_UP: Duration = Duration::from_secs(25);
/// Time that is measured.
const MEASURED: Duration = Duration::from_secs(10);
/// Changes whose way to all gateways is timed.
const CHANGES: u32 = 20;
/// Time between them.
const CHANGE_INTERVAL: Duration = Duration::from_secs(1);
const SEED: u64 = 390;

/// Costs at one size.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct ControlPoint {
    /// Hollow gateways.
    pub gateways: usize,
    /// Engines.
    pub engines: usize,
    /// Control bytes of one gateway, sent and received.
    pub gateway_bytes_per_second: f64,
    /// Control messages of one gateway, sent and received.
    pub gateway_messages_per_second: f64,
    /// Control work of one gateway, in percent of a core.
    pub gateway_core_percent: f64,
    /// Bytes of the busiest store machine.
    pub store_bytes_per_second: f64,
    /// Messages of the busiest store machine.
    pub store_messages_per_second: f64,
    /// Work of the busiest store machine, in percent of a core.
    pub store_core_percent: f64,
}

/// Time from acceptance until a change is in force everywhere.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct ChangeTimes {
    /// Gateways that have to act on it.
    pub gateways: usize,
    /// Changes.
    pub changes: usize,
    /// Milliseconds, to the next 20.
    pub in_force_ms: Percentiles,
}

/// Measures every rung up to `largest` gateways.
pub fn measure(largest: usize) -> (Vec<ControlPoint>, ChangeTimes) {
    let rungs = RUNGS.into_iter().filter(|gateways| *gateways <= largest);
    let last = rungs.clone().max();
    let mut points = Vec::new();
    let mut changes = None;
    for gateways in rungs {
        let mut world = start(gateways);
        points.push(measure_idle(&mut world, gateways));
        if last == Some(gateways) {
            changes = Some(measure_changes(&mut world, gateways));
        }
    }
    let none = ChangeTimes { gateways: 0, changes: 0, in_force_ms: Percentiles::default() };
    (points, changes.unwrap_or(none))
}

fn engines_of(gateways: usize) -> usize {
    (gateways as f64 * ENGINES_PER_GATEWAY).round() as usize
}

fn start(gateways: usize) -> World {
    let size = WorldSize {
        stores: 3,
        gateways,
        engines: engines_of(gateways),
        replicas: 10,
        entries_per_snapshot: ENTRIES_PER_SNAPSHOT,
    };
    let mut world = World::new(Deployment::Celje, size, SEED);
    world.declare_fleet();
    world.run_for(START_UP);
    world
}

fn measure_idle(world: &mut World, gateways: usize) -> ControlPoint {
    world.cost_tracker = Some(CostTracker::default());
    world.run_for(MEASURED);
    let cost_tracker = world.cost_tracker.take().unwrap_or_default();
    let seconds = MEASURED.as_secs_f64();
    let sum = |value: fn(crate::sim::cost::Cost) -> f64| {
        let costs = (0..gateways).map(|index| value(cost_tracker.cost(Actor::Gateway(index))));
        costs.sum::<f64>() / gateways as f64 / seconds
    };
    let busiest = cost_tracker.busiest_store();
    ControlPoint {
        gateways,
        engines: engines_of(gateways),
        gateway_bytes_per_second: sum(|cost| cost.bytes as f64),
        gateway_messages_per_second: sum(|cost| cost.messages as f64),
        gateway_core_percent: sum(|cost| cost.busy.as_secs_f64() * 100.0),
        store_bytes_per_second: busiest.bytes as f64 / seconds,
        store_messages_per_second: busiest.messages as f64 / seconds,
        store_core_percent: busiest.busy.as_secs_f64() * 100.0 / seconds,
    }
}

fn measure_changes(world: &mut World, gateways: usize) -> ChangeTimes {
    for _ in 0..CHANGES {
        world.measure_change_latency();
        world.run_for(CHANGE_INTERVAL);
    }
    world.run_for(CHANGE_INTERVAL * 5);
    let times = world.change_latencies_ms();
    ChangeTimes { gateways, changes: times.len(), in_force_ms: Percentiles::of(times) }
}

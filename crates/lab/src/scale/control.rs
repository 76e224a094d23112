//! Control-plane costs by fleet size: simulated gateways run the control protocol without calls
//! against three store machines, in virtual time.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::ENTRIES_PER_SNAPSHOT;
use crate::demo::Percentiles;
use crate::deployment::Deployment;
use crate::sim::cost::CostTracker;
use crate::sim::frame::Actor;
use crate::sim::world::{World, WorldSize};

/// Numbers of gateways to measure; the last is the design size.
const GATEWAY_COUNTS: [usize; 5] = [25, 50, 100, 200, 390];
/// Engines per gateway at the design size.
const ENGINES_PER_GATEWAY: f64 = 600.0 / 390.0;
/// Virtual time before measuring, for the fleet to start and be declared.
const STARTUP_DURATION: Duration = Duration::from_secs(25);
/// Virtual time over which costs are measured.
const MEASUREMENT_DURATION: Duration = Duration::from_secs(10);
/// Configuration changes whose propagation is timed.
const CHANGE_COUNT: u32 = 20;
const CHANGE_INTERVAL: Duration = Duration::from_secs(1);
const SEED: u64 = 390;

/// Control-plane costs at one fleet size.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct ControlPoint {
    /// Number of gateways.
    pub gateways: usize,
    /// Number of engines.
    pub engines: usize,
    /// Mean control traffic of a gateway, sent and received.
    pub gateway_bytes_per_second: f64,
    /// Mean control messages of a gateway, sent and received.
    pub gateway_messages_per_second: f64,
    /// Mean busy time of a gateway, in percent of a core.
    pub gateway_core_percent: f64,
    /// Traffic of the busiest store machine.
    pub store_bytes_per_second: f64,
    /// Messages of the busiest store machine, sent and received.
    pub store_messages_per_second: f64,
    /// Busy time of the busiest store machine, in percent of a core.
    pub store_core_percent: f64,
}

/// Times from acceptance of a configuration change until it is in force on all gateways.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct ChangeTimes {
    /// Number of gateways.
    pub gateways: usize,
    /// Number of changes that were timed.
    pub changes: usize,
    /// Milliseconds, with a resolution of 20 ms.
    pub in_force_ms: Percentiles,
}

/// Measures costs at each fleet size up to `largest` gateways, and the propagation of changes at
/// the largest of them.
pub fn measure(largest: usize) -> (Vec<ControlPoint>, ChangeTimes) {
    let gateway_counts = GATEWAY_COUNTS.into_iter().filter(|gateways| *gateways <= largest);
    let largest_count = gateway_counts.clone().max();
    let mut points = Vec::new();
    let mut changes = None;
    for gateways in gateway_counts {
        let mut world = start_world(gateways);
        points.push(measure_idle(&mut world, gateways));
        if largest_count == Some(gateways) {
            changes = Some(measure_changes(&mut world, gateways));
        }
    }
    let no_changes = ChangeTimes { gateways: 0, changes: 0, in_force_ms: Percentiles::default() };
    (points, changes.unwrap_or(no_changes))
}

fn engine_count(gateways: usize) -> usize {
    (gateways as f64 * ENGINES_PER_GATEWAY).round() as usize
}

fn start_world(gateways: usize) -> World {
    let size = WorldSize {
        stores: 3,
        gateways,
        engines: engine_count(gateways),
        replicas: 10,
        entries_per_snapshot: ENTRIES_PER_SNAPSHOT,
    };
    let mut world = World::new(Deployment::Celje, size, SEED);
    world.declare_fleet();
    world.run_for(STARTUP_DURATION);
    world
}

fn measure_idle(world: &mut World, gateways: usize) -> ControlPoint {
    world.cost_tracker = Some(CostTracker::default());
    world.run_for(MEASUREMENT_DURATION);
    let cost_tracker = world.cost_tracker.take().unwrap_or_default();
    let seconds = MEASUREMENT_DURATION.as_secs_f64();
    let gateway_mean = |value: fn(crate::sim::cost::Cost) -> f64| {
        let costs = (0..gateways).map(|index| value(cost_tracker.cost(Actor::Gateway(index))));
        costs.sum::<f64>() / gateways as f64 / seconds
    };
    let busiest = cost_tracker.busiest_store();
    ControlPoint {
        gateways,
        engines: engine_count(gateways),
        gateway_bytes_per_second: gateway_mean(|cost| cost.bytes as f64),
        gateway_messages_per_second: gateway_mean(|cost| cost.messages as f64),
        gateway_core_percent: gateway_mean(|cost| cost.busy.as_secs_f64() * 100.0),
        store_bytes_per_second: busiest.bytes as f64 / seconds,
        store_messages_per_second: busiest.messages as f64 / seconds,
        store_core_percent: busiest.busy.as_secs_f64() * 100.0 / seconds,
    }
}

fn measure_changes(world: &mut World, gateways: usize) -> ChangeTimes {
    for _ in 0..CHANGE_COUNT {
        world.measure_change_latency();
        world.run_for(CHANGE_INTERVAL);
    }
    world.run_for(CHANGE_INTERVAL * 5);
    let times = world.change_latencies_ms();
    ChangeTimes { gateways, changes: times.len(), in_force_ms: Percentiles::of(times) }
}

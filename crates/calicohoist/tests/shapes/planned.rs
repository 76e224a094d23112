//! Planned work in series that overlap: stops, reloads, releases and retirements.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use parking_lot::Mutex;
use rand::RngExt;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom as _;
use serde_json::json;

use crate::client::World;
use crate::fleet::Node;
use crate::replicas::{start_model, start_tool};
use crate::shape::Service;
use crate::support::{ScriptedReplica, remove_entry};

/// Longest time that a machine is away between its stop and its start.
const MAX_ABSENCE: Duration = Duration::from_secs(1);
/// Time in which a replica that is shown as draining still serves.
pub const DRAIN_TIME: Duration = Duration::from_secs(3);
/// How much longer a draining replica is listed, and how much longer its process runs.
const DRAIN_MARGIN: Duration = Duration::from_secs(1);
const END_MARGIN: Duration = Duration::from_secs(5);
/// Longest wait until enough machines have joined, and until a machine is empty.
const RETIREMENT_PATIENCE: Duration = Duration::from_secs(40);
const RETIREMENT_POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Part of the gateways that may be stopped at a time.
const STOPPED_SHARE: usize = 4;

/// A replica that was shown as draining.
pub struct Drained {
    pub replica: String,
    pub at: Instant,
}

/// Planned work that was done.
#[derive(Default)]
pub struct PlannedWork {
    counts: Mutex<BTreeMap<&'static str, u64>>,
    pub drained: Mutex<Vec<Drained>>,
    replicas: Mutex<Vec<(usize, ScriptedReplica)>>,
    ended_replicas: Mutex<Vec<ScriptedReplica>>,
    started_replicas: AtomicUsize,
    slowest_retirement: Mutex<Duration>,
}

impl PlannedWork {
    fn count(&self, what: &'static str) {
        *self.counts.lock().entry(what).or_default() += 1;
    }

    pub fn counts(&self) -> BTreeMap<&'static str, u64> {
        self.counts.lock().clone()
    }

    pub fn slowest_retirement(&self) -> Duration {
        *self.slowest_retirement.lock()
    }

    /// Starts a replica of the service with this index.
    pub fn start_replica(&self, world: &World, index: usize) {
        let service: &Service = &world.shape().services[index];
        let number = self.started_replicas.fetch_add(1, Ordering::Relaxed);
        let name = format!("{}-{number}", service.name);
        let replica = match service.is_model {
            true => start_model(&name, &world.arrivals, &world.records),
            false => start_tool(&name, &world.arrivals, &world.records),
        };
        let list = &world.fleet.list;
        let zone = world.shape().zone(number);
        list.put_in_zone(zone, &replica, &service.name, "ready");
        list.set_field(&replica, "slots", json!(service.slots));
        self.replicas.lock().push((index, replica));
    }

    /// Forgets the requests that replicas have recorded.
    pub fn trim(&self) {
        let replicas = self.replicas.lock();
        replicas.iter().for_each(|(_, replica)| replica.recorded_requests.lock().clear());
    }
}

/// Stops and starts gateways one after the other.
pub fn restart_gateways(world: &World, work: &PlannedWork, series: usize, mut rng: StdRng) {
    let planned = world.shape().planned;
    let pause = Duration::from_millis(planned.gateway_pause_ms);
    let gateways = &world.fleet.gateways;
    let side_by_side = (gateways.len() / STOPPED_SHARE).clamp(1, planned.gateway_series);
    if series >= side_by_side {
        return;
    }
    for number in (series..gateways.len()).step_by(side_by_side).cycle() {
        if !world.pause(pause.mul_f64(rng.random_range(0.2..1.8))) {
            return;
        }
        let node = &gateways[number];
        let _work = node.work.lock();
        world.fleet.restart(node, MAX_ABSENCE.mul_f64(rng.random()));
        work.count("gateway stops");
    }
}

/// Stops and starts ledger machines one after the other.
pub fn restart_ledger(world: &World, work: &PlannedWork, mut rng: StdRng) {
    let pause = Duration::from_millis(world.shape().planned.ledger_pause_ms);
    while world.pause(pause) {
        let ledger = world.fleet.ledger();
        let Some(node) = ledger.choose(&mut rng) else { continue };
        let _work = node.work.lock();
        // It may have been removed meanwhile.
        if world.fleet.ledger().iter().any(|other| Arc::ptr_eq(other, node)) {
            world.fleet.restart(node, MAX_ABSENCE.mul_f64(rng.random()));
            work.count("ledger stops");
        }
    }
}

/// Sends SIGHUP to machines of both roles.
pub fn reload(world: &World, work: &PlannedWork, mut rng: StdRng) {
    let pause = Duration::from_millis(world.shape().planned.reload_pause_ms);
    while world.pause(pause.mul_f64(rng.random_range(0.5..1.5))) {
        let ledger = world.fleet.ledger();
        let nodes: Vec<&Arc<Node>> = ledger.iter().chain(&world.fleet.gateways).collect();
        if let Some(node) = nodes.choose(&mut rng)
            && let Some(_work) = node.work.try_lock()
        {
            world.fleet.reload(node);
            work.count("reloads");
        }
    }
}

/// Replaces the replicas of a service one after the other.
pub fn release(world: &World, work: &PlannedWork, index: usize) {
    let pause = Duration::from_millis(world.shape().planned.release_pause_ms);
    while world.pause(pause) {
        work.start_replica(world, index);
        if !world.pause(pause) {
            return;
        }
        let replaced = {
            let mut replicas = work.replicas.lock();
            let oldest = replicas.iter().position(|(service, _)| *service == index);
            replicas.remove(oldest.expect("a replica of the service")).1
        };
        let list = &world.fleet.list;
        list.set_field(&replaced, "state", json!("draining"));
        let drained = Drained { replica: replaced.id.clone(), at: Instant::now() };
        work.drained.lock().push(drained);
        work.count("releases");
        let has_ended = world.pause(DRAIN_TIME + DRAIN_MARGIN);
        remove_entry(&list.instances, &replaced.id);
        if has_ended && world.pause(END_MARGIN) {
            replaced.process.crash();
        }
        work.ended_replicas.lock().push(replaced);
    }
}

/// Retires ledger machines, each after another one has joined; calls `on_join` with that one.
pub fn retire(world: &World, work: &PlannedWork, mut rng: StdRng, on_join: impl Fn(Arc<Node>)) {
    let planned = world.shape().planned;
    let pause = Duration::from_millis(planned.retirement_pause_ms);
    let shape = world.shape().ledger;
    while world.pause(pause) {
        while world.fleet.ledger().len() < shape.machines + shape.spares {
            on_join(world.fleet.join_ledger());
            work.count("ledger machines joined");
        }
        let ledger = world.fleet.ledger();
        // The newest ones have just been asked to join.
        let candidates = &ledger[..shape.machines];
        let Some(node) = candidates.choose(&mut rng) else { continue };
        retire_machine(world, work, node, &mut rng);
    }
}

fn retire_machine(world: &World, work: &PlannedWork, node: &Arc<Node>, rng: &mut StdRng) {
    let path = format!("/-/retire/{}", node.name);
    let body = json!({ "duration_s": 10 }).to_string();
    let started_at = Instant::now();
    let call = |rng: &mut StdRng, method: &str, body: &str| {
        let ledger = world.fleet.ledger();
        let control = ledger.choose(rng).expect("a ledger machine");
        world.fleet.operate(control, "retire", method, &path, body)
    };
    let is_done = |reply: &(u16, Vec<u8>)| {
        let document = serde_json::from_slice::<serde_json::Value>(&reply.1).ok();
        reply.0 == 200 && document.is_some_and(|document| document["state"] == "completed")
    };
    let mut has_begun = false;
    while started_at.elapsed() < RETIREMENT_PATIENCE {
        if !world.pause(RETIREMENT_POLL_INTERVAL) {
            return;
        }
        if !has_begun {
            has_begun = call(rng, "POST", &body).0 == 200;
        } else if is_done(&call(rng, "GET", "")) {
            world.fleet.remove_ledger(node);
            work.count("retirements");
            let mut slowest = work.slowest_retirement.lock();
            *slowest = slowest.max(started_at.elapsed());
            return;
        }
    }
    work.count(if has_begun { "retirements not completed" } else { "retirements not begun" });
}

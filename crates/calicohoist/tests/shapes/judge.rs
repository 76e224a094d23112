//! Judgement of a run by what callers, operators and replicas saw.

use std::time::Instant;

use crate::arrivals::{Arrival, Outcome};
use crate::client::World;
use crate::planned::{DRAIN_TIME, PlannedWork};
use crate::refusals::judge_refusals;
use crate::unanswered::judge_all;

/// Judges a run that began at `start`; prints a summary, and returns all violations.
pub fn judge(world: &World, work: &PlannedWork, start: Instant) -> Vec<String> {
    let timeline = world.fleet.timeline.lock().clone();
    let findings = judge_all(&world.fleet.attempts, &world.arrivals, &timeline, start);
    println!("{findings}");
    if !findings.losses.is_empty() {
        let descriptions = findings.descriptions.iter();
        descriptions.for_each(|text| world.records.violate(format!("LOST: {text}")));
    }
    let tries = world.records.tries();
    let refusals = judge_refusals(&tries, |id| !runs_of(&world.arrivals.of(id)).is_empty());
    println!("{refusals}");
    let stuck = refusals.violations().into_iter();
    stuck.for_each(|text| world.records.violate(format!("LOST: {text}")));
    world.records.check_runs(|id| runs_of(&world.arrivals.of(id)).len());
    check_drains(world, work);
    world.fleet.note_ends();
    for ((kind, status, reason), count) in world.records.statuses() {
        println!("  {count} {kind}: {status} {reason}");
    }
    println!("late turns {:?}", world.records.late_turns());
    println!("planned work {:?}", work.counts());
    println!("slowest retirement {:?}", work.slowest_retirement());
    let mut violations = world.records.violations();
    violations.extend(world.fleet.violations.lock().iter().cloned());
    violations
}

/// Returns the arrivals of a request that a replica ran.
fn runs_of(arrivals: &[Arrival]) -> Vec<&Arrival> {
    arrivals.iter().filter(|arrival| arrival.outcome != Outcome::Rejected).collect()
}

/// Checks that gateways in touch sent nothing to replicas that had been drained.
fn check_drains(world: &World, work: &PlannedWork) {
    for drained in work.drained.lock().iter() {
        let until = drained.at + DRAIN_TIME;
        world.arrivals.for_each_at(&drained.replica, |id, arrival| {
            let is_late = arrival.at > until && world.fleet.is_ledger_calm(arrival.at);
            let Some(node) = world.records.node_of(id).filter(|_| is_late) else { return };
            if node.is_in_touch(arrival.at) {
                let late = arrival.at - drained.at;
                let (name, replica) = (&node.name, &drained.replica);
                let text = format!("DRAIN: {id} from {name} reached {replica} {late:?} later");
                world.records.violate(text);
            }
        });
    }
}

//! The operator drains zones and gives them back, one after the other.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use rand::RngExt;
use rand::rngs::StdRng;

use crate::Shared;
use crate::caller::try_exchange;
use crate::faults::{REPLICAS, ZONES};
use crate::support::ScriptedReplica;

/// Time after an acknowledgement from which no request may arrive: gateways find another leader
/// well within it, whatever happens to store machines.
const BOUND: Duration = Duration::from_secs(5);
/// Longest time for which one order is sent again.
const ORDER_PATIENCE: Duration = Duration::from_secs(5);
const PAUSE: Duration = Duration::from_millis(100);

/// A zone that got nothing between these two moments.
#[derive(Clone, Copy, Debug)]
pub struct Drain {
    zone: &'static str,
    acknowledged: Instant,
    /// When the zone was first asked back.
    withdrawn: Instant,
}

/// Drains a zone for a while, gives it back, and turns to the next one.
pub fn drain_zones(
    controls: &[SocketAddr],
    mut random: StdRng,
    records: &Shared,
    is_over: &AtomicBool,
) {
    while !is_over.load(Ordering::Relaxed) {
        let zone = ZONES[random.random_range(0..ZONES.len())];
        let acknowledged = order(controls, "POST", zone, records);
        let lasting = BOUND + Duration::from_millis(random.random_range(500..2_500));
        let until = Instant::now() + lasting;
        while acknowledged.is_some() && Instant::now() < until && !is_over.load(Ordering::Relaxed) {
            thread::sleep(PAUSE);
        }
        let withdrawn = Instant::now();
        if let Some(acknowledged) = acknowledged {
            records.lock().drains.push(Drain { zone, acknowledged, withdrawn });
        }
        // Also when it was never acknowledged: it may have been taken.
        while order(controls, "DELETE", zone, records).is_none() {}
    }
}

/// Sends an order to one machine after the other; when it was acknowledged.
fn order(controls: &[SocketAddr], method: &str, zone: &str, records: &Shared) -> Option<Instant> {
    let request = format!(
        "{method} /-/evacuations/{zone} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\
         Content-Length: 0\r\n\r\n"
    );
    let until = Instant::now() + ORDER_PATIENCE;
    while Instant::now() < until {
        for control in controls {
            let status = try_exchange(*control, request.as_bytes()).map(|reply| reply.status);
            match status {
                Some(200) => return Some(Instant::now()),
                Some(refused) if (400..500).contains(&refused) => {
                    let violation = format!("{method} for {zone} was answered {refused}");
                    records.lock().violations.push(violation);
                }
                _ => {}
            }
        }
        thread::sleep(PAUSE);
    }
    None
}

/// Requests that reached a zone while it was to get nothing.
pub fn judge_drains(replicas: &[ScriptedReplica], drains: &[Drain]) -> Vec<String> {
    let mut violations = Vec::new();
    for drain in drains {
        let from = drain.acknowledged + BOUND;
        let names = REPLICAS.iter().filter(|(_, _, zone)| *zone == drain.zone);
        let names: Vec<&str> = names.map(|(name, ..)| *name).collect();
        let drained = replicas.iter().filter(|replica| names.contains(&replica.id.as_str()));
        for seen in drained.flat_map(ScriptedReplica::requests) {
            let late = seen.received_at.filter(|at| *at > from && *at < drain.withdrawn);
            if let Some(at) = late {
                let after = (at - drain.acknowledged).as_millis();
                violations.push(format!("{} reached {} {after} ms after", seen.id(), drain.zone));
            }
        }
    }
    violations
}

//! Simulated network: delay, loss, duplication and partitions.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use calicohoist_types::{Moment, Zone};
use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use super::frame::Actor;
use crate::deployment::Deployment;

/// Number of zones of a deployment.
const ZONES: usize = 4;
/// Maximum random addition to a delay, relative to its base.
const JITTER: f64 = 0.5;

/// The network between all nodes.
#[derive(Debug)]
pub struct Network {
    zone_delay: Duration,
    client_delay: Duration,
    /// Probability that a frame is lost.
    pub loss: f64,
    /// Probability that a frame is delivered twice.
    pub duplication: f64,
    isolated: BTreeSet<Actor>,
    partitioned_zones: BTreeSet<usize>,
    /// Latest arrival time per ordered connection.
    ordered: BTreeMap<(Actor, Actor), Moment>,
}

/// Returns the zone of a node; clients and the platform belong to none.
pub fn zone_of(actor: Actor) -> Option<usize> {
    match actor {
        Actor::Store(index) | Actor::Gateway(index) => Some(index % ZONES),
        Actor::Engine(index) | Actor::Replica(index) => Some(index % ZONES),
        Actor::Platform | Actor::Client => None,
    }
}

/// Returns the name of the zone of the node with this index.
pub fn zone_name(index: usize) -> Zone {
    Zone::new(format!("zone-{}", index % ZONES))
}

impl Network {
    /// Creates a network with the delays of a deployment.
    pub fn new(deployment: Deployment) -> Self {
        Self {
            zone_delay: deployment.zone_delay(),
            client_delay: deployment.client_delay(),
            loss: 0.0,
            duplication: 0.0,
            isolated: BTreeSet::new(),
            partitioned_zones: BTreeSet::new(),
            ordered: BTreeMap::new(),
        }
    }

    /// Disconnects a node from all others, or reconnects it.
    pub fn isolate(&mut self, actor: Actor, isolated: bool) {
        if isolated {
            self.isolated.insert(actor);
        } else {
            self.isolated.remove(&actor);
        }
    }

    /// Partitions a zone from the others, or reconnects it.
    pub fn partition_zone(&mut self, zone: usize, partitioned: bool) {
        if partitioned {
            self.partitioned_zones.insert(zone);
        } else {
            self.partitioned_zones.remove(&zone);
        }
    }

    /// Returns whether frames can pass between two nodes.
    pub fn is_connected(&self, from: Actor, to: Actor) -> bool {
        if self.isolated.contains(&from) || self.isolated.contains(&to) {
            return false;
        }
        let (from, to) = (zone_of(from), zone_of(to));
        let is_partitioned =
            |zone: Option<usize>| zone.is_some_and(|zone| self.partitioned_zones.contains(&zone));
        from == to || (!is_partitioned(from) && !is_partitioned(to))
    }

    /// Returns the random arrival times of a frame: none if lost, two if duplicated.
    pub fn arrivals(
        &mut self,
        now: Moment,
        from: Actor,
        to: Actor,
        random: &mut ChaCha8Rng,
    ) -> Vec<Moment> {
        if !self.is_connected(from, to) || random.random_bool(self.loss) {
            return Vec::new();
        }
        let mut arrivals = vec![now + self.delay(from, to, random)];
        if random.random_bool(self.duplication) {
            arrivals.push(now + self.delay(from, to, random) * 3);
        }
        arrivals
    }

    /// Returns the arrival time of a frame on an ordered connection; `None` if there is no path.
    pub fn ordered_arrival(
        &mut self,
        now: Moment,
        from: Actor,
        to: Actor,
        random: &mut ChaCha8Rng,
    ) -> Option<Moment> {
        if !self.is_connected(from, to) {
            return None;
        }
        let arrival = now + self.delay(from, to, random);
        let latest = self.ordered.entry((from, to)).or_default();
        *latest = arrival.max(*latest + Duration::from_micros(1));
        Some(*latest)
    }

    fn delay(&self, from: Actor, to: Actor, random: &mut ChaCha8Rng) -> Duration {
        let is_client = |actor: Actor| zone_of(actor).is_none();
        let base = if is_client(from) || is_client(to) {
            self.client_delay
        } else if zone_of(from) == zone_of(to) {
            self.zone_delay / 10
        } else {
            self.zone_delay
        };
        base.mul_f64(1.0 + JITTER * random.random_range(0.0..1.0))
    }
}

//! Delays, losses, repetitions and cuts.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use calicohoist_types::{Moment, Zone};
use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use super::frame::Actor;
use crate::deployment::Deployment;

/// Zones of a deployment.
const ZONES: usize = 4;
/// Part of a delay that varies.
const JITTER: f64 = 0.5;

/// The network between all parts.
#[derive(Debug)]
pub struct Network {
    zone_delay: Duration,
    client_delay: Duration,
    /// Share of frames that are lost.
    pub loss: f64,
    /// Share of frames that arrive twice.
    pub repetition: f64,
    isolated: BTreeSet<Actor>,
    cut_zones: BTreeSet<usize>,
    /// Latest arrival on connections that keep their order.
    ordered: BTreeMap<(Actor, Actor), Moment>,
}

/// Zone of a part; clients and platform are in none.
pub fn zone_of(actor: Actor) -> Option<usize> {
    match actor {
        Actor::Store(index) | Actor::Gateway(index) => Some(index % ZONES),
        Actor::Engine(index) | Actor::Replica(index) => Some(index % ZONES),
        Actor::Platform | Actor::Client => None,
    }
}

/// Name of the zone that the part with this number is in.
pub fn zone_name(index: usize) -> Zone {
    Zone::new(format!("zone-{}", index % ZONES))
}

impl Network {
    /// A network with the delays of a deployment.
    pub fn new(deployment: Deployment) -> Self {
        Self {
            zone_delay: deployment.zone_delay(),
            client_delay: deployment.client_delay(),
            loss: 0.0,
            repetition: 0.0,
            isolated: BTreeSet::new(),
            cut_zones: BTreeSet::new(),
            ordered: BTreeMap::new(),
        }
    }

    /// Cuts a part off from everything, or joins it again.
    pub fn isolate(&mut self, actor: Actor, isolated: bool) {
        if isolated {
            self.isolated.insert(actor);
        } else {
            self.isolated.remove(&actor);
        }
    }

    /// Cuts a zone off from the others, or joins it again.
    pub fn cut_zone(&mut self, zone: usize, cut: bool) {
        if cut {
            self.cut_zones.insert(zone);
        } else {
            self.cut_zones.remove(&zone);
        }
    }

    /// Whether frames can pass.
    pub fn connects(&self, from: Actor, to: Actor) -> bool {
        if self.isolated.contains(&from) || self.isolated.contains(&to) {
            return false;
        }
        let (from, to) = (zone_of(from), zone_of(to));
        let is_cut = |zone: Option<usize>| zone.is_some_and(|zone| self.cut_zones.contains(&zone));
        from == to || (!is_cut(from) && !is_cut(to))
    }

    /// Draws when a frame arrives: not at all, once or twice.
    pub fn arrivals(
        &mut self,
        now: Moment,
        from: Actor,
        to: Actor,
        random: &mut ChaCha8Rng,
    ) -> Vec<Moment> {
        if !self.connects(from, to) || random.random_bool(self.loss) {
            return Vec::new();
        }
        let mut arrivals = vec![now + self.delay(from, to, random)];
        if random.random_bool(self.repetition) {
            arrivals.push(now + self.delay(from, to, random) * 3);
        }
        arrivals
    }

    /// Draws when a frame of an ordered connection arrives; `None` when it is cut.
    pub fn ordered_arrival(
        &mut self,
        now: Moment,
        from: Actor,
        to: Actor,
        random: &mut ChaCha8Rng,
    ) -> Option<Moment> {
        if !self.connects(from, to) {
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

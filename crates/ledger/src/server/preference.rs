//! Which voter had best lead: where the way of a turn is shortest.
//!
//! A turn costs its gateway a way to the leader and back, and the leader a way to the nearest
//! voters that make a quorum with it. Both are weighed by where turns come from. Distances are
//! not measured: a link in trouble would look far, and the leadership must not follow trouble.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use calicohoist_routing::{Distance, Topology};

/// Typical one-way delay between zones of a region; within a zone it counts as zero.
const REGION_WAY: Duration = Duration::from_millis(1);
/// Typical one-way delay between regions of one continent. What matters is that it is long beside
/// [`REGION_WAY`].
const FAR_WAY: Duration = Duration::from_millis(10);
/// Least gain for each turn that is worth a hand-over, which stops turns for a moment. It is more
/// than [`REGION_WAY`], so that the leadership never moves within a region.
const LEAST_GAIN: Duration = Duration::from_millis(3);
/// How long the same machine must have been the better one, with all voters caught up: short
/// bursts of load and restarts of machines are over by then.
const STABLE_FOR: Duration = Duration::from_secs(5);
/// Least time between two hand-overs, so that load that moves does not drag the leadership along.
/// A machine that takes the leadership over from another one rests as long, whatever the reason:
/// handing it straight back would undo what a leader with a slow disk has just done.
const REST: Duration = Duration::from_secs(30);
/// Half-life of the counts of turns by zone.
const HALF_LIFE: Duration = Duration::from_secs(10);

/// Turns by the zone that they came from; older ones count less.
#[derive(Clone, Debug, Default)]
pub struct ZoneLoads {
    turns: BTreeMap<String, f64>,
    halved: Option<Instant>,
}

impl ZoneLoads {
    /// Counts a turn from a gateway in this zone.
    pub fn note(&mut self, zone: &str, now: Instant) {
        self.fade(now);
        match self.turns.get_mut(zone) {
            Some(turns) => *turns += 1.0,
            None => {
                self.turns.insert(zone.to_owned(), 1.0);
            }
        }
    }

    /// Halves the counts for each half-life that has passed; more than one has where this machine
    /// did not lead for a while, and so counted none.
    pub fn fade(&mut self, now: Instant) {
        let since = *self.halved.get_or_insert(now);
        let passed = now.saturating_duration_since(since);
        if passed >= HALF_LIFE {
            self.halved = Some(now);
            let share = 0.5_f64.powf((passed.as_secs_f64() / HALF_LIFE.as_secs_f64()).floor());
            self.turns.values_mut().for_each(|turns| *turns *= share);
            self.turns.retain(|_, turns| *turns >= 1.0);
        }
    }

    /// Mean of a duration over the zones that turns come from; zero without any turn.
    fn mean(&self, of_zone: impl Fn(&str) -> Duration) -> Duration {
        let all: f64 = self.turns.values().sum();
        if all <= 0.0 {
            return Duration::ZERO;
        }
        self.turns.iter().map(|(zone, turns)| of_zone(zone).mul_f64(turns / all)).sum()
    }
}

/// A voter and where it is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlacedVoter {
    /// Its machine.
    pub machine: u32,
    /// Zone of the machine.
    pub zone: String,
}

/// What a leader sees of its group.
#[derive(Clone, Copy, Debug)]
pub struct GroupView<'a> {
    /// Where zones lie.
    pub topology: &'a Topology,
    /// The machine that leads.
    pub leader: u32,
    /// All voters.
    pub voters: &'a [PlacedVoter],
    /// Where turns come from.
    pub loads: &'a ZoneLoads,
    /// Whether all voters are there and caught up, and no change is under way.
    pub is_calm: bool,
    /// Machines that are being emptied, or were once: they stay in this set when they are gone.
    pub retiring: &'a BTreeSet<u32>,
}

impl GroupView<'_> {
    /// Whether a hand-over would disturb nothing: the group is calm, and no voter is retiring.
    fn may_move(&self) -> bool {
        let is_retiring = |voter: &PlacedVoter| self.retiring.contains(&voter.machine);
        self.is_calm && !self.voters.iter().any(is_retiring)
    }
}

/// Remembers for how long another machine has been the better leader.
#[derive(Clone, Debug, Default)]
pub struct LeaderPreference {
    better: Option<(u32, Instant)>,
    /// When this machine last handed the leadership over, or took it over from another one.
    moved: Option<Instant>,
    /// Whether another machine has led since this one last did.
    has_followed: bool,
}

/// A hand-over that is worth it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaderMove {
    /// The machine that had better lead.
    pub to: u32,
    /// What each turn gains on its way.
    pub gain: Duration,
}

impl LeaderPreference {
    /// This machine does not lead; another one does, as far as it knows.
    pub fn follow(&mut self, knows_leader: bool) {
        self.better = None;
        self.has_followed |= knows_leader;
    }

    /// The machine to hand over to now, if any.
    pub fn decide(&mut self, view: &GroupView<'_>, now: Instant) -> Option<LeaderMove> {
        if std::mem::take(&mut self.has_followed) {
            self.moved = Some(now);
        }
        let Some(better) = better_leader(view).filter(|_| view.may_move()) else {
            self.better = None;
            return None;
        };
        let since = match self.better {
            Some((machine, since)) if machine == better.to => since,
            _ => now,
        };
        self.better = Some((better.to, since));
        let is_rested = self.moved.is_none_or(|moved| now >= moved + REST);
        if now < since + STABLE_FOR || !is_rested {
            return None;
        }
        self.moved = Some(now);
        self.better = None;
        Some(better)
    }
}

/// The best voter, if the gain over the present leader is clear.
fn better_leader(view: &GroupView<'_>) -> Option<LeaderMove> {
    let present = view.voters.iter().find(|voter| voter.machine == view.leader)?;
    let best = view.voters.iter().min_by_key(|voter| (turn_way(view, voter), voter.machine))?;
    let gain = turn_way(view, present).saturating_sub(turn_way(view, best));
    (gain >= LEAST_GAIN).then_some(LeaderMove { to: best.machine, gain })
}

/// One way from gateways to this voter, and one from it to its nearest quorum.
fn turn_way(view: &GroupView<'_>, leader: &PlacedVoter) -> Duration {
    let way = |zone: &str| way_of(view.topology.distance(zone, &leader.zone));
    let others = view.voters.iter().filter(|voter| voter.machine != leader.machine);
    let mut ways: Vec<Duration> = others.map(|voter| way(&voter.zone)).collect();
    ways.sort_unstable();
    // With the leader's own vote, so many others make a majority.
    let needed = view.voters.len() / 2;
    let to_quorum = needed.checked_sub(1).and_then(|last| ways.get(last));
    view.loads.mean(way) + to_quorum.copied().unwrap_or_default()
}

fn way_of(distance: Distance) -> Duration {
    distance.cost(REGION_WAY, FAR_WAY)
}

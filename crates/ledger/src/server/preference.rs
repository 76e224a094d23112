//! Choice of the voter with the lowest expected network delay as leader.
//!
//! The delay of a turn consists of the delay between gateway and leader, weighted by the zones
//! that turns come from, and the delay between the leader and the nearest voters that form a
//! quorum with it. Delays are derived from the topology, not measured, so that a transient network
//! problem does not move the leadership.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use calicohoist_routing::{Distance, Topology};

/// Assumed one-way delay between zones of a region. Within a zone, the delay is zero.
const INTRA_REGION_DELAY: Duration = Duration::from_millis(1);
/// Assumed one-way delay between regions.
const INTER_REGION_DELAY: Duration = Duration::from_millis(10);
/// Minimum gain per turn that justifies a transfer, which interrupts turns briefly. It exceeds
/// [`INTRA_REGION_DELAY`], so that the leadership never moves within a region.
const MIN_GAIN: Duration = Duration::from_millis(3);
/// How long a machine must be the best candidate, with all voters caught up, before the leadership
/// is transferred. This filters out short load bursts and restarts.
const MIN_CANDIDATE_TIME: Duration = Duration::from_secs(5);
/// Minimum time between two transfers. It also applies after this machine has taken over the
/// leadership for any reason, so that it is not returned at once to a leader with a slow disk.
const TRANSFER_COOLDOWN: Duration = Duration::from_secs(30);
/// Half-life of the turn counts.
const HALF_LIFE: Duration = Duration::from_secs(10);

/// Exponentially decaying turn counts by the zone of the gateway.
#[derive(Clone, Debug, Default)]
pub struct ZoneLoads {
    turns: BTreeMap<String, f64>,
    decayed_at: Option<Instant>,
}

impl ZoneLoads {
    /// Counts a turn from a gateway in `zone`.
    pub fn record(&mut self, zone: &str, now: Instant) {
        self.decay(now);
        match self.turns.get_mut(zone) {
            Some(turns) => *turns += 1.0,
            None => {
                self.turns.insert(zone.to_owned(), 1.0);
            }
        }
    }

    /// Halves the counts for each half-life that has passed since they were last halved.
    pub fn decay(&mut self, now: Instant) {
        let since = *self.decayed_at.get_or_insert(now);
        let elapsed = now.saturating_duration_since(since);
        if elapsed >= HALF_LIFE {
            self.decayed_at = Some(now);
            let factor = 0.5_f64.powf((elapsed.as_secs_f64() / HALF_LIFE.as_secs_f64()).floor());
            self.turns.values_mut().for_each(|turns| *turns *= factor);
            self.turns.retain(|_, turns| *turns >= 1.0);
        }
    }

    /// Returns the mean of a per-zone duration weighted by turns, or zero without turns.
    fn weighted_mean(&self, of_zone: impl Fn(&str) -> Duration) -> Duration {
        let total: f64 = self.turns.values().sum();
        if total <= 0.0 {
            return Duration::ZERO;
        }
        self.turns.iter().map(|(zone, turns)| of_zone(zone).mul_f64(turns / total)).sum()
    }
}

/// A voter and its zone.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VoterLocation {
    /// Number of the machine.
    pub machine: u32,
    /// Zone of the machine.
    pub zone: String,
}

/// The leader's view of its Raft group.
#[derive(Clone, Copy, Debug)]
pub struct GroupView<'a> {
    /// Regions of the zones.
    pub topology: &'a Topology,
    /// The current leader.
    pub leader: u32,
    /// All voters.
    pub voters: &'a [VoterLocation],
    /// Turns by zone of origin.
    pub loads: &'a ZoneLoads,
    /// Whether all voters are reachable and caught up, and no membership change is in progress.
    pub is_stable: bool,
    /// Machines that are being retired or have been retired.
    pub retiring: &'a BTreeSet<u32>,
}

impl GroupView<'_> {
    /// Returns whether a transfer is safe: the group is stable and no voter is retiring.
    fn allows_transfer(&self) -> bool {
        let is_retiring = |voter: &VoterLocation| self.retiring.contains(&voter.machine);
        self.is_stable && !self.voters.iter().any(is_retiring)
    }
}

/// Decides when to transfer the leadership to a better candidate.
#[derive(Clone, Debug, Default)]
pub struct LeaderPreference {
    /// The best candidate, and since when it has been.
    candidate: Option<(u32, Instant)>,
    /// When this machine last transferred the leadership or took it over.
    last_transfer: Option<Instant>,
    /// Whether another machine has led since this one last did.
    has_followed: bool,
}

/// A transfer of the leadership.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeadershipTransfer {
    /// The new leader.
    pub to: u32,
    /// Expected reduction of the delay per turn.
    pub gain: Duration,
}

impl LeaderPreference {
    /// Records that this machine is not the leader, and whether another leader is known.
    pub fn follow(&mut self, knows_leader: bool) {
        self.candidate = None;
        self.has_followed |= knows_leader;
    }

    /// Returns the transfer to perform now, if any.
    pub fn decide(&mut self, view: &GroupView<'_>, now: Instant) -> Option<LeadershipTransfer> {
        if std::mem::take(&mut self.has_followed) {
            self.last_transfer = Some(now);
        }
        let Some(transfer) = best_transfer(view).filter(|_| view.allows_transfer()) else {
            self.candidate = None;
            return None;
        };
        let since = match self.candidate {
            Some((machine, since)) if machine == transfer.to => since,
            _ => now,
        };
        self.candidate = Some((transfer.to, since));
        let has_cooled_down = self.last_transfer.is_none_or(|at| now >= at + TRANSFER_COOLDOWN);
        if now < since + MIN_CANDIDATE_TIME || !has_cooled_down {
            return None;
        }
        self.last_transfer = Some(now);
        self.candidate = None;
        Some(transfer)
    }
}

/// Returns the transfer to the best voter if the gain is at least [`MIN_GAIN`].
fn best_transfer(view: &GroupView<'_>) -> Option<LeadershipTransfer> {
    let current = view.voters.iter().find(|voter| voter.machine == view.leader)?;
    let best = view.voters.iter().min_by_key(|voter| (turn_delay(view, voter), voter.machine))?;
    let gain = turn_delay(view, current).saturating_sub(turn_delay(view, best));
    (gain >= MIN_GAIN).then_some(LeadershipTransfer { to: best.machine, gain })
}

/// Returns the one-way delay from gateways to this voter plus that to its nearest quorum.
fn turn_delay(view: &GroupView<'_>, leader: &VoterLocation) -> Duration {
    let delay = |zone: &str| one_way_delay(view.topology.distance(zone, &leader.zone));
    let others = view.voters.iter().filter(|voter| voter.machine != leader.machine);
    let mut delays: Vec<Duration> = others.map(|voter| delay(&voter.zone)).collect();
    delays.sort_unstable();
    // Number of other voters that form a majority together with the leader.
    let needed = view.voters.len() / 2;
    let to_quorum = needed.checked_sub(1).and_then(|last| delays.get(last));
    view.loads.weighted_mean(delay) + to_quorum.copied().unwrap_or_default()
}

fn one_way_delay(distance: Distance) -> Duration {
    distance.cost(INTRA_REGION_DELAY, INTER_REGION_DELAY)
}

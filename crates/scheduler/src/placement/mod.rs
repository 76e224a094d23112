//! Placement of turns on replicas by the leader.
//!
//! [`Placer`] tracks the turns under way on each replica and an index of the prompts that each
//! has cached. It places a turn on the replica with the least cost: the time that the turn takes
//! there plus the delay that it causes to the turns already running.
//!
//! All state is soft. A placer that starts empty places turns by load alone.
//!
//! - [`index`]: the replicas by load;
//! - [`search`]: the replicas that are compared for a turn.

mod index;
mod search;

use std::time::{Duration, Instant};

use calicohoist_routing::{
    ColdLimit, ColdReplicas, ColdTolerance, Distance, DrainedZones, EligibilityRules, HomeRegions,
    Replica, SoftwareVersion, Topology,
};
use foldhash::{HashMap, HashSet};
use serde::{Deserialize, Serialize};

use crate::cold::{COLD_PENALTY, ColdAdmission, ColdLimiter};
use crate::prefix::{PrefixCache, PrefixIndex, PromptPart, UncachedTokens};
use crate::relative_speed::{RelativeSpeed, RelativeSpeedTracker};
use crate::speed::{EngineSpeed, RunSample};
pub use index::MAX_SCANNED_REPLICAS;
use index::{CandidateIndex, LoadKey};

/// Time without a completed turn after which a replica with turns under way is suspected to have
/// failed. Most turns are shorter, and where several run, one ends about every 100 ms.
const SUSPECT_TIMEOUT: Duration = Duration::from_millis(800);
/// Time for which a replica stays suspected after a turn on it ended without an answer.
const SUSPECT_DURATION: Duration = Duration::from_millis(1_500);

/// Shared prompt parts are replicated only to replicas with at most one in this many slots taken.
const REPLICATION_LOAD_DIVISOR: u32 = 3;
/// Minimum time between two replications to the same replica.
const REPLICATION_INTERVAL: Duration = Duration::from_millis(100);
/// Maximum cache usage up to which shared parts are replicated, as a fraction of the capacity.
const REPLICATION_MAX_CACHE_USE: f64 = 0.7;
/// Fraction of the prefill cost of shared parts that is waived for a replication.
const REPLICATION_DISCOUNT: f64 = 0.95;

/// The concurrency limit may exceed the slots by one turn per this many slots.
const SLOTS_PER_EXTRA_TURN: u32 = 12;
/// The concurrency limit is at least the slots divided by this.
const MIN_LIMIT_DIVISOR: u32 = 4;

/// Minimum time between two scans for expired turns.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(200);

/// Request to place a turn on a replica.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PlacementRequest {
    /// Service that runs the turn.
    pub service: String,
    /// Zone of the gateway.
    pub zone: String,
    /// Replicas to which the gateway has an idle connection.
    pub connected: Vec<String>,
    /// Prompt of the turn.
    pub prompt: Vec<PromptPart>,
    /// Prefix cache capacity of one replica, in tokens.
    pub memory_tokens: u64,
    /// Time until the turn's deadline, in ms.
    pub left_ms: u64,
    /// Time until the deadline of the turn's program, in ms; 0 if it has passed, `None` without
    /// one.
    pub finish_ms: Option<u64>,
    /// Priority of the route; 0 is the most urgent.
    pub priority: u8,
    /// Whether an earlier turn of the program has started.
    pub is_under_way: bool,
    /// Regions in which the turn may run.
    pub homes: HomeRegions,
    /// Rate limit for cold replicas of the service, from the gateway's configuration; `None` for
    /// no limit.
    pub cold: Option<ColdLimit>,
    /// Software version that must run the turn, because it began the stream; `None` for any. Not
    /// encoded, so that the encoding stays the one that earlier builds read.
    #[serde(skip)]
    pub version: Option<SoftwareVersion>,
}

/// Snapshot of the replicas and their state.
#[derive(Clone, Copy, Debug)]
pub struct FleetView<'a> {
    /// All listed replicas.
    pub replicas: &'a [Replica],
    /// Topology of the zones.
    pub topology: &'a Topology,
    /// Zones that receive no turns.
    pub drained: &'a DrainedZones,
    /// Replicas that have started recently.
    pub cold: &'a ColdReplicas,
}

impl<'a> FleetView<'a> {
    /// Creates a view without cold replicas, drained zones or a topology.
    pub fn from_replicas(replicas: &'a [Replica]) -> Self {
        static TOPOLOGY: Topology = Topology::empty();
        static DRAINED: DrainedZones = DrainedZones::none();
        static COLD: ColdReplicas = ColdReplicas::none();
        Self { replicas, topology: &TOPOLOGY, drained: &DRAINED, cold: &COLD }
    }

    /// Returns the replicas that are eligible for a turn.
    fn eligible_for(&self, request: &PlacementRequest) -> Vec<&'a Replica> {
        self.replicas.iter().filter(|replica| self.is_eligible(replica, request)).collect()
    }

    fn is_eligible(&self, replica: &Replica, request: &PlacementRequest) -> bool {
        let rules = EligibilityRules {
            topology: self.topology,
            homes: &request.homes,
            drained: self.drained,
        };
        let is_required_version = request.version.is_none() || request.version == replica.version;
        replica.service == request.service && is_required_version && rules.admits(replica)
    }
}

/// Record of a turn that ran on a replica.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TurnRun {
    /// Replica that ran the turn.
    pub replica: String,
    /// Prompt, whose last part includes the generated tokens.
    pub prompt: Vec<PromptPart>,
    /// Prefix cache capacity of one replica, in tokens.
    pub memory_tokens: u64,
    /// Service of the replica.
    pub service: String,
    /// Measurement of the turn, if it completed.
    pub sample: Option<RunSample>,
}

/// Limit on the concurrent turns of a replica.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ConcurrencyLimit {
    /// No limit.
    Unlimited,
    /// Limits turns to this many times the duration that they have alone. The limit is at least a
    /// quarter of the replica's slots, and at most its slots plus a few.
    MaxSlowdown(f64),
}

impl ConcurrencyLimit {
    fn max_turns(self, slots: u32, speed: &EngineSpeed) -> u32 {
        match self {
            Self::Unlimited => u32::MAX,
            Self::MaxSlowdown(slowdown) => {
                let min_turns = slots.div_ceil(MIN_LIMIT_DIVISOR);
                let turns = speed.concurrency_at(slowdown);
                turns
                    .map_or(slots, |turns| turns.round() as u32)
                    .clamp(min_turns, with_headroom(slots))
            }
        }
    }
}

/// Slots plus headroom for turns that arrive while others end.
fn with_headroom(slots: u32) -> u32 {
    slots.max(1) + slots.div_ceil(SLOTS_PER_EXTRA_TURN)
}

/// Result of a placement.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Placement {
    /// Placed on a warm replica.
    Warm(String),
    /// Placed on a cold replica. The turn has to be sent within
    /// [`calicohoist_routing::COLD_PLACEMENT_LIFETIME`].
    Cold(String),
    /// All eligible replicas have reached their limit.
    NoCapacity,
    /// No replica is eligible.
    NoReplica,
}

fn placement_for(replica: String, admission: ColdAdmission) -> Placement {
    match admission {
        ColdAdmission::Warm => Placement::Warm(replica),
        ColdAdmission::Cold | ColdAdmission::AtLimit => Placement::Cold(replica),
    }
}

/// Weights of the placement cost.
#[derive(Clone, Copy, Debug)]
pub struct PlacementWeights {
    /// Duration of a turn, in ms, until it is estimated.
    pub turn_ms: f64,
    /// Delay that each running turn adds to another one while both generate, as a fraction of the
    /// duration of a turn alone. Prefills and waiting for a slot have costs of their own.
    pub contention: f64,
    /// Time per generated token without contention, in ms, until it is estimated.
    pub token_ms: f64,
    /// Prompt tokens that a replica prefills in the time of one generated token.
    pub prefill_ratio: f64,
    /// Increase of the prefill cost with each running turn, as a fraction.
    pub prefill_interference: f64,
    /// Cost of leaving the gateway's zone. The turns that follow in the program leave it as well,
    /// since they are placed where their prompt is cached.
    pub cross_zone: Duration,
    /// Cost of leaving the gateway's region. The turns that follow use the same link, since they
    /// are placed where their prompt is cached. More than prefilling a history again nearby, less
    /// than a noticeable wait.
    pub cross_region: Duration,
    /// Cost of a new connection: a round trip and the replica's resources.
    pub connection_setup: Duration,
    /// Cost of a replica that is suspected to have failed.
    pub suspect_penalty: Duration,
}

impl PlacementWeights {
    /// Cost of the distance to a replica.
    fn network_cost(&self, distance: Distance) -> Duration {
        distance.cost(self.cross_zone, self.cross_region)
    }

    /// Cost of copying shared prompt parts while an idle replica has them: what the copy saves by
    /// a shorter way at most, so that it pays off only for load.
    fn copy_cost(&self) -> Duration {
        self.cross_zone + self.connection_setup
    }
}

impl Default for PlacementWeights {
    fn default() -> Self {
        Self {
            turn_ms: 250.0,
            contention: 0.03,
            token_ms: 3.125,
            prefill_ratio: 200.0,
            prefill_interference: 1.0,
            cross_zone: Duration::from_millis(30),
            cross_region: Duration::from_millis(60),
            connection_setup: Duration::from_millis(7),
            suspect_penalty: Duration::from_secs(1),
        }
    }
}

/// Turn under way.
#[derive(Clone, Debug)]
struct PlacedTurn {
    replica: String,
    service: String,
    /// Number of turns on the replica when this one was placed.
    concurrent_turns: u32,
    placed_at: Instant,
    deadline: Instant,
}

/// Turns placed by an earlier leader, whose ends may never be reported.
#[derive(Clone, Copy, Debug)]
struct InheritedLoad {
    turns: u32,
    expires_at: Instant,
}

/// Liveness of a replica, as observed from the turns on it.
#[derive(Clone, Copy, Debug)]
struct Liveness {
    last_activity: Instant,
    suspected_until: Option<Instant>,
}

/// State of one replica except its prefix cache.
#[derive(Clone, Copy, Debug, Default)]
struct ReplicaStatus {
    /// Turns under way that were placed in this term.
    placed_turns: u32,
    /// Turns that were placed by an earlier leader.
    inherited: Option<InheritedLoad>,
    liveness: Option<Liveness>,
    /// Time until which the replica is known to fail.
    failing_until: Option<Instant>,
    /// Time of the latest replication of shared prompt parts to the replica.
    last_replication: Option<Instant>,
}

impl ReplicaStatus {
    fn load(&self) -> u32 {
        self.placed_turns + self.inherited.map_or(0, |inherited| inherited.turns)
    }

    /// Whether the replica is known to fail, or has turns under way but has completed none
    /// recently.
    fn is_suspected(&self, now: Instant) -> bool {
        if self.failing_until.is_some_and(|until| now < until) {
            return true;
        }
        let Some(liveness) = self.liveness else {
            return false;
        };
        let is_stalled = self.load() > 0 && now >= liveness.last_activity + SUSPECT_TIMEOUT;
        is_stalled || liveness.suspected_until.is_some_and(|until| now < until)
    }

    /// Whether shared prompt parts may be replicated to the replica ahead of demand. Requires a
    /// low load, free cache capacity and no other recent replication.
    fn may_replicate_shared(
        &self,
        replica: &Replica,
        cached: u64,
        uncached: u64,
        request: &PlacementRequest,
        now: Instant,
    ) -> bool {
        let interval_passed =
            self.last_replication.is_none_or(|at| now >= at + REPLICATION_INTERVAL);
        let has_low_load = self.load() * REPLICATION_LOAD_DIVISOR <= replica.slots;
        let max_tokens = request.memory_tokens as f64 * REPLICATION_MAX_CACHE_USE;
        interval_passed && has_low_load && (cached + uncached) as f64 <= max_tokens
    }
}

/// Eligible replica with the inputs of its cost, collected once per placement.
#[derive(Clone, Copy)]
struct PlacementCandidate<'a> {
    replica: &'a Replica,
    distance: Distance,
    /// Whether the gateway has an idle connection to the replica.
    is_connected: bool,
    status: ReplicaStatus,
    cache: Option<&'a PrefixCache>,
    relative_speed: RelativeSpeed,
}

impl PlacementCandidate<'_> {
    fn cached_tokens(&self) -> u64 {
        self.cache.map_or(0, PrefixCache::tokens)
    }

    fn uncached(&self, prompt: &[PromptPart]) -> UncachedTokens {
        self.cache
            .map_or_else(|| PrefixCache::default().uncached(prompt), |cache| cache.uncached(prompt))
    }
}

/// Inputs of the cost that are the same for all replicas.
#[derive(Clone, Copy)]
struct CostInputs<'a> {
    request: &'a PlacementRequest,
    speed: EngineSpeed,
    /// Whether further copies of the shared prompt parts are useful.
    replicates_shared: bool,
    now: Instant,
}

/// Distances and connections from one gateway to replicas, collected once per placement. A search
/// for each replica would take most of the time of a placement.
/// Distances are cached by zone, since many replicas share a few zones.
struct GatewayProximity<'a> {
    topology: &'a Topology,
    zone: &'a str,
    connected: HashSet<&'a str>,
    distances: HashMap<&'a str, Distance>,
}

impl<'a> GatewayProximity<'a> {
    fn new(request: &'a PlacementRequest, topology: &'a Topology) -> Self {
        let connected = request.connected.iter().map(String::as_str).collect();
        Self { topology, zone: &request.zone, connected, distances: HashMap::default() }
    }

    fn distance(&mut self, zone: &'a str) -> Distance {
        let Self { topology, zone: from, distances, .. } = self;
        *distances.entry(zone).or_insert_with(|| topology.distance(from, zone))
    }

    fn is_connected(&self, replica: &str) -> bool {
        self.connected.contains(replica)
    }
}

/// Returns the position of a replica among those of its group.
fn load_key(
    statuses: &HashMap<String, ReplicaStatus>,
    prefix_index: &PrefixIndex,
    replica: &str,
) -> LoadKey {
    LoadKey {
        load: statuses.get(replica).map_or(0, ReplicaStatus::load),
        cached_tokens: prefix_index.cache(replica).map_or(0, PrefixCache::tokens),
    }
}

/// Places turns and tracks the state of replicas.
#[derive(Debug, Default)]
pub struct Placer {
    weights: PlacementWeights,
    turns: HashMap<String, PlacedTurn>,
    statuses: HashMap<String, ReplicaStatus>,
    prefix_index: PrefixIndex,
    /// Replicas of the list that [`Self::retain`] was last called with.
    candidate_index: CandidateIndex,
    /// Speed estimates by service.
    speeds: HashMap<String, EngineSpeed>,
    /// Speed of replicas relative to others of their service.
    relative_speeds: RelativeSpeedTracker,
    /// Rate limit of cold replicas.
    cold_limiter: ColdLimiter,
    last_expiry: Option<Instant>,
}

impl Placer {
    /// Creates a placer without turns.
    pub fn new(weights: PlacementWeights) -> Self {
        Self { weights, ..Self::default() }
    }

    /// Adds `tolerance` to the rate limits of cold replicas.
    pub fn with_cold_tolerance(self, tolerance: ColdTolerance) -> Self {
        Self { cold_limiter: ColdLimiter::new(tolerance), ..self }
    }

    /// Places a turn on a replica of `view` that is below the limit. A repeated request returns
    /// the same replica.
    pub fn place(
        &mut self,
        turn: &str,
        request: &PlacementRequest,
        view: &FleetView<'_>,
        limit: ConcurrencyLimit,
        now: Instant,
    ) -> Placement {
        self.expire(now);
        self.relative_speeds.compare(now);
        self.cold_limiter.update_drained_zones(view, now);
        let eligible = self.candidates(turn, request, view, now);
        if let Some((replica, admission)) =
            self.existing_placement(turn, &eligible, request, view, now)
        {
            // The turn may be sent a second time, so it is counted again.
            self.cold_limiter.record_placement(&replica.id, request.cold.as_ref(), now);
            return placement_for(replica.id.clone(), admission);
        }
        if eligible.is_empty() {
            return Placement::NoReplica;
        }
        let Some((replica, admission)) = self.cheapest(eligible, request, view, limit, now) else {
            return Placement::NoCapacity;
        };
        self.cold_limiter.record_placement(&replica, request.cold.as_ref(), now);
        self.start_turn(turn, &replica, request, now);
        placement_for(replica, admission)
    }

    /// Returns the replica where a turn was placed before, if it is still admitted there.
    fn existing_placement<'a>(
        &self,
        turn: &str,
        eligible: &[&'a Replica],
        request: &PlacementRequest,
        view: &FleetView<'_>,
        now: Instant,
    ) -> Option<(&'a Replica, ColdAdmission)> {
        let placed = self.turns.get(turn)?;
        let replica = eligible.iter().find(|replica| replica.id == placed.replica)?;
        let admission = self.cold_limiter.admit(replica, request.cold.as_ref(), view, now);
        (admission != ColdAdmission::AtLimit).then_some((*replica, admission))
    }

    /// Returns the cheapest of the `eligible` replicas that are below the limits.
    fn cheapest(
        &self,
        eligible: Vec<&Replica>,
        request: &PlacementRequest,
        view: &FleetView<'_>,
        limit: ConcurrencyLimit,
        now: Instant,
    ) -> Option<(String, ColdAdmission)> {
        let inputs = self.cost_inputs(request, view, now);
        let speed = inputs.speed;
        let mut proximity = GatewayProximity::new(request, view.topology);
        // Among equal costs, the replica with the fewest cached tokens wins.
        let rank = |(candidate, admission): &(PlacementCandidate<'_>, ColdAdmission)| {
            let cost = self.cost(candidate, &inputs);
            let penalty = match admission {
                ColdAdmission::Warm => Duration::ZERO,
                ColdAdmission::Cold | ColdAdmission::AtLimit => self.cold_penalty(&speed),
            };
            (cost + penalty, candidate.cached_tokens())
        };
        let candidates = eligible.into_iter().filter_map(|replica| {
            let candidate = self.candidate(replica, &mut proximity);
            let is_below_limit =
                candidate.status.load() < limit.max_turns(candidate.replica.slots, &speed);
            let admission = is_below_limit
                .then(|| self.cold_limiter.admit(replica, request.cold.as_ref(), view, now))?;
            (admission != ColdAdmission::AtLimit).then_some((candidate, admission))
        });
        let (chosen, admission) = candidates.min_by_key(rank)?;
        Some((chosen.replica.id.clone(), admission))
    }

    /// Cost penalty of a cold replica.
    fn cold_penalty(&self, speed: &EngineSpeed) -> Duration {
        let uncontended_ms = speed.uncontended_turn_ms().unwrap_or(self.weights.turn_ms);
        Duration::from_secs_f64(uncontended_ms * COLD_PENALTY / 1_000.0)
    }

    fn candidate<'a>(
        &'a self,
        replica: &'a Replica,
        proximity: &mut GatewayProximity<'a>,
    ) -> PlacementCandidate<'a> {
        PlacementCandidate {
            replica,
            distance: proximity.distance(&replica.zone),
            is_connected: proximity.is_connected(&replica.id),
            status: self.statuses.get(&replica.id).copied().unwrap_or_default(),
            cache: self.prefix_index.cache(&replica.id),
            relative_speed: self.relative_speeds.get(&replica.service, &replica.id),
        }
    }

    /// Records the end of a turn. `ran_at` is the replica that ran it, which may differ from the
    /// placement, or `None` if no replica answered.
    pub fn end_turn(&mut self, turn: &str, ran_at: Option<&str>, now: Instant) {
        let placed = self.remove_turn(turn);
        let Some(ran_at) = ran_at else {
            if let Some(placed) = placed {
                self.suspect_if_stalled(&placed, now);
            }
            return;
        };
        if let Some(placed) = placed.as_ref().filter(|placed| placed.replica == ran_at) {
            self.record_concurrency(placed);
        }
        if placed.is_none()
            && let Some(status) = self.statuses.get_mut(ran_at)
            && let Some(inherited) = &mut status.inherited
        {
            inherited.turns = inherited.turns.saturating_sub(1);
            self.update_index(ran_at);
        }
        self.status_mut(ran_at).liveness =
            Some(Liveness { last_activity: now, suspected_until: None });
    }

    /// Marks a replica as failing until `until`.
    pub fn mark_failing(&mut self, replica: &str, until: Instant) {
        self.status_mut(replica).failing_until = Some(until);
        self.cold_limiter.mark_failing(replica, until);
    }

    fn status_mut(&mut self, replica: &str) -> &mut ReplicaStatus {
        self.statuses.entry(replica.to_owned()).or_default()
    }

    fn speed(&self, service: &str) -> EngineSpeed {
        self.speeds.get(service).copied().unwrap_or_default()
    }

    /// Returns the speed estimates by service.
    pub fn engine_speeds(&self) -> impl Iterator<Item = (&str, &EngineSpeed)> {
        self.speeds.iter().map(|(service, speed)| (service.as_str(), speed))
    }

    /// Returns the mean time per token of a service's replicas relative to the fastest one.
    pub fn mean_relative_token_time(&self, service: &str) -> f64 {
        self.relative_speeds.mean_relative_token_time(service)
    }

    fn record_concurrency(&mut self, placed: &PlacedTurn) {
        let turns = f64::midpoint(
            f64::from(placed.concurrent_turns),
            f64::from(self.load(&placed.replica)),
        );
        self.speeds.entry(placed.service.clone()).or_default().record_concurrency(turns);
    }

    /// Records a turn that ran, whether or not this leader placed it.
    pub fn record_run(&mut self, run: &TurnRun) {
        self.prefix_index.record(&run.replica, &run.prompt, run.memory_tokens);
        self.update_index(&run.replica);
        if let Some(sample) = run.sample {
            self.speeds.entry(run.service.clone()).or_default().record_sample(sample);
            self.relative_speeds.record_sample(&run.replica, &run.service, sample);
        }
    }

    /// Drops the turns under way and keeps the prefix index and the speed estimates.
    pub fn begin_term(&mut self, now: Instant) {
        self.turns.clear();
        self.cold_limiter.begin_term(now);
        for status in self.statuses.values_mut() {
            *status = ReplicaStatus {
                last_replication: status.last_replication,
                ..ReplicaStatus::default()
            };
        }
        self.speeds.values_mut().for_each(EngineSpeed::reset_concurrency);
        let Self { candidate_index, statuses, prefix_index, .. } = self;
        candidate_index.update_all_keys(|id| load_key(statuses, prefix_index, id));
    }

    /// Adds turns placed by an earlier leader, until they end or `ttl` has passed.
    pub fn add_inherited_load(&mut self, loads: &[(String, u32)], now: Instant, ttl: Duration) {
        for (replica, turns) in loads {
            let none = InheritedLoad { turns: 0, expires_at: now };
            let inherited = self.status_mut(replica).inherited.get_or_insert(none);
            inherited.turns += turns;
            inherited.expires_at = now + ttl;
            self.update_index(replica);
        }
    }

    /// Drops the state of replicas that are not in `replicas`, except for turns under way there.
    pub fn retain(&mut self, replicas: &[Replica]) {
        let listed: HashSet<&str> = replicas.iter().map(|replica| replica.id.as_str()).collect();
        self.prefix_index.retain(|id| listed.contains(id));
        self.relative_speeds.retain(|id| listed.contains(id));
        for (id, status) in &mut self.statuses {
            if !listed.contains(id.as_str()) {
                status.liveness = None;
                status.last_replication = None;
            }
        }
        self.statuses.retain(|id, status| status.load() > 0 || listed.contains(id.as_str()));
        let Self { candidate_index, statuses, prefix_index, .. } = self;
        candidate_index.update_list(replicas, |id| load_key(statuses, prefix_index, id));
    }

    /// Updates the load of a replica in the index.
    fn update_index(&mut self, replica: &str) {
        let key = load_key(&self.statuses, &self.prefix_index, replica);
        self.candidate_index.update_key(replica, key);
    }

    /// Returns whether a turn is under way.
    pub fn is_placed(&self, turn: &str) -> bool {
        self.turns.contains_key(turn)
    }

    /// Returns the number of turns under way on a replica.
    pub fn load(&self, replica: &str) -> u32 {
        self.statuses.get(replica).map_or(0, ReplicaStatus::load)
    }

    fn start_turn(&mut self, turn: &str, replica: &str, request: &PlacementRequest, now: Instant) {
        self.remove_turn(turn);
        let shared = request.prompt.split_last().map_or(&[][..], |(_, shared)| shared);
        let prefills_shared = self.prefix_index.uncached(replica, shared) > 0;
        // Recorded now, since related turns may be placed before this one ends.
        self.prefix_index.record(replica, &request.prompt, request.memory_tokens);
        let status = self.status_mut(replica);
        if prefills_shared {
            status.last_replication = Some(now);
        }
        let concurrent_turns = status.load();
        if status.placed_turns == 0 {
            let initial = Liveness { last_activity: now, suspected_until: None };
            status.liveness.get_or_insert(initial).last_activity = now;
        }
        status.placed_turns += 1;
        self.update_index(replica);
        let placed = PlacedTurn {
            replica: replica.to_owned(),
            service: request.service.clone(),
            concurrent_turns,
            placed_at: now,
            deadline: now + Duration::from_millis(request.left_ms),
        };
        self.turns.insert(turn.to_owned(), placed);
    }

    /// Suspects the replica of a turn that ended without an answer, if it has completed no other
    /// since.
    fn suspect_if_stalled(&mut self, placed: &PlacedTurn, now: Instant) {
        if now < placed.placed_at + SUSPECT_TIMEOUT {
            return;
        }
        if let Some(status) = self.statuses.get_mut(&placed.replica)
            && let Some(liveness) = &mut status.liveness
            && liveness.last_activity <= placed.placed_at
        {
            liveness.suspected_until = Some(now + SUSPECT_DURATION);
        }
    }

    fn remove_turn(&mut self, turn: &str) -> Option<PlacedTurn> {
        let placed = self.turns.remove(turn)?;
        if let Some(status) = self.statuses.get_mut(&placed.replica) {
            status.placed_turns = status.placed_turns.saturating_sub(1);
        }
        self.update_index(&placed.replica);
        Some(placed)
    }

    /// Drops expired turns and inherited load, at most once per [`EXPIRY_INTERVAL`].
    fn expire(&mut self, now: Instant) {
        if self.last_expiry.is_some_and(|at| now < at + EXPIRY_INTERVAL) {
            return;
        }
        self.last_expiry = Some(now);
        self.cold_limiter.expire(now);
        let mut without_inherited = Vec::new();
        for (id, status) in &mut self.statuses {
            if status.inherited.take_if(|inherited| now >= inherited.expires_at).is_some() {
                without_inherited.push(id.clone());
            }
        }
        for replica in without_inherited {
            self.update_index(&replica);
        }
        let ended = self.turns.iter().filter(|(_, placed)| placed.deadline <= now);
        let ended: Vec<String> = ended.map(|(turn, _)| turn.clone()).collect();
        for turn in ended {
            self.remove_turn(&turn);
        }
    }

    fn cost_inputs<'a>(
        &self,
        request: &'a PlacementRequest,
        view: &FleetView<'_>,
        now: Instant,
    ) -> CostInputs<'a> {
        CostInputs {
            request,
            speed: self.speed(&request.service),
            replicates_shared: !self.has_idle_holder(request, view),
            now,
        }
    }

    fn cost(&self, candidate: &PlacementCandidate<'_>, inputs: &CostInputs<'_>) -> Duration {
        let CostInputs { request, speed, replicates_shared, now } = *inputs;
        let weights = &self.weights;
        let PlacementCandidate { replica, status, relative_speed, .. } = candidate;
        let slots = replica.slots.max(1);
        let load = status.load();
        let running = load.min(slots);
        let queued = (load + 1).saturating_sub(slots);
        let turn_ms = relative_speed.turn_ms.or(speed.mean_turn_ms()).unwrap_or(weights.turn_ms);
        let waiting_ms = turn_ms * f64::from(queued) / f64::from(slots);
        let uncached = candidate.uncached(&request.prompt);
        let may_replicate = replicates_shared
            && status.may_replicate_shared(
                replica,
                candidate.cached_tokens(),
                uncached.all,
                request,
                now,
            );
        let waived =
            if may_replicate { uncached.shared as f64 * REPLICATION_DISCOUNT } else { 0.0 };
        let interference = 1.0 + weights.prefill_interference * f64::from(running);
        let token_ms =
            speed.best_token_ms().unwrap_or(weights.token_ms) * relative_speed.relative_token_time;
        let prefill_token_ms = token_ms / weights.prefill_ratio;
        let prefill_ms = (uncached.all as f64 - waived) * prefill_token_ms * interference;
        let uncontended_ms = speed.uncontended_turn_ms().unwrap_or(weights.turn_ms)
            * relative_speed.relative_token_time;
        let contention_ms = uncontended_ms * weights.contention * f64::from(running);
        // Includes the uncontended duration, which differs between the replicas of a
        // heterogeneous service.
        let turn_cost_ms = uncontended_ms + waiting_ms + prefill_ms + contention_ms;
        let turn_cost = Duration::from_secs_f64(turn_cost_ms / 1_000.0);
        let network_cost = weights.network_cost(candidate.distance);
        let connection_setup =
            if candidate.is_connected { Duration::ZERO } else { weights.connection_setup };
        let copies_shared = !replicates_shared && uncached.shared > 0;
        let copy_cost = if copies_shared { weights.copy_cost() } else { Duration::ZERO };
        let suspect_penalty =
            if status.is_suspected(now) { weights.suspect_penalty } else { Duration::ZERO };
        turn_cost + network_cost + connection_setup + copy_cost + suspect_penalty
    }
}

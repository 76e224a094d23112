//! Placement of turns by a process that sees all of them.
//!
//! [`Placer`] counts the turns under way at each replica and keeps an index of the
//! prompts that each holds. It places a turn where the time that it takes, and the time
//! by which it delays the turns already there, are least.
//!
//! All of it is soft state: whoever begins with an empty placer places by load alone.

use std::time::{Duration, Instant};

use calicohoist_routing::{
    ColdLimit, ColdReplicas, ColdTolerance, Distance, DrainedZones, EligibilityRules, HomeRegions,
    Replica, Topology,
};
use foldhash::{HashMap, HashSet};
use serde::{Deserialize, Serialize};

use crate::cold::{COLD_SLOWNESS, ColdAdmission, ColdGate};
use crate::pace::{PaceBoard, ReplicaPace};
use crate::prefix::{Memory, PrefixIndex, PromptPart, Unread};
use crate::speed::{EngineSpeed, RunSample};

/// Silence of a replica with turns under way from which it is suspected: some turn ends
/// every tenth of a second or so where several run, and most are shorter than this.
const SUSPECT_AFTER: Duration = Duration::from_millis(800);
/// How long a replica stays suspected after a turn ended that it never answered.
const SUSPECT_FOR: Duration = Duration::from_millis(1_500);

/// A replica is little loaded when at most one in so many of its slots is taken.
const SPREADING_LOAD: u32 = 3;
/// Time between two such readings at one replica.
const SPREADING_INTERVAL: Duration = Duration::from_millis(100);
/// Share of a memory up to which shared parts are spread.
const SPREADING_MEMORY: f64 = 0.7;
/// Share of the cost of reading that is not counted where shared parts are spread.
const SPREADING_DISCOUNT: f64 = 0.95;

/// One turn more than slots is let to a replica for so many slots.
const RESERVE_SLOTS: u32 = 12;
/// Whatever the slowdown, one in so many slots is used.
const LEAST_SLOTS: u32 = 4;

/// How often turns are sought whose end nobody told.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(200);

/// A turn that asks for a replica.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PlacementRequest {
    /// The service that runs it.
    pub service: String,
    /// Zone of the gateway that sends it.
    pub zone: String,
    /// Replicas to which that gateway keeps a free connection.
    pub connected: Vec<String>,
    /// Its prompt.
    pub prompt: Vec<PromptPart>,
    /// Tokens that the memory of one replica holds.
    pub memory_tokens: u64,
    /// Time after which the turn has ended in any case, in ms.
    pub left_ms: u64,
    /// Time until the turn's program should be over, in ms; 0 when it should be by now, `None`
    /// without such a time.
    pub finish_ms: Option<u64>,
    /// Rank of its route; 0 is the most urgent.
    pub priority: u8,
    /// Whether its program has begun with an earlier turn.
    pub is_under_way: bool,
    /// Where it may run.
    pub homes: HomeRegions,
    /// What cold replicas of the service bear, as the gateway's configuration says; `None`
    /// without a limit.
    pub cold: Option<ColdLimit>,
}

/// The replicas and what is known of them from outside, as of one moment.
#[derive(Clone, Copy, Debug)]
pub struct FleetView<'a> {
    /// All that are listed.
    pub replicas: &'a [Replica],
    /// Where zones lie.
    pub topology: &'a Topology,
    /// Zones whose replicas get nothing.
    pub drained: &'a DrainedZones,
    /// Replicas that have just started.
    pub cold: &'a ColdReplicas,
}

impl<'a> FleetView<'a> {
    /// Replicas of which nothing more is known: all are warm, no zone is drained.
    pub fn of(replicas: &'a [Replica]) -> Self {
        static TOPOLOGY: Topology = Topology::empty();
        static DRAINED: DrainedZones = DrainedZones::none();
        static COLD: ColdReplicas = ColdReplicas::none();
        Self { replicas, topology: &TOPOLOGY, drained: &DRAINED, cold: &COLD }
    }

    /// The replicas that may get this turn.
    fn open_to(&self, request: &PlacementRequest) -> Vec<&'a Replica> {
        let rules = EligibilityRules {
            topology: self.topology,
            homes: &request.homes,
            drained: self.drained,
        };
        let is_open =
            |replica: &&Replica| replica.service == request.service && rules.admits(replica);
        self.replicas.iter().filter(is_open).collect()
    }
}

/// Where a turn ran, and what its replica has read by it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TurnRun {
    /// The replica.
    pub replica: String,
    /// The prompt; its last part includes what was generated.
    pub prompt: Vec<PromptPart>,
    /// Tokens that the memory of one replica holds.
    pub memory_tokens: u64,
    /// The service.
    pub service: String,
    /// How long it took, when it ended whole.
    pub sample: Option<RunSample>,
}

/// How many turns may be under way at a replica for one more to go there.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RunLimit {
    /// Any number.
    Unlimited,
    /// As many as keep each turn within this many times the time that it takes alone: a
    /// quarter of the replica's slots at least, its slots and a reserve at most.
    Slowdown(f64),
}

impl RunLimit {
    fn turns(self, slots: u32, speed: &EngineSpeed) -> u32 {
        match self {
            Self::Unlimited => u32::MAX,
            Self::Slowdown(slowdown) => {
                let least = slots.div_ceil(LEAST_SLOTS);
                let turns = speed.turns_within(slowdown);
                turns.map_or(slots, |turns| turns.round() as u32).clamp(least, with_reserve(slots))
            }
        }
    }
}

/// The slots, and a turn that is on its way while another ends.
fn with_reserve(slots: u32) -> u32 {
    slots.max(1) + slots.div_ceil(RESERVE_SLOTS)
}

/// What came of the search for a replica.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Placement {
    /// This replica is the best one.
    At(String),
    /// This replica is the best one, and cold: the turn has to be sent there within
    /// [`calicohoist_routing::COLD_PLACEMENT_LIFETIME`].
    AtCold(String),
    /// Every replica that takes work has reached the limit.
    NoRoom,
    /// No replica takes work.
    NoReplica,
}

fn placement_at(replica: String, admission: ColdAdmission) -> Placement {
    match admission {
        ColdAdmission::Warm => Placement::At(replica),
        ColdAdmission::Cold | ColdAdmission::Closed => Placement::AtCold(replica),
    }
}

/// What waiting, reading and sharing a replica cost.
#[derive(Clone, Copy, Debug)]
pub struct PlacementWeights {
    /// Time that one turn holds a slot, in ms, while nothing is learned of it.
    pub turn_ms: f64,
    /// Delay that a running turn brings to a further one, as a share of a turn's time.
    pub delay_share: f64,
    /// Time that one generated token takes alone, in ms, while nothing is learned of it.
    pub token_ms: f64,
    /// Prompt tokens that a replica reads in the time of one generated token.
    pub reads_per_token: f64,
    /// Share of the reading time that each running turn loses by it.
    pub reading_disturbs: f64,
    /// Cost of leaving the zone of the gateway.
    pub zone_crossing: Duration,
    /// Cost of leaving the region of the gateway. The turn's history and answer go over the
    /// link that is slowest and dearest, and so do those of the turns after it, which follow
    /// the prompt that was read: more than reading a history anew nearby, less than a
    /// noticeable wait.
    pub region_crossing: Duration,
    /// Cost of a new connection: a way there and back, and a place at the replica.
    pub connecting: Duration,
    /// Cost of a replica that shows no sign of work.
    pub suspicion: Duration,
}

impl PlacementWeights {
    /// Cost of going so far.
    fn crossing(&self, distance: Distance) -> Duration {
        distance.cost(self.zone_crossing, self.region_crossing)
    }
}

impl Default for PlacementWeights {
    fn default() -> Self {
        Self {
            turn_ms: 250.0,
            delay_share: 0.12,
            token_ms: 3.125,
            reads_per_token: 200.0,
            reading_disturbs: 1.0,
            zone_crossing: Duration::from_millis(2),
            region_crossing: Duration::from_millis(60),
            connecting: Duration::from_millis(3),
            suspicion: Duration::from_secs(1),
        }
    }
}

/// A turn under way.
#[derive(Clone, Debug)]
struct PlacedTurn {
    replica: String,
    service: String,
    /// Turns that were under way there as it began.
    beside: u32,
    began: Instant,
    ends_by: Instant,
}

/// Turns at a replica that somebody else placed; nobody may tell of their ends.
#[derive(Clone, Copy, Debug)]
struct InheritedLoad {
    turns: u32,
    until: Instant,
}

/// When a replica last showed that it works.
#[derive(Clone, Copy, Debug)]
struct Signs {
    last: Instant,
    suspected_until: Option<Instant>,
}

/// What is known of one replica, but for its memory.
#[derive(Clone, Copy, Debug, Default)]
struct ReplicaView {
    /// Turns under way there that were placed in this term.
    placed: u32,
    /// Turns that an earlier leader placed there.
    inherited: Option<InheritedLoad>,
    signs: Option<Signs>,
    /// Until when it is known to fail.
    fails_until: Option<Instant>,
    /// When it was last given shared parts to read.
    spread: Option<Instant>,
}

impl ReplicaView {
    fn load(&self) -> u32 {
        self.placed + self.inherited.map_or(0, |inherited| inherited.turns)
    }

    /// Whether the replica is known to fail, or has turns and shows no sign of working on
    /// them.
    fn is_suspected(&self, now: Instant) -> bool {
        if self.fails_until.is_some_and(|until| now < until) {
            return true;
        }
        let Some(signs) = self.signs else {
            return false;
        };
        let is_silent = self.load() > 0 && now >= signs.last + SUSPECT_AFTER;
        is_silent || signs.suspected_until.is_some_and(|until| now < until)
    }

    /// Whether the replica may read shared parts that others hold, so that it has them
    /// when it is needed: it did not do so just now, is little loaded, and its memory has
    /// room.
    fn may_spread(
        &self,
        replica: &Replica,
        holds: u64,
        unread: u64,
        request: &PlacementRequest,
        now: Instant,
    ) -> bool {
        let has_rested = self.spread.is_none_or(|at| now >= at + SPREADING_INTERVAL);
        let is_calm = self.load() * SPREADING_LOAD <= replica.slots;
        let full = request.memory_tokens as f64 * SPREADING_MEMORY;
        has_rested && is_calm && (holds + unread) as f64 <= full
    }
}

/// A replica that takes work, with all that its cost depends on: looked up once for each
/// placement, since a leader places hundreds of turns a second among a hundred replicas.
#[derive(Clone, Copy)]
struct PlacementCandidate<'a> {
    replica: &'a Replica,
    distance: Distance,
    /// Whether the gateway keeps a free connection to it.
    is_connected: bool,
    view: ReplicaView,
    memory: Option<&'a Memory>,
    pace: ReplicaPace,
}

impl PlacementCandidate<'_> {
    fn holds(&self) -> u64 {
        self.memory.map_or(0, Memory::tokens)
    }

    fn unread(&self, prompt: &[PromptPart]) -> Unread {
        self.memory.map_or_else(|| Memory::default().unread(prompt), |known| known.unread(prompt))
    }
}

/// How far replicas are from the gateway that asks, and to which of them it is connected. Looked
/// up once for each placement: a gateway has dozens of free connections, and hundreds of replicas
/// lie in a few zones, so that a search for each replica would take most of a placement's time.
struct GatewayWays<'a> {
    topology: &'a Topology,
    zone: &'a str,
    connected: HashSet<&'a str>,
    distances: HashMap<&'a str, Distance>,
}

impl<'a> GatewayWays<'a> {
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

/// Places turns, and learns from where they ran.
#[derive(Debug, Default)]
pub struct Placer {
    weights: PlacementWeights,
    turns: HashMap<String, PlacedTurn>,
    views: HashMap<String, ReplicaView>,
    index: PrefixIndex,
    /// What is learned of engines, by service.
    speeds: HashMap<String, EngineSpeed>,
    /// How fast replicas are against others of their service.
    paces: PaceBoard,
    /// What cold replicas get.
    cold: ColdGate,
    expired_at: Option<Instant>,
}

impl Placer {
    /// A placer that knows of no turn.
    pub fn new(weights: PlacementWeights) -> Self {
        Self { weights, ..Self::default() }
    }

    /// The same placer with `tolerance` on top of the limits of cold replicas.
    pub fn with_cold_tolerance(self, tolerance: ColdTolerance) -> Self {
        Self { cold: ColdGate::new(tolerance), ..self }
    }

    /// The replica for a turn, among those of `view` that are below the limit. A turn
    /// that is asked for again stays where it was placed.
    pub fn place(
        &mut self,
        turn: &str,
        request: &PlacementRequest,
        view: &FleetView<'_>,
        limit: RunLimit,
        now: Instant,
    ) -> Placement {
        self.expire(now);
        self.paces.weigh(now);
        self.cold.note_fleet(view, now);
        let open = view.open_to(request);
        if let Some((replica, admission)) = self.placed_before(turn, &open, request, view, now) {
            // It may be sent there a second time, so it counts a second time.
            self.cold.note_placed(&replica.id, request.cold.as_ref(), now);
            return placement_at(replica.id.clone(), admission);
        }
        if open.is_empty() {
            return Placement::NoReplica;
        }
        let Some((replica, admission)) = self.cheapest(open, request, view, limit, now) else {
            return Placement::NoRoom;
        };
        self.cold.note_placed(&replica, request.cold.as_ref(), now);
        self.begin(turn, &replica, request, now);
        placement_at(replica, admission)
    }

    /// The replica where a turn was placed before, if it may still get it.
    fn placed_before<'a>(
        &self,
        turn: &str,
        open: &[&'a Replica],
        request: &PlacementRequest,
        view: &FleetView<'_>,
        now: Instant,
    ) -> Option<(&'a Replica, ColdAdmission)> {
        let placed = self.turns.get(turn)?;
        let replica = open.iter().find(|replica| replica.id == placed.replica)?;
        let admission = self.cold.admit(replica, request.cold.as_ref(), view, now);
        (admission != ColdAdmission::Closed).then_some((*replica, admission))
    }

    /// The cheapest of the `open` replicas that are below the limit and may get one more turn.
    fn cheapest(
        &self,
        open: Vec<&Replica>,
        request: &PlacementRequest,
        view: &FleetView<'_>,
        limit: RunLimit,
        now: Instant,
    ) -> Option<(String, ColdAdmission)> {
        let speed = self.speed(&request.service);
        let mut ways = GatewayWays::new(request, view.topology);
        // Of equals, the one whose memory has most room.
        let rank = |(candidate, admission): &(PlacementCandidate<'_>, ColdAdmission)| {
            let cost = self.cost(candidate, request, &speed, now);
            let slowness = match admission {
                ColdAdmission::Warm => Duration::ZERO,
                ColdAdmission::Cold | ColdAdmission::Closed => self.cold_slowness(&speed),
            };
            (cost + slowness, candidate.holds())
        };
        let candidates = open.into_iter().filter_map(|replica| {
            let candidate = self.candidate(replica, &mut ways);
            let is_below = candidate.view.load() < limit.turns(candidate.replica.slots, &speed);
            let admission =
                is_below.then(|| self.cold.admit(replica, request.cold.as_ref(), view, now))?;
            (admission != ColdAdmission::Closed).then_some((candidate, admission))
        });
        let (chosen, admission) = candidates.min_by_key(rank)?;
        Some((chosen.replica.id.clone(), admission))
    }

    /// Extra cost of a cold replica.
    fn cold_slowness(&self, speed: &EngineSpeed) -> Duration {
        let alone_ms = speed.alone_ms().unwrap_or(self.weights.turn_ms);
        Duration::from_secs_f64(alone_ms * COLD_SLOWNESS / 1_000.0)
    }

    fn candidate<'a>(
        &'a self,
        replica: &'a Replica,
        ways: &mut GatewayWays<'a>,
    ) -> PlacementCandidate<'a> {
        PlacementCandidate {
            replica,
            distance: ways.distance(&replica.zone),
            is_connected: ways.is_connected(&replica.id),
            view: self.views.get(&replica.id).copied().unwrap_or_default(),
            memory: self.index.memory(&replica.id),
            pace: self.paces.of(&replica.service, &replica.id),
        }
    }

    /// A turn has ended. `ran_at` is the replica that ran it, which may be another than
    /// the one it was placed on. `None` when no replica answered.
    pub fn end(&mut self, turn: &str, ran_at: Option<&str>, now: Instant) {
        let placed = self.forget(turn);
        let Some(ran_at) = ran_at else {
            if let Some(placed) = placed {
                self.note_unanswered(&placed, now);
            }
            return;
        };
        if let Some(placed) = placed.as_ref().filter(|placed| placed.replica == ran_at) {
            self.note_running(placed);
        }
        if placed.is_none()
            && let Some(view) = self.views.get_mut(ran_at)
            && let Some(inherited) = &mut view.inherited
        {
            inherited.turns = inherited.turns.saturating_sub(1);
        }
        self.view(ran_at).signs = Some(Signs { last: now, suspected_until: None });
    }

    /// A replica is known to fail until then.
    pub fn note_failing(&mut self, replica: &str, until: Instant) {
        self.view(replica).fails_until = Some(until);
        self.cold.note_failing(replica, until);
    }

    /// What is known of a replica, to be changed.
    fn view(&mut self, replica: &str) -> &mut ReplicaView {
        self.views.entry(replica.to_owned()).or_default()
    }

    /// What is learned of a service's engines.
    fn speed(&self, service: &str) -> EngineSpeed {
        self.speeds.get(service).copied().unwrap_or_default()
    }

    /// What is learned of engines, by service.
    pub fn speeds(&self) -> impl Iterator<Item = (&str, &EngineSpeed)> {
        self.speeds.iter().map(|(service, speed)| (service.as_str(), speed))
    }

    /// How many times as long as the fastest the replicas of a service take on the average.
    pub fn spread(&self, service: &str) -> f64 {
        self.paces.spread(service)
    }

    fn note_running(&mut self, placed: &PlacedTurn) {
        let turns = f64::midpoint(f64::from(placed.beside), f64::from(self.load(&placed.replica)));
        self.speeds.entry(placed.service.clone()).or_default().note_running(turns);
    }

    /// Learns what a replica has read, whoever placed the turn there.
    pub fn learn(&mut self, run: &TurnRun) {
        self.index.note(&run.replica, &run.prompt, run.memory_tokens);
        if let Some(sample) = run.sample {
            self.speeds.entry(run.service.clone()).or_default().note_run(sample);
            self.paces.note_run(&run.replica, &run.service, sample);
        }
    }

    /// Begins anew with the turns under way, and keeps what is known of prompts.
    pub fn begin_term(&mut self, now: Instant) {
        self.turns.clear();
        self.cold.begin_term(now);
        for view in self.views.values_mut() {
            *view = ReplicaView { spread: view.spread, ..ReplicaView::default() };
        }
        self.speeds.values_mut().for_each(EngineSpeed::forget_running);
    }

    /// Counts turns that another leader placed, until they end or `lasting` is over.
    pub fn inherit(&mut self, loads: &[(String, u32)], now: Instant, lasting: Duration) {
        for (replica, turns) in loads {
            let none = InheritedLoad { turns: 0, until: now };
            let inherited = self.view(replica).inherited.get_or_insert(none);
            inherited.turns += turns;
            inherited.until = now + lasting;
        }
    }

    /// Forgets what is known of replicas that are not in `replicas`, but for turns under
    /// way there.
    pub fn retain(&mut self, replicas: &[Replica]) {
        let listed: HashSet<&str> = replicas.iter().map(|replica| replica.id.as_str()).collect();
        self.index.retain(|id| listed.contains(id));
        self.paces.retain(|id| listed.contains(id));
        for (id, view) in &mut self.views {
            if !listed.contains(id.as_str()) {
                view.signs = None;
                view.spread = None;
            }
        }
        self.views.retain(|id, view| view.load() > 0 || listed.contains(id.as_str()));
    }

    /// Whether a turn is under way.
    pub fn is_placed(&self, turn: &str) -> bool {
        self.turns.contains_key(turn)
    }

    /// Turns under way at a replica.
    pub fn load(&self, replica: &str) -> u32 {
        self.views.get(replica).map_or(0, ReplicaView::load)
    }

    fn begin(&mut self, turn: &str, replica: &str, request: &PlacementRequest, now: Instant) {
        self.forget(turn);
        let shared = request.prompt.split_last().map_or(&[][..], |(_, shared)| shared);
        let reads_shared = self.index.unread(replica, shared) > 0;
        // The next turns may come before this one ends.
        self.index.note(replica, &request.prompt, request.memory_tokens);
        let view = self.view(replica);
        if reads_shared {
            view.spread = Some(now);
        }
        let beside = view.load();
        if view.placed == 0 {
            let fresh = Signs { last: now, suspected_until: None };
            view.signs.get_or_insert(fresh).last = now;
        }
        view.placed += 1;
        let placed = PlacedTurn {
            replica: replica.to_owned(),
            service: request.service.clone(),
            beside,
            began: now,
            ends_by: now + Duration::from_millis(request.left_ms),
        };
        self.turns.insert(turn.to_owned(), placed);
    }

    /// A turn ended that nobody answered: its caller left, or every replica refused.
    fn note_unanswered(&mut self, placed: &PlacedTurn, now: Instant) {
        if now < placed.began + SUSPECT_AFTER {
            return;
        }
        if let Some(view) = self.views.get_mut(&placed.replica)
            && let Some(signs) = &mut view.signs
            && signs.last <= placed.began
        {
            signs.suspected_until = Some(now + SUSPECT_FOR);
        }
    }

    fn forget(&mut self, turn: &str) -> Option<PlacedTurn> {
        let placed = self.turns.remove(turn)?;
        if let Some(view) = self.views.get_mut(&placed.replica) {
            view.placed = view.placed.saturating_sub(1);
        }
        Some(placed)
    }

    /// Drops turns whose time is over and whose end nobody told; looks seldom.
    fn expire(&mut self, now: Instant) {
        if self.expired_at.is_some_and(|at| now < at + EXPIRY_INTERVAL) {
            return;
        }
        self.expired_at = Some(now);
        self.cold.expire(now);
        for view in self.views.values_mut() {
            view.inherited = view.inherited.filter(|inherited| now < inherited.until);
        }
        let ended = self.turns.iter().filter(|(_, placed)| placed.ends_by <= now);
        let ended: Vec<String> = ended.map(|(turn, _)| turn.clone()).collect();
        for turn in ended {
            self.forget(&turn);
        }
    }

    fn cost(
        &self,
        candidate: &PlacementCandidate<'_>,
        request: &PlacementRequest,
        speed: &EngineSpeed,
        now: Instant,
    ) -> Duration {
        let weights = &self.weights;
        let PlacementCandidate { replica, view, pace, .. } = candidate;
        let slots = replica.slots.max(1);
        let load = view.load();
        let running = load.min(slots);
        let ahead = (load + 1).saturating_sub(slots);
        let turn_ms = pace.turn_ms.or(speed.turn_ms()).unwrap_or(weights.turn_ms);
        let waiting_ms = turn_ms * f64::from(ahead) / f64::from(slots);
        let unread = candidate.unread(&request.prompt);
        let spared = if view.may_spread(replica, candidate.holds(), unread.all, request, now) {
            unread.shared as f64 * SPREADING_DISCOUNT
        } else {
            0.0
        };
        let disturbed = 1.0 + weights.reading_disturbs * f64::from(running);
        let token_ms = speed.token_ms().unwrap_or(weights.token_ms) * pace.against_best;
        let read_ms = token_ms / weights.reads_per_token;
        let reading_ms = (unread.all as f64 - spared) * read_ms * disturbed;
        let alone_ms = speed.alone_ms().unwrap_or(weights.turn_ms) * pace.against_best;
        let sharing_ms = alone_ms * weights.delay_share * f64::from(running);
        // The time that the turn takes alone differs where replicas do; it moves no turn where they
        // are equal.
        let own_ms = alone_ms + waiting_ms + reading_ms + sharing_ms;
        let slowness = Duration::from_secs_f64(own_ms / 1_000.0);
        let crossing = weights.crossing(candidate.distance);
        let connecting = if candidate.is_connected { Duration::ZERO } else { weights.connecting };
        let suspicion = if view.is_suspected(now) { weights.suspicion } else { Duration::ZERO };
        slowness + crossing + connecting + suspicion
    }
}

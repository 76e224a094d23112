//! Simulates the return of a zone of cold replicas during a load burst, in virtual time, with the
//! real scheduler and simulated gateways.
//!
//! `cargo test -p calicohoist-scheduler --test cold_return -- --nocapture` prints the arrival
//! rates.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use calicohoist_routing::{
    ColdLimit, ColdReplicas, ColdTolerance, DrainedZones, PlacedReplica, Replica, ReplicaState,
    Topology, stable_hash,
};
use calicohoist_scheduler::{Decision, FleetView, PlacementRequest, TurnScheduler};

const LIMIT: ColdLimit = ColdLimit { per_second: 27.0, lasts: Duration::from_secs(3) };
const TOLERANCE: ColdTolerance = ColdTolerance { overshoot: 1.5, slack: 5.0 };
/// Maximum arrivals at a cold replica within one second: 27 x 1.5 + 5, rounded down.
const BURST_LIMIT: usize = 45;
const SECOND_MS: u64 = 1_000;
const GATEWAYS: u64 = 300;
/// One in this many gateways has no leader and chooses replicas by itself.
const LEADERLESS_EVERY: u64 = 10;
/// One in this many turns is placed by the old leader until that steps down.
const OLD_LEADER_EVERY: u64 = 3;
/// One in this many decisions is delayed in its gateway, by up to [`MAX_STALL_MS`].
const STALLED_EVERY: u64 = 20;
const MAX_STALL_MS: u64 = 2_500;
const COLD_REPLICAS: usize = 15;
const WARM_REPLICAS: usize = 8;
/// Time at which the cold replicas are listed, in ms; they stay cold for 3 s.
const RETURN_MS: u64 = 1_500;
const STEP_DOWN_MS: u64 = 360;
const END_MS: u64 = 8_000;
/// Duration of a turn, in ms.
const TURN_MS: u64 = 80;

/// Simulation event.
enum Event {
    /// A gateway requests a placement.
    Request { turn: u64, to_old_leader: bool },
    /// A gateway receives the decision on its request of time `requested`.
    Receive { turn: u64, requested: u64, decision: Decision },
    /// A turn reaches its replica.
    Arrive { turn: u64, replica: String },
    /// A turn ends.
    End { turn: u64, replica: String },
}

/// State of one simulation run.
struct Simulation {
    start: Instant,
    limit: Option<ColdLimit>,
    replicas: Vec<Replica>,
    cold: ColdReplicas,
    topology: Topology,
    drained: DrainedZones,
    /// The leader, and the previous one until it steps down.
    leader: TurnScheduler,
    old_leader: Option<TurnScheduler>,
    events: BTreeMap<u64, Vec<Event>>,
    requested: BTreeMap<u64, u64>,
    /// Arrival times at cold replicas, in ms.
    arrivals: BTreeMap<String, Vec<u64>>,
    expired: usize,
}

/// Returns a number below `bound` that depends only on `label` and `turn`.
fn hash_draw(label: &str, turn: u64, bound: u64) -> u64 {
    stable_hash(&[label.as_bytes(), &turn.to_le_bytes()]) % bound.max(1)
}

fn replica(number: usize, zone: &str) -> Replica {
    Replica {
        id: format!("{zone}-{number}"),
        service: "llm".to_owned(),
        address: "127.0.0.1:1".parse().expect("an address"),
        zone: zone.to_owned(),
        slots: 8,
        state: ReplicaState::Ready,
        version: None,
    }
}

impl Simulation {
    fn new(limit: Option<ColdLimit>) -> Self {
        Self {
            start: Instant::now(),
            limit,
            replicas: (0..WARM_REPLICAS).map(|number| replica(number, "warm")).collect(),
            cold: ColdReplicas::none(),
            topology: Topology::empty(),
            drained: DrainedZones::none(),
            leader: TurnScheduler::new(TOLERANCE),
            old_leader: None,
            events: BTreeMap::new(),
            requested: BTreeMap::new(),
            arrivals: BTreeMap::new(),
            expired: 0,
        }
    }

    fn at(&self, ms: u64) -> Instant {
        self.start + Duration::from_millis(ms)
    }

    fn schedule(&mut self, at: u64, event: Event) {
        self.events.entry(at).or_default().push(event);
    }

    fn request(&self, turn: u64) -> PlacementRequest {
        PlacementRequest {
            connected: Vec::new(),
            service: "llm".to_owned(),
            zone: "warm".to_owned(),
            prompt: Vec::new(),
            memory_tokens: 1_000,
            left_ms: 3_000,
            finish_ms: None,
            priority: 0,
            is_under_way: turn.is_multiple_of(2),
            homes: Default::default(),
            cold: self.limit,
            version: None,
        }
    }

    /// Runs the simulation with `per_second` turns per second and a leader change at `change`.
    fn run(mut self, per_second: u64, change: Option<u64>) -> Self {
        let mut turns = 0;
        for ms in 0..END_MS {
            if ms == RETURN_MS {
                self.return_zone(ms);
            }
            if change == Some(ms) {
                let mut next = TurnScheduler::new(TOLERANCE);
                next.begin_term(self.at(ms));
                self.old_leader = Some(std::mem::replace(&mut self.leader, next));
            }
            if change.is_some_and(|change| ms == change + STEP_DOWN_MS) {
                self.old_leader = None;
            }
            while turns * SECOND_MS < per_second * ms {
                turns += 1;
                let to_old_leader = turns % OLD_LEADER_EVERY == 0;
                self.schedule(ms, Event::Request { turn: turns, to_old_leader });
            }
            for event in self.events.remove(&ms).unwrap_or_default() {
                self.handle(ms, event);
            }
            if ms % 20 == 0 {
                self.decide(ms);
            }
        }
        self
    }

    fn return_zone(&mut self, ms: u64) {
        let until = self.at(ms) + LIMIT.lasts;
        for number in 0..COLD_REPLICAS {
            let replica = replica(number, "cold");
            self.cold.mark_cold(&replica.id, until);
            self.replicas.push(replica);
        }
    }

    fn handle(&mut self, ms: u64, event: Event) {
        match event {
            Event::Request { turn, to_old_leader } => {
                self.request_placement(ms, turn, to_old_leader)
            }
            Event::Receive { turn, requested, decision } => {
                self.receive_decision(ms, turn, requested, decision)
            }
            Event::Arrive { turn, replica } => {
                if self.cold.is_cold(&replica, self.at(ms)) {
                    self.arrivals.entry(replica.clone()).or_default().push(ms);
                }
                self.schedule(ms + TURN_MS, Event::End { turn, replica });
            }
            Event::End { turn, replica } => {
                let now = self.at(ms);
                self.leader.end_turn(&turn.to_string(), Some(&replica), now);
                if let Some(old_leader) = &mut self.old_leader {
                    old_leader.end_turn(&turn.to_string(), Some(&replica), now);
                }
            }
        }
    }

    fn request_placement(&mut self, ms: u64, turn: u64, to_old_leader: bool) {
        self.requested.insert(turn, ms);
        if hash_draw("gateway", turn, GATEWAYS).is_multiple_of(LEADERLESS_EVERY) {
            return self.choose_locally(ms, turn);
        }
        let (request, now) = (self.request(turn), self.at(ms));
        let Self { replicas, topology, drained, cold, leader, old_leader, .. } = self;
        let view = FleetView { replicas, topology, drained, cold };
        let leader = old_leader.as_mut().filter(|_| to_old_leader).unwrap_or(leader);
        let decision = leader.submit(&turn.to_string(), request, &view, now);
        self.send_decision(ms, turn, decision);
    }

    fn decide(&mut self, ms: u64) {
        let now = self.at(ms);
        let Self { replicas, topology, drained, cold, leader, old_leader, .. } = self;
        let view = FleetView { replicas, topology, drained, cold };
        let mut decisions = leader.decide(&view, now);
        if let Some(old_leader) = old_leader {
            decisions.extend(old_leader.decide(&view, now));
        }
        for (turn, decision) in decisions {
            self.send_decision(ms, turn.parse().expect("a number"), decision);
        }
    }

    /// Sends a decision to its gateway, which may be stalled for a while.
    fn send_decision(&mut self, ms: u64, turn: u64, decision: Decision) {
        if decision == Decision::Wait {
            return;
        }
        let is_stalled = hash_draw("stalled", turn, STALLED_EVERY) == 0;
        let stall = if is_stalled { hash_draw("stall", turn, MAX_STALL_MS) } else { 0 };
        let requested = self.requested[&turn];
        self.schedule(ms + 1 + stall, Event::Receive { turn, requested, decision });
    }

    /// Handles a decision as a gateway does: an expired placement on a cold replica is dropped,
    /// and the gateway chooses a warm replica instead.
    fn receive_decision(&mut self, ms: u64, turn: u64, requested: u64, decision: Decision) {
        let placed = match decision {
            Decision::Run(replica) => PlacedReplica::warm(replica),
            Decision::RunCold { replica, waited_ms } => {
                PlacedReplica::cold(replica, self.at(requested), Duration::from_millis(waited_ms))
            }
            Decision::RunAnywhere => return self.choose_locally(ms, turn),
            Decision::Wait | Decision::Refuse(_) => return,
        };
        let is_cold = self.limit.is_some() && self.cold.is_cold(&placed.id, self.at(ms));
        if placed.is_valid(is_cold, self.at(ms)) {
            return self.send(ms, turn, placed.id);
        }
        self.expired += 1;
        self.choose_locally(ms, turn);
    }

    fn choose_locally(&mut self, ms: u64, turn: u64) {
        let now = self.at(ms);
        let is_limited = self.limit.is_some();
        let eligible =
            self.replicas.iter().filter(|known| !(is_limited && self.cold.is_cold(&known.id, now)));
        let eligible: Vec<String> = eligible.map(|replica| replica.id.clone()).collect();
        if let Some(replica) =
            eligible.get(hash_draw("own choice", turn, eligible.len() as u64) as usize)
        {
            self.send(ms, turn, replica.clone());
        }
    }

    /// The network delay is up to 150 ms, including a new connection.
    fn send(&mut self, ms: u64, turn: u64, replica: String) {
        let delay_ms = 1 + hash_draw("way", turn, 150);
        self.schedule(ms + delay_ms, Event::Arrive { turn, replica });
    }

    /// Returns the maximum number of arrivals at any cold replica within one second.
    fn max_arrivals(&self) -> usize {
        self.arrivals.values().map(|times| max_within_second(times)).max().unwrap_or(0)
    }

    fn cold_arrivals(&self) -> usize {
        self.arrivals.values().map(Vec::len).sum()
    }

    /// Returns the arrivals at the busiest cold replica in each half second after the return.
    fn rates(&self) -> Vec<usize> {
        let busiest = self.arrivals.values().max_by_key(|times| max_within_second(times));
        let times = busiest.map(Vec::as_slice).unwrap_or_default();
        let halves = (RETURN_MS..RETURN_MS + 3_000).step_by(500);
        let within = |from: u64| times.iter().filter(|at| (from..from + 500).contains(at)).count();
        halves.map(within).collect()
    }
}

fn max_within_second(times: &[u64]) -> usize {
    let within =
        |from: usize| times[from..].iter().take_while(|at| **at < times[from] + SECOND_MS).count();
    (0..times.len()).map(within).max().unwrap_or(0)
}

fn print_result(name: &str, simulation: &Simulation) {
    println!(
        "{name:<34} max in 1 s {:>3}, at cold {:>4}, expired {:>3}, per half second {:?}",
        simulation.max_arrivals(),
        simulation.cold_arrivals(),
        simulation.expired,
        simulation.rates(),
    );
}

/// Exceeds the capacity of the warm replicas and the limits of the cold ones together.
const BURST_PER_SECOND: u64 = 1_600;

#[test]
fn a_cold_zone_that_returns_during_a_burst_is_not_overloaded() {
    let simulation = Simulation::new(Some(LIMIT)).run(BURST_PER_SECOND, None);
    print_result("one leader", &simulation);
    assert!(simulation.max_arrivals() <= BURST_LIMIT);
    let limit = LIMIT.per_second as usize * COLD_REPLICAS * 3;
    assert!(
        simulation.cold_arrivals() > limit / 2,
        "cold replicas are used: {} of {limit}",
        simulation.cold_arrivals()
    );
    assert!(simulation.expired > 0, "some placements expire in stalled gateways");
}

#[test]
fn a_leader_change_does_not_exceed_the_limit() {
    for change in [RETURN_MS + 100, RETURN_MS + 500, RETURN_MS + 1_200] {
        let simulation = Simulation::new(Some(LIMIT)).run(BURST_PER_SECOND, Some(change));
        print_result(&format!("leader changes {} ms after", change - RETURN_MS), &simulation);
        assert!(simulation.max_arrivals() <= BURST_LIMIT);
    }
}

#[test]
fn without_the_limit_the_zone_is_overloaded() {
    let simulation = Simulation::new(None).run(BURST_PER_SECOND, None);
    print_result("no limit", &simulation);
    assert!(
        simulation.max_arrivals() > BURST_LIMIT,
        "the burst must exceed the limit: {}",
        simulation.max_arrivals()
    );
}

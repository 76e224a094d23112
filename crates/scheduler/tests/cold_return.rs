//! A zone of cold replicas that returns while a burst waits, in virtual time: the real scheduler
//! of the leader, and what each of hundreds of gateways does with its decisions.
//!
//! `cargo test -p calicohoist-scheduler --test cold_return -- --nocapture` shows the rates.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use calicohoist_routing::{
    ColdLimit, ColdReplicas, ColdTolerance, DrainedZones, PlacedReplica, Replica, ReplicaState,
    Topology, stable_hash,
};
use calicohoist_scheduler::{Decision, FleetView, PlacementRequest, TurnScheduler};

const LIMIT: ColdLimit = ColdLimit { per_second: 27.0, lasts: Duration::from_secs(3) };
const TOLERANCE: ColdTolerance = ColdTolerance { overshoot: 1.5, slack: 5.0 };
/// Requests that may arrive at a cold replica within a second: 27 x 1.5 + 5, rounded down.
const MOST: usize = 45;
const SECOND: u64 = 1_000;
const GATEWAYS: u64 = 300;
/// One gateway in so many has no leader, and chooses by itself.
const LEADERLESS: u64 = 10;
/// One gateway in so many stays with the old leader until that steps down.
const LEFT_BEHIND: u64 = 3;
/// One request in so many is held up in its gateway, for up to [`STALL_MS`].
const STALLED: u64 = 20;
const STALL_MS: u64 = 2_500;
const COLD_REPLICAS: usize = 15;
const WARM_REPLICAS: usize = 8;
/// When the cold replicas are listed, in ms; they stay cold for 3 s.
const RETURN_MS: u64 = 1_500;
const STEP_DOWN_MS: u64 = 360;
const END_MS: u64 = 8_000;
/// A turn at a replica, in ms.
const TURN_MS: u64 = 80;

/// What happens at a moment.
enum Step {
    /// A gateway has a turn to place.
    Ask { turn: u64, at_old: bool },
    /// The gateway learns of a decision to its question of `asked`.
    Told { turn: u64, asked: u64, decision: Decision },
    /// The turn reaches a replica.
    Reach { turn: u64, replica: String },
    /// The turn has ended at its replica.
    End { turn: u64, replica: String },
}

/// One run.
struct World {
    begun: Instant,
    limit: Option<ColdLimit>,
    replicas: Vec<Replica>,
    cold: ColdReplicas,
    topology: Topology,
    drained: DrainedZones,
    /// The leader, and the one before it while it has not stepped down.
    leader: TurnScheduler,
    old: Option<TurnScheduler>,
    steps: BTreeMap<u64, Vec<Step>>,
    asked: BTreeMap<u64, u64>,
    /// When turns reached cold replicas, in ms.
    arrivals: BTreeMap<String, Vec<u64>>,
    lapsed: usize,
}

/// A number below `most` that depends only on the words and the turn.
fn drawn(words: &str, turn: u64, most: u64) -> u64 {
    stable_hash(&[words.as_bytes(), &turn.to_le_bytes()]) % most.max(1)
}

fn replica(number: usize, zone: &str) -> Replica {
    Replica {
        id: format!("{zone}-{number}"),
        service: "llm".to_owned(),
        address: "127.0.0.1:1".parse().expect("an address"),
        zone: zone.to_owned(),
        slots: 8,
        state: ReplicaState::Ready,
    }
}

impl World {
    fn new(limit: Option<ColdLimit>) -> Self {
        Self {
            begun: Instant::now(),
            limit,
            replicas: (0..WARM_REPLICAS).map(|number| replica(number, "warm")).collect(),
            cold: ColdReplicas::none(),
            topology: Topology::empty(),
            drained: DrainedZones::none(),
            leader: TurnScheduler::new(TOLERANCE),
            old: None,
            steps: BTreeMap::new(),
            asked: BTreeMap::new(),
            arrivals: BTreeMap::new(),
            lapsed: 0,
        }
    }

    fn at(&self, ms: u64) -> Instant {
        self.begun + Duration::from_millis(ms)
    }

    fn then(&mut self, at: u64, step: Step) {
        self.steps.entry(at).or_default().push(step);
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
        }
    }

    /// The whole run; `per_second` turns come, and the leader changes at `change`.
    fn run(mut self, per_second: u64, change: Option<u64>) -> Self {
        let mut turns = 0;
        for ms in 0..END_MS {
            if ms == RETURN_MS {
                self.return_zone(ms);
            }
            if change == Some(ms) {
                let mut next = TurnScheduler::new(TOLERANCE);
                next.begin_term(self.at(ms));
                self.old = Some(std::mem::replace(&mut self.leader, next));
            }
            if change.is_some_and(|change| ms == change + STEP_DOWN_MS) {
                self.old = None;
            }
            while turns * SECOND < per_second * ms {
                turns += 1;
                let at_old = turns % LEFT_BEHIND == 0;
                self.then(ms, Step::Ask { turn: turns, at_old });
            }
            for step in self.steps.remove(&ms).unwrap_or_default() {
                self.act(ms, step);
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

    fn act(&mut self, ms: u64, step: Step) {
        match step {
            Step::Ask { turn, at_old } => self.ask(ms, turn, at_old),
            Step::Told { turn, asked, decision } => self.told(ms, turn, asked, decision),
            Step::Reach { turn, replica } => {
                if self.cold.is_cold(&replica, self.at(ms)) {
                    self.arrivals.entry(replica.clone()).or_default().push(ms);
                }
                self.then(ms + TURN_MS, Step::End { turn, replica });
            }
            Step::End { turn, replica } => {
                let now = self.at(ms);
                self.leader.end(&turn.to_string(), Some(&replica), now);
                if let Some(old) = &mut self.old {
                    old.end(&turn.to_string(), Some(&replica), now);
                }
            }
        }
    }

    fn ask(&mut self, ms: u64, turn: u64, at_old: bool) {
        self.asked.insert(turn, ms);
        if drawn("gateway", turn, GATEWAYS).is_multiple_of(LEADERLESS) {
            return self.choose(ms, turn);
        }
        let (request, now) = (self.request(turn), self.at(ms));
        let Self { replicas, topology, drained, cold, leader, old, .. } = self;
        let view = FleetView { replicas, topology, drained, cold };
        let asked = old.as_mut().filter(|_| at_old).unwrap_or(leader);
        let decision = asked.arrive(&turn.to_string(), request, &view, now);
        self.tell(ms, turn, decision);
    }

    fn decide(&mut self, ms: u64) {
        let now = self.at(ms);
        let Self { replicas, topology, drained, cold, leader, old, .. } = self;
        let view = FleetView { replicas, topology, drained, cold };
        let mut decided = leader.decide(&view, now);
        if let Some(old) = old {
            decided.extend(old.decide(&view, now));
        }
        for (turn, decision) in decided {
            self.tell(ms, turn.parse().expect("a number"), decision);
        }
    }

    /// A decision goes to its gateway, which may stand still for a while.
    fn tell(&mut self, ms: u64, turn: u64, decision: Decision) {
        if decision == Decision::Wait {
            return;
        }
        let is_stalled = drawn("stalled", turn, STALLED) == 0;
        let stall = if is_stalled { drawn("stall", turn, STALL_MS) } else { 0 };
        let asked = self.asked[&turn];
        self.then(ms + 1 + stall, Step::Told { turn, asked, decision });
    }

    /// The rule of a gateway: a placement at a cold replica lapses, and whoever has none chooses
    /// among warm ones.
    fn told(&mut self, ms: u64, turn: u64, asked: u64, decision: Decision) {
        let placed = match decision {
            Decision::Run(replica) => PlacedReplica::warm(replica),
            Decision::RunCold { replica, waited_ms } => {
                PlacedReplica::cold(replica, self.at(asked), Duration::from_millis(waited_ms))
            }
            Decision::RunAnywhere => return self.choose(ms, turn),
            Decision::Wait | Decision::Refuse(_) => return,
        };
        let is_cold = self.limit.is_some() && self.cold.is_cold(&placed.id, self.at(ms));
        if placed.is_valid(is_cold, self.at(ms)) {
            return self.send(ms, turn, placed.id);
        }
        self.lapsed += 1;
        self.choose(ms, turn);
    }

    fn choose(&mut self, ms: u64, turn: u64) {
        let now = self.at(ms);
        let is_bound = self.limit.is_some();
        let open =
            self.replicas.iter().filter(|known| !(is_bound && self.cold.is_cold(&known.id, now)));
        let open: Vec<String> = open.map(|replica| replica.id.clone()).collect();
        if let Some(replica) = open.get(drawn("own choice", turn, open.len() as u64) as usize) {
            self.send(ms, turn, replica.clone());
        }
    }

    /// The way takes up to 150 ms, with a new connection.
    fn send(&mut self, ms: u64, turn: u64, replica: String) {
        let way = 1 + drawn("way", turn, 150);
        self.then(ms + way, Step::Reach { turn, replica });
    }

    /// The most that arrived at one cold replica within any second.
    fn most(&self) -> usize {
        self.arrivals.values().map(|times| most_within_second(times)).max().unwrap_or(0)
    }

    fn at_cold(&self) -> usize {
        self.arrivals.values().map(Vec::len).sum()
    }

    /// Arrivals at the busiest cold replica in each half of a second since the return.
    fn rates(&self) -> Vec<usize> {
        let busiest = self.arrivals.values().max_by_key(|times| most_within_second(times));
        let times = busiest.map(Vec::as_slice).unwrap_or_default();
        let halves = (RETURN_MS..RETURN_MS + 3_000).step_by(500);
        let within = |from: u64| times.iter().filter(|at| (from..from + 500).contains(at)).count();
        halves.map(within).collect()
    }
}

fn most_within_second(times: &[u64]) -> usize {
    let within =
        |from: usize| times[from..].iter().take_while(|at| **at < times[from] + SECOND).count();
    (0..times.len()).map(within).max().unwrap_or(0)
}

fn show(name: &str, world: &World) {
    println!(
        "{name:<34} most in 1 s {:>3}, at cold {:>4}, lapsed {:>3}, each half second {:?}",
        world.most(),
        world.at_cold(),
        world.lapsed,
        world.rates(),
    );
}

/// More than the warm replicas bear, and than all cold ones may get.
const BURST_PER_SECOND: u64 = 1_600;

#[test]
fn a_zone_that_returns_cold_in_a_burst_is_not_overrun() {
    let world = World::new(Some(LIMIT)).run(BURST_PER_SECOND, None);
    show("one leader", &world);
    assert!(world.most() <= MOST);
    let borne = LIMIT.per_second as usize * COLD_REPLICAS * 3;
    assert!(world.at_cold() > borne / 2, "they help: {} of {borne}", world.at_cold());
    assert!(world.lapsed > 0, "some gateway stood still");
}

#[test]
fn a_change_of_leader_in_the_midst_lets_no_more_through() {
    for change in [RETURN_MS + 100, RETURN_MS + 500, RETURN_MS + 1_200] {
        let world = World::new(Some(LIMIT)).run(BURST_PER_SECOND, Some(change));
        show(&format!("leader changes {} ms after", change - RETURN_MS), &world);
        assert!(world.most() <= MOST);
    }
}

#[test]
fn without_the_limit_the_zone_would_be_overrun() {
    let world = World::new(None).run(BURST_PER_SECOND, None);
    show("limit not asked for", &world);
    assert!(world.most() > MOST, "else this proves nothing: {}", world.most());
}

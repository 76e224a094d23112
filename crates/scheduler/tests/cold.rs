//! Rate limit of cold replicas.

use std::time::{Duration, Instant};

use calicohoist_routing::{
    ColdLimit, ColdReplicas, ColdTolerance, DrainedZones, HomeRegions, Replica, ReplicaState,
    Topology,
};
use calicohoist_scheduler::{
    ConcurrencyLimit, Decision, FleetView, Placement, PlacementRequest, PlacementWeights, Placer,
    TurnScheduler,
};
use calicohoist_types::{Region, Zone};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const LIMIT: ColdLimit = ColdLimit { per_second: 27.0, lasts: Duration::from_secs(3) };
const TOLERANCE: ColdTolerance = ColdTolerance { overshoot: 1.5, slack: 5.0 };
/// Placements at a cold replica within one second.
const STEADY_LIMIT: usize = 27;
/// Maximum arrivals at a cold replica within one second.
const BURST_LIMIT: usize = 45;
/// Time for which a new leader places nothing on cold replicas.
const TERM_START_HOLD: Duration = Duration::from_secs(2);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn replica(id: &str, zone: &str) -> Replica {
    Replica {
        id: id.to_owned(),
        service: "llm".to_owned(),
        address: "127.0.0.1:1".parse().expect("an address"),
        zone: zone.to_owned(),
        slots: 8,
        state: ReplicaState::Ready,
        version: None,
    }
}

fn request() -> PlacementRequest {
    PlacementRequest {
        connected: Vec::new(),
        service: "llm".to_owned(),
        zone: "z".to_owned(),
        prompt: Vec::new(),
        memory_tokens: 1_000,
        left_ms: 4_000,
        finish_ms: None,
        priority: 0,
        is_under_way: false,
        homes: Default::default(),
        cold: Some(LIMIT),
        version: None,
    }
}

fn placer() -> Placer {
    Placer::new(PlacementWeights::default()).with_cold_tolerance(TOLERANCE)
}

/// Replicas, cold replicas and drained zones.
struct Fleet {
    replicas: Vec<Replica>,
    topology: Topology,
    drained: DrainedZones,
    cold: ColdReplicas,
}

impl Fleet {
    fn new(ids: &[&str]) -> Self {
        let replicas = ids.iter().map(|id| replica(id, "z")).collect();
        let topology = Topology::empty();
        Self { replicas, topology, drained: DrainedZones::none(), cold: ColdReplicas::none() }
    }

    fn view(&self) -> FleetView<'_> {
        let Self { replicas, topology, drained, cold } = self;
        FleetView { replicas, topology, drained, cold }
    }

    fn place(&self, placer: &mut Placer, turn: &str, now: Instant) -> Placement {
        placer.place(turn, &request(), &self.view(), ConcurrencyLimit::Unlimited, now)
    }

    /// Places turns until none is placed on `replica`; returns the number of placements.
    fn fill(&self, placer: &mut Placer, replica: &str, now: Instant) -> usize {
        let turn = |number: usize| format!("{replica}-{number}-{now:?}");
        let at_cold = Placement::Cold(replica.to_owned());
        (0..500).take_while(|number| self.place(placer, &turn(*number), now) == at_cold).count()
    }
}

fn fleet_with_cold(ids: &[&str], cold: &[&str], until: Instant) -> Fleet {
    let mut fleet = Fleet::new(ids);
    cold.iter().for_each(|id| fleet.cold.mark_cold(id, until));
    fleet
}

#[test]
fn a_cold_replica_stays_within_its_limit_in_any_second() {
    let now = Instant::now();
    let fleet = fleet_with_cold(&["c"], &["c"], now + ms(60_000));
    let mut placer = placer();
    assert_eq!(fleet.fill(&mut placer, "c", now), STEADY_LIMIT);
    assert_eq!(fleet.place(&mut placer, "t", now + ms(999)), Placement::NoCapacity);
    // After one second the window is empty, but placements of both windows may arrive together.
    assert_eq!(fleet.fill(&mut placer, "c", now + ms(1_000)), BURST_LIMIT - STEADY_LIMIT);
    assert_eq!(
        fleet.fill(&mut placer, "c", now + ms(1_500)),
        STEADY_LIMIT - (BURST_LIMIT - STEADY_LIMIT)
    );
}

#[test]
fn a_cold_replica_without_a_limit_is_not_restricted() {
    let now = Instant::now();
    let fleet = fleet_with_cold(&["c"], &["c"], now + ms(60_000));
    let mut placer = placer();
    let unlimited = PlacementRequest { cold: None, ..request() };
    for turn in 0..100 {
        let turn = turn.to_string();
        let placed =
            placer.place(&turn, &unlimited, &fleet.view(), ConcurrencyLimit::Unlimited, now);
        assert_eq!(placed, Placement::Warm("c".to_owned()));
    }
}

#[test]
fn a_limit_below_one_admits_nothing() {
    let now = Instant::now();
    let fleet = fleet_with_cold(&["c"], &["c"], now + ms(60_000));
    let limit = ColdLimit { per_second: 0.4, ..LIMIT };
    let mut placer = Placer::default().with_cold_tolerance(ColdTolerance::default());
    let limited = PlacementRequest { cold: Some(limit), ..request() };
    let placed = placer.place("t", &limited, &fleet.view(), ConcurrencyLimit::Unlimited, now);
    assert_eq!(placed, Placement::NoCapacity);
}

#[test]
fn a_warm_replica_is_preferred_until_it_is_busy() {
    let now = Instant::now();
    let fleet = fleet_with_cold(&["c", "w"], &["c"], now + ms(60_000));
    let mut placer = placer();
    assert_eq!(fleet.place(&mut placer, "first", now), Placement::Warm("w".to_owned()));
    let turns = (0..40).map(|turn| fleet.place(&mut placer, &turn.to_string(), now));
    let turns: Vec<Placement> = turns.collect();
    assert!(
        turns.contains(&Placement::Cold("c".to_owned())),
        "the cold replica is used when others are busy"
    );
}

#[test]
fn placements_at_a_warm_replica_count_once_it_is_cold() {
    let now = Instant::now();
    let mut fleet = Fleet::new(&["c"]);
    let mut placer = placer();
    for turn in 0..BURST_LIMIT {
        fleet.place(&mut placer, &turn.to_string(), now);
    }
    fleet.cold.mark_cold("c", now + ms(60_000));
    assert_eq!(fleet.place(&mut placer, "t", now + ms(1_499)), Placement::NoCapacity);
    assert_eq!(fleet.fill(&mut placer, "c", now + ms(1_500)), STEADY_LIMIT);
}

#[test]
fn a_repeated_request_counts_again() {
    let now = Instant::now();
    let fleet = fleet_with_cold(&["c"], &["c"], now + ms(60_000));
    let mut placer = placer();
    for _ in 0..STEADY_LIMIT {
        assert_eq!(fleet.place(&mut placer, "t", now), Placement::Cold("c".to_owned()));
    }
    assert_eq!(fleet.place(&mut placer, "t", now), Placement::NoCapacity);
}

#[test]
fn a_new_leader_waits_for_placements_in_flight() {
    let now = Instant::now();
    let fleet = fleet_with_cold(&["c"], &["c"], now + ms(60_000));
    let mut placer = placer();
    placer.begin_term(now);
    placer.add_inherited_load(&[("c".to_owned(), 3)], now, ms(1_500));
    assert_eq!(fleet.place(&mut placer, "t", now + TERM_START_HOLD - ms(1)), Placement::NoCapacity);
    assert_eq!(fleet.fill(&mut placer, "c", now + TERM_START_HOLD), STEADY_LIMIT);
}

#[test]
fn replicas_of_an_undrained_zone_count_as_cold() {
    let now = Instant::now();
    let mut fleet = Fleet::new(&["c"]);
    fleet.drained = DrainedZones { version: 1, zones: [Zone::new("z")].into() };
    let mut placer = placer();
    assert_eq!(fleet.place(&mut placer, "t", now), Placement::NoReplica);
    fleet.drained = DrainedZones { version: 2, zones: [].into() };
    assert_eq!(fleet.place(&mut placer, "t", now), Placement::Cold("c".to_owned()));
    assert_eq!(fleet.place(&mut placer, "u", now + ms(2_000)), Placement::Warm("c".to_owned()));
}

#[test]
fn a_failed_replica_counts_as_cold_until_the_list_is_current() {
    let now = Instant::now();
    let fleet = Fleet::new(&["c"]);
    let mut placer = placer();
    placer.mark_failing("c", now + ms(1_000));
    let cold = Placement::Cold("c".to_owned());
    assert_eq!(fleet.place(&mut placer, "t", now + ms(1_100)), cold);
    assert_eq!(fleet.place(&mut placer, "u", now + ms(3_000)), Placement::Warm("c".to_owned()));
}

#[test]
fn waiting_time_is_measured_from_the_latest_request() {
    let now = Instant::now();
    let fleet = fleet_with_cold(&["c"], &["c"], now + ms(60_000));
    let mut scheduler = TurnScheduler::new(TOLERANCE);
    let under_way = PlacementRequest { is_under_way: true, ..request() };
    for turn in 0..STEADY_LIMIT {
        scheduler.submit(&turn.to_string(), under_way.clone(), &fleet.view(), now);
    }
    let arrive = |scheduler: &mut TurnScheduler, at: Instant| {
        scheduler.submit("t", under_way.clone(), &fleet.view(), at)
    };
    assert_eq!(arrive(&mut scheduler, now), Decision::Wait);
    assert_eq!(arrive(&mut scheduler, now + ms(300)), Decision::Wait);
    let decisions = scheduler.decide(&fleet.view(), now + ms(1_000));
    let expected = Decision::RunCold { replica: "c".to_owned(), waited_ms: 700 };
    assert_eq!(decisions, [("t".to_owned(), expected)]);
}

/// Creates a scheduler whose replica `c` of service `llm` is cold and at its limit, with a
/// waiting turn `first`.
fn scheduler_with_waiting_turn(fleet: &Fleet, now: Instant) -> TurnScheduler {
    let mut scheduler = TurnScheduler::new(TOLERANCE);
    let under_way = PlacementRequest { is_under_way: true, ..request() };
    for turn in 0..STEADY_LIMIT {
        scheduler.submit(&turn.to_string(), under_way.clone(), &fleet.view(), now);
    }
    let decision = scheduler.submit("first", under_way, &fleet.view(), now);
    assert_eq!(decision, Decision::Wait);
    scheduler
}

#[test]
fn a_blocked_turn_does_not_block_other_services() {
    let now = Instant::now();
    let mut fleet = fleet_with_cold(&["c", "other"], &["c"], now + ms(60_000));
    fleet.replicas[1].service = "other".to_owned();
    let mut scheduler = scheduler_with_waiting_turn(&fleet, now);
    let other = PlacementRequest { service: "other".to_owned(), cold: None, ..request() };
    assert_eq!(scheduler.submit("other", other, &fleet.view(), now), Decision::Wait);
    let decisions = scheduler.decide(&fleet.view(), now + ms(20));
    assert_eq!(decisions, [("other".to_owned(), Decision::Run("other".to_owned()))]);
}

#[test]
fn a_blocked_turn_does_not_block_turns_with_other_regions() {
    let now = Instant::now();
    let mut fleet = fleet_with_cold(&["c", "w"], &["c"], now + ms(60_000));
    fleet.replicas[1].zone = "far".to_owned();
    let regions = [("z", "near"), ("far", "abroad")];
    let regions = regions.map(|(zone, region)| (Zone::new(zone), Region::new(region)));
    fleet.topology = Topology::new(regions.into());
    let in_region = HomeRegions::only([Region::new("near")]);
    let limited = PlacementRequest { homes: in_region, is_under_way: true, ..request() };
    let mut scheduler = TurnScheduler::new(TOLERANCE);
    for turn in 0..=STEADY_LIMIT {
        scheduler.submit(&turn.to_string(), limited.clone(), &fleet.view(), now);
    }
    assert_eq!(scheduler.waiting(), 1);
    assert_eq!(scheduler.submit("free", request(), &fleet.view(), now), Decision::Wait);
    let decisions = scheduler.decide(&fleet.view(), now + ms(20));
    assert_eq!(decisions, [("free".to_owned(), Decision::Run("w".to_owned()))]);
}

#[test]
fn a_skipped_turn_keeps_its_rank() {
    let now = Instant::now();
    let fleet = fleet_with_cold(&["c"], &["c"], now + ms(60_000));
    let mut scheduler = scheduler_with_waiting_turn(&fleet, now);
    let sooner = PlacementRequest { left_ms: 3_000, is_under_way: true, ..request() };
    assert_eq!(scheduler.submit("sooner", sooner, &fleet.view(), now), Decision::Wait);
    assert_eq!(scheduler.decide(&fleet.view(), now + ms(20)), []);
    let decisions = scheduler.decide(&fleet.view(), now + ms(1_000));
    let order: Vec<&str> = decisions.iter().map(|(turn, _)| turn.as_str()).collect();
    assert_eq!(order, ["sooner", "first"]);
}

#[test]
fn a_new_turn_does_not_overtake_a_waiting_one() {
    let now = Instant::now();
    let fleet = fleet_with_cold(&["c"], &["c"], now + ms(60_000));
    let mut scheduler = scheduler_with_waiting_turn(&fleet, now);
    let under_way = PlacementRequest { is_under_way: true, ..request() };
    let capacity_at = now + ms(1_000);
    let decision = scheduler.submit("later", under_way, &fleet.view(), capacity_at);
    assert_eq!(decision, Decision::Wait);
    let decisions = scheduler.decide(&fleet.view(), capacity_at);
    let order: Vec<&str> = decisions.iter().map(|(turn, _)| turn.as_str()).collect();
    assert_eq!(order, ["first", "later"]);
}

/// Returns the highest number of `times` within any window of length `span`.
fn max_within(times: &[Duration], span: Duration) -> usize {
    let within =
        |from: usize| times[from..].iter().take_while(|at| **at < times[from] + span).count();
    (0..times.len()).map(within).max().unwrap_or(0)
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(11),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// The limits hold for arbitrary sequences of placements, ended turns and repeated requests.
    #[test]
    fn no_window_exceeds_its_limit(
        steps in proptest::collection::vec((0_u64..120, 0_usize..20, 0_u8..4), 1..300),
    ) {
        let start = Instant::now();
        let fleet = fleet_with_cold(&["c", "d"], &["c", "d"], start + ms(600_000));
        let mut placer = placer();
        let mut now = start;
        let mut arrivals = Vec::new();
        for (step, (pause, burst, kind)) in steps.into_iter().enumerate() {
            now += ms(pause);
            for number in 0..burst {
                // One step in four repeats the request of the same turn.
                let turn = if kind == 0 { "again".to_owned() } else { format!("{step}-{number}") };
                if fleet.place(&mut placer, &turn, now) == Placement::Cold("c".to_owned()) {
                    arrivals.push(now - start);
                }
                if kind == 1 {
                    placer.end_turn(&turn, Some("c"), now);
                }
            }
        }
        prop_assert!(max_within(&arrivals, ms(1_000)) <= STEADY_LIMIT);
        prop_assert!(max_within(&arrivals, ms(1_500)) <= BURST_LIMIT);
    }
}

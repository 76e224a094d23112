//! What the leader places at cold replicas.

use std::time::{Duration, Instant};

use calicohoist_routing::{
    ColdLimit, ColdReplicas, ColdTolerance, DrainedZones, HomeRegions, Replica, ReplicaState,
    Topology,
};
use calicohoist_scheduler::{
    Decision, FleetView, Placement, PlacementRequest, PlacementWeights, Placer, RunLimit,
    TurnScheduler,
};
use calicohoist_types::{Region, Zone};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const LIMIT: ColdLimit = ColdLimit { per_second: 27.0, lasts: Duration::from_secs(3) };
const TOLERANCE: ColdTolerance = ColdTolerance { overshoot: 1.5, slack: 5.0 };
/// What a cold replica bears within a second.
const STEADY: usize = 27;
/// What may arrive at one within a second.
const MOST: usize = 45;
/// Nothing of an earlier leader arrives after this.
const TERM_HOLD: Duration = Duration::from_secs(2);

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
    }
}

fn placer() -> Placer {
    Placer::new(PlacementWeights::default()).with_cold_tolerance(TOLERANCE)
}

/// Replicas with those of them that are cold, and drained zones.
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
        placer.place(turn, &request(), &self.view(), RunLimit::Unlimited, now)
    }

    /// Places turns until none goes to this replica any more; returns how many did.
    fn fill(&self, placer: &mut Placer, replica: &str, now: Instant) -> usize {
        let turn = |number: usize| format!("{replica}-{number}-{now:?}");
        let at_cold = Placement::AtCold(replica.to_owned());
        (0..500).take_while(|number| self.place(placer, &turn(*number), now) == at_cold).count()
    }
}

fn with_cold(ids: &[&str], cold: &[&str], until: Instant) -> Fleet {
    let mut fleet = Fleet::new(ids);
    cold.iter().for_each(|id| fleet.cold.mark_cold(id, until));
    fleet
}

#[test]
fn a_cold_replica_gets_what_it_bears_in_any_second() {
    let now = Instant::now();
    let fleet = with_cold(&["c"], &["c"], now + ms(60_000));
    let mut placer = placer();
    assert_eq!(fleet.fill(&mut placer, "c", now), STEADY);
    assert_eq!(fleet.place(&mut placer, "t", now + ms(999)), Placement::NoRoom);
    // A second later again, but no more than may arrive together with the first.
    assert_eq!(fleet.fill(&mut placer, "c", now + ms(1_000)), MOST - STEADY);
    assert_eq!(fleet.fill(&mut placer, "c", now + ms(1_500)), STEADY - (MOST - STEADY));
}

#[test]
fn without_a_limit_a_cold_replica_is_one_like_others() {
    let now = Instant::now();
    let fleet = with_cold(&["c"], &["c"], now + ms(60_000));
    let mut placer = placer();
    let free = PlacementRequest { cold: None, ..request() };
    for turn in 0..100 {
        let turn = turn.to_string();
        let placed = placer.place(&turn, &free, &fleet.view(), RunLimit::Unlimited, now);
        assert_eq!(placed, Placement::At("c".to_owned()));
    }
}

#[test]
fn a_limit_that_lets_nothing_through_is_kept() {
    let now = Instant::now();
    let fleet = with_cold(&["c"], &["c"], now + ms(60_000));
    let limit = ColdLimit { per_second: 0.4, ..LIMIT };
    let mut placer = Placer::default().with_cold_tolerance(ColdTolerance::default());
    let bound = PlacementRequest { cold: Some(limit), ..request() };
    let placed = placer.place("t", &bound, &fleet.view(), RunLimit::Unlimited, now);
    assert_eq!(placed, Placement::NoRoom);
}

#[test]
fn a_warm_replica_is_preferred_until_it_is_busy() {
    let now = Instant::now();
    let fleet = with_cold(&["c", "w"], &["c"], now + ms(60_000));
    let mut placer = placer();
    assert_eq!(fleet.place(&mut placer, "first", now), Placement::At("w".to_owned()));
    let turns = (0..40).map(|turn| fleet.place(&mut placer, &turn.to_string(), now));
    let turns: Vec<Placement> = turns.collect();
    assert!(turns.contains(&Placement::AtCold("c".to_owned())), "it helps where others are busy");
}

#[test]
fn what_a_replica_got_while_it_was_warm_counts_when_it_is_cold_again() {
    let now = Instant::now();
    let mut fleet = Fleet::new(&["c"]);
    let mut placer = placer();
    for turn in 0..MOST {
        fleet.place(&mut placer, &turn.to_string(), now);
    }
    fleet.cold.mark_cold("c", now + ms(60_000));
    assert_eq!(fleet.place(&mut placer, "t", now + ms(1_499)), Placement::NoRoom);
    assert_eq!(fleet.fill(&mut placer, "c", now + ms(1_500)), STEADY);
}

#[test]
fn a_turn_that_is_asked_for_again_counts_again() {
    let now = Instant::now();
    let fleet = with_cold(&["c"], &["c"], now + ms(60_000));
    let mut placer = placer();
    for _ in 0..STEADY {
        assert_eq!(fleet.place(&mut placer, "t", now), Placement::AtCold("c".to_owned()));
    }
    assert_eq!(fleet.place(&mut placer, "t", now), Placement::NoRoom);
}

#[test]
fn a_new_leader_waits_until_what_others_placed_has_arrived() {
    let now = Instant::now();
    let fleet = with_cold(&["c"], &["c"], now + ms(60_000));
    let mut placer = placer();
    placer.begin_term(now);
    placer.inherit(&[("c".to_owned(), 3)], now, ms(1_500));
    assert_eq!(fleet.place(&mut placer, "t", now + TERM_HOLD - ms(1)), Placement::NoRoom);
    assert_eq!(fleet.fill(&mut placer, "c", now + TERM_HOLD), STEADY);
}

#[test]
fn replicas_of_a_zone_that_is_given_back_count_as_cold_at_first() {
    let now = Instant::now();
    let mut fleet = Fleet::new(&["c"]);
    fleet.drained = DrainedZones { version: 1, zones: [Zone::new("z")].into() };
    let mut placer = placer();
    assert_eq!(fleet.place(&mut placer, "t", now), Placement::NoReplica);
    fleet.drained = DrainedZones { version: 2, zones: [].into() };
    assert_eq!(fleet.place(&mut placer, "t", now), Placement::AtCold("c".to_owned()));
    assert_eq!(fleet.place(&mut placer, "u", now + ms(2_000)), Placement::At("c".to_owned()));
}

#[test]
fn a_replica_that_failed_may_have_started_again_before_the_list_tells() {
    let now = Instant::now();
    let fleet = Fleet::new(&["c"]);
    let mut placer = placer();
    placer.note_failing("c", now + ms(1_000));
    let cold = Placement::AtCold("c".to_owned());
    assert_eq!(fleet.place(&mut placer, "t", now + ms(1_100)), cold);
    assert_eq!(fleet.place(&mut placer, "u", now + ms(3_000)), Placement::At("c".to_owned()));
}

#[test]
fn a_turn_that_waited_is_told_for_how_long_since_it_was_asked_for_last() {
    let now = Instant::now();
    let fleet = with_cold(&["c"], &["c"], now + ms(60_000));
    let mut scheduler = TurnScheduler::new(TOLERANCE);
    let under_way = PlacementRequest { is_under_way: true, ..request() };
    for turn in 0..STEADY {
        scheduler.arrive(&turn.to_string(), under_way.clone(), &fleet.view(), now);
    }
    let arrive = |scheduler: &mut TurnScheduler, at: Instant| {
        scheduler.arrive("t", under_way.clone(), &fleet.view(), at)
    };
    assert_eq!(arrive(&mut scheduler, now), Decision::Wait);
    assert_eq!(arrive(&mut scheduler, now + ms(300)), Decision::Wait);
    let decided = scheduler.decide(&fleet.view(), now + ms(1_000));
    let expected = Decision::RunCold { replica: "c".to_owned(), waited_ms: 700 };
    assert_eq!(decided, [("t".to_owned(), expected)]);
}

/// A scheduler whose replica `c` of service `llm` is cold and full, with a turn `first` that
/// waits for it.
fn with_waiting_turn(fleet: &Fleet, now: Instant) -> TurnScheduler {
    let mut scheduler = TurnScheduler::new(TOLERANCE);
    let under_way = PlacementRequest { is_under_way: true, ..request() };
    for turn in 0..STEADY {
        scheduler.arrive(&turn.to_string(), under_way.clone(), &fleet.view(), now);
    }
    let decision = scheduler.arrive("first", under_way, &fleet.view(), now);
    assert_eq!(decision, Decision::Wait);
    scheduler
}

#[test]
fn a_turn_of_another_service_passes_one_whose_replicas_are_cold_and_full() {
    let now = Instant::now();
    let mut fleet = with_cold(&["c", "other"], &["c"], now + ms(60_000));
    fleet.replicas[1].service = "other".to_owned();
    let mut scheduler = with_waiting_turn(&fleet, now);
    let other = PlacementRequest { service: "other".to_owned(), cold: None, ..request() };
    assert_eq!(scheduler.arrive("other", other, &fleet.view(), now), Decision::Wait);
    let decided = scheduler.decide(&fleet.view(), now + ms(20));
    assert_eq!(decided, [("other".to_owned(), Decision::Run("other".to_owned()))]);
}

#[test]
fn a_turn_with_other_homes_passes_one_whose_replicas_are_cold_and_full() {
    let now = Instant::now();
    let mut fleet = with_cold(&["c", "w"], &["c"], now + ms(60_000));
    fleet.replicas[1].zone = "far".to_owned();
    let regions = [("z", "near"), ("far", "abroad")];
    let regions = regions.map(|(zone, region)| (Zone::new(zone), Region::new(region)));
    fleet.topology = Topology::new(regions.into());
    let at_home = HomeRegions::only([Region::new("near")]);
    let bound = PlacementRequest { homes: at_home, is_under_way: true, ..request() };
    let mut scheduler = TurnScheduler::new(TOLERANCE);
    for turn in 0..=STEADY {
        scheduler.arrive(&turn.to_string(), bound.clone(), &fleet.view(), now);
    }
    assert_eq!(scheduler.waiting(), 1);
    assert_eq!(scheduler.arrive("free", request(), &fleet.view(), now), Decision::Wait);
    let decided = scheduler.decide(&fleet.view(), now + ms(20));
    assert_eq!(decided, [("free".to_owned(), Decision::Run("w".to_owned()))]);
}

#[test]
fn a_turn_that_others_pass_keeps_its_place_before_those_of_its_kind() {
    let now = Instant::now();
    let fleet = with_cold(&["c"], &["c"], now + ms(60_000));
    let mut scheduler = with_waiting_turn(&fleet, now);
    let sooner = PlacementRequest { left_ms: 3_000, is_under_way: true, ..request() };
    assert_eq!(scheduler.arrive("sooner", sooner, &fleet.view(), now), Decision::Wait);
    assert_eq!(scheduler.decide(&fleet.view(), now + ms(20)), []);
    let decided = scheduler.decide(&fleet.view(), now + ms(1_000));
    let order: Vec<&str> = decided.iter().map(|(turn, _)| turn.as_str()).collect();
    assert_eq!(order, ["sooner", "first"]);
}

#[test]
fn a_turn_under_way_takes_no_room_from_one_that_waits_for_it() {
    let now = Instant::now();
    let fleet = with_cold(&["c"], &["c"], now + ms(60_000));
    let mut scheduler = with_waiting_turn(&fleet, now);
    let under_way = PlacementRequest { is_under_way: true, ..request() };
    let room_again = now + ms(1_000);
    let decision = scheduler.arrive("later", under_way, &fleet.view(), room_again);
    assert_eq!(decision, Decision::Wait);
    let decided = scheduler.decide(&fleet.view(), room_again);
    let order: Vec<&str> = decided.iter().map(|(turn, _)| turn.as_str()).collect();
    assert_eq!(order, ["first", "later"]);
}

/// Most of `times` within any span, which ends where it begins anew.
fn most_within(times: &[Duration], span: Duration) -> usize {
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

    /// Whatever comes when, and whichever turns end or are asked for again.
    #[test]
    fn no_window_holds_more_than_its_quota(
        steps in proptest::collection::vec((0_u64..120, 0_usize..20, 0_u8..4), 1..300),
    ) {
        let begun = Instant::now();
        let fleet = with_cold(&["c", "d"], &["c", "d"], begun + ms(600_000));
        let mut placer = placer();
        let mut now = begun;
        let mut at_c = Vec::new();
        for (step, (pause, burst, kind)) in steps.into_iter().enumerate() {
            now += ms(pause);
            for number in 0..burst {
                // A quarter of the turns is asked for again.
                let turn = if kind == 0 { "again".to_owned() } else { format!("{step}-{number}") };
                if fleet.place(&mut placer, &turn, now) == Placement::AtCold("c".to_owned()) {
                    at_c.push(now - begun);
                }
                if kind == 1 {
                    placer.end(&turn, Some("c"), now);
                }
            }
        }
        prop_assert!(most_within(&at_c, ms(1_000)) <= STEADY);
        prop_assert!(most_within(&at_c, ms(1_500)) <= MOST);
    }
}

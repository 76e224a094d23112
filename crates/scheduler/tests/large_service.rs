//! Placement in a large service: a decision examines a bounded number of replicas and is as good
//! as one that examines all of them.
//!
//! Load pattern: a fleet of thousands of mostly idle replicas, whose leader places hundreds of
//! turns a second on a fraction of a core.

mod requests;

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::{Duration, Instant};

use calicohoist_routing::{
    ColdReplicas, DrainedZones, Replica, ReplicaState, SoftwareVersion, Topology,
};
use calicohoist_scheduler::{
    ConcurrencyLimit, FleetView, MAX_SCANNED_REPLICAS, Placement, PlacementRequest,
    PlacementWeights, Placer, PromptPart, RunSample, TurnRun,
};
use calicohoist_types::{Region, Zone};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use requests::request_under_way;

const SERVICE: &str = "llm";
const CACHE_TOKENS: u64 = 20_000;
const ZONES: [&str; 3] = ["a", "b", "c"];
const SLOTS: u32 = 6;
/// Maximum ratio of the cost of a placement to the least cost of all replicas.
const MAX_COST_RATIO: f64 = 1.02;

fn fleet(count: usize) -> Vec<Replica> {
    let replica = |number: usize| Replica {
        id: format!("r{number}"),
        service: SERVICE.to_owned(),
        address: "127.0.0.1:1".parse().expect("an address"),
        zone: ZONES[number % ZONES.len()].to_owned(),
        slots: SLOTS,
        state: ReplicaState::Ready,
        version: None,
    };
    (0..count).map(replica).collect()
}

fn request(zone: usize, prompt: Vec<PromptPart>) -> PlacementRequest {
    request_under_way(SERVICE, ZONES[zone % ZONES.len()], CACHE_TOKENS, prompt)
}

/// A conversation of one of a few kinds, which share the first part of their prompts.
fn conversation(kind: u64, session: u64, tokens: u32) -> Vec<PromptPart> {
    vec![PromptPart { id: 1 + kind, tokens: 512 }, PromptPart { id: 1_000 + session, tokens }]
}

fn placer_for(replicas: &[Replica]) -> Placer {
    let mut placer = Placer::new(PlacementWeights::default());
    placer.retain(replicas);
    placer
}

fn place(
    placer: &mut Placer,
    turn: &str,
    request: &PlacementRequest,
    view: &FleetView<'_>,
    now: Instant,
) -> Placement {
    placer.place(turn, request, view, ConcurrencyLimit::Unlimited, now)
}

/// One event in the life of a fleet.
#[derive(Clone, Debug)]
enum Step {
    /// A turn arrives.
    Place { zone: usize, kind: u64, session: u64, tokens: u32 },
    /// The oldest turn under way ends; `failed` without an answer.
    End { failed: bool },
    /// A replica is reported as failing.
    Fail { replica: usize },
    /// Time passes.
    Wait { ms: u64 },
    /// A replica leaves the list.
    Leave { replica: usize },
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        6 => (0..ZONES.len(), 0..4_u64, 0..60_u64, 10..3_000_u32).prop_map(
            |(zone, kind, session, tokens)| Step::Place { zone, kind, session, tokens }
        ),
        3 => proptest::bool::weighted(0.1).prop_map(|failed| Step::End { failed }),
        1 => (0..100_usize).prop_map(|replica| Step::Fail { replica }),
        1 => (1..400_u64).prop_map(|ms| Step::Wait { ms }),
        1 => (0..100_usize).prop_map(|replica| Step::Leave { replica }),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 60,
        rng_seed: RngSeed::Fixed(64),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// The full scan of the same state, which [`Placer::least_cost`] makes, finds no replica that
    /// is cheaper by more than 2%.
    #[test]
    fn a_placement_costs_as_much_as_the_cheapest_of_all_replicas(
        count in prop_oneof![10..200_usize, 600..1_500_usize],
        inherited in proptest::collection::vec((0..100_usize, 1..9_u32), 0..40),
        steps in proptest::collection::vec(step(), 1..150),
    ) {
        let mut replicas = fleet(count);
        let mut placer = placer_for(&replicas);
        let mut now = Instant::now();
        let loads: Vec<(String, u32)> = inherited
            .iter()
            .map(|(replica, turns)| (replicas[replica % count].id.clone(), *turns))
            .collect();
        placer.add_inherited_load(&loads, now, Duration::from_secs(2));
        let mut under_way: Vec<(String, String, Vec<PromptPart>)> = Vec::new();
        for (number, step) in steps.into_iter().enumerate() {
            match step {
                Step::Place { zone, kind, session, tokens } => {
                    let mut request = request(zone, conversation(kind, session, tokens));
                    let connected = under_way.iter().map(|(_, replica, _)| replica.clone());
                    request.connected = connected.take(5).collect();
                    let view = FleetView::from_replicas(&replicas);
                    let turn = number.to_string();
                    let least = placer.least_cost(&request, &view, now).expect("a replica");
                    let found = placer.candidate_cost(&turn, &request, &view, now);
                    let found = found.expect("a candidate");
                    prop_assert!(found >= least);
                    prop_assert!(
                        found.as_secs_f64() <= least.as_secs_f64() * MAX_COST_RATIO,
                        "{found:?} instead of {least:?}"
                    );
                    let Placement::Warm(replica) =
                        place(&mut placer, &turn, &request, &view, now)
                    else {
                        panic!("every warm replica has capacity")
                    };
                    under_way.push((turn, replica, request.prompt));
                }
                Step::End { failed } if !under_way.is_empty() => {
                    let (turn, replica, prompt) = under_way.remove(0);
                    if failed {
                        placer.end_turn(&turn, None, now);
                    } else {
                        placer.end_turn(&turn, Some(&replica), now);
                        placer.record_run(&TurnRun {
                            replica,
                            prompt,
                            memory_tokens: CACHE_TOKENS,
                            service: SERVICE.to_owned(),
                            sample: Some(RunSample { generated: 60, time_ms: 200 }),
                        });
                    }
                }
                Step::Fail { replica } => {
                    let failing = &replicas[replica % replicas.len()].id;
                    placer.mark_failing(failing, now + Duration::from_secs(1));
                }
                Step::Wait { ms } => now += Duration::from_millis(ms),
                Step::Leave { replica } if replicas.len() > 1 => {
                    let left = replicas.remove(replica % replicas.len()).id;
                    under_way.retain(|(_, replica, _)| *replica != left);
                    placer.retain(&replicas);
                }
                Step::End { .. } | Step::Leave { .. } => {}
            }
        }
    }
}

/// Returns the number of replicas examined for a turn in a fleet of `count` with some load.
fn examined(count: usize) -> usize {
    let replicas = fleet(count);
    let mut placer = placer_for(&replicas);
    let view = FleetView::from_replicas(&replicas);
    let now = Instant::now();
    for session in 0..200 {
        let request = request(session as usize, conversation(session % 4, session, 300));
        place(&mut placer, &session.to_string(), &request, &view, now);
    }
    let request = request(0, conversation(0, 1_000, 300));
    placer.candidate_count("next", &request, &view, now)
}

#[test]
fn the_examined_replicas_do_not_grow_with_the_service() {
    let small = examined(1_000);
    assert!(small < 60, "{small} replicas of 1,000 examined");
    assert_eq!(examined(20_000), small);
}

#[test]
fn a_small_service_is_scanned_in_full() {
    let replicas = fleet(MAX_SCANNED_REPLICAS);
    let placer = placer_for(&replicas);
    let view = FleetView::from_replicas(&replicas);
    let request = request(0, conversation(0, 0, 300));
    let count = placer.candidate_count("t", &request, &view, Instant::now());
    assert_eq!(count, MAX_SCANNED_REPLICAS);
}

#[test]
fn a_list_that_the_index_was_not_built_for_is_scanned_in_full() {
    let replicas = fleet(2_000);
    let placer = placer_for(&replicas[..1_000]);
    let view = FleetView::from_replicas(&replicas);
    let request = request(0, conversation(0, 0, 300));
    assert_eq!(placer.candidate_count("t", &request, &view, Instant::now()), 2_000);
}

#[test]
fn turns_avoid_drained_zones_and_draining_replicas() {
    let mut replicas = fleet(2_000);
    for replica in replicas.iter_mut().filter(|replica| replica.zone == "b").take(600) {
        replica.state = ReplicaState::Draining;
    }
    let drained = DrainedZones { version: 1, zones: [Zone::new("a")].into() };
    let regions = ZONES.map(|zone| (Zone::new(zone), Region::new("here")));
    let topology = Topology::new(BTreeMap::from(regions));
    let cold = ColdReplicas::none();
    let view =
        FleetView { replicas: &replicas, topology: &topology, drained: &drained, cold: &cold };
    let mut placer = placer_for(&replicas);
    let now = Instant::now();
    for session in 0..500 {
        let request = request(0, conversation(0, session, 300));
        let Placement::Warm(at) = place(&mut placer, &session.to_string(), &request, &view, now)
        else {
            panic!("replicas of zones b and c are eligible")
        };
        let replica = replicas.iter().find(|replica| replica.id == at).expect("a listed replica");
        assert!(replica.zone != "a" && replica.state == ReplicaState::Ready, "{replica:?}");
    }
}

#[test]
fn the_only_replica_below_the_limit_is_found() {
    let replicas = fleet(900);
    let mut placer = placer_for(&replicas);
    let now = Instant::now();
    let full = replicas.iter().filter(|replica| replica.id != "r777");
    let loads: Vec<(String, u32)> = full.map(|replica| (replica.id.clone(), 20)).collect();
    placer.add_inherited_load(&loads, now, Duration::from_secs(9));
    let view = FleetView::from_replicas(&replicas);
    let limit = ConcurrencyLimit::MaxSlowdown(2.0);
    let mut place = |turn: &str| {
        let request = request(0, conversation(0, 0, 300));
        placer.place(turn, &request, &view, limit, now)
    };
    for turn in 0..SLOTS {
        assert_eq!(place(&turn.to_string()), Placement::Warm("r777".to_owned()));
    }
}

#[test]
fn a_repeated_request_returns_the_same_replica() {
    let replicas = fleet(2_000);
    let mut placer = placer_for(&replicas);
    let view = FleetView::from_replicas(&replicas);
    let now = Instant::now();
    let request = request(0, conversation(0, 0, 300));
    let first = place(&mut placer, "t", &request, &view, now);
    for other in 0..50 {
        place(&mut placer, &format!("o{other}"), &request, &view, now);
    }
    assert_eq!(place(&mut placer, "t", &request, &view, now), first);
}

/// Load pattern: conversations of a few kinds begin all the time at many gateways, while a fleet of
/// thousands of replicas is nearly idle. A replica to which the gateway is connected saves it a
/// connection, but would have to prefill the shared part of the prompt.
#[test]
fn shared_parts_are_copied_for_load_only() {
    const GATEWAYS: usize = 60;
    const KINDS: u64 = 4;
    const UNDER_WAY: usize = 8;
    let replicas = fleet(2_000);
    let mut placer = placer_for(&replicas);
    let view = FleetView::from_replicas(&replicas);
    let mut now = Instant::now();
    let mut copies = BTreeSet::new();
    let mut connected = vec![Vec::new(); GATEWAYS];
    let mut under_way = VecDeque::new();
    for session in 0..600 {
        now += Duration::from_millis(20);
        let gateway = session as usize * 7 % GATEWAYS;
        let kind = (session + session / GATEWAYS as u64) % KINDS;
        let mut request = request(gateway, conversation(kind, session, 300));
        request.connected = connected[gateway].clone();
        let turn = session.to_string();
        let Placement::Warm(replica) = place(&mut placer, &turn, &request, &view, now) else {
            panic!("every replica has capacity")
        };
        copies.insert((kind, replica.clone()));
        connected[gateway].push(replica.clone());
        under_way.push_back((turn, replica));
        if under_way.len() > UNDER_WAY {
            let (turn, replica) = under_way.pop_front().expect("a turn");
            placer.end_turn(&turn, Some(&replica), now);
        }
    }
    let most = KINDS as usize * UNDER_WAY;
    assert!(copies.len() <= most, "{} copies of {KINDS} shared parts", copies.len());
}

#[test]
fn turn_that_requires_a_version_finds_one_of_few_replicas_in_a_large_service() {
    let now = Instant::now();
    let mut replicas = fleet(1_200);
    let new = [17, 703];
    for replica in &mut replicas {
        replica.version = Some(SoftwareVersion::new("v1"));
    }
    for number in new {
        replicas[number].version = Some(SoftwareVersion::new("v1.2"));
    }
    let mut placer = placer_for(&replicas);
    let view = FleetView::from_replicas(&replicas);
    let required = PlacementRequest {
        version: Some(SoftwareVersion::new("v1.2")),
        ..request(0, conversation(0, 0, 300))
    };
    for turn in 0..6 {
        let placement = place(&mut placer, &format!("t{turn}"), &required, &view, now);
        let Placement::Warm(placed) = placement else { panic!("{placement:?}") };
        assert!(new.iter().any(|number| replicas[*number].id == placed), "{placed}");
    }
}

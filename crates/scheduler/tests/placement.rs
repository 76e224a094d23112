//! Placement of turns: load, prefix caches, regions and failed replicas.

mod requests;

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use calicohoist_routing::{Replica, ReplicaState, SoftwareVersion, Topology};
use calicohoist_scheduler::{
    ConcurrencyLimit, FleetView, Placement, PlacementRequest, PlacementWeights, Placer,
    PrefixIndex, PromptPart, RunSample, TurnRun,
};
use calicohoist_types::{Region, Zone};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use requests::request_under_way;

const CACHE_TOKENS: u64 = 100_000;

fn part(id: u64, tokens: u32) -> PromptPart {
    PromptPart { id, tokens }
}

fn replica(id: &str, slots: u32) -> Replica {
    Replica {
        id: id.to_owned(),
        service: "llm".to_owned(),
        address: "127.0.0.1:1".parse().expect("an address"),
        zone: "z".to_owned(),
        slots,
        state: ReplicaState::Ready,
        version: None,
    }
}

fn fleet(count: usize) -> Vec<Replica> {
    (0..count).map(|number| replica(&format!("r{number}"), 4)).collect()
}

fn request(prompt: &[PromptPart]) -> PlacementRequest {
    let request = request_under_way("llm", "z", CACHE_TOKENS, prompt.to_vec());
    PlacementRequest { is_under_way: false, ..request }
}

/// Places a turn without a concurrency limit.
fn place(
    placer: &mut Placer,
    turn: &str,
    request: &PlacementRequest,
    replicas: &[Replica],
    now: Instant,
) -> Option<String> {
    match placer.place(
        turn,
        request,
        &FleetView::from_replicas(replicas),
        ConcurrencyLimit::Unlimited,
        now,
    ) {
        Placement::Warm(replica) => Some(replica),
        Placement::Cold(replica) => panic!("{replica} is warm"),
        Placement::NoCapacity => panic!("no capacity without a limit"),
        Placement::NoReplica => None,
    }
}

/// Creates the record of a turn that appended `generated` tokens to the last part of its prompt.
fn completed_run(replica: &str, prompt: &[PromptPart], generated: u32) -> TurnRun {
    let mut prompt = prompt.to_vec();
    if let Some(last) = prompt.last_mut() {
        last.tokens += generated;
    }
    TurnRun {
        replica: replica.to_owned(),
        prompt,
        memory_tokens: CACHE_TOKENS,
        service: "llm".to_owned(),
        sample: None,
    }
}

/// Two replicas in the gateway's region and two in another one.
fn two_regions() -> (Topology, Vec<Replica>) {
    let zones = [("z", "here"), ("y", "here"), ("x", "there")];
    let regions = zones.map(|(zone, region)| (Zone::new(zone), Region::new(region)));
    let places = [("r0", "z"), ("r1", "y"), ("r2", "x"), ("r3", "x")];
    let listed = places.map(|(id, zone)| Replica { zone: zone.to_owned(), ..replica(id, 4) });
    (Topology::new(BTreeMap::from(regions)), listed.to_vec())
}

#[test]
fn turns_stay_in_the_region_while_it_has_capacity() {
    let (topology, replicas) = two_regions();
    let view = FleetView { topology: &topology, ..FleetView::from_replicas(&replicas) };
    let mut placer = Placer::new(PlacementWeights::default());
    let now = Instant::now();
    let place = |placer: &mut Placer, turn: u32| {
        let request = request(&[part(u64::from(turn), 500)]);
        placer.place(&turn.to_string(), &request, &view, ConcurrencyLimit::Unlimited, now)
    };
    for turn in 0..4 {
        let Placement::Warm(at) = place(&mut placer, turn) else { panic!("no replica") };
        assert!(at == "r0" || at == "r1", "turn {turn} went to {at}");
    }
    let remote = (4..24).filter(
        |turn| matches!(place(&mut placer, *turn), Placement::Warm(at) if at == "r2" || at == "r3"),
    );
    assert!(remote.count() > 0, "turns leave a full region");
}

#[test]
fn a_short_prompt_cached_in_another_region_is_prefilled_again() {
    let (topology, replicas) = two_regions();
    let view = FleetView { topology: &topology, ..FleetView::from_replicas(&replicas) };
    let now = Instant::now();
    for (tokens, stays_remote) in [(500, false), (80_000, true)] {
        let mut placer = Placer::new(PlacementWeights::default());
        placer.record_run(&completed_run("r2", &[part(1, tokens)], 0));
        let request = request(&[part(1, tokens), part(2, 100)]);
        let Placement::Warm(at) =
            placer.place("t", &request, &view, ConcurrencyLimit::Unlimited, now)
        else {
            panic!("no replica")
        };
        assert_eq!(at == "r2", stays_remote, "{tokens} tokens went to {at}");
    }
}

#[test]
fn unrelated_turns_are_balanced_evenly() {
    let mut placer = Placer::new(PlacementWeights::default());
    let replicas = fleet(4);
    let now = Instant::now();
    for turn in 0..16 {
        let prompt = [part(1_000 + turn, 900)];
        place(&mut placer, &format!("t{turn}"), &request(&prompt), &replicas, now)
            .expect("a placement");
    }
    let loads: Vec<u32> = replicas.iter().map(|replica| placer.load(&replica.id)).collect();
    assert_eq!(loads, [4, 4, 4, 4]);
}

#[test]
fn the_next_turn_goes_where_its_prompt_is_cached() {
    let mut placer = Placer::new(PlacementWeights::default());
    let replicas = fleet(4);
    let now = Instant::now();
    let first = place(&mut placer, "a", &request(&[part(1, 500), part(2, 700)]), &replicas, now);
    placer.end_turn("a", first.as_deref(), now);
    let first_replica = first.as_deref().expect("a placement");
    placer.record_run(&completed_run(first_replica, &[part(1, 500), part(2, 700)], 80));
    let other = place(&mut placer, "x", &request(&[part(9, 700)]), &replicas, now);
    assert_ne!(first, other, "an unrelated prompt goes to the replica with the emptier cache");
    placer.end_turn("x", other.as_deref(), now);
    let second = place(&mut placer, "b", &request(&[part(1, 500), part(2, 1_400)]), &replicas, now);
    assert_eq!(first, second);
}

#[test]
fn the_cache_follows_where_a_turn_ran() {
    let mut placer = Placer::new(PlacementWeights::default());
    let replicas = fleet(3);
    let now = Instant::now();
    let prompt = [part(2, 3_000)];
    let placed = place(&mut placer, "a", &request(&prompt), &replicas, now).expect("a placement");
    let ran_at = replicas.iter().find(|replica| replica.id != placed).expect("another replica");
    placer.end_turn("a", Some(&ran_at.id), now);
    placer.record_run(&completed_run(&ran_at.id, &prompt, 100));
    let grown = [part(2, 3_300)];
    // Both replicas are believed to have cached the prompt, since the placement is recorded at
    // once.
    let next = place(&mut placer, "b", &request(&grown), &replicas, now).expect("a placement");
    assert!(next == ran_at.id, "only {} has cached the output, not {next}", ran_at.id);
}

#[test]
fn a_full_replica_is_avoided_despite_its_cache() {
    let mut placer = Placer::new(PlacementWeights::default());
    let replicas = fleet(2);
    let now = Instant::now();
    let shared = part(1, 4_000);
    let mut placements = Vec::new();
    for turn in 0..12 {
        let prompt = [shared, part(100 + turn, 50)];
        // A cache of this size has no free capacity for replicated parts.
        let request = PlacementRequest { memory_tokens: 4_800, ..request(&prompt) };
        placements.push(place(&mut placer, &format!("t{turn}"), &request, &replicas, now));
    }
    assert!(
        placements[..3].iter().all(|placement| *placement == placements[0]),
        "the prompt is cached there"
    );
    assert!(
        placements.iter().any(|placement| *placement != placements[0]),
        "twelve turns exceed the slots of one replica"
    );
}

#[test]
fn shared_parts_are_replicated_at_low_load() {
    let mut placer = Placer::new(PlacementWeights::default());
    let replicas = fleet(3);
    let now = Instant::now();
    let shared = part(1, 2_000);
    for turn in 0..3 {
        let prompt = [shared, part(100 + turn, 50)];
        let name = format!("t{turn}");
        let first_replica = place(&mut placer, &name, &request(&prompt), &replicas, now);
        placer.end_turn(&name, first_replica.as_deref(), now);
    }
    // All replicas have cached the shared part, so a burst is spread over them.
    for number in 0..9 {
        let prompt = [shared, part(200 + number, 50)];
        place(&mut placer, &format!("b{number}"), &request(&prompt), &replicas, now);
    }
    let loads: Vec<u32> = replicas.iter().map(|replica| placer.load(&replica.id)).collect();
    assert_eq!(loads, [3, 3, 3]);
}

#[test]
fn shared_parts_are_not_replicated_to_busy_replicas() {
    let mut placer = Placer::new(PlacementWeights::default());
    let replicas = fleet(2);
    let now = Instant::now();
    for turn in 0..4 {
        let busy = [part(300 + turn, 10)];
        place(&mut placer, &format!("busy{turn}"), &request(&busy), &replicas, now);
    }
    let first_replica =
        place(&mut placer, "a", &request(&[part(1, 2_000), part(5, 50)]), &replicas, now);
    let next = place(&mut placer, "b", &request(&[part(1, 2_000), part(6, 50)]), &replicas, now);
    assert_eq!(first_replica, next, "another prefill would delay the running turns");
}

/// Returns the placements of turns that share a prompt, on engines with this time per token.
fn placements_for_token_time(token_ms: f64) -> Vec<Option<String>> {
    const GENERATED: u32 = 80;
    let time_ms = (token_ms * f64::from(GENERATED)) as u32;
    let mut placer = Placer::new(PlacementWeights::default());
    let replicas = fleet(3);
    let now = Instant::now();
    for _ in 0..100 {
        let sample = Some(RunSample { generated: GENERATED, time_ms });
        placer.record_run(&TurnRun { sample, ..completed_run("r0", &[], 0) });
    }
    let placed = (0..20).map(|turn| {
        let prompt = [part(1, 6_000), part(100 + turn, 400)];
        let request = PlacementRequest { memory_tokens: 9_000, ..request(&prompt) };
        place(&mut placer, &format!("t{turn}"), &request, &replicas, now)
    });
    placed.collect()
}

#[test]
fn placement_does_not_depend_on_engine_speed() {
    let placements = placements_for_token_time(1.0);
    assert!(placements[0] == placements[1], "the prompt is cached there");
    assert!(
        placements.iter().any(|placement| *placement != placements[0]),
        "twenty turns exceed the slots of one replica"
    );
    for token_ms in [0.25, 0.5, 4.0, 20.0] {
        assert_eq!(placements_for_token_time(token_ms), placements, "{token_ms} ms per token");
    }
}

#[test]
fn the_concurrency_limit_holds_until_a_turn_ends() {
    let mut placer = Placer::new(PlacementWeights::default());
    let replicas = fleet(1);
    let now = Instant::now();
    let place_new = |placer: &mut Placer, turn: &str, limit| {
        placer.place(
            turn,
            &request(&[part(1, 10)]),
            &FleetView::from_replicas(&replicas),
            limit,
            now,
        )
    };
    let placed = Placement::Warm("r0".to_owned());
    // Without a speed estimate the limit is the number of slots.
    for turn in ["a", "b", "c", "d"] {
        assert_eq!(place_new(&mut placer, turn, ConcurrencyLimit::MaxSlowdown(2.0)), placed);
    }
    assert_eq!(
        place_new(&mut placer, "e", ConcurrencyLimit::MaxSlowdown(2.0)),
        Placement::NoCapacity
    );
    assert_eq!(place_new(&mut placer, "f", ConcurrencyLimit::Unlimited), placed);
    placer.end_turn("a", Some("r0"), now);
    assert_eq!(
        place_new(&mut placer, "e", ConcurrencyLimit::MaxSlowdown(2.0)),
        Placement::NoCapacity
    );
    placer.end_turn("b", Some("r0"), now);
    assert_eq!(place_new(&mut placer, "e", ConcurrencyLimit::MaxSlowdown(2.0)), placed);
}

#[test]
fn a_new_leader_counts_inherited_turns() {
    let mut placer = Placer::new(PlacementWeights::default());
    let replicas = fleet(2);
    let now = Instant::now();
    place(&mut placer, "old", &request(&[part(1, 10)]), &replicas, now);
    placer.begin_term(now);
    assert_eq!(placer.load("r0") + placer.load("r1"), 0);
    let ttl = Duration::from_millis(1_500);
    placer.add_inherited_load(&[("r0".to_owned(), 2)], now, ttl);
    placer.add_inherited_load(&[("r0".to_owned(), 1), ("r1".to_owned(), 1)], now, ttl);
    assert_eq!((placer.load("r0"), placer.load("r1")), (3, 1));
    placer.end_turn("old", Some("r0"), now);
    assert_eq!(placer.load("r0"), 2, "one inherited turn has ended");
    let later = now + ttl;
    place(&mut placer, "n", &request(&[]), &replicas, later);
    assert_eq!(placer.load("r0") + placer.load("r1"), 1, "inherited turns have expired");
}

#[test]
fn a_repeated_request_keeps_its_placement() {
    let mut placer = Placer::new(PlacementWeights::default());
    let replicas = fleet(3);
    let now = Instant::now();
    let first = place(&mut placer, "a", &request(&[part(1, 10)]), &replicas, now);
    let again = place(&mut placer, "a", &request(&[part(1, 10)]), &replicas, now);
    assert_eq!(first, again);
    assert_eq!(placer.load(&first.expect("a placement")), 1);
}

#[test]
fn a_turn_without_a_reported_end_expires() {
    let mut placer = Placer::new(PlacementWeights::default());
    let replicas = fleet(1);
    let now = Instant::now();
    place(&mut placer, "a", &request(&[]), &replicas, now);
    place(&mut placer, "b", &request(&[]), &replicas, now + Duration::from_secs(3));
    assert_eq!(placer.load("r0"), 2);
    place(&mut placer, "c", &request(&[]), &replicas, now + Duration::from_secs(5));
    assert_eq!(placer.load("r0"), 2, "the first turn has expired");
}

#[test]
fn a_stalled_replica_gets_no_more_turns() {
    let mut placer = Placer::new(PlacementWeights::default());
    let replicas = fleet(2);
    let mut now = Instant::now();
    let stalled =
        place(&mut placer, "s", &request(&[part(1, 900)]), &replicas, now).expect("a placement");
    // The other replica completes turns; the stalled one has the prompt cached and is cheaper.
    for turn in 0..3 {
        let name = format!("o{turn}");
        place(&mut placer, &name, &request(&[part(100 + turn, 900)]), &replicas, now);
    }
    now += Duration::from_millis(900);
    let other = replicas.iter().find(|replica| replica.id != stalled).expect("another replica");
    for turn in ["o0", "o1", "o2"] {
        placer.end_turn(turn, Some(&other.id), now);
    }
    let grown = [part(1, 1_000)];
    let next = place(&mut placer, "n", &request(&grown), &replicas, now);
    assert_eq!(next.as_deref(), Some(other.id.as_str()));
    placer.end_turn("n", Some(&other.id), now);
    // The caller gives up: the replica stays suspected for a while although it is idle.
    placer.end_turn("s", None, now);
    let later = place(&mut placer, "l", &request(&[part(8, 10)]), &replicas, now);
    assert_eq!(later.as_deref(), Some(other.id.as_str()));
    now += Duration::from_secs(3);
    let back = place(&mut placer, "b", &request(&[part(9, 10)]), &replicas, now);
    assert_eq!(back.as_deref(), Some(stalled.as_str()), "the other replica has a turn under way");
}

#[test]
fn a_draining_replica_gets_no_turns() {
    let mut placer = Placer::new(PlacementWeights::default());
    let mut replicas = fleet(2);
    let now = Instant::now();
    let first_replica =
        place(&mut placer, "a", &request(&[part(1, 5_000)]), &replicas, now).expect("a placement");
    placer.end_turn("a", Some(&first_replica), now);
    for replica in &mut replicas {
        if replica.id == first_replica {
            replica.state = ReplicaState::Draining;
        }
    }
    let next = place(&mut placer, "b", &request(&[part(1, 5_000)]), &replicas, now);
    assert_ne!(next.as_deref(), Some(first_replica.as_str()));
    replicas.iter_mut().for_each(|replica| replica.state = ReplicaState::Draining);
    assert_eq!(place(&mut placer, "c", &request(&[]), &replicas, now), None);
}

#[test]
fn a_cached_prompt_ends_at_the_first_missing_part() {
    let mut index = PrefixIndex::default();
    index.record("r", &[part(1, 100), part(2, 50)], CACHE_TOKENS);
    assert_eq!(index.uncached("r", &[part(1, 100), part(2, 80)]), 30);
    assert_eq!(index.uncached("r", &[part(1, 100), part(3, 10), part(2, 50)]), 60);
    assert_eq!(index.uncached("other", &[part(1, 100)]), 100);
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(5),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// The most recent part stays cached, and the cache never exceeds its capacity.
    #[test]
    fn least_recently_used_parts_are_evicted(sizes in proptest::collection::vec(1u32..400, 1..60)) {
        let capacity = 1_000;
        let mut index = PrefixIndex::default();
        for (number, tokens) in sizes.iter().enumerate() {
            index.record("r", &[part(number as u64, *tokens)], capacity);
        }
        let last = sizes.len() as u64 - 1;
        prop_assert_eq!(index.uncached("r", &[part(last, sizes[last as usize])]), 0);
        let cached: u64 = sizes
            .iter()
            .enumerate()
            .map(|(number, tokens)| {
                u64::from(*tokens) - index.uncached("r", &[part(number as u64, *tokens)])
            })
            .sum();
        prop_assert!(cached <= capacity);
    }

    /// Loads equal the number of turns that were placed and have not ended.
    #[test]
    fn loads_match_the_turns_under_way(steps in proptest::collection::vec((0u8..20, any::<bool>()), 1..200)) {
        let mut placer = Placer::new(PlacementWeights::default());
        let replicas = fleet(3);
        let now = Instant::now();
        let mut under_way = std::collections::BTreeSet::new();
        for (turn, begins) in steps {
            let name = format!("t{turn}");
            if begins {
                place(&mut placer, &name, &request(&[part(u64::from(turn), 300)]), &replicas, now);
                under_way.insert(name);
            } else {
                placer.end_turn(&name, Some("r1"), now);
                under_way.remove(&name);
            }
        }
        let total: u32 = replicas.iter().map(|replica| placer.load(&replica.id)).sum();
        prop_assert_eq!(total as usize, under_way.len());
    }
}

/// A new connection costs something, but less than prefilling a cached prompt again.
#[test]
fn an_idle_connection_breaks_ties() {
    let replicas = fleet(6);
    let now = Instant::now();
    let mut placer = Placer::default();
    let first = PlacementRequest { connected: vec!["r4".to_owned()], ..request(&[part(1, 500)]) };
    assert_eq!(place(&mut placer, "t1", &first, &replicas, now).as_deref(), Some("r4"));
    placer.end_turn("t1", Some("r4"), now);
    let next = PlacementRequest { connected: vec!["r2".to_owned()], ..request(&[part(1, 900)]) };
    assert_eq!(place(&mut placer, "t2", &next, &replicas, now).as_deref(), Some("r4"));
}

fn sampled_run(replica: &str, token_ms: u32) -> TurnRun {
    TurnRun {
        replica: replica.to_owned(),
        prompt: Vec::new(),
        memory_tokens: CACHE_TOKENS,
        service: "llm".to_owned(),
        sample: Some(RunSample { generated: 100, time_ms: 100 * token_ms }),
    }
}

/// With engines of two speeds, the fast one is filled first. The slow one is used once waiting
/// for the fast one would take longer.
#[test]
fn a_fast_engine_gets_turns_until_waiting_there_takes_longer() {
    let replicas = fleet(2);
    let mut placer = Placer::default();
    let now = Instant::now();
    for _ in 0..100 {
        placer.record_run(&sampled_run("r0", 2));
        placer.record_run(&sampled_run("r1", 6));
    }
    let mut counts = BTreeMap::new();
    for turn in 0..14 {
        let chosen = place(&mut placer, &format!("t{turn}"), &request(&[]), &replicas, now);
        *counts.entry(chosen.expect("a placement")).or_insert(0) += 1;
        if turn == 3 {
            assert_eq!(
                counts,
                BTreeMap::from([("r0".to_owned(), 4)]),
                "the fast engine's slots are filled first"
            );
        }
    }
    assert!(counts["r0"] > counts["r1"], "{counts:?}");
    assert!(counts["r1"] >= 1, "{counts:?}");
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 100,
        rng_seed: RngSeed::Fixed(57),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Turns on engines of the same build, whose measured times differ slightly, are placed as if
    /// only the speed of the service were known.
    #[test]
    fn small_speed_differences_do_not_affect_placement(
        token_us in prop::collection::vec(2_800..3_400u32, 4),
        turns in prop::collection::vec((0..40u64, 0..2_000u32, any::<bool>()), 1..60),
    ) {
        let replicas = fleet(4);
        let (mut per_replica, mut per_service) = (Placer::default(), Placer::default());
        for _ in 0..60 {
            for (number, token_us) in token_us.iter().enumerate() {
                let sample = RunSample { generated: 1_000, time_ms: *token_us };
                let run = TurnRun { sample: Some(sample), ..sampled_run(&format!("r{number}"), 1) };
                per_replica.record_run(&run);
                per_service.record_run(&TurnRun { replica: "elsewhere".to_owned(), ..run });
            }
        }
        let mut now = Instant::now();
        for (number, (id, tokens, ends)) in turns.into_iter().enumerate() {
            now += Duration::from_millis(7);
            let turn = format!("t{number}");
            let request = request(&[part(id, tokens)]);
            let by_replica = place(&mut per_replica, &turn, &request, &replicas, now);
            let by_service = place(&mut per_service, &turn, &request, &replicas, now);
            prop_assert_eq!(&by_replica, &by_service);
            if ends {
                per_replica.end_turn(&turn, by_replica.as_deref(), now);
                per_service.end_turn(&turn, by_service.as_deref(), now);
            }
        }
    }
}

/// A stream continues only at the version that began it, whatever the load and the caches.
#[test]
fn turn_that_requires_a_version_is_placed_at_its_replicas_only() {
    let now = Instant::now();
    let version = |number: usize| Some(SoftwareVersion::new(["v1", "v1.2"][number % 2]));
    let listed: Vec<Replica> = (0..4)
        .map(|number| Replica { version: version(number), ..replica(&format!("r{number}"), 4) })
        .collect();
    let mut placer = Placer::default();
    placer.retain(&listed);
    let required = PlacementRequest { version: version(1), ..request(&[part(1, 500)]) };
    for turn in 0..8 {
        let placed = place(&mut placer, &format!("t{turn}"), &required, &listed, now);
        assert!(["r1", "r3"].contains(&placed.as_deref().expect("a replica")), "{placed:?}");
    }
    let gone = PlacementRequest { version: Some(SoftwareVersion::new("v2")), ..required };
    let view = FleetView::from_replicas(&listed);
    let placement = placer.place("t9", &gone, &view, ConcurrencyLimit::Unlimited, now);
    assert_eq!(placement, Placement::NoReplica);
}

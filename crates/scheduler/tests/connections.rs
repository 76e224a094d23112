//! Placement and connections: gateways reuse what they have open, and load stays balanced.

mod requests;

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::time::{Duration, Instant};

use calicohoist_routing::{ColdReplicas, DrainedZones, Replica, ReplicaState, Topology};
use calicohoist_scheduler::{
    ConcurrencyLimit, FleetView, Placement, PlacementRequest, PlacementWeights, Placer, PromptPart,
};
use calicohoist_types::{Region, Zone};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use requests::request_under_way;

const ZONES: [&str; 3] = ["a", "b", "c"];
const SLOTS: u32 = 6;
const CACHE_TOKENS: u64 = 60_000;

fn replica(number: usize) -> Replica {
    Replica {
        id: format!("r{number}"),
        service: "llm".to_owned(),
        address: "127.0.0.1:1".parse().expect("an address"),
        zone: ZONES[number % ZONES.len()].to_owned(),
        slots: SLOTS,
        state: ReplicaState::Ready,
        version: None,
    }
}

fn one_region() -> Topology {
    let zones = ZONES.map(|zone| (Zone::new(zone), Region::new("here")));
    Topology::new(BTreeMap::from(zones))
}

fn request(zone: &str, connected: Vec<String>, prompt: Vec<PromptPart>) -> PlacementRequest {
    PlacementRequest { connected, ..request_under_way("llm", zone, CACHE_TOKENS, prompt) }
}

fn place(
    placer: &mut Placer,
    turn: &str,
    request: &PlacementRequest,
    view: &FleetView<'_>,
    now: Instant,
) -> String {
    match placer.place(turn, request, view, ConcurrencyLimit::Unlimited, now) {
        Placement::Warm(replica) => replica,
        other => panic!("{other:?} instead of a warm replica"),
    }
}

/// A program whose turns arrive at changing gateways of one zone.
struct Program {
    zone: usize,
    kind: u64,
    session: u64,
    turns_left: u32,
    history_tokens: u32,
}

/// Load pattern: many gateways of three zones stand before fewer replicas, 2.6 turns run at each on
/// average, and the turns of a program arrive at changing gateways of its zone. A replica outside
/// the zone would get a connection from nearly each gateway.
#[test]
fn turns_of_many_gateways_do_not_need_a_connection_to_each_replica_of_all_zones() {
    const GATEWAYS_PER_ZONE: usize = 20;
    const REPLICAS_PER_ZONE: usize = 16;
    const PROGRAMS: usize = 150;
    const TURNS: usize = 12_000;
    const UNDER_WAY: usize = 125;
    let replicas: Vec<Replica> = (0..REPLICAS_PER_ZONE * ZONES.len()).map(replica).collect();
    let topology = one_region();
    let view = FleetView { topology: &topology, ..FleetView::from_replicas(&replicas) };
    let mut placer = Placer::new(PlacementWeights::default());
    let mut now = Instant::now();
    let mut random = number_sequence(98);
    let mut programs: Vec<Program> = (0..PROGRAMS).map(|number| program(number as u64)).collect();
    let mut started = PROGRAMS as u64;
    let mut connected: HashMap<(usize, usize), BTreeSet<String>> = HashMap::new();
    let mut under_way: VecDeque<(String, String)> = VecDeque::new();
    let mut placed_at: HashMap<String, u32> = HashMap::new();
    for turn in 0..TURNS {
        now += Duration::from_millis(2);
        let index = random() % programs.len();
        let gateway = (programs[index].zone, random() % GATEWAYS_PER_ZONE);
        let open = connected.entry(gateway).or_default();
        let known = &mut programs[index];
        let prompt = vec![
            PromptPart { id: 1 + known.kind, tokens: 512 },
            PromptPart { id: 1_000 + known.session, tokens: known.history_tokens },
        ];
        let request = request(ZONES[known.zone], open.iter().cloned().collect(), prompt);
        let chosen = place(&mut placer, &turn.to_string(), &request, &view, now);
        open.insert(chosen.clone());
        *placed_at.entry(chosen.clone()).or_default() += 1;
        under_way.push_back((turn.to_string(), chosen));
        known.history_tokens += 100;
        known.turns_left -= 1;
        if known.turns_left == 0 {
            *known = program(started);
            started += 1;
        }
        if under_way.len() > UNDER_WAY {
            let (turn, replica) = under_way.pop_front().expect("a turn");
            placer.end_turn(&turn, Some(&replica), now);
        }
    }
    let opened: usize = connected.values().map(BTreeSet::len).sum();
    // As many as connect each gateway with each replica of its zone.
    let most = ZONES.len() * GATEWAYS_PER_ZONE * REPLICAS_PER_ZONE;
    assert!(opened <= most, "{opened} pairs of gateway and replica instead of {most}");
    let mean = TURNS / replicas.len();
    let fewest = replicas.iter().map(|replica| placed_at.get(&replica.id).copied().unwrap_or(0));
    let fewest = fewest.min().expect("replicas") as usize;
    assert!(fewest * 2 >= mean, "a replica has {fewest} turns, the mean is {mean}");
}

fn program(session: u64) -> Program {
    Program {
        zone: session as usize % ZONES.len(),
        kind: session % 8,
        session,
        turns_left: 3 + (session % 6) as u32,
        history_tokens: 150,
    }
}

/// Returns a fixed sequence of pseudo-random numbers (the MMIX generator of Knuth).
fn number_sequence(seed: u64) -> impl FnMut() -> usize {
    let mut state = seed;
    move || {
        state =
            state.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (state >> 33) as usize
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 128,
        rng_seed: RngSeed::Fixed(98),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Whatever the gateways have open: no turn waits while a replica of its region has a free
    /// slot, and replicas that are drained, leaving or failing get none while others are healthy.
    #[test]
    fn a_connection_neither_fills_a_replica_nor_leads_to_one_that_is_out_of_use(
        states in proptest::collection::vec(0..4_u8, 4..24),
        drains_zone: bool,
        turns in proptest::collection::vec((0..ZONES.len(), any::<u32>()), 1..120),
    ) {
        let mut replicas: Vec<Replica> = (0..states.len()).map(replica).collect();
        let zones = drains_zone.then(|| Zone::new("b"));
        let drained = DrainedZones { version: 1, zones: zones.into_iter().collect() };
        let mut placer = Placer::new(PlacementWeights::default());
        let now = Instant::now();
        let mut in_use = BTreeSet::new();
        for (replica, state) in replicas.iter_mut().zip(&states) {
            match state {
                0 => replica.state = ReplicaState::Draining,
                1 => placer.mark_failing(&replica.id, now + Duration::from_secs(60)),
                _ if drains_zone && replica.zone == "b" => {}
                _ => {
                    in_use.insert(replica.id.clone());
                }
            }
        }
        let topology = one_region();
        let cold = ColdReplicas::none();
        let view =
            FleetView { replicas: &replicas, topology: &topology, drained: &drained, cold: &cold };
        for (number, (zone, open)) in turns.into_iter().enumerate() {
            if number >= in_use.len() * SLOTS as usize {
                break;
            }
            let connected = replicas.iter().enumerate();
            let connected = connected.filter(|(index, _)| open >> index & 1 == 1);
            let connected = connected.map(|(_, replica)| replica.id.clone()).collect();
            let request = request(ZONES[zone], connected, Vec::new());
            let chosen = place(&mut placer, &number.to_string(), &request, &view, now);
            prop_assert!(in_use.contains(&chosen), "{chosen} is out of use");
            prop_assert!(placer.load(&chosen) <= SLOTS, "{chosen} is full, others are not");
        }
    }
}

//! Placement of turns by a process that sees all of them.

use std::time::{Duration, Instant};

use calicohoist_routing::{
    PlacementRequest, PlacementWeights, Placer, PrefixIndex, PromptPart, Replica, ReplicaState,
};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const MEMORY: u64 = 100_000;

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
    }
}

fn fleet(count: usize) -> Vec<Replica> {
    (0..count).map(|number| replica(&format!("r{number}"), 4)).collect()
}

fn request(prompt: &[PromptPart]) -> PlacementRequest {
    PlacementRequest {
        service: "llm".to_owned(),
        zone: "z".to_owned(),
        prompt: prompt.to_vec(),
        memory_tokens: MEMORY,
        left_ms: 4_000,
    }
}

#[test]
fn turns_that_share_nothing_are_spread_evenly() {
    let mut placer = Placer::new(PlacementWeights::default());
    let replicas = fleet(4);
    let now = Instant::now();
    for turn in 0..16 {
        let prompt = [part(1_000 + turn, 900)];
        placer.place(&format!("t{turn}"), &request(&prompt), &replicas, now).expect("a place");
    }
    let loads: Vec<u32> = replicas.iter().map(|replica| placer.load(&replica.id)).collect();
    assert_eq!(loads, [4, 4, 4, 4]);
}

#[test]
fn the_next_turn_goes_where_its_history_is_held() {
    let mut placer = Placer::new(PlacementWeights::default());
    let replicas = fleet(4);
    let now = Instant::now();
    let first = placer.place("a", &request(&[part(1, 500), part(2, 700)]), &replicas, now);
    placer.end("a", first.as_deref(), 80, now);
    let other = placer.place("x", &request(&[part(9, 700)]), &replicas, now);
    assert_ne!(first, other, "a replica that holds nothing is as good for another prompt");
    placer.end("x", other.as_deref(), 0, now);
    let second = placer.place("b", &request(&[part(1, 500), part(2, 1_400)]), &replicas, now);
    assert_eq!(first, second);
}

#[test]
fn where_a_turn_ran_counts_not_where_it_was_placed() {
    let mut placer = Placer::new(PlacementWeights::default());
    let replicas = fleet(3);
    let now = Instant::now();
    let prompt = [part(2, 3_000)];
    let placed = placer.place("a", &request(&prompt), &replicas, now).expect("a place");
    let ran_at = replicas.iter().find(|replica| replica.id != placed).expect("another");
    placer.end("a", Some(&ran_at.id), 100, now);
    let grown = [part(2, 3_300)];
    // Both are believed to hold it: the one that was to read it may have begun to.
    let next = placer.place("b", &request(&grown), &replicas, now).expect("a place");
    assert!(next == ran_at.id, "only {} holds the output, not {next}", ran_at.id);
}

#[test]
fn a_full_home_is_left() {
    let mut placer = Placer::new(PlacementWeights::default());
    let replicas = fleet(2);
    let now = Instant::now();
    let shared = part(1, 2_000);
    let mut homes = Vec::new();
    for turn in 0..12 {
        let prompt = [shared, part(100 + turn, 50)];
        homes.push(placer.place(&format!("t{turn}"), &request(&prompt), &replicas, now));
    }
    assert!(homes[..3].iter().all(|home| *home == homes[0]), "the prompt is held there");
    assert!(homes.iter().any(|home| *home != homes[0]), "twelve do not fit into four slots");
}

#[test]
fn a_turn_that_is_asked_for_again_stays_and_counts_once() {
    let mut placer = Placer::new(PlacementWeights::default());
    let replicas = fleet(3);
    let now = Instant::now();
    let first = placer.place("a", &request(&[part(1, 10)]), &replicas, now);
    let again = placer.place("a", &request(&[part(1, 10)]), &replicas, now);
    assert_eq!(first, again);
    assert_eq!(placer.load(&first.expect("a place")), 1);
}

#[test]
fn a_turn_whose_end_nobody_tells_stops_counting() {
    let mut placer = Placer::new(PlacementWeights::default());
    let replicas = fleet(1);
    let now = Instant::now();
    placer.place("a", &request(&[]), &replicas, now);
    placer.place("b", &request(&[]), &replicas, now + Duration::from_secs(3));
    assert_eq!(placer.load("r0"), 2);
    placer.place("c", &request(&[]), &replicas, now + Duration::from_secs(5));
    assert_eq!(placer.load("r0"), 2, "the first has run out of time");
}

#[test]
fn a_replica_that_ends_nothing_any_more_gets_no_further_turns() {
    let mut placer = Placer::new(PlacementWeights::default());
    let replicas = fleet(2);
    let mut now = Instant::now();
    let silent = placer.place("s", &request(&[part(1, 900)]), &replicas, now).expect("a place");
    // The other one works; the silent one would be the cheaper of the two.
    for turn in 0..3 {
        let name = format!("o{turn}");
        placer.place(&name, &request(&[part(100 + turn, 900)]), &replicas, now);
    }
    now += Duration::from_millis(900);
    let other = replicas.iter().find(|replica| replica.id != silent).expect("another");
    for turn in ["o0", "o1", "o2"] {
        placer.end(turn, Some(&other.id), 10, now);
    }
    let grown = [part(1, 1_000)];
    let next = placer.place("n", &request(&grown), &replicas, now);
    assert_eq!(next.as_deref(), Some(other.id.as_str()));
    placer.end("n", Some(&other.id), 10, now);
    // Its caller gives up: the replica stays suspected for a while, though it is idle now.
    placer.end("s", None, 0, now);
    let later = placer.place("l", &request(&[part(8, 10)]), &replicas, now);
    assert_eq!(later.as_deref(), Some(other.id.as_str()));
    now += Duration::from_secs(3);
    let back = placer.place("b", &request(&[part(9, 10)]), &replicas, now);
    assert_eq!(back.as_deref(), Some(silent.as_str()), "the other one has a turn under way");
}

#[test]
fn nobody_is_placed_on_a_replica_that_leaves() {
    let mut placer = Placer::new(PlacementWeights::default());
    let mut replicas = fleet(2);
    let now = Instant::now();
    let home = placer.place("a", &request(&[part(1, 5_000)]), &replicas, now).expect("a place");
    placer.end("a", Some(&home), 0, now);
    for replica in &mut replicas {
        if replica.id == home {
            replica.state = ReplicaState::Draining;
        }
    }
    let next = placer.place("b", &request(&[part(1, 5_000)]), &replicas, now);
    assert_ne!(next.as_deref(), Some(home.as_str()));
    replicas.iter_mut().for_each(|replica| replica.state = ReplicaState::Draining);
    assert_eq!(placer.place("c", &request(&[]), &replicas, now), None);
}

#[test]
fn a_prompt_is_held_only_up_to_the_first_part_that_is_missing() {
    let mut index = PrefixIndex::default();
    index.note("r", &[part(1, 100), part(2, 50)], MEMORY);
    assert_eq!(index.unread("r", &[part(1, 100), part(2, 80)]), 30);
    assert_eq!(index.unread("r", &[part(1, 100), part(3, 10), part(2, 50)]), 60);
    assert_eq!(index.unread("other", &[part(1, 100)]), 100);
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(5),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// What was used last is held, whatever came before, and never more than fits.
    #[test]
    fn the_oldest_parts_give_way(sizes in proptest::collection::vec(1u32..400, 1..60)) {
        let capacity = 1_000;
        let mut index = PrefixIndex::default();
        for (number, tokens) in sizes.iter().enumerate() {
            index.note("r", &[part(number as u64, *tokens)], capacity);
        }
        let last = sizes.len() as u64 - 1;
        prop_assert_eq!(index.unread("r", &[part(last, sizes[last as usize])]), 0);
        let held: u64 = sizes
            .iter()
            .enumerate()
            .map(|(number, tokens)| {
                u64::from(*tokens) - index.unread("r", &[part(number as u64, *tokens)])
            })
            .sum();
        prop_assert!(held <= capacity);
    }

    /// The loads are those of the turns that were placed and have not ended.
    #[test]
    fn loads_add_up(steps in proptest::collection::vec((0u8..20, any::<bool>()), 1..200)) {
        let mut placer = Placer::new(PlacementWeights::default());
        let replicas = fleet(3);
        let now = Instant::now();
        let mut under_way = std::collections::BTreeSet::new();
        for (turn, begins) in steps {
            let name = format!("t{turn}");
            if begins {
                placer.place(&name, &request(&[part(u64::from(turn), 300)]), &replicas, now);
                under_way.insert(name);
            } else {
                placer.end(&name, Some("r1"), 10, now);
                under_way.remove(&name);
            }
        }
        let total: u32 = replicas.iter().map(|replica| placer.load(&replica.id)).sum();
        prop_assert_eq!(total as usize, under_way.len());
    }
}

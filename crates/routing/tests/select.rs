//! Replica selection by cost.

use std::time::Duration;

use calicohoist_routing::{Affinity, Candidate, CostWeights, Distance, MeanLoad, choose};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

fn candidate(id: &str, load: u32) -> Candidate<'_> {
    Candidate {
        id,
        slots: 4,
        own_load: load,
        other_load: MeanLoad::default(),
        distance: Distance::SameZone,
        is_connected: true,
        rank: 0,
        last_used: 0,
        penalty: Duration::ZERO,
    }
}

const IDS: [&str; 6] = ["a", "b", "c", "d", "e", "f"];

fn fleet(loads: [u32; 6]) -> Vec<Candidate<'static>> {
    IDS.iter().zip(loads).map(|(id, load)| candidate(id, load)).collect()
}

#[test]
fn no_candidates_yield_no_choice() {
    assert_eq!(choose(&[], Affinity::default(), &CostWeights::default()), None);
}

#[test]
fn without_affinity_the_least_loaded_is_chosen() {
    let chosen = choose(&fleet([3, 2, 1, 2, 3, 4]), Affinity::default(), &CostWeights::default());
    assert_eq!(chosen, Some(2));
}

#[test]
fn a_busy_preferred_replica_is_left_when_waiting_costs_more() {
    let weights = CostWeights::default();
    let affinity = Affinity { key: Some(7), tokens: 600 };
    let preferred = choose(&fleet([0; 6]), affinity, &weights).expect("a preferred replica");
    let mut loads = [0; 6];
    loads[preferred] = 40;
    assert_ne!(choose(&fleet(loads), affinity, &weights), Some(preferred));
}

#[test]
fn a_penalized_replica_is_avoided() {
    let mut candidates = fleet([0; 6]);
    let weights = CostWeights::default();
    let affinity = Affinity { key: Some(7), tokens: 600 };
    let preferred = choose(&candidates, affinity, &weights).expect("a preferred replica");
    candidates[preferred].penalty = Duration::from_secs(1);
    assert_ne!(choose(&candidates, affinity, &weights), Some(preferred));
}

#[test]
fn an_idle_connection_is_reused_while_its_replica_has_free_slots() {
    let weights = CostWeights::default();
    let mut candidates = fleet([0; 6]);
    candidates.iter_mut().for_each(|candidate| candidate.is_connected = false);
    candidates[4].is_connected = true;
    candidates[4].own_load = 2;
    assert_eq!(choose(&candidates, Affinity::default(), &weights), Some(4));
    candidates[4].own_load = 5;
    assert_ne!(choose(&candidates, Affinity::default(), &weights), Some(4));
}

#[test]
fn ties_are_broken_by_rank() {
    let weights = CostWeights::default();
    let mut candidates = fleet([0; 6]);
    for (index, candidate) in candidates.iter_mut().enumerate() {
        candidate.rank = (index as u64 + 3) % 6;
    }
    assert_eq!(choose(&candidates, Affinity::default(), &weights), Some(3));
}

#[test]
fn the_region_is_left_only_for_a_long_wait_or_a_failure() {
    let weights = CostWeights::default();
    let mut candidates = fleet([4, 4, 0, 0, 0, 0]);
    candidates[1].distance = Distance::SameRegion;
    for far in &mut candidates[2..] {
        far.distance = Distance::OtherRegion;
    }
    let chosen = |candidates: &[Candidate<'_>]| {
        choose(candidates, Affinity::default(), &weights).expect("one")
    };
    // The expected wait is shorter than the cost of leaving the zone.
    assert_eq!(chosen(&candidates), 0);
    candidates[0].own_load = 12;
    assert_eq!(chosen(&candidates), 1);
    candidates[1].own_load = 12;
    assert_eq!(chosen(&candidates), 2);
    candidates[1].own_load = 0;
    candidates[1].penalty = Duration::from_millis(800);
    assert_eq!(chosen(&candidates), 2);
}

#[test]
fn a_conversation_prefers_a_replica_in_its_region() {
    let weights = CostWeights::default();
    for key in 0..64 {
        let affinity = Affinity { key: Some(key), tokens: 600 };
        let mut candidates = fleet([0; 6]);
        candidates[2..].iter_mut().for_each(|far| far.distance = Distance::OtherRegion);
        candidates[1].distance = Distance::SameRegion;
        let first = choose(&candidates, affinity, &weights).expect("one");
        assert!(first < 2, "key {key} went to {first}");
        // A gateway in the other zone of the region selects the same replica.
        candidates[0].distance = Distance::SameRegion;
        candidates[1].distance = Distance::SameZone;
        candidates[0].rank = 9;
        assert_eq!(choose(&candidates, affinity, &weights), Some(first));
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(3),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// The selection does not depend on the order of candidates, and the removal of a replica
    /// affects only conversations that were placed on it.
    #[test]
    fn placement_is_consistent_between_gateways(key: u64, rotation in 0usize..6, removed in 0usize..6) {
        let weights = CostWeights::default();
        let affinity = Affinity { key: Some(key), tokens: 10_000 };
        let candidates = fleet([0; 6]);
        let chosen = candidates[choose(&candidates, affinity, &weights).expect("one")].id;
        let mut rotated = candidates.clone();
        rotated.rotate_left(rotation);
        let other = rotated[choose(&rotated, affinity, &weights).expect("one")].id;
        prop_assert_eq!(chosen, other);
        let mut remaining = candidates;
        let removed = remaining.remove(removed).id;
        let after = remaining[choose(&remaining, affinity, &weights).expect("one")].id;
        prop_assert!(chosen == removed || chosen == after);
    }
}

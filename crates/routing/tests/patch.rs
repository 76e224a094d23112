//! Patches of the replica list.

use std::net::{Ipv4Addr, SocketAddr};

use calicohoist_routing::{ListPart, ListPatch, PatchError, Replica, ReplicaState};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

fn replica(number: u16, state: ReplicaState) -> Replica {
    Replica {
        id: format!("i-{number}"),
        service: "models".to_owned(),
        address: SocketAddr::from((Ipv4Addr::LOCALHOST, number + 1)),
        zone: "hall".to_owned(),
        slots: 4,
        state,
        version: None,
    }
}

fn ready(number: u16) -> Replica {
    replica(number, ReplicaState::Ready)
}

fn apply(old: &[Replica], patch: ListPatch) -> Result<Vec<Replica>, PatchError> {
    let mut new = Vec::new();
    for part in patch.parts(old.len())? {
        match part {
            ListPart::Copied(range) => new.extend_from_slice(&old[range]),
            ListPart::Inserted(replica) => new.push(replica),
        }
    }
    Ok(new)
}

fn list() -> impl Strategy<Value = Vec<Replica>> {
    let entry = (0..40_u16, any::<bool>()).prop_map(|(number, is_ready)| {
        let state = if is_ready { ReplicaState::Ready } else { ReplicaState::Draining };
        replica(number, state)
    });
    proptest::collection::vec(entry, 0..60)
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 500,
        rng_seed: RngSeed::Fixed(64),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Lists may be reordered, shrink to nothing, and contain an id several times.
    #[test]
    fn a_patch_reproduces_the_new_list(old in list(), new in list()) {
        prop_assert_eq!(apply(&old, ListPatch::between(&old, &new)), Ok(new));
    }
}

/// Returns the size of the patch for a list of `count` replicas in which one drains and one is
/// replaced.
fn patch_size(count: u16) -> usize {
    let old: Vec<Replica> = (0..count).map(ready).collect();
    let mut new = old.clone();
    new[7].state = ReplicaState::Draining;
    new.remove(50);
    new.push(ready(9_999));
    let patch = ListPatch::between(&old, &new);
    bincode::serde::encode_to_vec(&patch, bincode::config::standard()).expect("encode").len()
}

#[test]
fn the_size_of_a_patch_does_not_grow_with_the_list() {
    let (small, large) = (patch_size(100), patch_size(2_000));
    assert!(large <= small + 12, "{large} bytes for 2,000 replicas, {small} for 100");
    assert!(large < 200, "{large} bytes for two changes");
}

#[test]
fn a_patch_of_another_list_is_rejected() {
    let old: Vec<Replica> = (0..10).map(ready).collect();
    let patch = ListPatch::between(&old, &old[..5]);
    let error = PatchError::OtherList { expected: 10, found: 9 };
    assert_eq!(apply(&old[..9], patch), Err(error));
}

#[test]
fn a_list_without_common_replicas_is_sent_in_full() {
    let old: Vec<Replica> = (0..10).map(ready).collect();
    let new: Vec<Replica> = (10..20).map(ready).collect();
    assert!(ListPatch::between(&old, &new).is_complete());
    assert!(!ListPatch::between(&old, &old).is_complete());
}

//! Replica lists with several incarnations of the same replica.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Instant;

use calicohoist_proxy::fleet::Fleet;
use calicohoist_routing::{
    DrainedZones, HomeRegions, Incarnation, Replica, ReplicaState, SoftwareRequirement, StartTime,
};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const IDENTITIES: u64 = 3;

fn replica(identity: u64, start_time: u64) -> Replica {
    let start = Some(StartTime::from_unix_ms(start_time));
    Replica {
        id: Incarnation { identity: format!("i-{identity}"), start }.to_string(),
        service: "models".to_owned(),
        address: SocketAddr::from((Ipv4Addr::LOCALHOST, 1)),
        zone: "hall".to_owned(),
        slots: 4,
        state: ReplicaState::Ready,
        version: None,
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 500,
        rng_seed: RngSeed::Fixed(47),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Lists from successive leaders and the gateway's own readings may arrive in any order. Loads
    /// refer to list positions, including entries that are not used.
    #[test]
    fn only_the_newest_incarnation_is_eligible_and_loads_follow_list_positions(
        lists in proptest::collection::vec(
            proptest::collection::vec(0_u64..5, IDENTITIES as usize), 1..12,
        ),
    ) {
        let any = SoftwareRequirement::Any;
        let fleet = Fleet::new("front-1", Arc::default());
        fleet.set_drained(DrainedZones::none());
        let mut newest = [0; IDENTITIES as usize];
        for start_times in lists {
            let list: Vec<Replica> =
                (0..).zip(&start_times).map(|(identity, start)| replica(identity, *start)).collect();
            fleet.update(list.clone());
            fleet.record_other_loads(&[10, 11, 12], Instant::now());
            for ((position, start_time), listed) in start_times.iter().enumerate().zip(&list) {
                newest[position] = newest[position].max(*start_time);
                let homes = HomeRegions::anywhere();
                let is_newest = *start_time == newest[position];
                prop_assert_eq!(fleet.find_eligible("models", &listed.id, &homes, &any).is_some(), is_newest);
                let member = fleet.find_healthy("models", &listed.id, &homes, &any);
                let load = member.map(|member| member.loads().1.get());
                prop_assert_eq!(load, is_newest.then_some(10.0 + position as f64));
            }
        }
    }
}

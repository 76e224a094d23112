//! Eligibility of replicas, and distances between zones.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use calicohoist_routing::{
    ColdReplicas, Distance, DrainedZones, Eligibility, EligibilityRules, HomeRegions, Replica,
    ReplicaState, Topology,
};
use calicohoist_types::{Region, Zone};

fn topology() -> Topology {
    let zones = [("north-a", "north"), ("north-b", "north"), ("south-a", "south")];
    let regions = zones.map(|(zone, region)| (Zone::new(zone), Region::new(region)));
    Topology::new(BTreeMap::from(regions))
}

fn replica(zone: &str, state: ReplicaState) -> Replica {
    Replica {
        id: "r".to_owned(),
        service: "llm".to_owned(),
        address: "127.0.0.1:1".parse().expect("an address"),
        zone: zone.to_owned(),
        slots: 8,
        state,
        version: None,
    }
}

fn drained(zone: &str) -> DrainedZones {
    DrainedZones { version: 1, zones: [Zone::new(zone)].into() }
}

#[test]
fn the_first_reason_for_ineligibility_is_returned() {
    let topology = topology();
    let north = HomeRegions::only([Region::new("north")]);
    let check = |homes: &HomeRegions, drained: &DrainedZones, replica: &Replica| {
        EligibilityRules { topology: &topology, homes, drained }.check(replica)
    };
    let ready = replica("south-a", ReplicaState::Ready);
    let draining = replica("south-a", ReplicaState::Draining);
    let anywhere = HomeRegions::anywhere();
    assert_eq!(check(&anywhere, &DrainedZones::none(), &ready), Eligibility::Eligible);
    assert_eq!(check(&north, &drained("south-a"), &draining), Eligibility::Draining);
    assert_eq!(check(&north, &drained("south-a"), &ready), Eligibility::OutsideHome);
    assert_eq!(check(&anywhere, &drained("south-a"), &ready), Eligibility::ZoneDrained);
    assert_eq!(check(&anywhere, &drained("north-a"), &ready), Eligibility::Eligible);
}

#[test]
fn a_replica_in_an_unknown_zone_is_outside_all_homes() {
    let north = HomeRegions::only([Region::new("north")]);
    let topology = topology();
    let rules = EligibilityRules { topology: &topology, homes: &north, drained: &drained("x") };
    let replica_in_unknown_zone = replica("nowhere", ReplicaState::Ready);
    assert_eq!(rules.check(&replica_in_unknown_zone), Eligibility::OutsideHome);
}

#[test]
fn homes_of_route_and_tenant_are_intersected() {
    let (north, south) = (Region::new("north"), Region::new("south"));
    let both = HomeRegions::only([north.clone(), south.clone()]);
    let one = HomeRegions::only([south.clone()]);
    assert_eq!(both.intersection(&one), one);
    assert_eq!(one.intersection(&HomeRegions::anywhere()), one);
    assert!(!HomeRegions::anywhere().intersection(&HomeRegions::anywhere()).is_restricted());
    let none = one.intersection(&HomeRegions::only([north.clone()]));
    assert!(!none.allows(Some(&north)) && !none.allows(Some(&south)) && !none.allows(None));
}

#[test]
fn without_regions_all_zones_are_in_the_same_region() {
    assert_eq!(Topology::empty().distance("a", "b"), Distance::SameRegion);
    assert_eq!(Topology::empty().distance("a", "a"), Distance::SameZone);
    assert_eq!(topology().distance("north-a", "north-b"), Distance::SameRegion);
    assert_eq!(topology().distance("north-a", "south-a"), Distance::OtherRegion);
    assert_eq!(topology().distance("north-a", "unknown"), Distance::OtherRegion);
}

#[test]
fn a_replica_is_cold_until_its_cold_time_ends() {
    let now = Instant::now();
    let mut cold = ColdReplicas::default();
    cold.mark_cold("r", now + Duration::from_secs(3));
    assert!(cold.is_cold("r", now) && !cold.is_cold("other", now));
    let later = now + Duration::from_secs(3);
    assert!(!cold.is_cold("r", later));
    cold.expire(later);
    assert_eq!(cold, ColdReplicas::none());
    cold.mark_cold("r", later + Duration::from_secs(1));
    assert_eq!(cold.remaining(later).collect::<Vec<_>>(), [("r", Duration::from_secs(1))]);
}

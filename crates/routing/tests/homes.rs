//! What is told about homes when a configuration is put in force.

use std::collections::BTreeMap;
use std::time::Duration;

use calicohoist_routing::{
    Backend, Configuration, HomeFindings, HomeOwner, HomeProblem, HomeRegions, Limits, Route,
    RouteKind, Tenant, Topology, question_homes,
};
use calicohoist_types::{Region, TenantId, Zone};

fn topology() -> Topology {
    let zones = [("north-a", "north"), ("north-b", "north"), ("south-a", "south")];
    let regions = zones.map(|(zone, region)| (Zone::new(zone), Region::new(region)));
    Topology::new(BTreeMap::from(regions))
}

fn homes(regions: &[&str]) -> HomeRegions {
    HomeRegions::only(regions.iter().map(|region| Region::new(*region)))
}

fn route(name: &str, homes: HomeRegions) -> Route {
    Route {
        name: name.to_owned(),
        host: "desk.example".to_owned(),
        path_prefix: format!("/{name}/"),
        kind: RouteKind::Stream,
        timeout: Duration::from_secs(4),
        target_latency: Duration::from_millis(200),
        priority: 0,
        backends: vec![Backend { service: "models".to_owned(), weight: 1 }],
        max_attempts: 1,
        retain: false,
        retention: Duration::from_secs(60),
        resumable: false,
        is_public: false,
        homes,
    }
}

fn tenant(name: &str, homes: HomeRegions) -> Tenant {
    Tenant { id: TenantId::new(name), keys: Vec::new(), priority: None, limit: None, homes }
}

fn problems(routes: Vec<Route>, tenants: Vec<Tenant>) -> Vec<HomeProblem> {
    let limits = Limits::default();
    let document = Configuration { version: 1, routes, services: Vec::new(), limits, tenants };
    let HomeFindings { problems, more, .. } = question_homes(&document, &topology(), usize::MAX);
    assert_eq!(more, 0);
    problems
}

fn of_route(name: &str) -> HomeOwner {
    HomeOwner::Route(name.to_owned())
}

#[test]
fn homes_that_exist_and_meet_are_nothing_to_tell() {
    let routes = vec![route("a", HomeRegions::anywhere()), route("b", homes(&["north", "south"]))];
    let tenants = vec![tenant("t", homes(&["south"])), tenant("u", HomeRegions::anywhere())];
    assert_eq!(problems(routes, tenants), []);
}

#[test]
fn a_region_without_a_zone_is_told_and_the_others_stay_homes() {
    let owner = of_route("a");
    let unknown = HomeProblem::UnknownRegion { owner, region: Region::new("west") };
    assert_eq!(problems(vec![route("a", homes(&["north", "west"]))], Vec::new()), [unknown]);
}

#[test]
fn names_of_regions_are_compared_as_they_are_written() {
    let found = problems(vec![route("a", homes(&["North"]))], Vec::new());
    let region = Region::new("North");
    let unknown = HomeProblem::UnknownRegion { owner: of_route("a"), region };
    assert_eq!(found, [unknown, HomeProblem::NoHome { owner: of_route("a") }]);
}

#[test]
fn an_empty_list_is_no_home() {
    let found = problems(vec![route("a", homes(&[]))], Vec::new());
    assert_eq!(found, [HomeProblem::NoHome { owner: of_route("a") }]);
}

#[test]
fn a_route_and_a_tenant_that_do_not_meet_are_told() {
    let routes = vec![route("a", homes(&["north"])), route("b", HomeRegions::anywhere())];
    let id = TenantId::new("t");
    let apart = HomeProblem::NoOverlap { route: "a".to_owned(), tenant: id };
    assert_eq!(problems(routes, vec![tenant("t", homes(&["south"]))]), [apart]);
}

#[test]
fn a_hundred_homes_are_as_good_as_one() {
    let mut names: Vec<String> = (0..99).map(|number| format!("r{number}")).collect();
    names.push("south".to_owned());
    let many = HomeRegions::only(names.into_iter().map(Region::new));
    let found = problems(vec![route("a", many.clone())], vec![tenant("t", many)]);
    assert_eq!(found.len(), 2 * 99);
    let is_unknown = |found: &HomeProblem| matches!(found, HomeProblem::UnknownRegion { .. });
    assert!(found.iter().all(is_unknown));
}

#[test]
fn turns_that_would_be_kept_outside_of_their_homes_are_told() {
    let kept = |homes| Route { retain: true, ..route("a", homes) };
    assert_eq!(problems(vec![kept(homes(&["north", "south"]))], Vec::new()), []);
    let elsewhere = HomeProblem::KeptElsewhere { owner: of_route("a") };
    assert_eq!(problems(vec![kept(homes(&["north"]))], Vec::new()), [elsewhere]);
}

#[test]
fn without_a_list_of_zones_no_region_is_known() {
    let limits = Limits::default();
    let routes = vec![route("a", homes(&["north"]))];
    let tenants = Vec::new();
    let document = Configuration { version: 1, routes, services: Vec::new(), limits, tenants };
    let found = question_homes(&document, &Topology::empty(), usize::MAX);
    assert!(found.problems.contains(&HomeProblem::NoHome { owner: of_route("a") }));
}

#[test]
fn of_very_many_problems_the_first_are_kept_and_the_others_counted() {
    let name = |number: usize| format!("n{number}");
    let routes = (0..50).map(|number| route(&name(number), homes(&["north"]))).collect();
    let tenants = (0..2_000).map(|number| tenant(&name(number), homes(&["south"]))).collect();
    let limits = Limits::default();
    let document = Configuration { version: 1, routes, services: Vec::new(), limits, tenants };
    let found = question_homes(&document, &topology(), 3);
    let apart =
        |number| HomeProblem::NoOverlap { route: name(number), tenant: TenantId::new("n0") };
    assert_eq!(found.problems, [apart(0), apart(1), apart(2)]);
    assert_eq!(found.more, 50 * 2_000 - 3);
}

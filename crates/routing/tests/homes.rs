//! Warnings about home regions in a configuration.

use std::collections::BTreeMap;
use std::time::Duration;

use calicohoist_routing::{
    Backend, Configuration, HomeFindings, HomeOwner, HomeProblem, HomeRegions, Limits, Route,
    RouteKind, Tenant, Topology, check_homes,
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
    let configuration = Configuration { version: 1, routes, services: Vec::new(), limits, tenants };
    let HomeFindings { problems, more, .. } = check_homes(&configuration, &topology(), usize::MAX);
    assert_eq!(more, 0);
    problems
}

fn of_route(name: &str) -> HomeOwner {
    HomeOwner::Route(name.to_owned())
}

#[test]
fn valid_homes_cause_no_warnings() {
    let routes = vec![route("a", HomeRegions::anywhere()), route("b", homes(&["north", "south"]))];
    let tenants = vec![tenant("t", homes(&["south"])), tenant("u", HomeRegions::anywhere())];
    assert_eq!(problems(routes, tenants), []);
}

#[test]
fn a_region_without_a_zone_is_reported_and_ignored() {
    let owner = of_route("a");
    let unknown = HomeProblem::UnknownRegion { owner, region: Region::new("west") };
    assert_eq!(problems(vec![route("a", homes(&["north", "west"]))], Vec::new()), [unknown]);
}

#[test]
fn region_names_are_case_sensitive() {
    let findings = problems(vec![route("a", homes(&["North"]))], Vec::new());
    let region = Region::new("North");
    let unknown = HomeProblem::UnknownRegion { owner: of_route("a"), region };
    assert_eq!(findings, [unknown, HomeProblem::NoHome { owner: of_route("a") }]);
}

#[test]
fn an_empty_list_contains_no_home() {
    let findings = problems(vec![route("a", homes(&[]))], Vec::new());
    assert_eq!(findings, [HomeProblem::NoHome { owner: of_route("a") }]);
}

#[test]
fn a_route_and_a_tenant_without_a_common_home_are_reported() {
    let routes = vec![route("a", homes(&["north"])), route("b", HomeRegions::anywhere())];
    let id = TenantId::new("t");
    let no_overlap = HomeProblem::NoOverlap { route: "a".to_owned(), tenant: id };
    assert_eq!(problems(routes, vec![tenant("t", homes(&["south"]))]), [no_overlap]);
}

#[test]
fn a_hundred_homes_are_checked_like_one() {
    let mut names: Vec<String> = (0..99).map(|number| format!("r{number}")).collect();
    names.push("south".to_owned());
    let many = HomeRegions::only(names.into_iter().map(Region::new));
    let findings = problems(vec![route("a", many.clone())], vec![tenant("t", many)]);
    assert_eq!(findings.len(), 2 * 99);
    let is_unknown = |problem: &HomeProblem| matches!(problem, HomeProblem::UnknownRegion { .. });
    assert!(findings.iter().all(is_unknown));
}

#[test]
fn turns_retained_outside_their_homes_are_reported() {
    let retaining = |homes| Route { retain: true, ..route("a", homes) };
    assert_eq!(problems(vec![retaining(homes(&["north", "south"]))], Vec::new()), []);
    let stored_outside = HomeProblem::StoredOutsideHome { owner: of_route("a") };
    assert_eq!(problems(vec![retaining(homes(&["north"]))], Vec::new()), [stored_outside]);
}

#[test]
fn without_listed_zones_no_region_is_known() {
    let limits = Limits::default();
    let routes = vec![route("a", homes(&["north"]))];
    let tenants = Vec::new();
    let configuration = Configuration { version: 1, routes, services: Vec::new(), limits, tenants };
    let findings = check_homes(&configuration, &Topology::empty(), usize::MAX);
    assert!(findings.problems.contains(&HomeProblem::NoHome { owner: of_route("a") }));
}

#[test]
fn problems_beyond_the_limit_are_counted() {
    let name = |number: usize| format!("n{number}");
    let routes = (0..50).map(|number| route(&name(number), homes(&["north"]))).collect();
    let tenants = (0..2_000).map(|number| tenant(&name(number), homes(&["south"]))).collect();
    let limits = Limits::default();
    let configuration = Configuration { version: 1, routes, services: Vec::new(), limits, tenants };
    let findings = check_homes(&configuration, &topology(), 3);
    let no_overlap =
        |number| HomeProblem::NoOverlap { route: name(number), tenant: TenantId::new("n0") };
    assert_eq!(findings.problems, [no_overlap(0), no_overlap(1), no_overlap(2)]);
    assert_eq!(findings.more, 50 * 2_000 - 3);
}

//! Validation of configurations, route look-up and distribution by weight.

use std::time::Duration;

use calicohoist_routing::{
    Backend, Configuration, KeySecret, Route, RouteKind, RouteTable, Service, stable_hash,
};

fn route(name: &str, host: &str, prefix: &str, backends: &[(&str, u32)]) -> Route {
    Route {
        name: name.to_owned(),
        host: host.to_owned(),
        path_prefix: prefix.to_owned(),
        kind: RouteKind::Safe,
        timeout: Duration::from_secs(1),
        target_latency: Duration::from_millis(200),
        priority: 0,
        backends: backends
            .iter()
            .map(|(service, weight)| Backend { service: (*service).to_owned(), weight: *weight })
            .collect(),
        max_attempts: 1,
        retain: false,
        retention: Duration::from_secs(60),
        resumable: false,
        is_public: false,
        homes: Default::default(),
    }
}

fn service(name: &str) -> Service {
    let name = name.to_owned();
    Service { name, health_path: None, max_connections: 10, engine: None, cold: None }
}

fn configuration(routes: Vec<Route>) -> Configuration {
    let services = vec![service("a"), service("b")];
    Configuration { version: 1, routes, services, ..Configuration::default() }
}

#[test]
fn all_findings_are_reported_at_once() {
    let mut zero_timeout = route("timeless", "h", "/c/", &[("a", 1)]);
    zero_timeout.timeout = Duration::ZERO;
    let invalid = configuration(vec![
        route("unknown", "h", "/a/", &[("nobody", 1)]),
        route("weightless", "h", "/b/", &[("a", 0), ("b", 0)]),
        zero_timeout,
        route("twin", "h", "/a/", &[("a", 1)]),
        route("slashless", "h", "/d", &[("a", 1)]),
    ]);
    let findings = invalid.validate().expect_err("five findings").0;
    let fields: Vec<&str> = findings.iter().map(|finding| finding.place.field.as_str()).collect();
    let expected = [
        "routes[0].backends",
        "routes[1].backends",
        "routes[2].timeout",
        "routes[3]",
        "routes[4].path_prefix",
    ];
    assert_eq!(fields, expected);
}

#[test]
fn a_valid_configuration_has_no_findings() {
    let valid = configuration(vec![
        route("one", "h", "/a/", &[("a", 1)]),
        route("same prefix, other host", "i", "/a/", &[("b", 1)]),
    ]);
    assert_eq!(valid.validate(), Ok(()));
}

#[test]
fn the_longest_prefix_of_the_host_wins() {
    let routes = vec![
        route("short", "h", "/a/", &[("a", 1)]),
        route("long", "h", "/a/b/", &[("a", 1)]),
        route("other host", "i", "/a/b/c/", &[("a", 1)]),
    ];
    let table = RouteTable::new(configuration(routes), &KeySecret::new([7; 32]));
    let name = |host, path| table.find(host, path).map(|route| route.name.as_str());
    assert_eq!(name("h", "/a/x"), Some("short"));
    assert_eq!(name("h:8080", "/a/b/x?q=/a/"), Some("long"));
    assert_eq!(name("h", "/a/b/c/x"), Some("long"));
    assert_eq!(name("h", "/a"), None);
    assert_eq!(name("j", "/a/x"), None);
}

#[test]
fn requests_are_distributed_by_weight() {
    let split = route("split", "h", "/a/", &[("a", 90), ("b", 10)]);
    let hashes = (0..20_000_u32).map(|number| stable_hash(&[&number.to_le_bytes()]));
    let to_b = hashes.filter(|hash| split.backend_for(*hash) == Some("b")).count();
    assert!((1_800..2_200).contains(&to_b), "{to_b}");
}

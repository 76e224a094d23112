//! Usual durations of the responses of each route.

use std::time::Duration;

use calicohoist_proxy::response_times::{ResponseTime, ResponseTimes};
use calicohoist_routing::{Configuration, KeySecret, Limits, Route, RouteKind, RouteTable};

const SECOND: Duration = Duration::from_secs(1);

fn route(name: &str) -> Route {
    Route {
        name: name.to_owned(),
        host: "desk.example".to_owned(),
        path_prefix: format!("/{name}/"),
        kind: RouteKind::Unsafe,
        timeout: SECOND,
        target_latency: SECOND,
        priority: 0,
        backends: Vec::new(),
        max_attempts: 1,
        retain: false,
        retention: Duration::ZERO,
        resumable: false,
        is_public: false,
        homes: Default::default(),
    }
}

fn table(names: &[&str]) -> RouteTable {
    let configuration = Configuration {
        version: 1,
        routes: names.iter().map(|name| route(name)).collect(),
        services: Vec::new(),
        limits: Limits::default(),
        tenants: Vec::new(),
    };
    RouteTable::new(configuration, &KeySecret::new([0; 32]))
}

#[test]
fn estimate_of_equal_durations_narrows_to_them() {
    let mut time = ResponseTime::first(SECOND);
    assert!(time.low() < SECOND && time.high() > SECOND);
    for _ in 0..100 {
        time.add(SECOND);
    }
    assert!(SECOND - time.low() < SECOND / 100, "{time:?}");
    assert!(time.high() - SECOND < SECOND / 100, "{time:?}");
}

#[test]
fn estimate_covers_durations_that_vary() {
    let mut time = ResponseTime::first(SECOND);
    for _ in 0..100 {
        time.add(SECOND * 2);
        time.add(SECOND / 2);
    }
    assert!(time.low() < SECOND, "{time:?}");
    assert!(time.high() > SECOND * 2, "{time:?}");
}

#[test]
fn routes_are_kept_apart_and_forgotten_with_their_configuration() {
    let times = ResponseTimes::default();
    times.record(&route("fast"), SECOND / 10);
    times.record(&route("slow"), SECOND * 10);
    assert_eq!(times.of(&route("fast")), Some(ResponseTime::first(SECOND / 10)));
    assert_eq!(times.of(&route("other")), None);
    times.retain_routes(&table(&["slow", "other"]));
    assert_eq!(times.of(&route("fast")), None);
    assert_eq!(times.of(&route("slow")), Some(ResponseTime::first(SECOND * 10)));
}

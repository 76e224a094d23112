//! Operator that updates the configuration repeatedly.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use rand::RngExt;
use rand::rngs::StdRng;

use crate::attempts::{Submission, exchange_recorded};
use crate::caller::try_exchange;
use crate::crashes::add_fragile_service;
use crate::releases::add_released_service;
use crate::sound::add_sound_service;
use crate::support::configuration;
use crate::timeline::SentConfiguration;
use crate::{INITIAL_VERSION, ROUTE_TIMEOUT, Shared};

/// Number of additional routes in a large configuration.
const EXTRA_ROUTES: usize = 1_000;

/// Submits bursts of increasing versions and checks that reads never return an older one.
pub fn operate(
    controls: Vec<SocketAddr>,
    retention: Duration,
    mut rng: StdRng,
    records: &Shared,
    acknowledged: &AtomicU64,
    stop_flag: &AtomicBool,
) {
    let attempts = records.lock().attempts.clone();
    let mut version = INITIAL_VERSION;
    while !stop_flag.load(Ordering::Relaxed) {
        let routes = if rng.random_bool(0.2) { EXTRA_ROUTES } else { 0 };
        for _ in 0..rng.random_range(1..4) {
            version += rng.random_range(1..4);
            let control = controls[rng.random_range(0..controls.len())];
            let submission = config_submission(version, retention, routes);
            let sent = Instant::now();
            let reply = exchange_recorded(control, &submission, &attempts);
            let is_acknowledged = reply.is_some_and(|reply| reply.status == 200);
            if is_acknowledged {
                acknowledged.fetch_max(version, Ordering::SeqCst);
            }
            let acknowledged = is_acknowledged.then(Instant::now);
            let configuration = SentConfiguration { sent, acknowledged };
            records.lock().configurations.push(configuration);
        }
        let latest_acknowledged = acknowledged.load(Ordering::SeqCst);
        let control = controls[rng.random_range(0..controls.len())];
        if let Some(read) = read_version(control)
            && read < latest_acknowledged
        {
            let violation =
                format!("version {read} was read after {latest_acknowledged} was acknowledged");
            records.lock().violations.push(violation);
        }
        thread::sleep(Duration::from_millis(200));
    }
}

/// Submits a version; returns whether it was acknowledged.
pub fn put_version(control: SocketAddr, version: u64, retention: Duration) -> bool {
    let submission = config_submission(version, retention, 0);
    try_exchange(control, &submission.bytes).is_some_and(|reply| reply.status == 200)
}

fn config_submission(version: u64, retention: Duration, extra_routes: usize) -> Submission {
    let mut document = configuration(version);
    add_fragile_service(&mut document);
    add_sound_service(&mut document);
    add_released_service(&mut document);
    if let Some(routes) = document["routes"].as_array_mut() {
        let retention_s = retention.as_secs_f64();
        routes.iter_mut().for_each(|route| route["retention_s"] = retention_s.into());
        let template = routes[0].clone();
        routes.extend((0..extra_routes).map(|number| {
            let mut route = template.clone();
            route["name"] = format!("more-{number}").into();
            route["path_prefix"] = format!("/more-{number}/").into();
            route
        }));
    }
    let body = document.to_string();
    let length = body.len();
    let request = format!(
        "PUT /-/config HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\
         Content-Length: {length}\r\n\r\n{body}"
    );
    Submission::new(&format!("config-{version}"), &request, ROUTE_TIMEOUT)
}

pub fn read_version(control: SocketAddr) -> Option<u64> {
    let request =
        b"GET /-/config HTTP/1.1\r\nHost: x\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";
    let reply = try_exchange(control, request).filter(|reply| reply.status == 200)?;
    let document: serde_json::Value = serde_json::from_slice(&reply.body).ok()?;
    document["version"].as_u64()
}

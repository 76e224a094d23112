//! The operator: configurations in series, small and large.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::Duration;

use rand::RngExt;
use rand::rngs::StdRng;

use crate::caller::try_exchange;
use crate::support::configuration;
use crate::{FIRST_VERSION, Shared};

/// Routes that a large configuration has besides.
const MANY_ROUTES: usize = 1_000;

/// Raises the version again and again, several times in a row, and reads it back.
pub fn operate(
    controls: Vec<SocketAddr>,
    mut random: StdRng,
    records: &Shared,
    acknowledged: &AtomicU64,
    is_over: &AtomicBool,
) {
    let mut version = FIRST_VERSION;
    while !is_over.load(Ordering::Relaxed) {
        let routes = if random.random_bool(0.2) { MANY_ROUTES } else { 0 };
        for _ in 0..random.random_range(1..4) {
            version += random.random_range(1..4);
            let control = controls[random.random_range(0..controls.len())];
            if put(control, version, routes) {
                acknowledged.fetch_max(version, Ordering::SeqCst);
            }
        }
        let known = acknowledged.load(Ordering::SeqCst);
        let control = controls[random.random_range(0..controls.len())];
        if let Some(read) = read_version(control)
            && read < known
        {
            let violation = format!("version {read} was read after {known} was acknowledged");
            records.lock().violations.push(violation);
        }
        thread::sleep(Duration::from_millis(200));
    }
}

/// Whether a version was acknowledged.
pub fn put_version(control: SocketAddr, version: u64) -> bool {
    put(control, version, 0)
}

fn put(control: SocketAddr, version: u64, more_routes: usize) -> bool {
    let mut document = configuration(version);
    if let Some(routes) = document["routes"].as_array_mut() {
        let model = routes[0].clone();
        routes.extend((0..more_routes).map(|number| {
            let mut route = model.clone();
            route["name"] = format!("more-{number}").into();
            route["path_prefix"] = format!("/more-{number}/").into();
            route
        }));
    }
    let body = document.to_string();
    let length = body.len();
    let put = format!(
        "PUT /-/config HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\
         Content-Length: {length}\r\n\r\n{body}"
    );
    try_exchange(control, put.as_bytes()).is_some_and(|reply| reply.status == 200)
}

pub fn read_version(control: SocketAddr) -> Option<u64> {
    let get =
        b"GET /-/config HTTP/1.1\r\nHost: x\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";
    let reply = try_exchange(control, get).filter(|reply| reply.status == 200)?;
    let document: serde_json::Value = serde_json::from_slice(&reply.body).ok()?;
    document["version"].as_u64()
}

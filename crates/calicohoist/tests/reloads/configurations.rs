//! Configurations that take back what requests under way began with.

use std::thread;
use std::time::{Duration, Instant};

use rustix::process::Signal;
use serde_json::{Value, json};

use crate::caller::{Attempt, Kind, run_beside};
use crate::cluster::GATEWAY_IPS;
use crate::deployment::Deployment;
use crate::judge::{Accepted, assert_kept};
use crate::support::{configuration, exchange, request_head};

const WARM_UP: Duration = Duration::from_millis(500);
const STEP: Duration = Duration::from_millis(150);
/// Number of times that the documents of a play follow each other before and during the stop.
const ROUNDS: u64 = 6;
const ROUNDS_IN_STOP: u64 = 3;
const FIRST_VERSION: u64 = 10;
/// Time in which a configuration takes effect.
const APPLY_TIME: Duration = Duration::from_secs(2);
/// Shorter than some requests run.
const SHORT_TIMEOUT_MS: u64 = 250;
const KEY: &str = "Authorization: Bearer key-of-first";

/// Activates the documents one after the other, each with a reload of the gateway.
fn activate(deployment: &Deployment, documents: &[Value], rounds: u64, version: &mut u64) {
    for document in (0..rounds).flat_map(|_| documents) {
        *version += 1;
        let mut document = document.clone();
        document["version"] = json!(*version);
        deployment.configure(&document);
        deployment.gateway.signal(Signal::HUP);
        thread::sleep(STEP);
    }
}

/// Plays the documents around a stop, and continues turns once the first of them is in force again.
fn play(name: &str, documents: &[Value], headers: &[&str], accepted: Accepted<'_>) {
    let mut deployment = Deployment::start(&documents[0]);
    let address = deployment.cluster.http(GATEWAY_IPS[0]);
    let mut version = FIRST_VERSION;
    let attempts = run_beside(address, headers, || {
        thread::sleep(WARM_UP);
        activate(&deployment, documents, ROUNDS, &mut version);
        let stopped_at = Instant::now();
        deployment.stop_gateway();
        activate(&deployment, documents, ROUNDS_IN_STOP, &mut version);
        deployment.wait_until_stopped(stopped_at);
    });
    assert_kept(name, &attempts, &deployment.runs(), accepted);
    activate(&deployment, &documents[..1], 1, &mut version);
    deployment.restart_gateway();
    thread::sleep(APPLY_TIME);
    let turns = attempts.iter().filter(|attempt| attempt.kind == Kind::Turn);
    let turns: Vec<&Attempt> = turns.filter(|turn| turn.is_served()).collect();
    println!("{name}: {} turns", turns.len());
    for Attempt { id, .. } in turns {
        let previous = format!("Calicohoist-Previous-Turn: {id}");
        let headers: Vec<&str> = headers.iter().copied().chain([previous.as_str()]).collect();
        let head = request_head("GET", "/retained/0", &format!("next-{id}"), 0, &headers);
        let status = exchange(address, head.as_bytes()).status;
        assert_eq!(status, 200, "{name}: the turn that continues {id}");
    }
}

/// Returns the configuration with other timeouts of all routes and other limits.
fn with_limits(timeout_ms: u64, limits: Value) -> Value {
    let mut document = configuration(FIRST_VERSION);
    for route in document["routes"].as_array_mut().expect("a list of routes") {
        route["timeout_ms"] = json!(timeout_ms);
    }
    document["limits"] = limits;
    document
}

#[test]
fn requests_are_answered_while_limits_and_timeouts_shrink() {
    let limits = |head: u64, body: u64, idle_ms: u64| {
        json!({ "max_header_bytes": head, "max_body_bytes": body, "header_timeout_ms": idle_ms,
                "idle_timeout_ms": idle_ms })
    };
    let documents = [
        with_limits(4_000, limits(16_384, 65_536, 15_000)),
        with_limits(SHORT_TIMEOUT_MS, limits(2_048, 16, 500)),
        with_limits(1_000, limits(1_024, 1, 300)),
        with_limits(SHORT_TIMEOUT_MS, limits(16_384, 65_536, 15_000)),
    ];
    let shortest = Duration::from_millis(SHORT_TIMEOUT_MS);
    let accepted = Accepted { statuses: &[504], stream_timeout: Some(shortest) };
    play("limits", &documents, &[], accepted);
}

#[test]
fn requests_are_answered_while_their_routes_go_and_come_back() {
    let all = configuration(FIRST_VERSION);
    let mut none = all.clone();
    none["routes"] = json!([all["routes"][0]]);
    let mut moved = all.clone();
    for (route, service) in [(1, "models"), (2, "tools")] {
        moved["routes"][route]["service"] = json!(service);
    }
    let accepted = Accepted { statuses: &[404], stream_timeout: None };
    play("routes", &[all, none, moved], &[], accepted);
}

#[test]
fn requests_are_answered_while_their_keys_and_tenants_go_and_come_back() {
    let with_tenants = |tenants: Value| {
        let mut document = configuration(FIRST_VERSION);
        document["tenants"] = tenants;
        document
    };
    let second = json!({ "name": "second", "api_keys": ["key-of-second"] });
    let documents = [
        with_tenants(json!([{ "name": "first", "api_keys": ["key-of-first"] }, second])),
        with_tenants(json!([{ "name": "first", "api_keys": ["another-key"] }, second])),
        with_tenants(json!([second])),
        with_tenants(json!([
            { "name": "first", "api_keys": ["another-key", "key-of-first"], "priority": 3 }
        ])),
    ];
    let accepted = Accepted { statuses: &[401], stream_timeout: None };
    play("keys", &documents, &[KEY], accepted);
}

//! Turns that are kept while the settings of their route change.

use std::thread;
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use crate::deployment::{
    RetainingDeployment, RouteTimes, Turn, complete, document, part_of_history,
};
use crate::support::{ScriptedReplica, wait_until};

const LONG_RETENTION: Duration = Duration::from_secs(7);
const SHORT_RETENTION: Duration = Duration::from_secs(1);
/// The allowance of a gateway, twice this, is far below the difference of the retentions.
const TIMEOUT: Duration = Duration::from_secs(1);
/// Time before the end of its retention at which a turn is continued.
const CONTINUED_BEFORE: Duration = Duration::from_millis(300);
const TURN_LIMIT: Duration = Duration::from_secs(10);

fn times(retention: Duration) -> RouteTimes {
    RouteTimes { retention, timeout: TIMEOUT }
}

fn start(retention: Duration) -> RetainingDeployment {
    let model = ScriptedReplica::start("model", |exchange| {
        let id = exchange.request.id().to_owned();
        exchange.send_stream(&id);
    });
    RetainingDeployment::start_with_times(model, times(retention))
}

fn configure(deployment: &RetainingDeployment, document: &Value) {
    deployment.ledger.operate("PUT", "/-/config", &document.to_string());
}

fn complete_after(deployment: &RetainingDeployment, name: &str, previous: &[&str]) -> String {
    complete_with_key(deployment, name, previous, None)
}

fn complete_with_key(
    deployment: &RetainingDeployment,
    name: &str,
    previous: &[&str],
    key: Option<&str>,
) -> String {
    let previous_id = previous.last().copied();
    let turn = Turn { id: name, previous: previous_id, is_retained: true, key, ..Turn::default() };
    let (id, _) = complete(deployment.gateway(), &turn, TURN_LIMIT).expect("the turn is answered");
    let history: String = previous.iter().map(|id| part_of_history(id)).collect();
    let received = String::from_utf8(deployment.received_body(&id)).expect("text");
    assert_eq!(received, format!("{history}input "), "{id}");
    id
}

fn wait_until_just_before(end: Instant) {
    thread::sleep((end - CONTINUED_BEFORE).saturating_duration_since(Instant::now()));
}

#[test]
fn turns_keep_the_retention_under_which_they_were_answered() {
    let deployment = start(LONG_RETENTION);
    let first = complete_after(&deployment, "first", &[]);
    let end = Instant::now() + LONG_RETENTION;
    configure(&deployment, &document(3, times(SHORT_RETENTION)));
    thread::sleep(LONG_RETENTION / 4);
    let second = complete_after(&deployment, "second", &[&first]);
    wait_until_just_before(Instant::now() + SHORT_RETENTION);
    complete_after(&deployment, "third", &[&first, &second]);
    wait_until_just_before(end);
    complete_after(&deployment, "branch", &[&first]);
    configure(&deployment, &document(4, times(LONG_RETENTION)));
    // Answered under one of both retentions.
    let branch = complete_after(&deployment, "under-long", &[&first]);
    wait_until_just_before(Instant::now() + SHORT_RETENTION);
    complete_after(&deployment, "last", &[&first, &branch]);
}

#[test]
fn turns_are_kept_while_their_route_is_gone() {
    let deployment = start(LONG_RETENTION);
    let first = complete_after(&deployment, "first", &[]);
    let end = Instant::now() + LONG_RETENTION;
    let mut without = document(3, times(LONG_RETENTION));
    let routes = without["routes"].as_array_mut().expect("a list of routes");
    routes.retain(|route| route["name"] != "retained");
    configure(&deployment, &without);
    thread::sleep(LONG_RETENTION / 2);
    let mut renamed = document(4, times(SHORT_RETENTION));
    for route in renamed["routes"].as_array_mut().expect("a list of routes") {
        if route["name"] == "retained" {
            route["name"] = json!("another");
        }
    }
    configure(&deployment, &renamed);
    wait_until_just_before(end);
    complete_after(&deployment, "second", &[&first]);
}

#[test]
fn turns_are_kept_while_their_tenant_is_gone() {
    const UNAUTHORIZED: u16 = 401;
    let deployment = start(LONG_RETENTION);
    let with_tenants = |version, tenants: Value| {
        let mut document = document(version, times(LONG_RETENTION));
        document["tenants"] = tenants;
        document
    };
    let other = json!({ "name": "other", "api_keys": ["key-of-other"] });
    let tenant = |key: &str| json!({ "name": "tenant", "api_keys": [key] });
    configure(&deployment, &with_tenants(3, json!([other, tenant("old-key")])));
    wait_until("keys are required", || {
        deployment.send(&Turn { id: "keyless", ..Turn::default() }).status == UNAUTHORIZED
    });
    let first = complete_with_key(&deployment, "first", &[], Some("old-key"));
    let end = Instant::now() + LONG_RETENTION;
    configure(&deployment, &with_tenants(4, json!([other])));
    wait_until("the tenant is gone", || {
        let turn = Turn { id: "gone", key: Some("old-key"), ..Turn::default() };
        deployment.send(&turn).status == UNAUTHORIZED
    });
    thread::sleep(LONG_RETENTION / 4);
    configure(&deployment, &with_tenants(5, json!([other, tenant("new-key")])));
    wait_until_just_before(end);
    complete_with_key(&deployment, "second", &[&first], Some("new-key"));
}

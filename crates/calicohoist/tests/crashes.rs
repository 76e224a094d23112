//! Requests under which replicas crash, while the leader of the ledger is killed and gateways are
//! replaced, with real processes.

#[path = "../../../platform/tests/support/mod.rs"]
mod support;

mod cluster;

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering::SeqCst;

use cluster::{Cluster, GATEWAY_IPS, Process, STORE_IPS};
use support::{Response, ScriptedReplica, configuration, exchange, request_head, wait_until};

/// Number of replicas that may crash under one request.
const MAX_CRASHES: usize = 3;
const REPLICAS: usize = 8;

fn start_tools(cluster: &Cluster) -> Vec<ScriptedReplica> {
    start_crashing(cluster, |line| line.contains("crash"))
}

/// Starts replicas that crash under these requests.
fn start_crashing(
    cluster: &Cluster,
    is_fatal: impl Fn(&str) -> bool + Clone + Send + Sync + 'static,
) -> Vec<ScriptedReplica> {
    let start = |number| {
        let is_fatal = is_fatal.clone();
        let replica =
            ScriptedReplica::start(&format!("t-{number}"), move |exchange| {
                match is_fatal(&exchange.request.line) {
                    true => exchange.crash_replica(),
                    false => exchange.respond("200 OK", "", "whole"),
                }
            });
        cluster.platform_list.put(&replica, "tools", "ready");
        replica
    };
    (0..REPLICAS).map(start).collect()
}

fn get(cluster: &Cluster, gateway: &str, path: &str, id: &str) -> Response {
    exchange(cluster.http(gateway), request_head("GET", path, id, 0, &[]).as_bytes())
}

fn crashed(replicas: &[ScriptedReplica]) -> usize {
    replicas.iter().filter(|replica| replica.process.has_crashed()).count()
}

#[test]
fn quarantine_survives_the_leader_and_the_gateway() {
    let cluster = Cluster::new();
    let tools = start_tools(&cluster);
    let mut stores: Vec<Process> = STORE_IPS.iter().map(|ip| cluster.start(ip, true)).collect();
    let mut gateway = cluster.start(GATEWAY_IPS[0], true);
    let body = configuration(5).to_string();
    wait_until("the configuration is accepted", || {
        cluster.operator_request("PUT", "/-/config", &body).is_some()
    });
    wait_until("the gateway is ready", || cluster.is_ready(GATEWAY_IPS[0]));
    // Two attempts are allowed within one answer.
    assert_eq!(get(&cluster, GATEWAY_IPS[0], "/safe/crash", "g1").status, 502);
    assert_eq!(crashed(&tools), 2);

    let leader = cluster.leader();
    let store = stores.iter_mut().find(|store| store.ip == leader).expect("the leader");
    store.kill();
    gateway.kill();
    let _successor = cluster.start(GATEWAY_IPS[1], false);
    wait_until("the next gateway is ready", || cluster.is_ready(GATEWAY_IPS[1]));
    assert_eq!(get(&cluster, GATEWAY_IPS[1], "/safe/crash", "g2").status, 502);
    assert_eq!(crashed(&tools), MAX_CRASHES);

    // All stores restart, so that the records come from their disks.
    stores.iter_mut().for_each(Process::kill);
    let _stores: Vec<Process> = STORE_IPS.iter().map(|ip| cluster.start(ip, false)).collect();
    let _gateway = cluster.start(GATEWAY_IPS[0], false);
    wait_until("the first gateway is ready again", || cluster.is_ready(GATEWAY_IPS[0]));
    let response = get(&cluster, GATEWAY_IPS[0], "/safe/crash", "g3");
    assert_eq!((response.status, crashed(&tools)), (503, MAX_CRASHES));
    assert_eq!(get(&cluster, GATEWAY_IPS[0], "/safe/other", "o1").status, 200);
}

#[test]
fn harmless_request_is_served_after_crashes_and_a_restart_of_all_machines() {
    const CRASHES: usize = 4;
    const CLIENTS: usize = 50;
    let cluster = Cluster::new();
    let crashes_next = Arc::new(AtomicBool::new(false));
    let due = Arc::clone(&crashes_next);
    let tools = start_crashing(&cluster, move |_| due.swap(false, SeqCst));
    let start_all = |is_first| -> Vec<Process> {
        let ips = STORE_IPS.iter().chain(&GATEWAY_IPS[..1]);
        ips.map(|ip| cluster.start(ip, is_first)).collect()
    };
    let mut machines = start_all(true);
    let body = configuration(5).to_string();
    wait_until("the configuration is accepted", || {
        cluster.operator_request("PUT", "/-/config", &body).is_some()
    });
    wait_until("the gateway is ready", || cluster.is_ready(GATEWAY_IPS[0]));
    let serve = |id: &str| get(&cluster, GATEWAY_IPS[0], "/safe/status", id).status;
    for round in 1..=CRASHES {
        crashes_next.store(true, SeqCst);
        for client in 0..CLIENTS {
            assert_eq!(serve(&format!("c{round}-{client}")), 200);
        }
        assert_eq!(crashed(&tools), round);
    }
    machines.iter_mut().for_each(Process::kill);
    let _machines = start_all(false);
    wait_until("the gateway is ready again", || cluster.is_ready(GATEWAY_IPS[0]));
    assert_eq!(serve("last"), 200);
}

//! End-to-end test with real processes: programs continue through a killed leader, a lost disk and
//! a graceful stop.

#[path = "../../../platform/tests/support/mod.rs"]
mod support;

mod cluster;

use std::fs;

use cluster::{Cluster, GATEWAY_IPS, Process, STORE_IPS};
use support::{ScriptedReplica, configuration, wait_until};

fn start_model() -> ScriptedReplica {
    ScriptedReplica::start("i-1", |exchange| {
        let id = exchange.request.id().to_owned();
        exchange.start_stream();
        exchange.send_event(1, &id);
        exchange.end_stream();
    })
}

#[test]
fn programs_survive_leader_kill_disk_loss_and_graceful_stop() {
    let cluster = Cluster::new();
    let model = start_model();
    cluster.platform_list.put(&model, "models", "ready");
    let mut stores: Vec<Process> = STORE_IPS.iter().map(|ip| cluster.start(ip, true)).collect();
    let mut gateways: Vec<Process> = GATEWAY_IPS.iter().map(|ip| cluster.start(ip, true)).collect();
    let body = configuration(5).to_string();
    wait_until("the configuration is accepted", || {
        cluster.operator_request("PUT", "/-/config", &body).is_some()
    });
    wait_until("the gateways are ready", || GATEWAY_IPS.iter().all(|ip| cluster.is_ready(ip)));

    let first = cluster.turn(GATEWAY_IPS[0], "one", None, "hello ");
    let second = cluster.turn(GATEWAY_IPS[1], "two", Some(&first), "again ");

    let leader = cluster.leader();
    let store = stores.iter_mut().find(|store| store.ip == leader).expect("the leader");
    store.kill();
    let third = cluster.turn(GATEWAY_IPS[0], "three", Some(&second), "more ");

    // The killed store restarts with an empty disk, then the next leader is killed.
    fs::remove_dir_all(cluster.data_folder(leader)).expect("the data folder is removed");
    *store = cluster.start(leader, false);
    let fourth = cluster.turn(GATEWAY_IPS[1], "four", Some(&third), "yet more ");
    let other = cluster.leader();
    let store = stores.iter_mut().find(|store| store.ip == other).expect("the next leader");
    store.kill();
    *store = cluster.start(other, false);
    let fifth = cluster.turn(GATEWAY_IPS[0], "five", Some(&fourth), "the last ");

    let requests = model.requests();
    let last =
        requests.iter().rev().find(|seen| seen.id() == fifth).expect("the last turn was executed");
    let expected =
        format!("hello {first}\nagain {second}\nmore {third}\nyet more {fourth}\nthe last ");
    assert_eq!(String::from_utf8_lossy(&last.body), expected);

    let mut read = None;
    wait_until("the configuration is read back", || {
        cluster.operator_request("GET", "/-/config", "").is_some()
    });
    while read.is_none() {
        read = cluster.operator_request("GET", "/-/config", "").map(|(reply, _)| reply.text());
    }
    assert_eq!(read.as_deref(), Some(body.as_str()));

    assert!(gateways[0].terminate(), "a graceful stop exits with status 0");
    cluster.turn(GATEWAY_IPS[1], "six", Some(&fifth), "after the stop");
}

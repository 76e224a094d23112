//! Zone drains survive a leader failure, a lost disk and a restart of all stores, and apply to
//! gateways started later.

#[path = "../../../platform/tests/support/mod.rs"]
mod support;

mod cluster;

use std::fs;

use cluster::{Cluster, GATEWAY_IPS, Process, STORE_IPS};
use support::{ScriptedReplica, configuration, wait_until};

fn start_model(name: &str) -> ScriptedReplica {
    ScriptedReplica::start(name, |exchange| {
        let id = exchange.request.id().to_owned();
        exchange.start_stream();
        exchange.send_event(1, &id);
        exchange.end_stream();
    })
}

fn set_drain(cluster: &Cluster, method: &str, zone: &str) {
    let path = format!("/-/evacuations/{zone}");
    wait_until("the drain command is acknowledged", || {
        cluster.operator_request(method, &path, "").is_some()
    });
}

/// Asserts that a ready gateway sends no request to the replica of the drained zone.
fn assert_drained(cluster: &Cluster, gateway: &str, drained: &ScriptedReplica, phase: &str) {
    wait_until("the gateway is ready", || cluster.is_ready(gateway));
    let before = drained.requests().len();
    for number in 0..10 {
        cluster.turn(gateway, &format!("{phase}-{number}"), None, "go");
    }
    assert_eq!(drained.requests().len(), before, "{phase}");
}

#[test]
fn drain_survives_leader_disk_and_full_restart() {
    let cluster = Cluster::new();
    let (hall, annex) = (start_model("m-1"), start_model("m-2"));
    cluster.platform_list.put_in_zone("hall", &hall, "models", "ready");
    cluster.platform_list.put_in_zone("annex", &annex, "models", "ready");
    let mut stores: Vec<Process> = STORE_IPS.iter().map(|ip| cluster.start(ip, true)).collect();
    let body = configuration(5).to_string();
    wait_until("the configuration is accepted", || {
        cluster.operator_request("PUT", "/-/config", &body).is_some()
    });
    set_drain(&cluster, "POST", "hall");

    // The first gateway starts after the drain, under a leader that did not execute the command.
    let leader = cluster.leader();
    let store = stores.iter_mut().find(|store| store.ip == leader).expect("the leader");
    store.kill();
    let first = cluster.start(GATEWAY_IPS[0], true);
    assert_drained(&cluster, GATEWAY_IPS[0], &hall, "leader killed");

    fs::remove_dir_all(cluster.data_folder(leader)).expect("the data folder is removed");
    *store = cluster.start(leader, false);
    cluster.leader();
    stores.iter_mut().for_each(Process::kill);
    stores = STORE_IPS.iter().map(|ip| cluster.start(ip, false)).collect();
    cluster.leader();
    let _second = cluster.start(GATEWAY_IPS[1], false);
    assert_drained(&cluster, GATEWAY_IPS[1], &hall, "all stores restarted");
    // The first gateway keeps the drain although its leader was lost.
    assert_drained(&cluster, GATEWAY_IPS[0], &hall, "gateway kept running");

    // With the other zone drained, every served request comes from the restored one.
    set_drain(&cluster, "DELETE", "hall");
    set_drain(&cluster, "POST", "annex");
    wait_until("the restored zone serves turns", || {
        let before = hall.requests().len();
        cluster.turn(GATEWAY_IPS[0], &format!("back-{}", annex.requests().len()), None, "go");
        hall.requests().len() > before
    });
    drop((first, stores));
}

//! A drained zone outlasts its leader, every process and a disk, and is known to gateways that
//! start later.

#[path = "../../../platform/tests/support/mod.rs"]
mod support;

mod machines;

use std::fs;

use machines::{FRONTS, Machines, Process, STORES};
use support::{ScriptedReplica, configuration, wait_until};

fn model(name: &str) -> ScriptedReplica {
    ScriptedReplica::start(name, |exchange| {
        let id = exchange.request.id().to_owned();
        exchange.start_stream();
        exchange.send_event(1, &id);
        exchange.end_stream();
    })
}

fn order(machines: &Machines, method: &str, zone: &str) {
    let path = format!("/-/evacuations/{zone}");
    wait_until("the order is acknowledged", || machines.operator(method, &path, "").is_some());
}

/// Whoever is ready sends to the other zone only.
fn assert_drained(machines: &Machines, front: &str, near: &ScriptedReplica, round: &str) {
    wait_until("the gateway is ready", || machines.is_ready(front));
    let before = near.requests().len();
    for number in 0..10 {
        machines.turn(front, &format!("{round}-{number}"), None, "go");
    }
    assert_eq!(near.requests().len(), before, "{round}");
}

#[test]
fn a_drain_outlasts_its_leader_a_disk_and_all_power() {
    let machines = Machines::new();
    let (near, far) = (model("m-1"), model("m-2"));
    machines.list.put_in_zone("hall", &near, "models", "ready");
    machines.list.put_in_zone("annex", &far, "models", "ready");
    let mut stores: Vec<Process> = STORES.iter().map(|ip| machines.start(ip, true)).collect();
    let body = configuration(5).to_string();
    wait_until("the configuration is accepted", || {
        machines.operator("PUT", "/-/config", &body).is_some()
    });
    order(&machines, "POST", "hall");

    // The first gateway starts after the drain, under a leader that never took the order.
    let leader = machines.leader();
    let store = stores.iter_mut().find(|store| store.ip == leader).expect("the leader");
    store.kill();
    let first = machines.start(FRONTS[0], true);
    assert_drained(&machines, FRONTS[0], &near, "leader killed");

    fs::remove_dir_all(machines.data_folder(leader)).expect("a lost disk");
    *store = machines.start(leader, false);
    machines.leader();
    stores.iter_mut().for_each(Process::kill);
    stores = STORES.iter().map(|ip| machines.start(ip, false)).collect();
    machines.leader();
    let _second = machines.start(FRONTS[1], false);
    assert_drained(&machines, FRONTS[1], &near, "all power lost");
    // The one that lost its leader keeps what it knew.
    assert_drained(&machines, FRONTS[0], &near, "gateway that went on");

    // With the other zone drained, whatever is served comes from the one given back.
    order(&machines, "DELETE", "hall");
    order(&machines, "POST", "annex");
    wait_until("turns come back", || {
        let before = near.requests().len();
        machines.turn(FRONTS[0], &format!("back-{}", far.requests().len()), None, "go");
        near.requests().len() > before
    });
    drop((first, stores));
}

//! A day in small on the platform, with the product's real processes: a calm start,
//! programs under way, a killed leader, a lost disk, a planned stop.

#[path = "../../../platform/tests/support/mod.rs"]
mod support;

mod machines;

use std::fs;

use machines::{FRONTS, Machines, Process, STORES};
use support::{ScriptedReplica, configuration, wait_until};

fn model() -> ScriptedReplica {
    ScriptedReplica::start("i-1", |exchange| {
        let id = exchange.request.id().to_owned();
        exchange.start_stream();
        exchange.send_event(1, &id);
        exchange.end_stream();
    })
}

#[test]
fn programs_go_on_through_a_killed_leader_a_lost_disk_and_a_planned_stop() {
    let machines = Machines::new();
    let model = model();
    machines.list.put(&model, "models", "ready");
    let mut stores: Vec<Process> = STORES.iter().map(|ip| machines.start(ip, true)).collect();
    let mut fronts: Vec<Process> = FRONTS.iter().map(|ip| machines.start(ip, true)).collect();
    let body = configuration(5).to_string();
    wait_until("the configuration is accepted", || {
        machines.operator("PUT", "/-/config", &body).is_some()
    });
    wait_until("the gateways are ready", || FRONTS.iter().all(|ip| machines.is_ready(ip)));

    let first = machines.turn(FRONTS[0], "one", None, "hello ");
    let second = machines.turn(FRONTS[1], "two", Some(&first), "again ");

    let leader = machines.leader();
    let store = stores.iter_mut().find(|store| store.ip == leader).expect("the leader");
    store.kill();
    let third = machines.turn(FRONTS[0], "three", Some(&second), "more ");

    // The killed machine comes back with an empty disk, then another is killed.
    fs::remove_dir_all(machines.data_folder(leader)).expect("a lost disk");
    *store = machines.start(leader, false);
    let fourth = machines.turn(FRONTS[1], "four", Some(&third), "yet more ");
    let other = machines.leader();
    let store = stores.iter_mut().find(|store| store.ip == other).expect("the next leader");
    store.kill();
    *store = machines.start(other, false);
    let fifth = machines.turn(FRONTS[0], "five", Some(&fourth), "the last ");

    let bodies = model.requests();
    let last = bodies.iter().rev().find(|seen| seen.id() == fifth).expect("it ran");
    let expected =
        format!("hello {first}\nagain {second}\nmore {third}\nyet more {fourth}\nthe last ");
    assert_eq!(String::from_utf8_lossy(&last.body), expected);

    let mut read = None;
    wait_until("the configuration is read back", || {
        machines.operator("GET", "/-/config", "").is_some()
    });
    while read.is_none() {
        read = machines.operator("GET", "/-/config", "").map(|(reply, _)| reply.text());
    }
    assert_eq!(read.as_deref(), Some(body.as_str()));

    assert!(fronts[0].terminate(), "a planned stop ends with status 0");
    machines.turn(FRONTS[1], "six", Some(&fifth), "after the stop");
}

//! Stores that stop while callers wait for them.

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use calicohoist::roles::{gateway_config, store_settings};
use calicohoist::settings::Settings;
use calicohoist_gateway::GatewayServer;
use calicohoist_store::driver::StoreServer;

use crate::caller::{Answer, request};

const MACHINES: u32 = 3;
const CALLERS: usize = 4;
const PAUSE: Duration = Duration::from_millis(500);
const CREATED: u16 = 201;

fn bind() -> TcpListener {
    TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("bound")
}

fn settings(machines: &BTreeMap<u32, SocketAddr>, section: &str) -> Settings {
    let entry = |(number, address): (&u32, &SocketAddr)| {
        format!("[[store_machines]]\nnumber = {number}\naddress = \"{address}\"\n")
    };
    let list: String = machines.iter().map(entry).collect();
    let text = format!("name = \"n\"\nzone = \"hall\"\n{list}{section}");
    Settings::parse("node.toml", &text).expect("valid settings")
}

fn start_store(machines: &BTreeMap<u32, SocketAddr>, machine: u32, data: &str) -> StoreServer {
    let section = format!("[store]\nmachine = {machine}\ndata_folder = \"{data}/{machine}\"\n");
    let settings = settings(machines, &section);
    let listener = TcpListener::bind(machines[&machine]).expect("bound");
    let section = settings.store.as_ref().expect("a store");
    StoreServer::start(store_settings(&settings, section), listener).expect("started")
}

fn start_gateway(machines: &BTreeMap<u32, SocketAddr>) -> GatewayServer {
    let section = "[gateway]\nhttp = \"127.0.0.1:0\"\npeers = \"127.0.0.1:0\"\n";
    let settings = settings(machines, section);
    let section = settings.gateway.as_ref().expect("a gateway");
    GatewayServer::start(gateway_config(&settings, section), bind(), bind()).expect("started")
}

/// Creates programs until told to end; returns the statuses of all answers, 0 for none.
fn create_programs(address: SocketAddr, stop: Arc<AtomicBool>) -> JoinHandle<Vec<u16>> {
    thread::spawn(move || {
        let text = request("POST", "/v1/programs", "calicohoist-tenant: counter\r\n", "{}");
        let mut statuses = Vec::new();
        while !stop.load(Ordering::SeqCst) {
            statuses.push(Answer::fetch(address, &text).map_or(0, |answer| answer.status));
        }
        statuses
    })
}

#[test]
fn callers_get_their_commits_while_each_store_stops_and_returns() {
    let folder = tempfile::tempdir().expect("a folder");
    let data = folder.path().to_str().expect("a path").to_owned();
    let listeners: Vec<TcpListener> = (0..MACHINES).map(|_| bind()).collect();
    let addresses = listeners.iter().map(|listener| listener.local_addr().expect("bound"));
    let machines: BTreeMap<u32, SocketAddr> = (1..).zip(addresses).collect();
    drop(listeners);
    let mut stores: BTreeMap<u32, StoreServer> = machines
        .keys()
        .map(|machine| (*machine, start_store(&machines, *machine, &data)))
        .collect();
    let gateway = start_gateway(&machines);
    let text = request("POST", "/v1/programs", "calicohoist-tenant: counter\r\n", "{}");
    while Answer::fetch(gateway.http_address(), &text).is_none_or(|answer| answer.status != CREATED)
    {
        thread::sleep(PAUSE);
    }
    let stop = Arc::new(AtomicBool::new(false));
    let callers: Vec<_> =
        (0..CALLERS).map(|_| create_programs(gateway.http_address(), stop.clone())).collect();
    for machine in machines.keys() {
        thread::sleep(PAUSE);
        stores.remove(machine).expect("running").stop_gracefully();
        thread::sleep(PAUSE);
        stores.insert(*machine, start_store(&machines, *machine, &data));
        thread::sleep(PAUSE * 3);
    }
    stop.store(true, Ordering::SeqCst);
    let mut counts: BTreeMap<u16, usize> = BTreeMap::new();
    for status in callers.into_iter().flat_map(|caller| caller.join().expect("a caller")) {
        *counts.entry(status).or_default() += 1;
    }
    assert_eq!(counts.keys().collect::<Vec<_>>(), [&CREATED], "{counts:?}");
}

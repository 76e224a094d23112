//! A gateway that runs out of file descriptors, with real processes.

#[path = "../../../platform/tests/support/mod.rs"]
mod support;

mod cluster;

use std::fs;
use std::net::TcpStream;
use std::thread;
use std::time::Duration;

use cluster::{Cluster, GATEWAY_IPS, Process, STORE_IPS};
use rustix::process::{Pid, Resource, Rlimit, prlimit};
use support::{ScriptedReplica, configuration, exchange, request_head, wait_until};

const DESCRIPTORS: u64 = 40;
const CONNECTIONS: usize = 60;
const MEASURED_TIME: Duration = Duration::from_millis(1_500);
/// Share of [`MEASURED_TIME`] that a gateway may compute while it can accept nothing.
const MAX_CPU_SHARE: f64 = 0.2;

/// Returns the processor time that a process has used.
fn cpu_time(process: &Process) -> Duration {
    let stat = fs::read_to_string(format!("/proc/{}/stat", process.child.id()));
    let stat = stat.expect("the process runs");
    let (_, fields) = stat.rsplit_once(") ").expect("a command in parentheses");
    // User and system time are the 14th and 15th field, in ticks of 10 ms.
    let ticks: u64 =
        fields.split(' ').skip(11).take(2).map(|field| field.parse::<u64>().expect("ticks")).sum();
    Duration::from_millis(ticks * 10)
}

#[test]
fn gateway_without_free_descriptors_waits_and_recovers() {
    let cluster = Cluster::new();
    let tool = ScriptedReplica::start("t-1", |exchange| exchange.respond("200 OK", "", "whole"));
    cluster.platform_list.put(&tool, "tools", "ready");
    let _stores: Vec<Process> = STORE_IPS.iter().map(|ip| cluster.start(ip, true)).collect();
    let gateway = cluster.start(GATEWAY_IPS[0], true);
    let body = configuration(5).to_string();
    wait_until("the configuration is accepted", || {
        cluster.operator_request("PUT", "/-/config", &body).is_some()
    });
    wait_until("the gateway is ready", || cluster.is_ready(GATEWAY_IPS[0]));
    let limit = Rlimit { current: Some(DESCRIPTORS), maximum: Some(DESCRIPTORS) };
    let pid = Pid::from_child(&gateway.child);
    prlimit(Some(pid), Resource::Nofile, limit).expect("the limit is set");

    let address = cluster.http(GATEWAY_IPS[0]);
    let connections: Vec<TcpStream> =
        (0..CONNECTIONS).map(|_| TcpStream::connect(address).expect("connect")).collect();
    thread::sleep(Duration::from_millis(200));
    let before = cpu_time(&gateway);
    thread::sleep(MEASURED_TIME);
    let used = cpu_time(&gateway) - before;
    assert!(used < MEASURED_TIME.mul_f64(MAX_CPU_SHARE), "{used:?} in {MEASURED_TIME:?}");
    let log = fs::read_to_string(cluster.folder.path().join(format!("{}.log", GATEWAY_IPS[0])));
    assert!(log.expect("a log").contains("AcceptFailed"));

    drop(connections);
    let request = request_head("GET", "/safe/a", "after", 0, &[]);
    assert_eq!(exchange(address, request.as_bytes()).status, 200);
}

//! Three ledger machines, a gateway and replicas that work for as long as paths say.

use std::collections::BTreeMap;
use std::path::PathBuf;
use std::thread;
use std::time::{Duration, Instant};

use rustix::process::Signal;
use serde_json::Value;

use crate::cluster::{Cluster, GATEWAY_IPS, Process, STORE_IPS};
use crate::support::replica::Exchange;
use crate::support::{ScriptedReplica, wait_until};

/// Grace period of all machines.
pub const GRACE: Duration = Duration::from_secs(8);
const EVENTS: u64 = 4;

pub struct Deployment {
    pub cluster: Cluster,
    pub gateway: Process,
    pub stores: Vec<Process>,
    replicas: Vec<ScriptedReplica>,
}

impl Deployment {
    /// Starts a deployment with a configuration.
    pub fn start(document: &Value) -> Self {
        let cluster = Cluster { grace: GRACE, ..Cluster::new() };
        let replicas = ["tools", "models"].map(|service| {
            let replica = ScriptedReplica::start(service, work);
            cluster.platform_list.put(&replica, service, "ready");
            replica
        });
        let stores = STORE_IPS.map(|ip| cluster.start(ip, true)).into();
        let gateway = cluster.start(GATEWAY_IPS[0], true);
        let deployment = Self { cluster, gateway, stores, replicas: replicas.into() };
        deployment.configure(document);
        wait_until("the gateway is ready", || deployment.cluster.is_ready(GATEWAY_IPS[0]));
        deployment
    }

    /// Activates a configuration.
    pub fn configure(&self, document: &Value) {
        let body = document.to_string();
        wait_until("the configuration is accepted", || {
            self.cluster.operator_request("PUT", "/-/config", &body).is_some()
        });
    }

    /// Returns all machines, the gateway first.
    pub fn machines(&self) -> impl Iterator<Item = &Process> {
        std::iter::once(&self.gateway).chain(&self.stores)
    }

    /// Returns the path of a machine's settings file.
    pub fn settings_file(&self, machine: &Process) -> PathBuf {
        self.cluster.folder.path().join(format!("{}.toml", machine.ip))
    }

    /// Waits until the gateway, which got SIGTERM at `stopped_at`, has exited by itself.
    pub fn wait_until_stopped(&mut self, stopped_at: Instant) {
        let status = self.gateway.child.wait().expect("the gateway exits");
        assert!(status.success(), "{status}");
        assert!(stopped_at.elapsed() < GRACE, "the gateway was still there after its grace");
    }

    /// Starts the gateway again.
    pub fn restart_gateway(&mut self) {
        self.gateway = self.cluster.start(GATEWAY_IPS[0], false);
        wait_until("the gateway is ready", || self.cluster.is_ready(GATEWAY_IPS[0]));
    }

    pub fn stop_gateway(&self) {
        self.gateway.signal(Signal::TERM);
    }

    /// Returns how often each request was run.
    pub fn runs(&self) -> BTreeMap<String, usize> {
        let mut runs = BTreeMap::new();
        for request in self.replicas.iter().flat_map(ScriptedReplica::requests) {
            *runs.entry(request.id().to_owned()).or_default() += 1;
        }
        runs
    }
}

/// Answers a request after the work that its path names.
fn work(exchange: &mut Exchange<'_>) {
    let path = exchange.request.line.split(' ').nth(1).unwrap_or_default().to_owned();
    let work = path.rsplit('/').next().and_then(|work| work.parse().ok()).unwrap_or(0);
    let work = Duration::from_millis(work);
    if path.starts_with("/-/report") {
        return exchange.respond("200 OK", "", "{\"born\":1}");
    }
    if !matches!(path.split('/').nth(1), Some("stream" | "retained")) {
        thread::sleep(work);
        return exchange.respond("200 OK", "", "small");
    }
    exchange.start_stream();
    for event in 1..=EVENTS {
        exchange.send_event(event, "event");
        thread::sleep(work / EVENTS as u32);
    }
    exchange.end_stream();
}

//! Servers whose responses never end, beside requests of other callers, with real processes.

#[path = "../../../../platform/tests/support/mod.rs"]
mod support;

#[path = "../cluster/mod.rs"]
mod cluster;

mod calls;
mod links;
mod lists;
mod load;

use std::fmt;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use cluster::{Cluster, GATEWAY_IPS, Process, STORE_IPS};
use parking_lot::Mutex;
use support::{EndlessKind, ScriptedReplica, configuration, wait_until};

/// Memory of a front of the larger sites, in MiB.
const MACHINE_MEMORY_MB: usize = 260;
/// Memory of a ledger machine, in MiB.
const LEDGER_MEMORY_MB: usize = 120;
/// Processor time that endless responses may cost a process, in percent of one core: twice the share
/// for large responses, so that the same is left for what is not measured by the process itself.
const MAX_PROCESSOR_PERCENT: u32 = 40;
/// One deployment at a time, so that a machine with few cores suffices.
static TURN: Mutex<()> = Mutex::new(());

/// What a process has used during a run.
struct ProcessCost {
    ip: &'static str,
    elapsed: Duration,
    processor_time: Duration,
    /// In bytes.
    peak_memory: usize,
}

impl ProcessCost {
    /// Asserts that the process used no more than its share, beside what as many requests cost
    /// without endless responses. `requests` is their number, relative to that in `alone`.
    fn check(&self, alone: &Self, requests: f64) {
        let own = alone.processor_time.mul_f64(requests);
        println!("{self}, {own:?} for requests");
        let allowed = own + self.elapsed * MAX_PROCESSOR_PERCENT / 100;
        assert!(self.processor_time <= allowed, "{self}, {allowed:?} allowed");
        let memory_mb = match STORE_IPS.contains(&self.ip) {
            true => LEDGER_MEMORY_MB,
            false => MACHINE_MEMORY_MB,
        };
        assert!(self.peak_memory <= memory_mb << 20, "{self}");
    }
}

impl fmt::Display for ProcessCost {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { ip, elapsed, processor_time, peak_memory } = self;
        write!(formatter, "{ip}: {processor_time:?} in {elapsed:?}, {} MiB", peak_memory >> 20)
    }
}

/// A gateway with its ledger and one replica for each service. Requests whose path ends in
/// `/endless` get an endless response.
struct Deployment {
    cluster: Cluster,
    gateway: Process,
    stores: Vec<Process>,
    _replicas: Vec<ScriptedReplica>,
}

impl Deployment {
    /// Starts a deployment whose endless responses are of the given kinds in turn.
    fn start(kinds: &'static [EndlessKind], cluster: Cluster) -> Self {
        let cluster = Cluster { memory_mb: MACHINE_MEMORY_MB, ..cluster };
        let count = Arc::new(AtomicUsize::new(0));
        let replicas = ["tools", "models"].map(|service| {
            let count = Arc::clone(&count);
            let replica = ScriptedReplica::start(service, move |exchange| {
                if exchange.request.line.contains("/endless ") {
                    kinds[count.fetch_add(1, Ordering::Relaxed) % kinds.len()].serve(exchange);
                } else if exchange.request.line.contains("/stream/") {
                    exchange.send_stream("done");
                } else {
                    exchange.respond("200 OK", "", "done");
                }
            });
            cluster.platform_list.put(&replica, service, "ready");
            replica
        });
        let stores = STORE_IPS.iter().map(|ip| cluster.start(ip, true)).collect();
        let gateway = cluster.start(GATEWAY_IPS[0], true);
        let body = configuration(5).to_string();
        wait_until("the configuration is accepted", || {
            cluster.operator_request("PUT", "/-/config", &body).is_some()
        });
        wait_until("the gateway is ready", || cluster.is_ready(GATEWAY_IPS[0]));
        Self { cluster, gateway, stores, _replicas: replicas.into() }
    }

    /// Returns what each process has cost during `elapsed`; `used` is the processor time before.
    fn costs_since(&self, used: &[Duration], elapsed: Duration) -> Vec<ProcessCost> {
        let processes = self.processes().zip(used);
        let costs = processes.map(|(process, used)| ProcessCost {
            ip: process.ip,
            elapsed,
            processor_time: process.processor_time() - *used,
            peak_memory: process.peak_memory(),
        });
        costs.collect()
    }

    fn processor_times(&self) -> Vec<Duration> {
        self.processes().map(Process::processor_time).collect()
    }

    fn processes(&self) -> impl Iterator<Item = &Process> {
        std::iter::once(&self.gateway).chain(&self.stores)
    }

    /// Stops the gateway, and asserts that it cut no request. The others still run.
    fn stop_gateway(mut self) -> Self {
        assert!(self.gateway.terminate(), "the gateway fails");
        let log = self.cluster.folder.path().join(format!("{}.log", GATEWAY_IPS[0]));
        let log = std::fs::read_to_string(log).expect("the log of the gateway");
        assert!(log.contains("\"StopFinished\""), "the stop was forced");
        self
    }
}

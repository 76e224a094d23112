//! A cluster with replicas of two software versions, and clients whose streams break off.

use std::thread;
use std::time::{Duration, Instant};

use rustix::process::Signal;
use serde_json::json;

use crate::cluster::{Cluster, GATEWAY_IPS, Process, STORE_IPS};
use crate::streams::{BegunStream, ReplicaSoftware, RunLog, StreamFate, TakeUp, begin_streams};
use crate::support::{ScriptedReplica, configuration, remove_entry, wait_until};

const OLDER: &str = "v1";
const NEWER: &str = "v2";
const REPLICAS_PER_VERSION: usize = 2;
/// Tries of a client that is asked to come back.
const MAX_TRIES: usize = 3;
/// Tries of a client that comes back for as long as it is asked to.
const MAX_PATIENT_TRIES: usize = 50;
/// Time for which a gateway is held up.
const GATEWAY_PAUSE: Duration = Duration::from_millis(800);
/// Time within which the gateways learn of a change of the list.
const LIST_DELAY: Duration = Duration::from_millis(1_500);
const GATEWAY: &str = GATEWAY_IPS[0];
const OTHER_GATEWAY: &str = GATEWAY_IPS[1];

/// Which replicas serve before and after the kill.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Serving {
    /// Both versions, all the time.
    BothVersions,
    /// Both versions before the kill, the newer one afterwards.
    OlderLeaves,
    /// The older version before the kill, the newer one afterwards.
    OlderIsReplaced,
}

/// What happens to the ledger.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LedgerFault {
    None,
    /// All machines are killed with the gateways, and start again.
    Killed,
    /// No leader from before the streams begin until the gateways were killed.
    NoLeader,
    /// No leader while the streams begin; there is one when the gateways are killed.
    LateLeader,
}

impl LedgerFault {
    /// Returns whether what is written before a first event can be read after the kill.
    pub fn keeps_records(self) -> bool {
        matches!(self, Self::None | Self::Killed)
    }
}

pub struct Fleet {
    cluster: Cluster,
    ledger: Vec<Process>,
    gateway: Process,
    replicas: Vec<(ScriptedReplica, &'static str)>,
    serving: Serving,
    runs: RunLog,
    killed_at: Instant,
}

impl Fleet {
    pub fn start(serving: Serving) -> Self {
        let cluster = Cluster::new();
        let ledger = STORE_IPS.iter().map(|ip| cluster.start(ip, true)).collect();
        let runs = RunLog::default();
        let versions = [OLDER, NEWER].into_iter().cycle().take(2 * REPLICAS_PER_VERSION);
        let replicas: Vec<_> = versions
            .enumerate()
            .map(|(number, version)| (start_replica(number, version, &runs), version))
            .collect();
        let gateway = cluster.start(GATEWAY, false);
        let fleet =
            Self { cluster, ledger, gateway, replicas, serving, runs, killed_at: Instant::now() };
        fleet.list(OLDER);
        if serving != Serving::OlderIsReplaced {
            fleet.list(NEWER);
        }
        let document = configuration(1).to_string();
        wait_until("the configuration is accepted", || {
            fleet.cluster.operator_request("PUT", "/-/config", &document).is_some()
        });
        wait_until("the gateway is ready", || fleet.cluster.is_ready(GATEWAY));
        // The first list may have been incomplete.
        thread::sleep(LIST_DELAY);
        fleet
    }

    fn list(&self, version: &str) {
        for (replica, _) in self.replicas.iter().filter(|(_, known)| *known == version) {
            self.cluster.platform_list.put(replica, "models", "ready");
            self.cluster.platform_list.set_field(replica, "version", json!(version));
        }
    }

    fn unlist(&self, version: &str) {
        for (replica, _) in self.replicas.iter().filter(|(_, known)| *known == version) {
            remove_entry(&self.cluster.platform_list.instances, &replica.id);
        }
    }

    /// Begins what makes records late or impossible.
    pub fn begin_fault(&self, fault: LedgerFault) {
        if matches!(fault, LedgerFault::NoLeader | LedgerFault::LateLeader) {
            self.signal_ledger(Signal::STOP);
        }
    }

    /// Starts a second gateway, and waits until it is ready.
    pub fn start_other_gateway(&self) -> Process {
        let gateway = self.cluster.start(OTHER_GATEWAY, false);
        wait_until("the other gateway is ready", || self.cluster.is_ready(OTHER_GATEWAY));
        gateway
    }

    /// Breaks the connections of all clients, which come to the other gateway at the same time. The ledger
    /// has a leader again while they do, and the gateway that began the streams is held up for a moment.
    pub fn take_up_while_leader_returns(&self, streams: &[BegunStream]) -> Vec<StreamFate> {
        for stream in streams {
            stream.break_off();
        }
        let take_up = |stream| self.take_up_at(OTHER_GATEWAY, MAX_PATIENT_TRIES, stream);
        thread::scope(|scope| {
            let clients: Vec<_> =
                streams.iter().map(|stream| scope.spawn(move || take_up(stream))).collect();
            self.gateway.signal(Signal::STOP);
            self.signal_ledger(Signal::CONT);
            thread::sleep(GATEWAY_PAUSE);
            self.gateway.signal(Signal::CONT);
            clients.into_iter().map(|client| client.join().expect("a client")).collect()
        })
    }

    fn signal_ledger(&self, signal: Signal) {
        self.ledger.iter().for_each(|machine| machine.signal(signal));
    }

    /// Begins streams at the same time, and waits for their first events.
    pub fn begin_streams(&self, count: usize) -> Vec<BegunStream> {
        begin_streams(self.cluster.http(GATEWAY), "s", count)
    }

    /// Kills the gateway, changes the list as `serving` says, and starts the gateway again.
    pub fn kill_gateways_after(&mut self, delay: Duration, fault: LedgerFault) {
        if fault == LedgerFault::LateLeader {
            self.signal_ledger(Signal::CONT);
        }
        thread::sleep(delay);
        self.gateway.signal(Signal::KILL);
        if fault == LedgerFault::Killed {
            self.signal_ledger(Signal::KILL);
        }
        self.gateway.kill();
        self.killed_at = Instant::now();
        if self.serving != Serving::BothVersions {
            self.unlist(OLDER);
            self.list(NEWER);
        }
        match fault {
            LedgerFault::None | LedgerFault::LateLeader => {}
            LedgerFault::NoLeader => self.signal_ledger(Signal::CONT),
            LedgerFault::Killed => {
                self.ledger.iter_mut().for_each(Process::kill);
                for machine in &mut self.ledger {
                    *machine = self.cluster.start(machine.ip, false);
                }
            }
        }
        self.gateway = self.cluster.start(GATEWAY, false);
    }

    /// Waits until `wait` has passed since the kill, and the gateway is ready.
    pub fn wait_since_kill(&self, wait: Duration) {
        thread::sleep(wait.saturating_sub(self.killed_at.elapsed()));
        wait_until("the gateway is ready", || self.cluster.is_ready(GATEWAY));
    }

    /// Takes a stream up after its first event. A client that is asked to come back does so.
    pub fn take_up(&self, stream: &BegunStream) -> StreamFate {
        self.take_up_at(GATEWAY, MAX_TRIES, stream)
    }

    fn take_up_at(&self, gateway: &str, max_tries: usize, stream: &BegunStream) -> StreamFate {
        let is_served = stream.version == NEWER || self.serving == Serving::BothVersions;
        let take_up = TakeUp { gateway: self.cluster.http(gateway), max_tries, runs: &self.runs };
        take_up.run(stream, is_served)
    }
}

fn start_replica(number: usize, version: &str, runs: &RunLog) -> ScriptedReplica {
    let (id, version) = (format!("i-{number}"), version.to_owned());
    ReplicaSoftware { id, version, start: None }.start(runs)
}

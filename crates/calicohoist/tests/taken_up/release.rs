//! A release of several software versions, one after the other, beside a gateway that falls out of step.

use std::thread;
use std::time::Duration;

use rustix::process::Signal;
use serde_json::json;

use crate::cluster::forwarder::Forwarder;
use crate::cluster::{Cluster, GATEWAY_IPS, Ports, Process, STORE_IPS};
use crate::streams::{BegunStream, ReplicaSoftware, RunLog, StreamFate, TakeUp, begin_streams};
use crate::support::{ScriptedReplica, configuration, remove_entry, wait_until};

/// Gateway at which the streams begin.
const STEADY: &str = GATEWAY_IPS[0];
/// Gateway that falls out of step, at which they are taken up.
const LAGGING: &str = GATEWAY_IPS[1];
const REPLICAS_PER_VERSION: usize = 2;
const STREAMS: usize = 24;
/// Streams of each version at least; the replicas are chosen by the hash of the request id.
const MIN_STREAMS_PER_VERSION: usize = 4;
/// Tries of a client that comes back for as long as it is asked to.
const MAX_TRIES: usize = 30;
/// Time within which the gateways learn of a change of the list.
const LIST_DELAY: Duration = Duration::from_millis(1_500);
/// Time without a leader after which a gateway waits for it no more.
const LEADER_ABSENCE: Duration = Duration::from_millis(2_000);
/// Time after the first take-ups at which the rest of the streams are taken up.
const SECOND_WAVE: Duration = Duration::from_millis(400);
/// Time after the first take-ups at which the gateway is in step again.
const FAULT_AFTER_TAKE_UP: Duration = Duration::from_millis(900);
/// Longer than a play.
const UNTIL_CLEARED: Duration = Duration::from_secs(60);
/// Start time of the first version's replicas, in ms of Unix time. Those of each later one start a minute
/// after those of the one before.
const FIRST_START: u64 = 1_790_000_000_000;
const START_INTERVAL: u64 = 60_000;

/// How a gateway, or the leader that it follows, is out of step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The gateway stands still, with the take-ups in its sockets.
    Stands,
    /// The gateway stands still from the moment at which the take-ups were sent.
    StandsAfterTakeUp,
    /// The gateway reaches neither a ledger machine nor the list.
    CutOff,
    /// What the gateway sends to ledger machines is held back.
    RequestsHeld,
    /// What ledger machines send to the gateway is held back.
    AnswersHeld,
    /// The same, from the moment at which the take-ups were sent.
    AnswersHeldAfterTakeUp,
    /// The gateway does not reach the list.
    ListCut,
    /// The gateway does not reach the leader.
    LeaderCut,
    /// The gateway does not reach a follower.
    FollowerCut,
    /// The leader does not reach the list.
    LeaderBehind,
    /// The leader stands still until the take-ups were sent, while the gateway reaches no other machine.
    LeaderStands,
}

impl Fault {
    fn begins_with_take_up(self) -> bool {
        matches!(self, Self::StandsAfterTakeUp | Self::AnswersHeldAfterTakeUp)
    }
}

/// Where the replicas of a new version are found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Joining {
    /// Under ids and at addresses of their own.
    Anew,
    /// In place of replicas of the version before, under their ids.
    UnderUsedIds,
    /// In place of replicas of the version before, at their addresses.
    AtUsedAddresses,
}

/// Replicas of one software version.
struct VersionInService {
    name: String,
    replicas: Vec<ScriptedReplica>,
}

/// A cluster in which versions replace one another.
pub struct Release {
    cluster: Cluster,
    ledger: Vec<Process>,
    lagging: Process,
    _steady: Process,
    /// Links of the lagging gateway to the ledger machines.
    ledger_links: Vec<Forwarder>,
    /// Link of the lagging gateway to the list.
    list_link: Forwarder,
    /// Links of the ledger machines to the list.
    ledger_list_links: Vec<Forwarder>,
    current: VersionInService,
    versions: usize,
    runs: RunLog,
}

impl Release {
    pub fn start() -> Self {
        let mut cluster = Cluster::new();
        let list_link = || {
            let listen = "127.0.0.1:0".parse().expect("an address");
            Forwarder::start(listen, cluster.platform_list.address)
        };
        let list_links: Vec<_> = std::iter::repeat_with(list_link).take(4).collect();
        let [first, ledger_list_links @ ..] = &list_links[..] else {
            unreachable!("several links");
        };
        let mut ledger = Vec::new();
        for (ip, link) in STORE_IPS.into_iter().zip(ledger_list_links) {
            cluster.platform_list_address = Some(link.address);
            ledger.push(cluster.start(ip, true));
        }
        cluster.platform_list_address = None;
        let steady = cluster.start(STEADY, false);
        let (ledger_links, lagging) = start_lagging(&mut cluster, first);
        let runs = RunLog::default();
        let mut release = Self {
            list_link: first.clone(),
            ledger_list_links: ledger_list_links.to_vec(),
            cluster,
            ledger,
            lagging,
            _steady: steady,
            ledger_links,
            current: VersionInService { name: String::new(), replicas: Vec::new() },
            versions: 0,
            runs,
        };
        // Some of these are replaced by the next version.
        release.current = release.start_version(2 * REPLICAS_PER_VERSION);
        let document = configuration(1).to_string();
        wait_until("the configuration is accepted", || {
            release.cluster.operator_request("PUT", "/-/config", &document).is_some()
        });
        for gateway in [STEADY, LAGGING] {
            wait_until("the gateway is ready", || release.cluster.is_ready(gateway));
        }
        // The first list may have been incomplete.
        thread::sleep(LIST_DELAY);
        release
    }

    fn next_software(&mut self) -> (String, u64) {
        self.versions += 1;
        let start = FIRST_START + START_INTERVAL * self.versions as u64;
        (format!("v{}", self.versions), start)
    }

    fn list(&self, replica: &ScriptedReplica, version: &str, start: u64) {
        self.cluster.platform_list.put(replica, "models", "ready");
        self.cluster.platform_list.set_field(replica, "version", json!(version));
        self.cluster.platform_list.set_field(replica, "born", json!(start));
    }

    fn start_version(&mut self, count: usize) -> VersionInService {
        let (name, start) = self.next_software();
        let start_replica = |number| {
            let id = format!("i-{name}-{number}");
            let software = ReplicaSoftware { id, version: name.clone(), start: Some(start) };
            software.start(&self.runs)
        };
        let replicas: Vec<_> = (0..count).map(start_replica).collect();
        replicas.iter().for_each(|replica| self.list(replica, &name, start));
        VersionInService { name, replicas }
    }

    /// Starts a version whose first replicas take the places of some of the current ones.
    fn replace_some(&mut self, joining: Joining) -> VersionInService {
        let (name, start) = self.next_software();
        let left = self.current.replicas.split_off(REPLICAS_PER_VERSION);
        let mut replicas = Vec::new();
        for (number, before) in left.into_iter().enumerate() {
            let id = match joining {
                Joining::UnderUsedIds => before.id.clone(),
                Joining::Anew | Joining::AtUsedAddresses => format!("i-{name}-{number}"),
            };
            let software = ReplicaSoftware { id, version: name.clone(), start: Some(start) };
            let replica = before.succeed(&software.id, software.script(&self.runs));
            remove_entry(&self.cluster.platform_list.instances, &before.id);
            self.list(&replica, &name, start);
            replicas.push(replica);
        }
        VersionInService { name, replicas }
    }

    /// Adds replicas in reserve to a version, of which some are replaced by the next one.
    fn add_reserve(&self, version: &mut VersionInService) {
        let start = FIRST_START + START_INTERVAL * self.versions as u64;
        for number in 0..REPLICAS_PER_VERSION {
            let id = format!("i-{}-reserve-{number}", version.name);
            let name = version.name.clone();
            let replica =
                ReplicaSoftware { id, version: name, start: Some(start) }.start(&self.runs);
            self.list(&replica, &version.name, start);
            version.replicas.push(replica);
        }
    }

    /// Adds a version while `fault` lasts. Streams of both versions begin at the steady gateway, break off,
    /// and are taken up at the one that is out of step. The older version leaves in the end.
    pub fn play(&mut self, fault: Fault, joining: Joining) -> Vec<StreamFate> {
        let leader = self.leader();
        if !fault.begins_with_take_up() {
            self.begin(fault, leader);
        }
        let next = match joining {
            Joining::Anew => self.start_version(REPLICAS_PER_VERSION),
            Joining::UnderUsedIds | Joining::AtUsedAddresses => self.replace_some(joining),
        };
        thread::sleep(LIST_DELAY);
        let streams = self.begin_streams(STEADY, &next, fault);
        let fates = self.take_up(LAGGING, &streams, fault, leader);
        self.finish(next);
        fates
    }

    /// Adds a version before `fault` begins. Streams of both versions begin at the gateway that is out of
    /// step, break off, and are taken up at the steady one.
    pub fn play_from_lagging(&mut self, fault: Fault) -> Vec<StreamFate> {
        let next = self.start_version(REPLICAS_PER_VERSION);
        thread::sleep(LIST_DELAY);
        let leader = self.leader();
        self.begin(fault, leader);
        thread::sleep(LEADER_ABSENCE);
        let streams = self.begin_streams(LAGGING, &next, fault);
        let fates = self.take_up(STEADY, &streams, fault, leader);
        self.finish(next);
        fates
    }

    /// Removes the older version.
    fn finish(&mut self, mut next: VersionInService) {
        self.add_reserve(&mut next);
        let older = std::mem::replace(&mut self.current, next);
        let instances = &self.cluster.platform_list.instances;
        older.replicas.iter().for_each(|replica| remove_entry(instances, &replica.id));
        thread::sleep(LIST_DELAY);
    }

    fn begin_streams(
        &self,
        gateway: &str,
        next: &VersionInService,
        fault: Fault,
    ) -> Vec<BegunStream> {
        let name = format!("{}-", next.name);
        let streams = begin_streams(self.cluster.http(gateway), &name, STREAMS);
        let of_next = streams.iter().filter(|stream| stream.version == next.name).count();
        // A leader without the list, or none, shows the steady gateway no other version either.
        if !matches!(fault, Fault::LeaderBehind | Fault::LeaderStands) {
            assert!(of_next >= MIN_STREAMS_PER_VERSION, "{fault:?}: {of_next} of the new version");
        }
        assert!(
            STREAMS - of_next >= MIN_STREAMS_PER_VERSION,
            "{fault:?}: {of_next} of the new one"
        );
        streams
    }

    /// Breaks the connections of all clients, which come to `gateway`, some of them a little later. The
    /// fault ends after that.
    fn take_up(
        &self,
        gateway: &str,
        streams: &[BegunStream],
        fault: Fault,
        leader: usize,
    ) -> Vec<StreamFate> {
        streams.iter().for_each(BegunStream::break_off);
        let gateway = self.cluster.http(gateway);
        let take_up = TakeUp { gateway, max_tries: MAX_TRIES, runs: &self.runs };
        let take_up = &take_up;
        thread::scope(|scope| {
            let (first, second) = streams.split_at(streams.len() / 2);
            let begin = |stream| scope.spawn(move || take_up.run(stream, true));
            let mut clients: Vec<_> = first.iter().map(begin).collect();
            if fault.begins_with_take_up() {
                self.begin(fault, leader);
            }
            thread::sleep(SECOND_WAVE);
            clients.extend(second.iter().map(begin));
            thread::sleep(FAULT_AFTER_TAKE_UP - SECOND_WAVE);
            self.end(leader);
            clients.into_iter().map(|client| client.join().expect("a client")).collect()
        })
    }

    fn leader(&self) -> usize {
        let leader = self.cluster.leader();
        STORE_IPS.iter().position(|ip| *ip == leader).expect("a ledger machine")
    }

    fn begin(&self, fault: Fault, leader: usize) {
        let hold = |link: &Forwarder| link.stall(true, true, UNTIL_CLEARED);
        let is_leader = |number: &usize| *number == leader;
        match fault {
            Fault::Stands | Fault::StandsAfterTakeUp => self.lagging.signal(Signal::STOP),
            Fault::CutOff => {
                self.ledger_links.iter().for_each(hold);
                hold(&self.list_link);
            }
            Fault::RequestsHeld => {
                self.ledger_links.iter().for_each(|link| link.stall(true, false, UNTIL_CLEARED));
            }
            Fault::AnswersHeld | Fault::AnswersHeldAfterTakeUp => {
                self.ledger_links.iter().for_each(|link| link.stall(false, true, UNTIL_CLEARED));
            }
            Fault::ListCut => hold(&self.list_link),
            Fault::LeaderCut => hold(&self.ledger_links[leader]),
            Fault::FollowerCut => hold(&self.ledger_links[(leader + 1) % STORE_IPS.len()]),
            Fault::LeaderBehind => hold(&self.ledger_list_links[leader]),
            Fault::LeaderStands => {
                let links = self.ledger_links.iter().enumerate();
                links.filter(|(number, _)| !is_leader(number)).for_each(|(_, link)| hold(link));
                self.ledger[leader].signal(Signal::STOP);
            }
        }
    }

    /// Ends every fault.
    fn end(&self, leader: usize) {
        self.lagging.signal(Signal::CONT);
        self.ledger[leader].signal(Signal::CONT);
        let links = self.ledger_links.iter().chain(&self.ledger_list_links);
        links.chain([&self.list_link]).for_each(Forwarder::clear_faults);
    }
}

/// Starts the lagging gateway, which has links of its own.
fn start_lagging(cluster: &mut Cluster, list_link: &Forwarder) -> (Vec<Forwarder>, Process) {
    let ports = cluster.ports;
    let at_links = Ports { internal: Ports::free().internal, ..ports };
    // Gateways use the port after that of the ledger machines among each other.
    let address = |ip: &str, ports: Ports| {
        format!("{ip}:{}", ports.internal + 1).parse().expect("an address")
    };
    let link = |ip| Forwarder::start(address(ip, at_links), address(ip, ports));
    let links = STORE_IPS.into_iter().map(link).collect();
    cluster.ports = at_links;
    cluster.platform_list_address = Some(list_link.address);
    let gateway = cluster.start(LAGGING, false);
    cluster.ports = ports;
    cluster.platform_list_address = None;
    (links, gateway)
}

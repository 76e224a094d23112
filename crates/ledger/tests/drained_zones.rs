//! Drained zones: idempotence and ordering of drain commands, and rejected calls of operators.

mod properties;

use std::io::Write as _;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use calicohoist_ledger::commands::Command;
use calicohoist_ledger::protocol::{
    DRAINED_ZONES_VERSION, LATEST_VERSION, LedgerRequest, LedgerResponse, RequestEnvelope,
    ResponseEnvelope, SUPPORTED_VERSIONS, WatchRequest,
};
use calicohoist_ledger::server::control::{CallError, ControlCall, ControlCodec, ControlOutcome};
use calicohoist_ledger::server::peers::{KnownPeers, PeerInfo, VersionSkew};
use calicohoist_ledger::server::{self, LedgerSettings, Listeners, Ports};
use calicohoist_ledger::{LedgerState, Output};
use calicohoist_replication::{GroupId, ReplicaId, StateMachine};
use calicohoist_routing::{DrainedZones, Topology};
use calicohoist_transport::version::offer;
use calicohoist_transport::{FrameReader, ProtocolVersion, encode_frame};
use calicohoist_types::{Region, Zone};
use calicohoist_wire::encode;
use hyper::{Method, StatusCode};
use proptest::prelude::*;
use tempfile::TempDir;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::watch;

const LOCAL: Ipv4Addr = Ipv4Addr::LOCALHOST;
/// Snapshot of a version without drained zones: a configuration, a machine and permits.
const OLD_SNAPSHOT: &str = "0002027b7d000000000000010773746f72652d311100280101012801046465736b03";

fn state() -> LedgerState {
    LedgerState::new(GroupId(0))
}

fn apply(state: &mut LedgerState, command: &Command) -> Output {
    state.apply(&encode(command).expect("encode"))
}

fn drain(zone: &str) -> Command {
    Command::DrainZone { zone: Zone::new(zone) }
}

fn restore(zone: &str) -> Command {
    Command::RestoreZone { zone: Zone::new(zone) }
}

fn zones(state: &LedgerState) -> Vec<&str> {
    state.drained().zones.iter().map(Zone::as_str).collect()
}

#[test]
fn repeated_commands_do_not_change_zones_or_version() {
    let mut state = state();
    let commands = [
        (restore("a"), 0, vec![]),
        (drain("a"), 1, vec!["a"]),
        (drain("a"), 1, vec!["a"]),
        (drain("b"), 2, vec!["a", "b"]),
        (restore("a"), 3, vec!["b"]),
        (restore("a"), 3, vec!["b"]),
        (drain("a"), 4, vec!["a", "b"]),
    ];
    for (command, version, drained) in commands {
        assert_eq!(apply(&mut state, &command), Output::DrainedZones { version });
        assert_eq!(zones(&state), drained, "{command:?}");
    }
}

#[test]
fn snapshots_contain_the_drained_zones() {
    let mut state = state();
    apply(&mut state, &drain("a"));
    apply(&mut state, &drain("b"));
    apply(&mut state, &restore("a"));
    let mut restored = LedgerState::new(GroupId(0));
    assert!(restored.restore(&state.snapshot()));
    assert_eq!(restored, state);
    assert_eq!(restored.drained().version, 3);
}

#[test]
fn snapshots_without_drained_zones_are_decoded() {
    let byte = |offset: usize| u8::from_str_radix(&OLD_SNAPSHOT[offset..offset + 2], 16);
    let old: Vec<u8> = (0..OLD_SNAPSHOT.len())
        .step_by(2)
        .map(|offset| byte(offset).expect("hex digits"))
        .collect();
    let mut restored = state();
    assert!(restored.restore(&old));
    assert_eq!(restored.configuration().version, 2);
    assert_eq!(restored.machines().number("store-1"), Some(17));
    assert_eq!(restored.permits().newest(), 1);
    assert_eq!(*restored.drained(), DrainedZones::none());
    let mut again = state();
    assert!(again.restore(&restored.snapshot()));
    assert_eq!(again, restored);
}

/// An event in the processing of one operator's commands for one zone.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// The operator sends its current command to the leader, possibly again.
    Send,
    /// The leader receives the message with this index, of those in flight.
    Deliver(usize),
    /// A former leader, unaware of its successor, receives the message with this index.
    DeliverToFormerLeader(usize),
    /// This many of the oldest uncommitted log entries are committed.
    Commit(usize),
    /// A new leader is elected whose log has this many of the uncommitted entries.
    ElectWith(usize),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        3 => Just(Step::Send),
        3 => any::<usize>().prop_map(Step::Deliver),
        1 => any::<usize>().prop_map(Step::DeliverToFormerLeader),
        3 => (1usize..4).prop_map(Step::Commit),
        1 => (0usize..4).prop_map(Step::ElectWith),
    ];
    prop::collection::vec(step, 1..120)
}

/// A message or log entry with a command of the operator.
#[derive(Clone, Copy, Debug)]
struct OperatorCommand {
    sequence: usize,
    is_drain: bool,
}

/// Model of an operator that issues commands one after the other: once a command is acknowledged,
/// it closes the connections of all other messages with that command and issues the next one.
#[derive(Default)]
struct SequentialOperator {
    state: LedgerState,
    sequence: usize,
    in_flight: Vec<OperatorCommand>,
    uncommitted: Vec<OperatorCommand>,
}

impl SequentialOperator {
    fn current(&self) -> OperatorCommand {
        OperatorCommand { sequence: self.sequence, is_drain: self.sequence.is_multiple_of(2) }
    }

    fn take_in_flight(&mut self, index: usize) -> Option<OperatorCommand> {
        let count = self.in_flight.len();
        (count > 0).then(|| self.in_flight.remove(index % count))
    }

    fn execute(&mut self, step: Step) {
        match step {
            Step::Send => {
                let command = self.current();
                self.in_flight.push(command);
            }
            Step::Deliver(index) => {
                // Calls whose connection has been closed are not executed.
                let open =
                    self.take_in_flight(index).filter(|command| command.sequence == self.sequence);
                self.uncommitted.extend(open);
            }
            // The entry is never committed, since the term of the former leader is over.
            Step::DeliverToFormerLeader(index) => drop(self.take_in_flight(index)),
            Step::Commit(count) => {
                let count = count.min(self.uncommitted.len());
                let committed: Vec<OperatorCommand> = self.uncommitted.drain(..count).collect();
                committed.into_iter().for_each(|command| self.commit(command));
            }
            Step::ElectWith(count) => self.uncommitted.truncate(count),
        }
    }

    fn commit(&mut self, command: OperatorCommand) {
        let entry = if command.is_drain { drain("a") } else { restore("a") };
        apply(&mut self.state, &entry);
        if command.sequence == self.sequence {
            self.sequence += 1;
        }
    }

    /// Returns whether the last acknowledged command drained the zone.
    fn expects_drained(&self) -> bool {
        !self.sequence.is_multiple_of(2)
    }
}

proptest! {
    #![proptest_config(properties::fixed(500, 12))]

    /// Messages may be delayed, duplicated, lost with a leader or committed late; the state always
    /// matches the last acknowledged command.
    #[test]
    fn the_last_acknowledged_command_determines_the_state(steps in steps()) {
        let mut operator = SequentialOperator::default();
        for step in steps {
            operator.execute(step);
            prop_assert_eq!(operator.state.drained().contains("a"), operator.expects_drained());
        }
    }
}

/// Uses the path without its slash as the name of the zone.
struct ZoneFromPath;

impl ControlCodec for ZoneFromPath {
    fn parse(&self, method: &Method, path: &str, _: &[u8]) -> Result<ControlCall, CallError> {
        let zone = Zone::new(path.trim_start_matches('/'));
        match *method {
            Method::POST => Ok(ControlCall::DrainZone { zone }),
            Method::DELETE => Ok(ControlCall::RestoreZone { zone }),
            _ => Err(CallError::WrongMethod),
        }
    }

    fn render(&self, outcome: &ControlOutcome) -> (StatusCode, Vec<u8>) {
        let status = match outcome {
            ControlOutcome::Done => StatusCode::OK,
            ControlOutcome::NotFound => StatusCode::NOT_FOUND,
            _ => StatusCode::SERVICE_UNAVAILABLE,
        };
        (status, Vec::new())
    }
}

/// A ledger machine that runs in the runtime of the test.
struct Ledger {
    gateways: SocketAddr,
    control: SocketAddr,
    _folder: TempDir,
    _stop: watch::Sender<bool>,
}

impl Ledger {
    /// Starts a machine that bootstraps a ledger tolerating `losses` failed machines.
    fn start(seeds: &[Ipv4Addr], losses: usize) -> Self {
        let folder = tempfile::tempdir().expect("create temporary directory");
        let ports = Ports { peers: 0, gateways: 0, control: 0 };
        let listeners = Listeners::bind(LOCAL, ports).expect("bind listeners");
        let zone = |name: &str| (Zone::new(name), Region::new("r"));
        let settings = LedgerSettings {
            name: "alone".to_owned(),
            ip: LOCAL,
            seeds: seeds.to_vec(),
            bootstrap: true,
            data_folder: folder.path().to_owned(),
            ports,
            raft: LedgerSettings::raft_for(losses),
            tolerated_losses: losses,
            list: None,
            list_pace: LedgerSettings::list_pace(),
            control: Arc::new(ZoneFromPath),
            limit_tolerance: Default::default(),
            zone: "a".to_owned(),
            topology: Arc::new(Topology::new([zone("a"), zone("b")].into())),
            cold_tolerance: Default::default(),
            grace: Duration::from_secs(8),
            memory: None,
        };
        let gateways = listeners.gateways.local_addr().expect("local address");
        let control = listeners.control.local_addr().expect("local address");
        let (stop, stopped) = watch::channel(false);
        tokio::spawn(async move { server::run(settings, listeners, stopped).await });
        Self { gateways, control, _folder: folder, _stop: stop }
    }

    /// Starts a ledger with a single machine and waits until it leads.
    async fn start_leader() -> Self {
        let ledger = Self::start(&[LOCAL], 0);
        while ledger.call("DELETE", "a").await != 200 {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        ledger
    }

    /// Sends a call with blocking I/O, so that the ledger does not run in the meantime.
    fn send(&self, method: &str, zone: &str) -> std::net::TcpStream {
        let mut stream = std::net::TcpStream::connect(self.control).expect("connect");
        stream.write_all(head(method, zone).as_bytes()).expect("write");
        stream
    }

    async fn call(&self, method: &str, zone: &str) -> u16 {
        let mut stream = TcpStream::connect(self.control).await.expect("connect");
        stream.write_all(head(method, zone).as_bytes()).await.expect("write");
        status(stream).await
    }

    /// Returns the drained zones as sent to a new gateway.
    async fn drained(&self) -> DrainedZones {
        let mut stream = TcpStream::connect(self.gateways).await.expect("connect");
        offer(&mut stream, SUPPORTED_VERSIONS).await.expect("negotiate version");
        let message =
            RequestEnvelope { number: 1, question: LedgerRequest::Watch(WatchRequest::default()) };
        stream.write_all(&encode_frame(&message).expect("encode")).await.expect("write");
        let reply: ResponseEnvelope = FrameReader::new(stream).next().await.expect("no response");
        match reply.answer {
            LedgerResponse::DrainedZones(drained) => drained,
            other => panic!("{other:?}"),
        }
    }
}

fn head(method: &str, zone: &str) -> String {
    format!("{method} /{zone} HTTP/1.1\r\nhost: ledger\r\nconnection: close\r\n\r\n")
}

async fn status(mut stream: TcpStream) -> u16 {
    let mut reply = String::new();
    stream.read_to_string(&mut reply).await.expect("no response");
    reply.split(' ').nth(1).and_then(|code| code.parse().ok()).expect("status code")
}

#[test]
fn draining_requires_all_machines_to_support_it() {
    const NEWER: u32 = 2;
    const OTHER: u32 = 3;
    let ip = Ipv4Addr::from_bits(OTHER);
    let peers = KnownPeers::default();
    let note = |machine, version| {
        let replica = ReplicaId { machine, disk: 0 };
        let card = PeerInfo { replica, name: "store".to_owned(), zone: None };
        peers.record(&card, version);
    };
    let lag = || peers.version_skew([NEWER, OTHER]);
    note(NEWER, LATEST_VERSION);
    assert_eq!(lag(), Some(VersionSkew::UnheardMachine(ip)));
    note(OTHER, ProtocolVersion::LEGACY);
    assert_eq!(lag(), Some(VersionSkew::Machine(ip)));
    note(OTHER, LATEST_VERSION);
    assert_eq!(lag(), None);
    note(OTHER, ProtocolVersion::LEGACY);
    assert_eq!(lag(), Some(VersionSkew::Machine(ip)), "the machine was downgraded");
    note(OTHER, DRAINED_ZONES_VERSION);
    assert_eq!(lag(), None, "later versions don't change the commands");
}

#[tokio::test]
async fn calls_on_closed_connections_are_not_executed() {
    let ledger = Ledger::start_leader().await;
    drop(ledger.send("POST", "a"));
    // Calls are executed in the order of their connections.
    assert_eq!(ledger.call("POST", "b").await, 200);
    let expected = DrainedZones { version: 1, zones: [Zone::new("b")].into() };
    assert_eq!(ledger.drained().await, expected);
    // The call is executed while its connection is open, even if the caller reads no response.
    let waiting = ledger.send("POST", "a");
    assert_eq!(ledger.call("POST", "b").await, 200);
    assert_eq!(ledger.drained().await.version, 2);
    drop(waiting);
}

#[tokio::test]
async fn concurrent_commands_are_not_confused() {
    let ledger = Ledger::start_leader().await;
    for round in 0..20 {
        let calls = ["POST", "DELETE", "POST"].map(|method| ledger.send(method, "a"));
        for call in calls {
            call.set_nonblocking(true).expect("set non-blocking mode");
            assert_eq!(status(TcpStream::from_std(call).expect("convert stream")).await, 200);
        }
        assert!(ledger.drained().await.contains("a"), "round {round}");
        assert_eq!(ledger.call("DELETE", "a").await, 200);
    }
}

#[tokio::test]
async fn calls_without_a_leader_are_rejected() {
    let ledger =
        Ledger::start(&[LOCAL, Ipv4Addr::new(127, 0, 0, 2), Ipv4Addr::new(127, 0, 0, 3)], 1);
    assert_eq!(ledger.call("POST", "a").await, 503);
}

/// Without a replica list, the machine cannot tell whether a zone exists.
#[tokio::test]
async fn a_possibly_existing_zone_is_not_reported_as_unknown() {
    let ledger = Ledger::start_leader().await;
    assert_eq!(ledger.call("POST", "c").await, 503);
    assert_eq!(ledger.drained().await, DrainedZones::none());
}

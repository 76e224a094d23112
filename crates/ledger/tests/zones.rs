//! Drained zones: what the log makes of orders, in whatever order they come, and which calls of
//! operators are not begun.

use std::io::Write as _;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use calicohoist_ledger::commands::Command;
use calicohoist_ledger::protocol::{Answer, Ask, NEWEST, Question, Reply, SPOKEN, Seen};
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
use proptest::test_runner::RngSeed;
use tempfile::TempDir;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::watch;

const LOCAL: Ipv4Addr = Ipv4Addr::LOCALHOST;
/// A snapshot of the version that drained no zones: a configuration, a machine and permits.
const OLD_SNAPSHOT: &str = "0002027b7d000000000000010773746f72652d311100280101012801046465736b03";

fn state() -> LedgerState {
    LedgerState::new(GroupId(0))
}

fn apply(state: &mut LedgerState, command: &Command) -> Output {
    state.apply(&encode(command).expect("encodes"))
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
fn an_order_that_comes_again_changes_nothing_and_keeps_its_version() {
    let mut state = state();
    let orders = [
        (restore("a"), 0, vec![]),
        (drain("a"), 1, vec!["a"]),
        (drain("a"), 1, vec!["a"]),
        (drain("b"), 2, vec!["a", "b"]),
        (restore("a"), 3, vec!["b"]),
        (restore("a"), 3, vec!["b"]),
        (drain("a"), 4, vec!["a", "b"]),
    ];
    for (order, version, drained) in orders {
        assert_eq!(apply(&mut state, &order), Output::DrainedZones { version });
        assert_eq!(zones(&state), drained, "{order:?}");
    }
}

#[test]
fn a_snapshot_carries_the_drained_zones_over() {
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
fn a_snapshot_of_the_version_before_is_read_with_its_permits() {
    let digit = |place: usize| u8::from_str_radix(&OLD_SNAPSHOT[place..place + 2], 16);
    let old: Vec<u8> =
        (0..OLD_SNAPSHOT.len()).step_by(2).map(|place| digit(place).expect("hex")).collect();
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

/// What happens next in the life of one operator's orders for one zone.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// The operator sends a copy of its order to the leader.
    Send,
    /// The copy of this number, of those on their way, arrives at the leader.
    Arrive(usize),
    /// The copy of this number arrives at a former leader that does not know it yet.
    ArriveAtFormer(usize),
    /// The oldest entries of the leader's log are committed.
    Commit(usize),
    /// Another leader follows, which has the first so many of the entries that are not committed.
    ElectWith(usize),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        3 => Just(Step::Send),
        3 => any::<usize>().prop_map(Step::Arrive),
        1 => any::<usize>().prop_map(Step::ArriveAtFormer),
        3 => (1usize..4).prop_map(Step::Commit),
        1 => (0usize..4).prop_map(Step::ElectWith),
    ];
    prop::collection::vec(step, 1..120)
}

/// A copy of an order, on its way or in the log.
#[derive(Clone, Copy, Debug)]
struct OrderCopy {
    order: usize,
    is_drain: bool,
}

/// One operator, whose orders follow each other: it turns to the next one when the last is
/// acknowledged, and closes the connections of the copies that had no answer.
#[derive(Default)]
struct OrderedCalls {
    state: LedgerState,
    order: usize,
    on_the_way: Vec<OrderCopy>,
    uncommitted: Vec<OrderCopy>,
}

impl OrderedCalls {
    fn current(&self) -> OrderCopy {
        OrderCopy { order: self.order, is_drain: self.order.is_multiple_of(2) }
    }

    fn take(&mut self, number: usize) -> Option<OrderCopy> {
        let count = self.on_the_way.len();
        (count > 0).then(|| self.on_the_way.remove(number % count))
    }

    fn play(&mut self, step: Step) {
        match step {
            Step::Send => {
                let copy = self.current();
                self.on_the_way.push(copy);
            }
            Step::Arrive(number) => {
                // A call whose caller has closed its connection is not begun.
                let open = self.take(number).filter(|copy| copy.order == self.order);
                self.uncommitted.extend(open);
            }
            // Its entry is never committed: the group has gone on in a later term.
            Step::ArriveAtFormer(number) => drop(self.take(number)),
            Step::Commit(count) => {
                let count = count.min(self.uncommitted.len());
                let committed: Vec<OrderCopy> = self.uncommitted.drain(..count).collect();
                committed.into_iter().for_each(|copy| self.commit(copy));
            }
            Step::ElectWith(count) => self.uncommitted.truncate(count),
        }
    }

    fn commit(&mut self, copy: OrderCopy) {
        let order = if copy.is_drain { drain("a") } else { restore("a") };
        apply(&mut self.state, &order);
        if copy.order == self.order {
            self.order += 1;
        }
    }

    /// Whether the zone is drained, as the last acknowledged order wants it.
    fn is_wanted(&self) -> bool {
        !self.order.is_multiple_of(2)
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 500,
        rng_seed: RngSeed::Fixed(12),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// However copies of orders are delayed, doubled, lost with a leader, or committed late: what
    /// was acknowledged last is what holds.
    #[test]
    fn the_last_acknowledged_order_holds(steps in steps()) {
        let mut calls = OrderedCalls::default();
        for step in steps {
            calls.play(step);
            prop_assert_eq!(calls.state.drained().contains("a"), calls.is_wanted());
        }
    }
}

/// The zone is the path, without its slash.
struct PathIsZone;

impl ControlCodec for PathIsZone {
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

/// A machine of a ledger, in the runtime of its test.
struct Ledger {
    gateways: SocketAddr,
    control: SocketAddr,
    _folder: TempDir,
    _stop: watch::Sender<bool>,
}

impl Ledger {
    /// One that founds the ledger with these; `losses` are to be borne.
    fn start(seeds: &[Ipv4Addr], losses: usize) -> Self {
        let folder = tempfile::tempdir().expect("a folder");
        let ports = Ports { peers: 0, gateways: 0, control: 0 };
        let listeners = Listeners::bind(LOCAL, ports).expect("ports");
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
            list_interval: LedgerSettings::LIST_INTERVAL,
            control: Arc::new(PathIsZone),
            limit_tolerance: Default::default(),
            zone: "a".to_owned(),
            topology: Arc::new(Topology::new([zone("a"), zone("b")].into())),
            cold_tolerance: Default::default(),
        };
        let gateways = listeners.gateways.local_addr().expect("bound");
        let control = listeners.control.local_addr().expect("bound");
        let (stop, stopped) = watch::channel(false);
        tokio::spawn(async move { server::run(settings, listeners, stopped).await });
        Self { gateways, control, _folder: folder, _stop: stop }
    }

    /// One that leads by itself.
    async fn leading() -> Self {
        let ledger = Self::start(&[LOCAL], 0);
        while ledger.call("DELETE", "a").await != 200 {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        ledger
    }

    /// Sends a call without letting the ledger run meanwhile: it finds what is left of it.
    fn send(&self, method: &str, zone: &str) -> std::net::TcpStream {
        let mut stream = std::net::TcpStream::connect(self.control).expect("listens");
        stream.write_all(head(method, zone).as_bytes()).expect("written");
        stream
    }

    async fn call(&self, method: &str, zone: &str) -> u16 {
        let mut stream = TcpStream::connect(self.control).await.expect("listens");
        stream.write_all(head(method, zone).as_bytes()).await.expect("written");
        status(stream).await
    }

    /// The drained zones, as a gateway is told that knows nothing yet.
    async fn drained(&self) -> DrainedZones {
        let mut stream = TcpStream::connect(self.gateways).await.expect("listens");
        offer(&mut stream, SPOKEN).await.expect("speaks the newest version");
        let ask = Ask { number: 1, question: Question::Watch(Seen::default()) };
        stream.write_all(&encode_frame(&ask).expect("encodes")).await.expect("written");
        let reply: Reply = FrameReader::new(stream).next().await.expect("answered");
        match reply.answer {
            Answer::DrainedZones(drained) => drained,
            other => panic!("{other:?}"),
        }
    }
}

fn head(method: &str, zone: &str) -> String {
    format!("{method} /{zone} HTTP/1.1\r\nhost: ledger\r\nconnection: close\r\n\r\n")
}

async fn status(mut stream: TcpStream) -> u16 {
    let mut reply = String::new();
    stream.read_to_string(&mut reply).await.expect("answered");
    reply.split(' ').nth(1).and_then(|code| code.parse().ok()).expect("a status")
}

#[test]
fn a_zone_is_drained_only_once_every_machine_was_heard_to_know_of_it() {
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
    note(NEWER, NEWEST);
    assert_eq!(lag(), Some(VersionSkew::UnheardMachine(ip)));
    note(OTHER, ProtocolVersion::LEGACY);
    assert_eq!(lag(), Some(VersionSkew::Machine(ip)));
    note(OTHER, NEWEST);
    assert_eq!(lag(), None);
    note(OTHER, ProtocolVersion::LEGACY);
    assert_eq!(lag(), Some(VersionSkew::Machine(ip)), "it went back");
}

#[tokio::test]
async fn a_call_whose_caller_has_left_is_not_begun() {
    let ledger = Ledger::leading().await;
    drop(ledger.send("POST", "a"));
    // Calls are taken in the order of their connections.
    assert_eq!(ledger.call("POST", "b").await, 200);
    let expected = DrainedZones { version: 1, zones: [Zone::new("b")].into() };
    assert_eq!(ledger.drained().await, expected);
    // The same call is begun while its caller is there, whether or not it reads the answer.
    let waiting = ledger.send("POST", "a");
    assert_eq!(ledger.call("POST", "b").await, 200);
    assert_eq!(ledger.drained().await.version, 2);
    drop(waiting);
}

#[tokio::test]
async fn orders_under_way_at_the_same_time_are_not_taken_for_each_other() {
    let ledger = Ledger::leading().await;
    for round in 0..20 {
        let calls = ["POST", "DELETE", "POST"].map(|method| ledger.send(method, "a"));
        for call in calls {
            call.set_nonblocking(true).expect("a mode");
            assert_eq!(status(TcpStream::from_std(call).expect("a stream")).await, 200);
        }
        assert!(ledger.drained().await.contains("a"), "round {round}");
        assert_eq!(ledger.call("DELETE", "a").await, 200);
    }
}

#[tokio::test]
async fn without_a_leader_nothing_is_acknowledged() {
    let ledger =
        Ledger::start(&[LOCAL, Ipv4Addr::new(127, 0, 0, 2), Ipv4Addr::new(127, 0, 0, 3)], 1);
    assert_eq!(ledger.call("POST", "a").await, 503);
}

/// Whether a zone of that name exists cannot be told without a list of replicas.
#[tokio::test]
async fn a_zone_that_may_exist_is_not_called_unknown() {
    let ledger = Ledger::leading().await;
    assert_eq!(ledger.call("POST", "c").await, 503);
    assert_eq!(ledger.drained().await, DrainedZones::none());
}

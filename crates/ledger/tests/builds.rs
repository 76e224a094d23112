//! Machines are replaced one after the other, so processes of two builds run side by side, and
//! they have to understand each other. Once they did not. The greeting between ledger machines had a
//! field more than before, and so had what gateways ask and what they are told; a message with bytes
//! left over is refused, and whoever cannot read a frame closes the connection. A replaced gateway
//! had no configuration until a replaced ledger machine led, a replaced ledger machine heard nothing of
//! its group, and when it led, gateways of the build before went on with an older configuration.
//! One of those logged every 180 ms
//!
//! `60.64 LedgerConnected machine=10.3.0.42:7481`
//! `60.64 LedgerLost machine=10.3.0.42:7481`
//!
//! and answered 404 by version 68 while version 71 had been acknowledged 3 s before. What the build
//! before wrote is kept here as bytes.

mod support;

use std::sync::Arc;
use std::time::Instant;

use calicohoist_ledger::client::LedgerClient;
use calicohoist_ledger::commands::{Command, Output};
use calicohoist_ledger::protocol::{Ask, ChangeMark, ListMark, Reply, Seen};
use calicohoist_ledger::server::list::DiscoverySnapshot;
use calicohoist_ledger::server::replica::Request;
use calicohoist_ledger::server::{self, Listeners, Ports, machine_address, machine_number};
use calicohoist_ledger::{Answer, LedgerState, Question};
use calicohoist_replication::{GroupId, ReplicaId, StateMachine};
use calicohoist_routing::{DrainedZones, Replica, ReplicaList, ReplicaState};
use calicohoist_scheduler::Decision;
use calicohoist_transport::{Frame, FrameReader, ProtocolVersion, bind, frame_payload};
use calicohoist_types::Zone;
use calicohoist_wire::encode;
use support::older::{OlderGateway, OlderLeader, OlderMachine, sample};
use support::{LOCAL, LONG, OnCommand, PEER, Pair, settings};
use tokio::sync::watch;

#[tokio::test]
async fn a_gateway_of_the_build_before_follows_a_leader_of_this_one() {
    let mut pair = Pair::start();
    pair.follow().await;
    let document = b"{\"version\":74}".to_vec();
    let put = Request::Change(Command::PutConfiguration { version: 74, document });
    pair.ask(put, OnCommand::Acknowledge).await;
    let address = pair.serve_gateways().await;

    let asked = async {
        let mut gateway = OlderGateway::connect(address).await;
        let told = gateway.ask(&sample("ask.watch")).await;
        let reserved = gateway.ask(&sample("ask.reserve")).await;
        (told, reserved)
    };
    let (told, reserved) = pair.follow_while(asked).await;

    assert_eq!(told, Some(sample("reply.configuration")));
    // Number, kind of answer, granted, no history, a decision. Without a replica the turn waits, or
    // any will do once gateways have had their time to report.
    let reserved = reserved.expect("answered");
    assert_eq!(reserved[..5], [1, 0, 0, 0, 1]);
    let [any, waits] = ["run_anywhere", "wait"].map(|name| sample(&format!("reply.placed.{name}")));
    assert!([any[2], waits[2]].contains(&reserved[5]), "{reserved:?}");
}

/// It names replicas to themselves by what it is told, and knows no drained zones.
#[tokio::test]
async fn a_gateway_of_the_build_before_is_told_bare_identities_and_drained_zones_as_leaving() {
    let mut pair = Pair::start();
    pair.follow().await;
    let drain = Command::DrainZone { zone: Zone::new("b") };
    pair.ask(Request::Change(drain), OnCommand::Acknowledge).await;
    let replica = |id: &str, zone: &str| Replica {
        id: id.to_owned(),
        service: "lm".to_owned(),
        address: ([10, 128, 0, 9], 8080).into(),
        zone: zone.to_owned(),
        slots: 12,
        state: ReplicaState::Ready,
    };
    let replicas = vec![replica("r1@1790000000000", "a"), replica("r2", "b")];
    let reading = DiscoverySnapshot {
        mark: ListMark::of(&replicas),
        term: pair.standing.borrow().term,
        list: Arc::new(ReplicaList { version: 1, replicas }),
        ..DiscoverySnapshot::default()
    };
    let address = pair.serve_gateways_with(reading).await;
    let asked = async {
        let mut gateway = OlderGateway::connect(address).await;
        let listed = gateway.ask(&sample("ask.watch")).await.expect("answered");
        let placed = gateway.ask(&sample("ask.reserve")).await.expect("answered");
        (listed, placed)
    };
    let (listed, placed) = pair.follow_while(asked).await;

    let framed = frame_payload(&listed);
    let mut frames = FrameReader::new(framed.as_slice());
    let reply = Reply::read(&mut frames, ProtocolVersion::LEGACY, || {}).await.expect("read");
    let Answer::List { mark, list } = reply.answer else { panic!("{reply:?}") };
    let told: Vec<_> = list.replicas.iter().map(|told| (told.id.as_str(), told.state)).collect();
    assert_eq!(told, [("r1", ReplicaState::Ready), ("r2", ReplicaState::Draining)]);
    assert_eq!(mark, ListMark::of(&list.replicas), "another mark than that of the list itself");
    let start = placed.windows(2).any(|bytes| bytes == b"1@");
    assert!(!start, "a placement names the identity alone: {placed:?}");
}

#[tokio::test]
async fn a_gateway_of_this_build_follows_a_leader_of_the_build_before() {
    let mut leader = OlderLeader::bind().await;
    let port = leader.address().port();
    leader.answer("ask.watch", "reply.configuration");
    tokio::spawn(leader.serve());

    let client = LedgerClient::new(&[LOCAL], port);
    let mut seen = Seen {
        gateway: "front-1".to_owned(),
        configuration: 73,
        list: ListMark::default(),
        loads: vec![("r1".to_owned(), 2)],
        failing: ChangeMark { term: 3, change: 1 },
        cold: ChangeMark::default(),
        drained: None,
    };
    let deadline = Instant::now() + LONG;
    let told = loop {
        let asked = client.ask(&Question::Watch(seen.clone()), deadline).await;
        match asked.expect("answered in time") {
            // A gateway chooses no replica before it knows which zones are drained.
            Answer::DrainedZones(drained) => seen.drained = Some(drained.version),
            told => break told,
        }
    };

    assert!(matches!(told, Answer::Configuration { version: 74, .. }), "{told:?}");
    assert_eq!(seen.drained, Some(0));
}

#[tokio::test]
async fn ledger_machines_of_both_builds_form_one_group() {
    let folder = tempfile::tempdir().expect("a folder");
    let (listeners, ports, older) = loop {
        let free = Ports { peers: 0, gateways: 0, control: 0 };
        let listeners = Listeners::bind(LOCAL, free).expect("ports");
        let port =
            |listener: &tokio::net::TcpListener| listener.local_addr().expect("bound").port();
        let ports = Ports {
            peers: port(&listeners.peers),
            gateways: port(&listeners.gateways),
            control: port(&listeners.control),
        };
        if let Ok(older) = bind(machine_address(machine_number(PEER), ports.peers)) {
            break (listeners, ports, older);
        }
    };
    let settings = server::LedgerSettings { ports, ..settings(&folder) };
    let (_stop, stopped) = watch::channel(false);
    let machine = tokio::spawn(server::run(settings, listeners, stopped));

    let id = ReplicaId { machine: machine_number(LOCAL), disk: 0 };
    let address = machine_address(id.machine, ports.peers);
    tokio::spawn(OlderMachine::start(older, address, id).await.follow());
    let mut gateway = OlderGateway::connect(machine_address(id.machine, ports.gateways)).await;
    let elected = async {
        loop {
            let answer = gateway.ask(&sample("ask.find_leader")).await.expect("answered");
            // Three bytes of number, then the kind of answer: it leads.
            if answer[3] == sample("reply.leads")[1] {
                return;
            }
        }
    };
    tokio::time::timeout(LONG, elected).await.expect("one of two machines out of three leads");
    machine.abort();
}

/// The payload of a frame, as a reader of bytes sees it.
async fn payload_of(frame: Frame) -> Vec<u8> {
    let (output, input) = tokio::io::duplex(1 << 16);
    let queue = calicohoist_transport::spawn_writer(output, Default::default());
    queue.send(frame);
    let payload = FrameReader::new(input).next_payload_if(|_| true).await.expect("a whole frame");
    payload.expect("wanted").to_vec()
}

#[test]
fn a_machine_of_the_build_before_can_take_a_snapshot_until_a_zone_was_drained() {
    let mut state = LedgerState::new(GroupId(0));
    for name in support::older::names().filter(|name| name.starts_with("command.")) {
        assert_ne!(state.apply(&sample(name)), Output::Unreadable, "{name}");
    }
    assert_eq!(state.snapshot(), sample("snapshot"));

    let drain = Command::DrainZone { zone: Zone::new("a") };
    state.apply(&encode(&drain).expect("encodes"));
    let mut restored = LedgerState::new(GroupId(0));
    assert!(restored.restore(&state.snapshot()));
    assert!(restored.drained().contains("a"));
}

#[tokio::test]
async fn every_message_of_the_build_before_is_read_and_written_as_it_was() {
    for name in support::older::names() {
        let bytes = sample(name);
        let framed = frame_payload(&bytes);
        let mut frames = FrameReader::new(framed.as_slice());
        let frame = match name.split('.').next() {
            Some("ask") => {
                let ask = Ask::read(&mut frames, ProtocolVersion::LEGACY).await;
                ask.unwrap_or_else(|error| panic!("{name}: {error}"))
                    .encode(ProtocolVersion::LEGACY)
            }
            Some("reply") => {
                let reply = Reply::read(&mut frames, ProtocolVersion::LEGACY, || {}).await;
                let reply = reply.unwrap_or_else(|error| panic!("{name}: {error}"));
                reply.encode(ProtocolVersion::LEGACY)
            }
            _ => continue,
        };
        assert_eq!(payload_of(frame.expect("encodes")).await, bytes, "{name}");
    }
}

#[tokio::test]
async fn what_the_build_before_does_not_know_is_told_as_something_that_it_does() {
    let cold = Decision::RunCold { replica: "r1".to_owned(), waited_ms: 7 };
    for (answer, told) in [
        (Answer::Placed(cold), "reply.placed.run"),
        (Answer::DrainedZones(DrainedZones::none()), "reply.unavailable"),
    ] {
        let told = sample(told);
        let reply = Reply { number: told[0].into(), answer };
        let frame = reply.encode(ProtocolVersion::LEGACY).expect("encodes");
        assert_eq!(payload_of(frame).await, told);
    }
}

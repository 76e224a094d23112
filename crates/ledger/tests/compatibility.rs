//! Compatibility with processes that use protocol version 1, as during a rolling upgrade.
//!
//! Guards against message changes without a new protocol version: peers that cannot decode a
//! message close the connection, so gateways get no updates and ledger machines lose their peers.

mod support;

use std::sync::Arc;
use std::time::Instant;

use calicohoist_ledger::client::LedgerClient;
use calicohoist_ledger::commands::{Command, Output};
use calicohoist_ledger::protocol::{
    ListDigest, RequestEnvelope, ResponseEnvelope, TermVersion, WatchRequest,
};
use calicohoist_ledger::server::list::DiscoverySnapshot;
use calicohoist_ledger::server::replica::Request;
use calicohoist_ledger::server::{self, Listeners, Ports, machine_address, machine_number};
use calicohoist_ledger::{LedgerRequest, LedgerResponse, LedgerState};
use calicohoist_replication::{GroupId, ReplicaId, StateMachine};
use calicohoist_routing::{DrainedZones, Replica, ReplicaList, ReplicaState};
use calicohoist_scheduler::Decision;
use calicohoist_transport::{Frame, FrameReader, ProtocolVersion, bind, frame_payload};
use calicohoist_types::Zone;
use calicohoist_wire::encode;
use support::v1::{V1Follower, V1Gateway, V1Leader, sample};
use support::{LOCAL, MachineWithPeer, PEER, PeerReaction, TEST_TIMEOUT, settings};
use tokio::sync::watch;

#[tokio::test]
async fn a_v1_gateway_works_with_a_current_leader() {
    let mut machine = MachineWithPeer::start();
    machine.run_peer_until_leader().await;
    let document = b"{\"version\":74}".to_vec();
    let put = Request::Change(Command::PutConfiguration { version: 74, document });
    machine.request(put, PeerReaction::Acknowledge).await;
    let address = machine.serve_gateways().await;

    let requests = async {
        let mut gateway = V1Gateway::connect(address).await;
        let update = gateway.request(&sample("ask.watch")).await;
        let reserved = gateway.request(&sample("ask.reserve")).await;
        (update, reserved)
    };
    let (update, reserved) = machine.run_peer_while(requests).await;

    assert_eq!(update, Some(sample("reply.configuration")));
    // Number, response variant, reservation granted, empty history, decision present. Without
    // replicas the decision is `Wait`, or `RunAnywhere` once gateways have had time to report
    // load.
    let reserved = reserved.expect("no response");
    assert_eq!(reserved[..5], [1, 0, 0, 0, 1]);
    let [run_anywhere, wait] =
        ["run_anywhere", "wait"].map(|name| sample(&format!("reply.placed.{name}")));
    assert!([run_anywhere[2], wait[2]].contains(&reserved[5]), "{reserved:?}");
}

/// Version 1 gateways use replica identities without incarnations and have no drained zones.
#[tokio::test]
async fn a_v1_gateway_receives_plain_identities_and_drained_zones_as_draining_replicas() {
    let mut machine = MachineWithPeer::start();
    machine.run_peer_until_leader().await;
    let drain = Command::DrainZone { zone: Zone::new("b") };
    machine.request(Request::Change(drain), PeerReaction::Acknowledge).await;
    let replica = |id: &str, zone: &str| Replica {
        id: id.to_owned(),
        service: "lm".to_owned(),
        address: ([10, 128, 0, 9], 8080).into(),
        zone: zone.to_owned(),
        slots: 12,
        state: ReplicaState::Ready,
        version: None,
    };
    let replicas = vec![replica("r1@1790000000000", "a"), replica("r2", "b")];
    let reading = DiscoverySnapshot {
        mark: ListDigest::of(&replicas),
        term: machine.standing.borrow().term,
        list: Arc::new(ReplicaList { version: 1, replicas }),
        ..DiscoverySnapshot::default()
    };
    let address = machine.serve_gateways_with(reading).await;
    let requests = async {
        let mut gateway = V1Gateway::connect(address).await;
        let list_response = gateway.request(&sample("ask.watch")).await.expect("no response");
        let placed = gateway.request(&sample("ask.reserve")).await.expect("no response");
        (list_response, placed)
    };
    let (list_response, placed) = machine.run_peer_while(requests).await;

    let framed = frame_payload(&list_response);
    let mut frames = FrameReader::new(framed.as_slice());
    let reply = ResponseEnvelope::read(&mut frames, ProtocolVersion::LEGACY, |_| {})
        .await
        .expect("read reply");
    let LedgerResponse::List { mark, list } = reply.answer else { panic!("{reply:?}") };
    let listed: Vec<_> =
        list.replicas.iter().map(|replica| (replica.id.as_str(), replica.state)).collect();
    assert_eq!(listed, [("r1", ReplicaState::Ready), ("r2", ReplicaState::Draining)]);
    assert_eq!(mark, ListDigest::of(&list.replicas), "digest does not match the list");
    let has_incarnation = placed.windows(2).any(|bytes| bytes == b"1@");
    assert!(!has_incarnation, "placement contains an incarnation: {placed:?}");
}

#[tokio::test]
async fn a_current_gateway_works_with_a_v1_leader() {
    let mut leader = V1Leader::bind().await;
    let port = leader.address().port();
    leader.respond_to("ask.watch", "reply.configuration");
    tokio::spawn(leader.serve());

    let client = LedgerClient::new(&[LOCAL], port);
    let mut seen = WatchRequest {
        gateway: "front-1".to_owned(),
        configuration: 73,
        list: ListDigest::default(),
        loads: vec![("r1".to_owned(), 2)],
        failing: TermVersion { term: 3, change: 1 },
        cold: TermVersion::default(),
        drained: None,
        crashes: Some(TermVersion::default()),
    };
    let deadline = Instant::now() + TEST_TIMEOUT;
    let update = loop {
        let response = client.request(&LedgerRequest::Watch(seen.clone()), deadline).await;
        match response.expect("no response in time") {
            // Drained zones are sent before any other update.
            LedgerResponse::DrainedZones(drained) => seen.drained = Some(drained.version),
            update => break update,
        }
    };

    assert!(matches!(update, LedgerResponse::Configuration { version: 74, .. }), "{update:?}");
    assert_eq!(seen.drained, Some(0));
}

#[tokio::test]
async fn v1_and_current_ledger_machines_form_one_group() {
    let folder = tempfile::tempdir().expect("create temporary directory");
    let (listeners, ports, v1_listener) = loop {
        let free = Ports { peers: 0, gateways: 0, control: 0 };
        let listeners = Listeners::bind(LOCAL, free).expect("bind listeners");
        let port =
            |listener: &tokio::net::TcpListener| listener.local_addr().expect("address").port();
        let ports = Ports {
            peers: port(&listeners.peers),
            gateways: port(&listeners.gateways),
            control: port(&listeners.control),
        };
        if let Ok(v1_listener) = bind(machine_address(machine_number(PEER), ports.peers)) {
            break (listeners, ports, v1_listener);
        }
    };
    let settings = server::LedgerSettings { ports, ..settings(&folder) };
    let (_stop, stopped) = watch::channel(false);
    let machine = tokio::spawn(server::run(settings, listeners, stopped));

    let id = ReplicaId { machine: machine_number(LOCAL), disk: 0 };
    let address = machine_address(id.machine, ports.peers);
    tokio::spawn(V1Follower::start(v1_listener, address, id).await.run());
    let mut gateway = V1Gateway::connect(machine_address(id.machine, ports.gateways)).await;
    let leader_found = async {
        loop {
            let response = gateway.request(&sample("ask.find_leader")).await.expect("no response");
            // The response variant follows the request id, which is encoded as three bytes.
            if response[3] == sample("reply.leads")[1] {
                return;
            }
        }
    };
    tokio::time::timeout(TEST_TIMEOUT, leader_found).await.expect("no leader elected");
    machine.abort();
}

/// Returns the payload of a frame as it is sent.
async fn payload_of(frame: Frame) -> Vec<u8> {
    let (output, input) = tokio::io::duplex(1 << 16);
    let queue = calicohoist_transport::spawn_writer(output, Default::default());
    queue.send(frame);
    let payload = FrameReader::new(input).next_payload_if(|_| true).await.expect("read frame");
    payload.expect("frame accepted").to_vec()
}

#[test]
fn snapshots_without_drained_zones_have_the_v1_encoding() {
    let mut state = LedgerState::new(GroupId(0));
    for name in support::v1::sample_names().filter(|name| name.starts_with("command.")) {
        assert_ne!(state.apply(&sample(name)), Output::Unreadable, "{name}");
    }
    assert_eq!(state.snapshot(), sample("snapshot"));

    let drain = Command::DrainZone { zone: Zone::new("a") };
    state.apply(&encode(&drain).expect("encode"));
    let mut restored = LedgerState::new(GroupId(0));
    assert!(restored.restore(&state.snapshot()));
    assert!(restored.drained().contains("a"));
}

#[tokio::test]
async fn all_v1_messages_are_decoded_and_encoded_unchanged() {
    for name in support::v1::sample_names() {
        let bytes = sample(name);
        let framed = frame_payload(&bytes);
        let mut frames = FrameReader::new(framed.as_slice());
        let frame = match name.split('.').next() {
            Some("ask") => {
                let request = RequestEnvelope::read(&mut frames, ProtocolVersion::LEGACY).await;
                request
                    .unwrap_or_else(|error| panic!("{name}: {error}"))
                    .encode(ProtocolVersion::LEGACY)
            }
            Some("reply") => {
                let reply =
                    ResponseEnvelope::read(&mut frames, ProtocolVersion::LEGACY, |_| {}).await;
                let reply = reply.unwrap_or_else(|error| panic!("{name}: {error}"));
                reply.encode(ProtocolVersion::LEGACY)
            }
            _ => continue,
        };
        assert_eq!(payload_of(frame.expect("encode")).await, bytes, "{name}");
    }
}

#[tokio::test]
async fn responses_unknown_to_v1_are_mapped_to_known_ones() {
    let cold = Decision::RunCold { replica: "r1".to_owned(), waited_ms: 7 };
    for (answer, expected) in [
        (LedgerResponse::Placed(cold), "reply.placed.run"),
        (LedgerResponse::DrainedZones(DrainedZones::none()), "reply.unavailable"),
    ] {
        let expected = sample(expected);
        let reply = ResponseEnvelope { number: expected[0].into(), answer };
        let frame = reply.encode(ProtocolVersion::LEGACY).expect("encode");
        assert_eq!(payload_of(frame).await, expected);
    }
}

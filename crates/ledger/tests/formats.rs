//! Stability of the encoding of messages, commands and snapshots, which other builds decode.
//!
//! A change of the encoding requires a new protocol version, a conversion from the previous one
//! and a sample file of its own. The samples of the latest version may be extended until its
//! release.
//!
//! `CALICOHOIST_WRITE_SAMPLES=1 cargo test -p calicohoist-ledger --test formats` writes the file.

use std::time::Duration;

use calicohoist_ledger::commands::{
    Command, Reservation, ReserveTurn, RetainedTurn, SettleTurn, clear_crash, store_crash,
};
use calicohoist_ledger::compression::CompressedBytes;
use calicohoist_ledger::protocol::{
    CrashNotice, FleetUpdate, LATEST_VERSION, LIST_PATCH_VERSION, ListDigest, Packed,
    REPLICA_VERSIONS_VERSION, ReplicaLoad, RequestEnvelope, ResponseEnvelope, TermVersion,
    VersionedPatch, VersionedReplicas, WatchRequest, WatchUpdate,
};
use calicohoist_ledger::server::peers::{Envelope, PeerFrame};
use calicohoist_ledger::{LedgerRequest, LedgerResponse, LedgerState};
use calicohoist_limiter::{IssuedPermits, PermitAnswer, PermitGrant, PermitRequest};
use calicohoist_quarantine::{CrashRecord, RequestContent};
use calicohoist_replication::{
    Entry, EntryKind, GroupId, GroupMessage, Message, ReplicaId, StateMachine,
};
use calicohoist_routing::{
    ColdLimit, DrainedZones, HomeRegions, ListPatch, RateLimit, Replica, ReplicaList, ReplicaState,
    SoftwareVersion,
};
use calicohoist_scheduler::{Decision, PlacementRequest, PromptPart, RunSample, TurnRun};
use calicohoist_transport::{FrameReader, encode_frame};
use calicohoist_types::{Region, TenantId, Zone};
use calicohoist_wire::encode;
use serde::Serialize;

const SAMPLES: &str = include_str!("data/protocol-2.txt");
const SAMPLES_FILE: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/data/protocol-2.txt");

/// Answers that protocol version 3 added. The other messages are those of version 2.
const ADDED_SAMPLES: &str = include_str!("data/protocol-3.txt");
const ADDED_SAMPLES_FILE: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/data/protocol-3.txt");

/// Answers that protocol version 4 added. The other messages are those of version 3.
const VERSIONED_SAMPLES: &str = include_str!("data/protocol-4.txt");
const VERSIONED_SAMPLES_FILE: &str =
    concat!(env!("CARGO_MANIFEST_DIR"), "/tests/data/protocol-4.txt");

/// Messages that protocol version 5 added. The other messages are those of version 4.
const CRASH_SAMPLES: &str = include_str!("data/protocol-5.txt");
const CRASH_SAMPLES_FILE: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/data/protocol-5.txt");

/// Hex-encoded samples, one per line.
#[derive(Default)]
struct Samples(String);

impl Samples {
    fn add<T: Serialize>(&mut self, name: &str, value: &T) {
        self.add_bytes(name, &encode(value).expect("encode"));
    }

    fn add_bytes(&mut self, name: &str, bytes: &[u8]) {
        let hex: String = bytes.iter().map(|byte| format!("{byte:02x}")).collect();
        self.0.push_str(&format!("{name} {hex}\n"));
    }
}

fn placement() -> PlacementRequest {
    PlacementRequest {
        service: "lm".into(),
        zone: "a".into(),
        connected: vec!["r1".into()],
        prompt: vec![PromptPart { id: 7, tokens: 512 }],
        memory_tokens: 139_361,
        left_ms: 4_000,
        finish_ms: Some(5_200),
        priority: 1,
        is_under_way: true,
        homes: HomeRegions::only([Region::new("north")]),
        cold: Some(ColdLimit { per_second: 2.0, lasts: Duration::from_secs(5) }),
        version: None,
    }
}

fn permit() -> PermitRequest {
    PermitRequest {
        tenant: TenantId::new("t-1"),
        limit: RateLimit { per_second: 2.5, burst: 4.0 },
        configuration: 9,
        spare: 3,
    }
}

fn reserve() -> ReserveTurn {
    ReserveTurn {
        program: Some("p".into()),
        turn: "t1".into(),
        most_tokens: 40,
        budget: 100,
        previous: None,
        retention_ms: 60_000,
    }
}

fn run() -> TurnRun {
    TurnRun {
        replica: "r1".into(),
        prompt: vec![PromptPart { id: 7, tokens: 520 }],
        memory_tokens: 139_361,
        service: "lm".into(),
        sample: Some(RunSample { generated: 80, time_ms: 400 }),
    }
}

fn settle(turn: &str, previous: Option<&str>) -> SettleTurn {
    SettleTurn {
        program: Some("p".into()),
        turn: turn.into(),
        used_tokens: 10,
        retention_ms: 60_000,
        retained: Some(RetainedTurn {
            previous: previous.map(str::to_owned),
            input: b"hello".to_vec(),
            output: b"event\n".to_vec(),
        }),
        run: Some(Box::new(run())),
    }
}

fn request(number: u64, question: LedgerRequest) -> RequestEnvelope {
    RequestEnvelope { number, question }
}

fn response(number: u64, answer: LedgerResponse) -> ResponseEnvelope {
    ResponseEnvelope { number, answer }
}

fn replica(id: &str, state: ReplicaState) -> Replica {
    Replica {
        id: id.into(),
        service: "lm".into(),
        address: "10.128.0.9:8080".parse().expect("valid address"),
        zone: "a".into(),
        slots: 12,
        state,
        version: None,
    }
}

fn samples() -> String {
    let mut samples = Samples::default();
    let reserve_all = LedgerRequest::Reserve {
        reserve: reserve(),
        placement: Some(placement()),
        permit: Some(permit()),
    };
    samples.add("ask.reserve", &request(1, reserve_all));
    samples.add("ask.permit", &request(2, LedgerRequest::Permit(permit())));
    samples.add(
        "ask.place",
        &request(3, LedgerRequest::Place { turn: "t1".into(), placement: placement() }),
    );
    samples.add("ask.settle", &request(4, LedgerRequest::Settle(settle("t1", None))));
    let watch = WatchRequest {
        gateway: "front-1".into(),
        configuration: 73,
        list: ListDigest::default(),
        loads: vec![("r1".into(), 2)],
        failing: TermVersion { term: 3, change: 1 },
        cold: TermVersion { term: 3, change: 2 },
        drained: Some(4),
        crashes: None,
    };
    samples.add("ask.watch", &request(5, LedgerRequest::Watch(watch)));
    samples.add(
        "ask.report_failure",
        &request(6, LedgerRequest::ReportFailure { replica: "r1".into() }),
    );
    samples.add("ask.find_leader", &request(300, LedgerRequest::FindLeader));

    let grant = PermitAnswer::Granted(PermitGrant { permits: 4, life: Duration::from_millis(500) });
    for (name, decision) in [
        ("run", Decision::Run("r1".into())),
        ("run_cold", Decision::RunCold { replica: "r1".into(), waited_ms: 7 }),
        ("run_anywhere", Decision::RunAnywhere),
        ("wait", Decision::Wait),
        ("refuse", Decision::Refuse(Duration::from_millis(700))),
    ] {
        samples
            .add(&format!("reply.placed.{name}"), &response(3, LedgerResponse::Placed(decision)));
    }
    let reserved = LedgerResponse::Reserved {
        reservation: Reservation::Granted,
        history: b"hello".to_vec(),
        decision: Some(Decision::Run("r1".into())),
        is_under_way: true,
        permit: Some(grant),
    };
    samples.add("reply.reserved", &response(1, reserved));
    samples.add(
        "reply.permit",
        &response(2, LedgerResponse::Permit(PermitAnswer::OverLimit(Duration::from_millis(250)))),
    );
    samples.add("reply.settled", &response(4, LedgerResponse::Settled));
    samples.add("reply.noted", &response(6, LedgerResponse::Noted));
    let document = CompressedBytes::compress(b"{\"version\":74}");
    samples.add(
        "reply.configuration",
        &response(5, LedgerResponse::Configuration { version: 74, document }),
    );
    let replicas = vec![replica("r1", ReplicaState::Ready), replica("r2", ReplicaState::Draining)];
    let mark = ListDigest::of(&replicas);
    samples.add(
        "reply.list",
        &response(5, LedgerResponse::List { mark, list: ReplicaList { version: 5, replicas } }),
    );
    let update = WatchUpdate {
        list_age_ms: Some(120),
        loads: vec![1, 2],
        loads_of: mark,
        machines: vec![167_837_962],
        failing: Some((TermVersion { term: 3, change: 2 }, vec![("r1".into(), 900)])),
        cold: Some((TermVersion { term: 3, change: 3 }, vec![("r2".into(), 4_000)])),
    };
    samples.add("reply.news", &response(5, LedgerResponse::News(update)));
    samples.add("reply.leads", &response(7, LedgerResponse::Leads { machines: vec![1, 2, 3] }));
    samples.add(
        "reply.not_leader",
        &response(7, LedgerResponse::NotLeader { leader: Some(2), machines: vec![1, 2, 3] }),
    );
    samples.add("reply.unavailable", &response(7, LedgerResponse::Unavailable));
    let drained = DrainedZones { version: 4, zones: [Zone::new("a")].into() };
    samples.add("reply.drained_zones", &response(8, LedgerResponse::DrainedZones(drained)));

    let id = ReplicaId { machine: 2_130_706_434, disk: 0 };
    let entries = vec![
        Entry { term: 2, index: 8, kind: EntryKind::Empty },
        Entry { term: 2, index: 9, kind: EntryKind::Command(b"c".to_vec().into()) },
    ];
    let append = Message::Append {
        term: 2,
        previous_index: 7,
        previous_term: 1,
        entries,
        commit: 6,
        round: 11,
    };
    let messages = vec![GroupMessage { group: GroupId(0), message: append }];
    samples.add("peer.plain", &PeerFrame::Plain(Envelope { to: id, messages }));
    samples.add("peer.packed", &PeerFrame::Packed(CompressedBytes::compress(b"a parcel")));

    let mut state = LedgerState::new(GroupId(0));
    let commands = [
        (
            "put_configuration",
            Command::PutConfiguration { version: 74, document: b"{\"version\":74}".to_vec() },
        ),
        ("reserve", Command::Reserve(reserve())),
        ("settle", Command::Settle(settle("t1", None))),
        ("advance", Command::Advance { elapsed_ms: 5_000 }),
        ("enroll", Command::Enroll { name: "store-1".into(), machine: 1 }),
        ("retire", Command::Retire { name: "store-1".into(), remaining: 3, must_remain: 3 }),
        ("seal", Command::Seal),
        (
            "note_permits",
            Command::NotePermits {
                issued: vec![IssuedPermits { tenant: TenantId::new("t-1"), count: 4 }],
                elapsed_ms: 100,
            },
        ),
        ("settle_again", Command::Settle(settle("t2", Some("t1")))),
        ("drain_zone", Command::DrainZone { zone: Zone::new("a") }),
        ("drain_other", Command::DrainZone { zone: Zone::new("b") }),
        ("restore_zone", Command::RestoreZone { zone: Zone::new("b") }),
    ];
    for (name, command) in commands {
        samples.add(&format!("command.{name}"), &command);
        state.apply(&encode(&command).expect("encode"));
    }
    samples.add_bytes("snapshot", &state.snapshot());
    samples.0
}

fn added_samples() -> String {
    let mut samples = Samples::default();
    let old = vec![replica("r1", ReplicaState::Ready), replica("r2", ReplicaState::Ready)];
    let new = vec![replica("r1", ReplicaState::Ready), replica("r2", ReplicaState::Draining)];
    let (since, mark) = (ListDigest::of(&old), ListDigest::of(&new));
    let replicas = Packed::pack(&new).expect("pack");
    samples.add("reply.packed_list", &response(5, LedgerResponse::PackedList { mark, replicas }));
    let patch = ListPatch::between(&old, &new);
    samples.add("patch", &patch);
    let patch = Packed::pack(&patch).expect("pack");
    samples.add(
        "reply.list_changes",
        &response(5, LedgerResponse::ListChanges { since, mark, patch }),
    );
    let update = FleetUpdate {
        list_age_ms: Some(120),
        list_pages: 50,
        gateways: Some(864),
        loads: vec![ReplicaLoad { position: 1, requests: 2 }],
        loads_of: mark,
        machines: vec![167_837_962],
        failing: Some((TermVersion { term: 3, change: 2 }, vec![("r1".into(), 900)])),
        cold: Some((TermVersion { term: 3, change: 3 }, vec![("r2".into(), 4_000)])),
    };
    samples.add("reply.update", &response(5, LedgerResponse::Update(update)));
    samples.0
}

fn reserve_for_version(version: Option<SoftwareVersion>) -> LedgerRequest {
    let placement = PlacementRequest { version, ..placement() };
    LedgerRequest::Reserve { reserve: reserve(), placement: Some(placement), permit: None }
}

fn versioned_samples() -> String {
    let mut samples = Samples::default();
    let for_version = LedgerRequest::ForVersion {
        version: SoftwareVersion::new("v1.2"),
        request: Box::new(reserve_for_version(None)),
    };
    samples.add("ask.reserve_for_version", &request(1, for_version));
    let versioned = |id, version: Option<&str>| Replica {
        version: version.map(SoftwareVersion::new),
        ..replica(id, ReplicaState::Ready)
    };
    let old = vec![versioned("r1", Some("v1")), versioned("r2", None)];
    let new = vec![versioned("r1", Some("v1")), versioned("r2", Some("v1.2"))];
    let (since, mark) = (ListDigest::of(&old), ListDigest::of(&new));
    let replicas = VersionedReplicas::new(&new);
    samples.add("versioned_replicas", &replicas);
    let replicas = Packed::pack(&replicas).expect("pack");
    samples.add(
        "reply.versioned_list",
        &response(5, LedgerResponse::VersionedList { mark, replicas }),
    );
    let patch = VersionedPatch::from(ListPatch::between(&old, &new));
    samples.add("versioned_patch", &patch);
    let patch = Packed::pack(&patch).expect("pack");
    samples.add(
        "reply.versioned_changes",
        &response(5, LedgerResponse::VersionedChanges { since, mark, patch }),
    );
    samples.0
}

fn watch_crashes() -> WatchRequest {
    let crashes = Some(TermVersion { term: 3, change: 7 });
    WatchRequest { gateway: "front-1".into(), crashes, ..WatchRequest::default() }
}

fn crash_samples() -> String {
    let mut samples = Samples::default();
    let content = RequestContent {
        tenant: Some("t-1"),
        program: Some("p"),
        previous_turn: None,
        method: "POST",
        host: "desk.example",
        path: "/a",
        body: b"hello",
    };
    let crash = CrashRecord {
        tenant: Some("t-1".into()),
        request: content.fingerprint(),
        replica: "r1@1790000000000".into(),
    };
    let watch = watch_crashes();
    let crashes = watch.crashes.unwrap_or_default();
    samples.add("ask.watch_crashes", &request(5, LedgerRequest::WatchCrashes { crashes, watch }));
    samples.add("ask.store_crash", &request(4, LedgerRequest::Settle(store_crash(&crash))));
    let clear = request(4, LedgerRequest::Settle(clear_crash(&crash)));
    let CrashRecord { request, replica, .. } = crash;
    let notice = CrashNotice { request, replica, left_ms: 119_000 };
    let mark = TermVersion { term: 3, change: 8 };
    let answer = LedgerResponse::Crashes { mark, crashes: vec![notice] };
    samples.add("reply.crashes", &response(5, answer));
    samples.add("ask.clear_crash", &clear);
    samples.0
}

#[tokio::test]
async fn a_watch_for_crash_records_reaches_leaders_that_support_them() {
    let sent = request(5, LedgerRequest::Watch(watch_crashes()));
    let encoded_len = |protocol| sent.clone().encode(protocol).expect("encode").len();
    let (watch, crashes) = (watch_crashes(), watch_crashes().crashes.unwrap_or_default());
    let wrapped = request(5, LedgerRequest::WatchCrashes { crashes, watch });
    let wrapped = encode_frame(&wrapped).expect("encode");
    assert_eq!(encoded_len(LATEST_VERSION), wrapped.len());
    // A leader of an earlier version receives a plain watch.
    let plain = request(5, LedgerRequest::Watch(WatchRequest { crashes: None, ..watch_crashes() }));
    let plain = plain.encode(REPLICA_VERSIONS_VERSION).expect("encode");
    assert_eq!(encoded_len(REPLICA_VERSIONS_VERSION), plain.len());

    let mut frames = FrameReader::new(wrapped.as_slice());
    let read = RequestEnvelope::read(&mut frames, LATEST_VERSION).await.expect("read");
    let LedgerRequest::Watch(watch) = read.question else { panic!("{:?}", read.question) };
    assert_eq!(watch, watch_crashes());
}

#[tokio::test]
async fn a_required_version_reaches_leaders_that_support_it() {
    let version = SoftwareVersion::new("v1.2");
    let wrapped = LedgerRequest::ForVersion {
        version: version.clone(),
        request: Box::new(reserve_for_version(None)),
    };
    let sent = encode_frame(&request(1, wrapped)).expect("encode");
    let mut frames = FrameReader::new(sent.as_slice());
    let read = RequestEnvelope::read(&mut frames, LATEST_VERSION).await.expect("read");
    let LedgerRequest::Reserve { placement: Some(placement), .. } = read.question else {
        panic!("{:?}", read.question)
    };
    assert_eq!(placement.version, Some(version.clone()));

    let encoded_len =
        |question, protocol| request(1, question).encode(protocol).expect("encode").len();
    let required = || reserve_for_version(Some(version.clone()));
    assert_eq!(encoded_len(required(), LATEST_VERSION), sent.len());
    // A leader of an earlier version places the turn anywhere.
    let plain = encoded_len(reserve_for_version(None), LIST_PATCH_VERSION);
    assert_eq!(encoded_len(required(), LIST_PATCH_VERSION), plain);
}

#[test]
fn encodings_match_the_stored_samples() {
    let versions = [
        (samples(), SAMPLES, SAMPLES_FILE),
        (added_samples(), ADDED_SAMPLES, ADDED_SAMPLES_FILE),
        (versioned_samples(), VERSIONED_SAMPLES, VERSIONED_SAMPLES_FILE),
        (crash_samples(), CRASH_SAMPLES, CRASH_SAMPLES_FILE),
    ];
    for (samples, stored_samples, file) in versions {
        if std::env::var_os("CALICOHOIST_WRITE_SAMPLES").is_some() {
            std::fs::write(file, samples).expect("write samples");
            continue;
        }
        for (encoded, stored) in samples.lines().zip(stored_samples.lines()) {
            assert_eq!(encoded, stored);
        }
        assert_eq!(samples.lines().count(), stored_samples.lines().count());
    }
}

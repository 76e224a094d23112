//! Persistence of issued permits in the log and in snapshots, including those of older versions.

use std::time::Duration;

use calicohoist_ledger::commands::Command;
use calicohoist_ledger::server::limits::TenantLimiter;
use calicohoist_ledger::{LedgerState, Output, queries};
use calicohoist_limiter::{
    IssueOutcome, IssuedPermits, LimitTolerance, PermitAnswer, PermitPurpose, PermitRequest,
};
use calicohoist_replication::{GroupId, StateMachine};
use calicohoist_routing::RateLimit;
use calicohoist_types::TenantId;
use calicohoist_wire::encode;

/// Log entries and the resulting snapshot, written by a version without permit records: a
/// configuration, a machine, two retained turns of which the first is sealed, and a reserved turn.
const OLD_LOG: [&str; 9] = [
    "0007027b7d",
    "040773746f72652d3111",
    "01010270310274311e6400fb60ea",
    "020102703102743112fb60ea0100036f6e6505736169640a00",
    "06",
    "01010270310274321e6401027431fb60ea",
    "020102703102743212fb60ea01010274310374776f05736169640a00",
    "03fb8813",
    "01010270310274331e6401027432fb60ea",
];
const OLD_SNAPSHOT: &str = "fb881307027b7d01027031420302743101120274320112027433001efbe8fd\
    020274310001010008fcbcbdb3ddfbe8fd02743201027431000874776f736169640afbe8fd0102743208010108\
    0801010773746f72652d311100";

fn bytes(hex: &str) -> Vec<u8> {
    let byte =
        |offset: usize| u8::from_str_radix(&hex[offset..offset + 2], 16).expect("hex digits");
    (0..hex.len()).step_by(2).map(byte).collect()
}

fn note(tenant: &str, count: u32, elapsed_ms: u64) -> Command {
    let issued = vec![IssuedPermits { tenant: TenantId::new(tenant), count }];
    Command::NotePermits { issued, elapsed_ms }
}

fn apply(state: &mut LedgerState, command: &Command) -> Output {
    state.apply(&encode(command).expect("encode"))
}

fn request(limit: RateLimit) -> PermitRequest {
    PermitRequest { tenant: TenantId::new("t"), limit, configuration: 1, spare: 0 }
}

#[test]
fn logs_and_snapshots_without_permits_are_decoded() {
    let mut replayed = LedgerState::new(GroupId(0));
    for entry in OLD_LOG {
        assert_ne!(replayed.apply(&bytes(entry)), Output::Unreadable, "{entry}");
    }
    let mut restored = LedgerState::new(GroupId(0));
    assert!(restored.restore(&bytes(OLD_SNAPSHOT)));
    assert_eq!(restored.snapshot(), replayed.snapshot());
    for state in [&replayed, &restored] {
        assert_eq!(queries::configuration(state).map(|held| held.version), Some(7));
        assert_eq!(state.machines().number("store-1"), Some(17));
        assert_eq!(state.turns().history("t2").map(|pieces| pieces.len()), Some(2));
        assert_eq!(state.accounts().charged("p1"), 18 + 18 + 30);
        assert_eq!(state.permits().newest(), 0);
    }
}

#[test]
fn snapshots_contain_permit_records() {
    let mut state = LedgerState::new(GroupId(0));
    assert_eq!(apply(&mut state, &note("t", 3, 0)), Output::Done);
    assert_eq!(apply(&mut state, &note("u", 4, 150)), Output::Done);
    let mut restored = LedgerState::new(GroupId(0));
    assert!(restored.restore(&state.snapshot()));
    assert_eq!(restored, state);
    assert_eq!(restored.permits().after(1).map(|note| note.at_ms).collect::<Vec<_>>(), [150]);
}

#[test]
fn old_permit_records_are_removed() {
    let mut state = LedgerState::new(GroupId(0));
    for _ in 0..1_000 {
        apply(&mut state, &note("t", 1, 100));
    }
    assert!(state.permits().after(0).count() <= 301);
}

#[test]
fn a_new_leader_counts_permits_issued_by_its_predecessor() {
    let tolerance = LimitTolerance { window: Duration::from_secs(600), overshoot: 0.0, slack: 0.0 };
    // Allows ten permits in addition to the reserve for leader changes.
    let limit = RateLimit { per_second: 0.0, burst: 13.0 };
    let mut state = LedgerState::new(GroupId(0));
    apply(&mut state, &note("t", 4, 0));
    apply(&mut state, &note("t", 3, 100));
    let desk = TenantLimiter::new(tolerance);
    desk.update_from_log(state.permits());
    // Repeated updates, as after a snapshot, are not counted twice.
    desk.update_from_log(state.permits());
    let single = || desk.issue(2, &request(limit), PermitPurpose::NoProgram);
    assert!(matches!(single(), IssueOutcome::Answer(PermitAnswer::Granted(_))));
    assert_eq!(desk.uses()[0].issued, 8);
    assert_eq!(single(), IssueOutcome::LogBacklog, "permits were issued before they were recorded");

    apply(&mut state, &note("t", 3, 100));
    let successor = TenantLimiter::new(tolerance);
    successor.update_from_log(state.permits());
    assert!(successor.reject_exhausted(3, &request(limit)).is_some());
    assert!(matches!(
        successor.issue(3, &request(limit), PermitPurpose::NoProgram),
        IssueOutcome::Answer(PermitAnswer::OverLimit(_))
    ));
}

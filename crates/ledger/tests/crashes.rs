//! Crash records in the replicated state, and their distribution to gateways.

use std::time::{Duration, Instant};

use calicohoist_ledger::commands::{
    Command, Reservation, charge_crash, clear_commands, clear_crash, find_answer,
    find_cleared_crash, find_crash, release_send, report_answer, reserve_send, store_crash,
};
use calicohoist_ledger::protocol::TermVersion;
use calicohoist_ledger::server::crashes::CrashBoard;
use calicohoist_ledger::{LedgerState, Output};
use calicohoist_quarantine::prelude::*;
use calicohoist_replication::{GroupId, StateMachine};
use calicohoist_wire::encode;

/// Maximum number of records in total, and of one tenant.
const CAPACITY: usize = 4_096;
const TENANT_CAPACITY: usize = 1_024;

fn crash(tenant: Option<&str>, number: usize, replica: &str) -> CrashRecord {
    let content = RequestContent {
        tenant,
        program: None,
        previous_turn: None,
        method: "GET",
        host: "desk.example",
        path: "/a",
        body: &number.to_le_bytes(),
    };
    let (tenant, replica) = (tenant.map(str::to_owned), replica.to_owned());
    CrashRecord { tenant, request: content.fingerprint(), replica }
}

fn apply(state: &mut LedgerState, command: Command) {
    assert_eq!(state.apply(&encode(&command).expect("encode")), Output::Done);
}

#[test]
fn record_is_found_by_its_key() {
    for tenant in [None, Some("t-1")] {
        let crash = crash(tenant, 1, "r1@1790000000000");
        assert_eq!(find_crash(&store_crash(&crash).turn), Some(crash));
    }
    for key in ["", "t1", "\u{1f}origin\u{1f}t1", "\u{1f}crash\u{1f}t\u{1f}no digest\u{1f}r1"] {
        assert_eq!(find_crash(key), None, "{key}");
    }
}

#[test]
fn records_survive_a_snapshot_until_they_expire() {
    let stored: Vec<CrashRecord> =
        ["r1", "r2", "r3"].map(|replica| crash(Some("t-1"), 1, replica)).into();
    let mut state = LedgerState::new(GroupId(0));
    for record in &stored {
        apply(&mut state, Command::Settle(store_crash(record)));
    }
    let known: Vec<CrashRecord> = state.crashes().since(0).cloned().collect();
    assert_eq!(known, stored);

    let mut restored = LedgerState::new(GroupId(0));
    assert!(restored.restore(&state.snapshot()));
    let known: Vec<CrashRecord> = restored.crashes().since(0).cloned().collect();
    assert_eq!(known, stored);

    let retention_ms = CRASH_RETENTION.as_millis() as u64;
    apply(&mut state, Command::Advance { elapsed_ms: retention_ms });
    let mut restored = LedgerState::new(GroupId(0));
    assert!(restored.restore(&state.snapshot()));
    assert_eq!(restored.crashes().next(), 0);
}

#[test]
fn gateway_receives_each_record_once() {
    let (board, now) = (CrashBoard::default(), Instant::now());
    let mut seen = TermVersion::default();
    assert!(!board.has_changes(1, seen, now));
    for (index, replica) in ["r1", "r2"].into_iter().enumerate() {
        board.add(crash(None, 1, replica), now);
        assert!(board.has_changes(1, seen, now));
        let (mark, notices) = board.changes_since(1, seen, now);
        assert_eq!(notices.len(), 1, "{index}");
        assert_eq!(notices[0].replica, replica);
        assert_eq!(Duration::from_millis(notices[0].left_ms.into()), CRASH_RETENTION);
        seen = mark;
        assert!(!board.has_changes(1, seen, now));
    }
    board.add(crash(None, 1, "r1"), now);
    assert!(!board.has_changes(1, seen, now));
}

#[test]
fn gateway_receives_all_records_of_a_new_leader() {
    let (board, now) = (CrashBoard::default(), Instant::now());
    let of_former_leader = TermVersion { term: 1, change: 9 };
    assert!(!board.has_changes(2, of_former_leader, now));
    board.add(crash(None, 1, "r1"), now);
    board.add(crash(None, 1, "r2"), now);
    assert!(board.has_changes(2, of_former_leader, now));
    let (mark, notices) = board.changes_since(2, of_former_leader, now);
    assert_eq!((mark, notices.len()), (TermVersion { term: 2, change: 2 }, 2));
}

#[test]
fn expired_records_are_not_sent() {
    let (board, now) = (CrashBoard::default(), Instant::now());
    board.add(crash(None, 1, "r1"), now);
    let end = now + CRASH_RETENTION;
    assert!(!board.has_changes(1, TermVersion::default(), end));
    assert!(board.changes_since(1, TermVersion::default(), end).1.is_empty());
}

#[test]
fn crash_is_not_sent_as_cleared_shortly_before_it_is_forgotten() {
    let (board, now) = (CrashBoard::default(), Instant::now());
    board.add(crash(None, 1, "r1"), now);
    for micros in [1, 500, 999, 1_000] {
        let now = now + CRASH_RETENTION - Duration::from_micros(micros);
        let (_, notices) = board.changes_since(1, TermVersion::default(), now);
        assert!(!notices[0].is_cleared(), "{micros} us before its end");
    }
}

#[test]
fn records_are_limited_in_total_and_by_tenant() {
    let (board, now) = (CrashBoard::default(), Instant::now());
    for number in 0..TENANT_CAPACITY {
        assert!(board.has_room(Some("t-1"), now), "{number}");
        board.add(crash(Some("t-1"), number, "r1"), now);
    }
    assert!(!board.has_room(Some("t-1"), now));
    assert!(board.has_room(Some("t-2"), now));
    assert!(board.has_room(None, now));
    assert!(board.has_room(Some("t-1"), now + CRASH_RETENTION));
    for number in 0..CAPACITY {
        board.add(crash(None, number, "r1"), now);
    }
    let (_, notices) = board.changes_since(1, TermVersion::default(), now);
    assert_eq!(notices.len(), CAPACITY);
}

fn reserve(state: &mut LedgerState, record: &CrashRecord, send: &str) -> Reservation {
    reserve_after(state, record, send, 0)
}

/// Asks for a permission after some crashes were cleared.
fn reserve_after(
    state: &mut LedgerState,
    record: &CrashRecord,
    send: &str,
    cleared: usize,
) -> Reservation {
    let command = Command::Reserve(reserve_send(&record.request, send, cleared));
    match state.apply(&encode(&command).expect("encode")) {
        Output::Reservation(reservation) => reservation,
        other => panic!("unexpected output {other:?}"),
    }
}

#[test]
fn request_is_permitted_as_often_as_replicas_may_still_crash() {
    let mut state = LedgerState::new(GroupId(0));
    let first = crash(Some("t-1"), 1, "r1");
    // Two gateways report the same crash.
    for _ in 0..2 {
        apply(&mut state, Command::Settle(charge_crash(&first)));
    }
    assert_eq!(reserve(&mut state, &first, "front-1-a"), Reservation::Granted);
    assert_eq!(reserve(&mut state, &first, "front-2-a"), Reservation::Granted);
    assert_eq!(reserve(&mut state, &first, "front-3-a"), Reservation::BudgetSpent);

    apply(&mut state, Command::Settle(release_send(&first.request, "front-1-a")));
    assert_eq!(reserve(&mut state, &first, "front-3-b"), Reservation::Granted);
    for (send, replica) in [("front-2-a", "r2"), ("front-3-b", "r3")] {
        apply(&mut state, Command::Settle(charge_crash(&crash(Some("t-1"), 1, replica))));
        apply(&mut state, Command::Settle(release_send(&first.request, send)));
        assert_eq!(reserve(&mut state, &first, "front-1-b"), Reservation::BudgetSpent);
    }
    let other = crash(Some("t-1"), 2, "r1");
    assert_eq!(reserve(&mut state, &other, "front-1-c"), Reservation::Granted);
}

#[test]
fn permissions_survive_a_snapshot_until_they_expire() {
    let mut state = LedgerState::new(GroupId(0));
    let record = crash(None, 1, "r1");
    for number in 0..MAX_CRASHES {
        let granted = reserve(&mut state, &record, &format!("front-1-{number}"));
        assert_eq!(granted, Reservation::Granted);
    }
    let mut restored = LedgerState::new(GroupId(0));
    assert!(restored.restore(&state.snapshot()));
    assert_eq!(reserve(&mut restored, &record, "front-2-a"), Reservation::BudgetSpent);
    let elapsed_ms = CRASH_RETENTION.as_millis() as u64;
    apply(&mut restored, Command::Advance { elapsed_ms });
    assert_eq!(reserve(&mut restored, &record, "front-2-b"), Reservation::Granted);
}

#[test]
fn cleared_crash_is_not_taken_for_a_crash() {
    for tenant in [None, Some("t-1")] {
        let crash = crash(tenant, 1, "r1@1790000000000");
        let key = clear_crash(&crash).turn;
        assert_eq!(find_crash(&key), None);
        assert_eq!(find_cleared_crash(&key), Some(crash.clone()));
        assert_eq!(find_cleared_crash(&store_crash(&crash).turn), None);
    }
}

#[test]
fn cleared_crashes_survive_a_snapshot_until_they_expire() {
    let crashes = ["r1", "r2"].map(|replica| crash(Some("t-1"), 1, replica));
    let mut state = LedgerState::new(GroupId(0));
    for crash in &crashes {
        apply(&mut state, Command::Settle(store_crash(crash)));
    }
    apply(&mut state, Command::Settle(clear_crash(&crashes[0])));
    let mut restored = LedgerState::new(GroupId(0));
    assert!(restored.restore(&state.snapshot()));
    for state in [&state, &restored] {
        let stored: Vec<CrashRecord> = state.crashes().since(0).cloned().collect();
        assert_eq!(stored, crashes);
        let cleared: Vec<CrashRecord> = state.cleared_crashes().since(0).cloned().collect();
        assert_eq!(cleared, crashes[..1]);
    }

    let elapsed_ms = CRASH_RETENTION.as_millis() as u64;
    apply(&mut state, Command::Advance { elapsed_ms });
    let mut restored = LedgerState::new(GroupId(0));
    assert!(restored.restore(&state.snapshot()));
    assert_eq!(restored.cleared_crashes().next(), 0);
}

#[test]
fn gateway_learns_of_cleared_crashes() {
    let (board, now) = (CrashBoard::default(), Instant::now());
    let records = ["r1", "r2"].map(|replica| crash(None, 1, replica));
    for record in &records {
        board.add(record.clone(), now);
    }
    let (seen, _) = board.changes_since(1, TermVersion::default(), now);
    // Repeated, and reported by another gateway after that.
    for _ in 0..2 {
        board.clear(records[0].clone(), now);
        board.add(records[0].clone(), now);
    }
    let (mark, notices) = board.changes_since(1, seen, now);
    assert_eq!((mark.change, notices.len()), (seen.change + 1, 1));
    assert!(notices[0].replica == "r1" && notices[0].is_cleared());
    assert!(!board.has_changes(1, mark, now));
    assert_eq!(board.change_of(&records[0]), Some(mark.change));

    let (_, notices) = board.changes_since(2, mark, now);
    let known: Vec<(&str, bool)> =
        notices.iter().map(|notice| (notice.replica.as_str(), notice.is_cleared())).collect();
    assert_eq!(known, [("r2", false), ("r1", true)]);
}

#[test]
fn crash_that_is_cleared_before_it_is_stored_does_not_count() {
    let (board, now) = (CrashBoard::default(), Instant::now());
    board.clear(crash(None, 1, "r1"), now);
    board.add(crash(None, 1, "r1"), now);
    let (_, notices) = board.changes_since(1, TermVersion::default(), now);
    assert!(notices.len() == 1 && notices[0].is_cleared());
}

#[test]
fn cleared_crashes_use_up_no_permission() {
    let mut state = LedgerState::new(GroupId(0));
    let record = crash(None, 1, "r0");
    for number in 0..2 * MAX_CRASHES {
        let crash = crash(None, 1, &format!("r{number}"));
        apply(&mut state, Command::Settle(charge_crash(&crash)));
        let send = format!("front-1-{number}");
        let granted = reserve_after(&mut state, &record, &send, number);
        assert_eq!(granted, Reservation::Granted, "{number}");
        apply(&mut state, Command::Settle(release_send(&record.request, &send)));
    }
    for crashed in ["s1", "s2"] {
        apply(&mut state, Command::Settle(charge_crash(&crash(None, 1, crashed))));
    }
    let refused = reserve_after(&mut state, &record, "front-1-a", 2 * MAX_CRASHES - 1);
    assert_eq!(refused, Reservation::BudgetSpent);
}

#[test]
fn answer_is_found_by_its_key() {
    for tenant in [None, Some("t-1")] {
        let newest = crash(tenant, 1, "r1@1790000000000");
        let key = report_answer(&newest, "r2@1790000000000").turn;
        assert_eq!(find_answer(&key), Some((newest.clone(), "r2@1790000000000".to_owned())));
        assert_eq!((find_crash(&key), find_cleared_crash(&key)), (None, None));
        for command in [store_crash(&newest), clear_crash(&newest), charge_crash(&newest)] {
            assert_eq!(find_answer(&command.turn), None);
        }
    }
    for key in ["", "t1", "\u{1f}answer\u{1f}t\u{1f}no digest\u{1f}r1\u{1f}r2"] {
        assert_eq!(find_answer(key), None, "{key}");
    }
}

/// A leader of an earlier build passes reports to its log.
#[test]
fn answer_in_the_log_has_no_effect() {
    let mut state = LedgerState::new(GroupId(0));
    let newest = crash(Some("t-1"), 1, "r1");
    apply(&mut state, Command::Settle(store_crash(&newest)));
    let before = state.snapshot();
    apply(&mut state, Command::Settle(report_answer(&newest, "r2")));
    assert_eq!(state.snapshot(), before);
    assert_eq!((state.crashes().next(), state.cleared_crashes().next()), (1, 0));
}

/// Reports answers of these replicas in turn. Returns the crashes that are to be cleared.
fn answer(
    board: &CrashBoard,
    newest: &CrashRecord,
    replicas: &[&str],
    count: usize,
    now: Instant,
) -> Vec<CrashRecord> {
    let turns = replicas.iter().cycle().take(count);
    turns.flat_map(|replica| board.record_answer(newest, replica, now)).collect()
}

#[test]
fn answers_at_all_gateways_clear_the_crashes_of_a_harmless_request() {
    let (board, now) = (CrashBoard::default(), Instant::now());
    let crashes = ["r1", "r2"].map(|replica| crash(None, 1, replica));
    crashes.iter().for_each(|record| board.add(record.clone(), now));
    board.add(crash(None, 2, "r1"), now);
    let newest = &crashes[1];
    assert!(answer(&board, newest, &["a", "b", "c"], HARMLESS_ANSWERS - 1, now).is_empty());
    assert_eq!(answer(&board, newest, &["a"], 1, now), crashes);
    crashes.iter().for_each(|record| board.clear(record.clone(), now));
    assert!(answer(&board, newest, &["a"], 2 * HARMLESS_ANSWERS, now).is_empty());
}

#[test]
fn answers_of_gateways_that_do_not_know_the_newest_crash_do_not_count() {
    let (board, now) = (CrashBoard::default(), Instant::now());
    let crashes = ["r1", "r2"].map(|replica| crash(None, 1, replica));
    board.add(crashes[0].clone(), now);
    assert!(answer(&board, &crashes[0], &["a"], HARMLESS_ANSWERS - 1, now).is_empty());
    board.add(crashes[1].clone(), now);
    assert!(answer(&board, &crashes[0], &["a"], 2 * HARMLESS_ANSWERS, now).is_empty());
    assert!(answer(&board, &crashes[1], &["a"], HARMLESS_ANSWERS - 1, now).is_empty());
    let end = now + CRASH_RETENTION;
    assert!(answer(&board, &crashes[1], &["a"], HARMLESS_ANSWERS, end).is_empty());
}

#[test]
fn two_answers_of_each_replica_clear_no_crash() {
    let (board, now) = (CrashBoard::default(), Instant::now());
    let record = crash(None, 1, "r0");
    board.add(record.clone(), now);
    let replicas: Vec<String> = (1..=50).map(|number| format!("r{number}")).collect();
    let replicas: Vec<&str> = replicas.iter().map(String::as_str).collect();
    assert!(answer(&board, &record, &replicas, 2 * replicas.len(), now).is_empty());
}

/// Gateways know of a cleared crash for as long as of a new one.
#[test]
fn account_counts_a_crash_for_as_long_as_it_is_known_to_be_cleared() {
    let mut state = LedgerState::new(GroupId(0));
    let cleared = ["r1", "r2", "r3"].map(|replica| crash(None, 1, replica));
    let record = &cleared[0];
    for crash in &cleared {
        apply(&mut state, Command::Settle(store_crash(crash)));
        apply(&mut state, Command::Settle(charge_crash(crash)));
    }
    let elapsed_ms = CRASH_RETENTION.as_millis() as u64 * 2 / 3;
    apply(&mut state, Command::Advance { elapsed_ms });
    for command in cleared.iter().flat_map(clear_commands) {
        apply(&mut state, Command::Settle(command));
    }
    apply(&mut state, Command::Advance { elapsed_ms });
    apply(&mut state, Command::Settle(charge_crash(&crash(None, 1, "s1"))));
    let sends = ["front-1-a", "front-1-b", "front-1-c", "front-1-d", "front-1-e"];
    let granted = sends.iter().filter(|send| {
        reserve_after(&mut state, record, send, cleared.len()) == Reservation::Granted
    });
    assert_eq!(granted.count(), MAX_CRASHES - 1);
}

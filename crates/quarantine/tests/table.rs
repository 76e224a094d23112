//! Counting of crashes by request.

use std::time::{Duration, Instant};

use calicohoist_quarantine::prelude::*;
use proptest::prelude::*;

/// Number of requests that a table holds at most.
const CAPACITY: usize = 4_096;

fn content<'a>(tenant: Option<&'a str>, path: &'a str, body: &'a [u8]) -> RequestContent<'a> {
    RequestContent {
        tenant,
        program: None,
        previous_turn: None,
        method: "POST",
        host: "desk.example",
        path,
        body,
    }
}

fn request(number: usize) -> RequestFingerprint {
    content(None, "/a", &number.to_le_bytes()).fingerprint()
}

fn record(table: &mut CrashTable, number: usize, replica: &str, now: Instant) {
    table.record(request(number), replica, CRASH_RETENTION, now);
}

#[test]
fn request_is_quarantined_after_the_third_crash() {
    let (mut table, now) = (CrashTable::default(), Instant::now());
    for (index, replica) in ["a", "b", "c"].into_iter().enumerate() {
        assert_eq!(table.quarantine(&request(1), now), None, "after {index}");
        record(&mut table, 1, replica, now);
    }
    assert_eq!(table.quarantine(&request(1), now), Some(CRASH_RETENTION));
    assert_eq!(table.quarantine(&request(2), now), None);
}

#[test]
fn crash_of_one_replica_counts_once() {
    let (mut table, now) = (CrashTable::default(), Instant::now());
    for _ in 0..MAX_CRASHES {
        record(&mut table, 1, "a@1", now);
    }
    assert_eq!(table.crashes(&request(1), now), 1);
    record(&mut table, 1, "a@2", now);
    assert_eq!(table.crashes(&request(1), now), 2);
}

#[test]
fn crashes_are_forgotten_after_their_retention() {
    let (mut table, now) = (CrashTable::default(), Instant::now());
    for replica in ["a", "b", "c"] {
        record(&mut table, 1, replica, now);
    }
    let end = now + CRASH_RETENTION;
    assert!(table.quarantine(&request(1), end - Duration::from_millis(1)).is_some());
    assert_eq!(table.quarantine(&request(1), end), None);
    assert_eq!(table.crashes(&request(1), end), 0);
    table.expire(end);
    assert!(table.is_empty());
}

#[test]
fn full_table_forgets_requests_with_the_fewest_crashes() {
    let (mut table, now) = (CrashTable::default(), Instant::now());
    for replica in ["a", "b", "c"] {
        record(&mut table, 0, replica, now);
    }
    for number in 1..3 * CAPACITY {
        let now = now + Duration::from_millis(number as u64);
        record(&mut table, number, "d", now);
        assert!(table.len() <= CAPACITY);
    }
    let now = now + Duration::from_millis(3 * CAPACITY as u64);
    assert!(table.quarantine(&request(0), now).is_some());
    assert_eq!(table.crashes(&request(1), now), 0);
}

#[test]
fn tenants_do_not_share_fingerprints() {
    let of = |tenant| content(tenant, "/a", b"crash").fingerprint();
    assert_ne!(of(Some("a")), of(Some("b")));
    assert_ne!(of(Some("")), of(None));
}

proptest! {
    #[test]
    fn fingerprint_is_parsed_from_its_text(body: Vec<u8>) {
        let fingerprint = content(None, "/a", &body).fingerprint();
        prop_assert_eq!(fingerprint.to_string().parse(), Ok(fingerprint));
    }

    #[test]
    fn contents_that_differ_have_different_fingerprints(
        path in "[a-c/]{0,4}", other_path in "[a-c/]{0,4}", body: Vec<u8>, other: Vec<u8>,
    ) {
        let same = path == other_path && body == other;
        let first = content(None, &path, &body).fingerprint();
        prop_assert_eq!(first == content(None, &other_path, &other).fingerprint(), same);
    }

    #[test]
    fn other_texts_are_rejected(text in "[0-9a-g]{0,40}") {
        let is_fingerprint = text.len() == 32 && !text.contains('g');
        prop_assert_eq!(text.parse::<RequestFingerprint>().is_ok(), is_fingerprint);
    }
}

#[test]
fn request_needs_a_permission_until_it_is_answered() {
    let (mut table, now) = (CrashTable::default(), Instant::now());
    let request = request(1);
    assert!(!table.needs_permission(&request, now));
    table.record(request, "r1", CRASH_RETENTION, now);
    assert!(table.needs_permission(&request, now));
    assert!(table.record_answered(&request, "r0", now).is_empty());
    assert!(!table.needs_permission(&request, now));
    // The same crash, as another gateway reports it.
    table.record(request, "r1", CRASH_RETENTION, now);
    assert!(!table.needs_permission(&request, now));
    table.record(request, "r2", CRASH_RETENTION, now);
    assert!(table.needs_permission(&request, now));
    assert!(!table.needs_permission(&request, now + PERMISSION_TIME));
    assert_eq!(table.crashes(&request, now + PERMISSION_TIME), 2);
}

#[test]
fn unconfirmed_crash_counts_once_another_one_is_known() {
    let (mut table, now) = (CrashTable::default(), Instant::now());
    let record = |replica: &str| CrashRecord {
        tenant: None,
        request: request(1),
        replica: replica.to_owned(),
    };
    for _ in 0..2 {
        table.record_unconfirmed(record("a"), CRASH_RETENTION, now);
    }
    assert_eq!(table.crashes(&request(1), now), 0);
    assert!(table.is_suspect(&request(1), now));
    assert!(!table.needs_permission(&request(1), now));
    assert!(table.take_confirmed(&request(1)).is_empty());
    table.record(request(1), "b", CRASH_RETENTION, now);
    assert_eq!(table.take_confirmed(&request(1)), [record("a")]);
    assert!(table.take_confirmed(&request(1)).is_empty());
}

/// Answers a request at these replicas in turn. Returns the replicas whose crashes were cleared.
fn answer(table: &mut CrashTable, replicas: &[&str], count: usize, now: Instant) -> Vec<String> {
    let turns = replicas.iter().cycle().take(count);
    turns.flat_map(|replica| table.record_answered(&request(1), replica, now)).collect()
}

#[test]
fn harmless_request_is_not_refused_after_crashes_with_many_answers_between_them() {
    let (mut table, now) = (CrashTable::default(), Instant::now());
    for number in 0..10 * MAX_CRASHES {
        let crashed = format!("r{number}");
        record(&mut table, 1, &crashed, now);
        assert_eq!(table.quarantine(&request(1), now), None, "{number}");
        assert_eq!(table.crashes(&request(1), now), 1);
        assert!(answer(&mut table, &["a", "b", "c"], HARMLESS_ANSWERS - 1, now).is_empty());
        assert_eq!(answer(&mut table, &["a"], 1, now), [crashed]);
        assert_eq!(table.crashes(&request(1), now), 0);
        assert_eq!(table.cleared(&request(1), now), number + 1);
        assert!(!table.is_suspect(&request(1), now));
    }
}

#[test]
fn answers_before_a_crash_do_not_clear_it() {
    let (mut table, now) = (CrashTable::default(), Instant::now());
    for replica in ["r1", "r2", "r3"] {
        assert!(answer(&mut table, &["a", "b"], HARMLESS_ANSWERS - 1, now).is_empty());
        record(&mut table, 1, replica, now);
    }
    assert_eq!(table.quarantine(&request(1), now), Some(CRASH_RETENTION));
}

#[test]
fn request_under_which_replicas_crash_after_two_answers_each_is_quarantined() {
    for replicas in [8, 50, 400] {
        let (mut table, now) = (CrashTable::default(), Instant::now());
        let names: Vec<String> = (0..replicas).map(|number| format!("r{number}")).collect();
        let names: Vec<&str> = names.iter().map(String::as_str).collect();
        for replica in &names[..MAX_CRASHES] {
            record(&mut table, 1, replica, now);
            // As many answers as fresh replicas may give before the next one crashes.
            assert!(answer(&mut table, &names, 2 * replicas, now).is_empty(), "{replicas}");
        }
        assert!(table.quarantine(&request(1), now).is_some(), "{replicas}");
    }
}

#[test]
fn crash_of_a_quarantined_request_ends_the_count_of_answers() {
    let (mut table, now) = (CrashTable::default(), Instant::now());
    for replica in ["r1", "r2", "r3"] {
        record(&mut table, 1, replica, now);
    }
    assert!(answer(&mut table, &["a"], HARMLESS_ANSWERS - 1, now).is_empty());
    record(&mut table, 1, "r4", now);
    assert!(answer(&mut table, &["a"], HARMLESS_ANSWERS - 1, now).is_empty());
    assert!(table.quarantine(&request(1), now).is_some());
}

#[test]
fn answers_of_a_quarantined_request_that_was_under_way_clear_its_crashes() {
    let (mut table, now) = (CrashTable::default(), Instant::now());
    for replica in ["r1", "r2", "r3"] {
        record(&mut table, 1, replica, now);
    }
    assert!(table.quarantine(&request(1), now).is_some());
    let mut cleared = answer(&mut table, &["a"], HARMLESS_ANSWERS, now);
    cleared.sort();
    assert_eq!(cleared, ["r1", "r2", "r3"]);
    assert_eq!(table.quarantine(&request(1), now), None);
}

#[test]
fn cleared_crash_does_not_count_when_it_is_reported_again() {
    let (mut table, now) = (CrashTable::default(), Instant::now());
    for number in 0..MAX_CRASHES {
        let replica = format!("r{number}");
        // Another gateway has cleared it.
        table.clear(request(1), &replica, CRASH_RETENTION, now);
        record(&mut table, 1, &replica, now);
    }
    assert_eq!(table.crashes(&request(1), now), 0);
    assert_eq!(table.cleared(&request(1), now), MAX_CRASHES);
    for replica in ["s1", "s2", "s3"] {
        record(&mut table, 1, replica, now);
    }
    assert!(table.quarantine(&request(1), now).is_some());
    assert_eq!(table.cleared(&request(1), now + CRASH_RETENTION), 0);
}

/// The account of the request does not learn of all other crashes.
#[test]
fn other_crashes_do_not_extend_the_time_for_which_crashes_count_as_cleared() {
    let (mut table, now) = (CrashTable::default(), Instant::now());
    table.clear(request(1), "r1", CRASH_RETENTION, now);
    let later = now + CRASH_RETENTION / 2;
    let unconfirmed = CrashRecord { tenant: None, request: request(1), replica: "r2".to_owned() };
    table.record_unconfirmed(unconfirmed, CRASH_RETENTION, later);
    record(&mut table, 1, "r3", later);
    let end = now + CRASH_RETENTION;
    assert_eq!(table.cleared(&request(1), end - Duration::from_millis(1)), 1);
    assert_eq!(table.cleared(&request(1), end), 0);
    assert_eq!(table.crashes(&request(1), end), 1);
}

#[test]
fn unconfirmed_crash_of_a_harmless_request_is_forgotten() {
    let (mut table, now) = (CrashTable::default(), Instant::now());
    let unconfirmed = CrashRecord { tenant: None, request: request(1), replica: "r1".to_owned() };
    table.record_unconfirmed(unconfirmed, CRASH_RETENTION, now);
    assert!(answer(&mut table, &["a"], HARMLESS_ANSWERS, now).is_empty());
    assert!(!table.is_suspect(&request(1), now));
    record(&mut table, 1, "r2", now);
    assert!(table.take_confirmed(&request(1)).is_empty());
}

#[test]
fn newest_crash_is_the_one_that_the_ledger_stored_last() {
    let (mut table, now) = (CrashTable::default(), Instant::now());
    assert_eq!(table.newest_crash(&request(1), now), None);
    let own = ["r1", "r3"];
    own.iter().for_each(|replica| record(&mut table, 1, replica, now));
    // The ledger stored the crash that another gateway found first.
    for replica in ["r2", "r1", "r3", "r4"] {
        table.record_stored(request(1), replica, CRASH_RETENTION, now);
        assert_eq!(table.newest_crash(&request(1), now), Some(replica));
    }
    // Another request has found the same crash.
    record(&mut table, 1, "r1", now);
    assert_eq!(table.newest_crash(&request(1), now), Some("r4"));
    for replica in ["r4", "r3", "r2", "r1"] {
        table.clear(request(1), replica, CRASH_RETENTION, now);
        assert_ne!(table.newest_crash(&request(1), now), Some(replica));
    }
    table.record_stored(request(1), "r1", CRASH_RETENTION, now);
    assert_eq!(table.newest_crash(&request(1), now), None);
    assert_eq!(table.newest_crash(&request(1), now + CRASH_RETENTION), None);
}

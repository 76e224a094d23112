//! Number and retention of the stream origins that the ledger keeps.

use std::time::Duration;

use calicohoist_ledger::commands::{
    Command, KEY_SEPARATOR, ORIGIN_CONFLICT, ORIGIN_RETENTION, SettleTurn, is_origin, read_origin,
    store_origin,
};
use calicohoist_ledger::server::replica::CLOCK_INTERVAL;
use calicohoist_ledger::server::replica::origins::{
    MAX_ORIGINS, ORIGIN_COUNT_INTERVAL, OriginQuota, PendingOrigin, resolve_conflict,
};
use calicohoist_ledger::state::HistoryPiece;
use calicohoist_ledger::{LedgerState, Output};
use calicohoist_replication::{GroupId, StateMachine};
use calicohoist_wire::encode;

fn origin() -> SettleTurn {
    origin_of(0)
}

fn origin_of(stream: usize) -> SettleTurn {
    store_origin(&format!("r{stream}"), b"origin".to_vec())
}

fn quota_holding(held: usize) -> OriginQuota {
    let mut quota = OriginQuota::default();
    quota.recount(held);
    quota
}

#[test]
fn origins_are_kept_in_full_while_few_streams_begin() {
    let mut settle = origin();
    assert!(quota_holding(MAX_ORIGINS / 2).admit(&mut settle));
    assert_eq!(Duration::from_millis(settle.retention_ms), ORIGIN_RETENTION + CLOCK_INTERVAL);
}

#[test]
fn origins_never_exceed_their_maximum() {
    let mut quota = OriginQuota::default();
    let is_admitted = |stream: &usize| quota.admit(&mut origin_of(*stream));
    let admitted = (0..2 * MAX_ORIGINS).filter(is_admitted).count();
    assert_eq!(admitted, MAX_ORIGINS);
    assert!(!quota_holding(MAX_ORIGINS).admit(&mut origin()));
}

/// Plays streams that begin at these rates, each for ten minutes. Returns the shortest retention in
/// seconds at the last one.
fn shortest_retention_s(rates_per_s: &[usize]) -> u64 {
    const SECONDS_PER_RATE: u64 = 600;
    let mut quota = OriginQuota::default();
    let mut expiries_ms = Vec::new();
    let mut shortest = Duration::MAX;
    let (mut second, mut streams) = (0, 0);
    for rate in rates_per_s {
        shortest = Duration::MAX;
        for _ in 0..SECONDS_PER_RATE {
            if second % ORIGIN_COUNT_INTERVAL.as_secs() == 0 {
                expiries_ms.retain(|expiry_ms| *expiry_ms > second * 1_000);
                quota.recount(expiries_ms.len());
            }
            for _ in 0..*rate {
                let mut settle = origin_of(streams);
                streams += 1;
                assert!(quota.admit(&mut settle), "no room at {rate} streams a second");
                // The clock of the state has last moved up to an interval ago.
                let retention = Duration::from_millis(settle.retention_ms) - CLOCK_INTERVAL;
                shortest = shortest.min(retention);
                expiries_ms.push(second * 1_000 + settle.retention_ms);
            }
            second += 1;
        }
    }
    shortest.as_secs()
}

/// A client that comes back 20 s after the loss of its gateway finds the origin of its stream.
#[test]
fn origins_outlast_a_long_return_at_a_steady_rate_of_streams() {
    const LONG_RETURN_S: u64 = 20;
    for rates_per_s in [&[10][..], &[200], &[600], &[1_500], &[100, 1_500], &[1_500, 100, 600]] {
        let shortest_s = shortest_retention_s(rates_per_s);
        assert!(shortest_s >= LONG_RETURN_S, "{shortest_s} s at {rates_per_s:?} streams a second");
    }
}

/// While a write takes long, gateways ask for it again and again.
#[test]
fn repeated_origins_count_once() {
    const STREAMS: usize = 500;
    const REPEATS_PER_INTERVAL: usize = 16;
    let mut quota = OriginQuota::default();
    for _ in 0..6 {
        quota.recount(0);
        for number in (0..REPEATS_PER_INTERVAL).flat_map(|_| 0..STREAMS) {
            let mut settle = origin_of(number);
            assert!(quota.admit(&mut settle));
            let retention = Duration::from_millis(settle.retention_ms);
            assert_eq!(retention, ORIGIN_RETENTION + CLOCK_INTERVAL);
        }
    }
}

#[test]
fn readers_extend_the_retention_as_far_as_new_origins_are_kept() {
    let mut quota = OriginQuota::default();
    let mut last = origin();
    for stream in 0.. {
        if last.retention_ms < origin().retention_ms {
            break;
        }
        last = origin_of(stream);
        assert!(quota.admit(&mut last));
    }
    let mut reserve = read_origin("r1", "r2");
    quota.limit_extension(&mut reserve);
    assert_eq!(reserve.retention_ms, last.retention_ms);
}

#[test]
fn other_turns_are_not_limited() {
    let mut quota = quota_holding(MAX_ORIGINS);
    for turn in ["r1".to_owned(), "origin".to_owned(), format!("{KEY_SEPARATOR}crash")] {
        assert!(!is_origin(&turn));
        let mut settle = SettleTurn { turn, ..origin() };
        assert!(quota.admit(&mut settle));
        assert_eq!(settle.retention_ms, origin().retention_ms);
    }
}

fn apply(state: &mut LedgerState, command: &Command) {
    assert_ne!(state.apply(&encode(command).expect("encode")), Output::Unreadable);
}

/// Stores an origin as a leader does. Returns whether it conflicts with an earlier one.
fn store(state: &mut LedgerState, stream: &str, record: &[u8]) -> bool {
    let command = Command::Settle(store_origin(stream, record.to_vec()));
    apply(state, &command);
    let pending = PendingOrigin::of(&command).expect("an origin");
    let conflict = pending.conflict(state.turns());
    if let Some(conflict) = &conflict {
        apply(state, &Command::Settle(conflict.clone()));
    }
    conflict.is_some()
}

/// Returns what a reader gets. It reads as a leader lets it, which extends the retention.
fn read(state: &mut LedgerState, stream: &str) -> Option<Vec<u8>> {
    let mut reserve = read_origin(stream, "reader");
    reserve.previous = resolve_conflict(state.turns(), reserve.previous.as_ref());
    apply(state, &Command::Reserve(reserve.clone()));
    let pieces = state.turns().history(reserve.previous.as_deref()?)?;
    match pieces[..] {
        [HistoryPiece::InMemory(bytes)] => Some(bytes.to_vec()),
        _ => panic!("{pieces:?} is not one record"),
    }
}

#[test]
fn origins_of_one_request_conflict_if_they_differ() {
    let mut state = LedgerState::new(GroupId(0));
    for (stream, record) in [("r1", b"v1"), ("r1", b"v1"), ("r2", b"v2")] {
        assert!(!store(&mut state, stream, record));
    }
    assert!(store(&mut state, "r1", b"v2"));
    assert_eq!(read(&mut state, "r1").as_deref(), Some(ORIGIN_CONFLICT));
    assert_eq!(read(&mut state, "r2").as_deref(), Some(&b"v2"[..]));
    assert_eq!(read(&mut state, "r3"), None);
}

/// Records on disk are compared by length and checksum.
#[test]
fn origins_on_disk_conflict_if_they_differ() {
    let mut state = LedgerState::new(GroupId(0));
    store(&mut state, "r1", b"v1");
    apply(&mut state, &Command::Seal);
    assert!(!store(&mut state, "r1", b"v1"));
    assert!(store(&mut state, "r1", b"v2"));
    assert_eq!(read(&mut state, "r1").as_deref(), Some(ORIGIN_CONFLICT));
}

/// However long readers ask, none gets the first record again.
#[test]
fn conflicts_outlast_the_record_of_the_first_origin() {
    const HALF_RETENTION: Duration = ORIGIN_RETENTION.checked_div(2).expect("not zero");
    let mut state = LedgerState::new(GroupId(0));
    store(&mut state, "r1", b"v1");
    assert!(store(&mut state, "r1", b"v2"));
    let elapsed_ms = HALF_RETENTION.as_millis() as u64;
    for _ in 0..8 {
        apply(&mut state, &Command::Advance { elapsed_ms });
        assert_eq!(read(&mut state, "r1").as_deref(), Some(ORIGIN_CONFLICT));
    }
    let mut last = Vec::new();
    for _ in 0..8 {
        apply(&mut state, &Command::Advance { elapsed_ms });
        last.push(resolve_conflict(state.turns(), read_origin("r1", "r").previous.as_ref()));
        let first = read_origin("r1", "r").previous.expect("a key");
        assert!(!state.turns().contains(&first));
    }
    assert_eq!(last.last(), Some(&read_origin("r1", "r").previous), "the conflict never expires");
}

//! Number and retention of the stream origins that the ledger keeps.

use std::time::Duration;

use calicohoist_ledger::commands::{
    KEY_SEPARATOR, ORIGIN_RETENTION, SettleTurn, is_origin, read_origin, store_origin,
};
use calicohoist_ledger::server::replica::CLOCK_INTERVAL;
use calicohoist_ledger::server::replica::origins::{
    MAX_ORIGINS, ORIGIN_COUNT_INTERVAL, OriginQuota,
};

fn origin() -> SettleTurn {
    store_origin("r1", b"origin".to_vec())
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
    let admitted = (0..2 * MAX_ORIGINS).filter(|_| quota.admit(&mut origin())).count();
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
    let mut second = 0;
    for rate in rates_per_s {
        shortest = Duration::MAX;
        for _ in 0..SECONDS_PER_RATE {
            if second % ORIGIN_COUNT_INTERVAL.as_secs() == 0 {
                expiries_ms.retain(|expiry_ms| *expiry_ms > second * 1_000);
                quota.recount(expiries_ms.len());
            }
            for _ in 0..*rate {
                let mut settle = origin();
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

#[test]
fn readers_extend_the_retention_as_far_as_new_origins_are_kept() {
    let mut quota = OriginQuota::default();
    let mut last = origin();
    while last.retention_ms >= origin().retention_ms {
        last = origin();
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

//! Which crash records the gateways have received.

use std::time::Instant;

use calicohoist_ledger::protocol::TermVersion;
use calicohoist_ledger::server::receipts::{CrashReceipts, GATEWAY_SILENCE};

fn mark(term: u64, change: u64) -> TermVersion {
    TermVersion { term, change }
}

#[test]
fn record_is_received_once_every_gateway_that_watches_has_it() {
    let (receipts, start) = (CrashReceipts::default(), Instant::now());
    receipts.term_start(3, start);
    let now = start + GATEWAY_SILENCE;
    assert!(!receipts.record("front-1", mark(3, 1), now));
    assert!(!receipts.record("front-2", mark(3, 0), now));
    assert!(!receipts.is_received(3, 1, now));
    assert!(receipts.record("front-2", mark(3, 1), now));
    assert!(receipts.is_received(3, 1, now));
    assert!(!receipts.is_received(3, 2, now));
}

#[test]
fn gateway_that_no_longer_watches_is_not_waited_for() {
    let (receipts, start) = (CrashReceipts::default(), Instant::now());
    receipts.term_start(3, start);
    receipts.record("front-1", mark(3, 0), start + GATEWAY_SILENCE);
    assert!(!receipts.is_received(3, 1, start + GATEWAY_SILENCE));
    assert!(receipts.is_received(3, 1, start + 2 * GATEWAY_SILENCE));
}

#[test]
fn new_leader_waits_until_it_knows_the_gateways() {
    let (receipts, start) = (CrashReceipts::default(), Instant::now());
    receipts.term_start(3, start);
    assert!(receipts.is_received(3, 1, start + GATEWAY_SILENCE));
    assert!(!receipts.is_received(4, 1, start + GATEWAY_SILENCE));
    assert!(receipts.is_received(4, 1, start + 2 * GATEWAY_SILENCE));
}

#[test]
fn records_of_an_earlier_leader_do_not_count() {
    let (receipts, start) = (CrashReceipts::default(), Instant::now());
    receipts.term_start(4, start);
    let now = start + GATEWAY_SILENCE;
    receipts.record("front-1", mark(3, 9), now);
    assert!(!receipts.is_received(4, 1, now));
}

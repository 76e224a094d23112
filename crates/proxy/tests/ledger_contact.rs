//! A gateway does not count itself as following the ledger for longer than the leader waits for it, in
//! virtual time, over messages that are late or lost and gateways that stand still.

use std::time::{Duration, Instant};

use calicohoist_ledger::protocol::{CRASH_RECORDS_VERSION, TermVersion};
use calicohoist_ledger::server::receipts::CrashReceipts;
use calicohoist_proxy::ledger_contact::{
    LeaderAnswer, LedgerContact, MAX_ANSWER_TIME, MAX_FOLLOWER_SILENCE, given_at,
};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const TERM: u64 = 1;
/// Time for which a leader holds a watch without an update.
const HOLD_MS: u64 = 500;
const STEP: Duration = Duration::from_millis(10);

/// One watch of a gateway, which sends the next one when it has the answer.
#[derive(Clone, Debug)]
struct Watch {
    /// Time until the leader has it, in ms; `None` if it is lost.
    to_leader_ms: Option<u64>,
    /// Time from the answer until the gateway reads it, which may stand still, in ms.
    to_gateway_ms: u64,
}

fn watch() -> impl Strategy<Value = Watch> {
    let delay_ms = || prop_oneof![6 => 0..40u64, 1 => 0..2_000u64];
    let to_gateway_ms = prop_oneof![8 => delay_ms(), 1 => 0..30_000u64];
    let to_leader_ms = prop_oneof![8 => delay_ms().prop_map(Some), 1 => Just(None)];
    (to_leader_ms, to_gateway_ms)
        .prop_map(|(to_leader_ms, to_gateway_ms)| Watch { to_leader_ms, to_gateway_ms })
}

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn answer(sent_at: Instant, read_at: Instant) -> LeaderAnswer {
    LeaderAnswer {
        given_at: given_at(sent_at, read_at),
        version: CRASH_RECORDS_VERSION,
        dropped_connections: 0,
    }
}

/// Plays watches of a gateway. A crash is recorded at `recorded_at`, and sent with the answer to the first
/// watch that the leader has not answered by then.
fn play(watches: &[Watch], recorded_at: Duration) {
    let start = Instant::now();
    let (receipts, mut contact) = (CrashReceipts::default(), LedgerContact::default());
    receipts.term_start(TERM, start);
    let recorded_at = start + recorded_at;
    let mut sent_at = start;
    for Watch { to_leader_ms, to_gateway_ms } in watches {
        let Some(to_leader_ms) = to_leader_ms else {
            break;
        };
        let at_leader = sent_at + ms(*to_leader_ms);
        let (held_until, gets_record) = match recorded_at {
            at if at <= at_leader => (at_leader, true),
            at if at <= at_leader + ms(HOLD_MS) => (at, true),
            _ => (at_leader + ms(HOLD_MS), false),
        };
        let read_at = held_until + ms(*to_gateway_ms);
        check(&receipts, &contact, recorded_at, sent_at..at_leader);
        receipts.record("front-1", TermVersion { term: TERM, change: 0 }, at_leader);
        check(&receipts, &contact, recorded_at, at_leader..read_at);
        if gets_record {
            return;
        }
        contact.record_answer(answer(sent_at, read_at));
        sent_at = read_at;
    }
    check(&receipts, &contact, recorded_at, sent_at..sent_at + ms(5_000));
}

/// Checks a time in which the gateway does not have the record.
fn check(
    receipts: &CrashReceipts,
    contact: &LedgerContact,
    recorded_at: Instant,
    time: std::ops::Range<Instant>,
) {
    let mut now = time.start.max(recorded_at);
    let mut is_acknowledged = false;
    while now < time.end {
        is_acknowledged |= receipts.is_received(TERM, 1, now);
        let follows = contact.follows_ledger(0, now);
        assert!(!(is_acknowledged && follows), "{:?} after the record", now - recorded_at);
        now += STEP;
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 1_000,
        rng_seed: RngSeed::Fixed(98),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn no_crash_is_acknowledged_while_a_gateway_without_it_follows_the_ledger(
        watches in proptest::collection::vec(watch(), 1..20), recorded_at_ms in 0..10_000u64
    ) {
        play(&watches, ms(recorded_at_ms));
    }
}

/// Answers of a leader that is in touch, each at the latest time at which it counts as usual.
#[test]
fn gateway_in_touch_follows_the_ledger_all_the_time() {
    let mut contact = LedgerContact::default();
    let mut sent_at = Instant::now();
    for _ in 0..10 {
        let answered_at = sent_at + MAX_ANSWER_TIME;
        contact.record_answer(answer(sent_at, answered_at));
        assert!(contact.follows_ledger(0, answered_at + MAX_ANSWER_TIME));
        assert!(contact.is_current(answered_at + MAX_ANSWER_TIME));
        sent_at = answered_at;
    }
    let end = sent_at + MAX_FOLLOWER_SILENCE;
    assert!(!contact.follows_ledger(0, end));
}

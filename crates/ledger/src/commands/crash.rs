//! Records of crashed replicas, and permission to send a request under which replicas crashed.
//!
//! A record has the form of a retained turn with a key of its own: ledger machines of every build
//! store it until it expires, also while two builds run side by side. Sends are permitted by a
//! token account per request, which has one token for each crash that may happen: a crash uses a
//! token up, and a send holds one until its outcome is known.
//!
//! A crash is cleared by a second record with a key of its own, which ledger machines of earlier
//! builds store as well and do not distribute. A cleared crash stays charged; the account has another
//! token instead.
//!
//! An answer since the newest crash is reported by a turn that is neither charged nor retained. The
//! leader adds the answers of all gateways up without storing them; ledger machines of earlier builds
//! ignore them.

use std::time::Duration;

use calicohoist_quarantine::{
    CLEARED_CHARGE_RETENTION, CRASH_CHARGE_RETENTION, CRASH_RETENTION, CrashRecord, MAX_CRASHES,
    RequestFingerprint,
};

use super::{KEY_SEPARATOR, ProgramId, ReserveTurn, RetainedTurn, SettleTurn, TurnId};

/// Second part of the keys of crash records. The first one is empty, as in no key of a turn.
const CRASH_KEYS: &str = "crash";
/// Second part of the keys of cleared crashes.
const CLEARED_KEYS: &str = "cleared";
/// Second part of the keys of answers.
const ANSWER_KEYS: &str = "answer";
/// Second part of the keys of the accounts of requests.
const ACCOUNT_KEYS: &str = "sends";

/// Returns the beginning of the keys of all crash records.
pub fn crash_key_prefix() -> String {
    key_prefix(CRASH_KEYS)
}

/// Returns the beginning of the keys of all cleared crashes.
pub fn cleared_key_prefix() -> String {
    key_prefix(CLEARED_KEYS)
}

/// Returns the command that stores a record. It may be repeated.
pub fn store_crash(record: &CrashRecord) -> SettleTurn {
    store(CRASH_KEYS, record)
}

/// Returns the command that clears a crash, whether its record is stored before or after that. It may
/// be repeated.
pub fn clear_crash(record: &CrashRecord) -> SettleTurn {
    store(CLEARED_KEYS, record)
}

/// Returns the commands with which a gateway clears a crash. The account of the request counts it for as
/// long as gateways know that it was cleared, and so permit a further send.
pub fn clear_commands(record: &CrashRecord) -> [SettleTurn; 2] {
    [charge(record, CLEARED_CHARGE_RETENTION), clear_crash(record)]
}

fn store(keys: &str, record: &CrashRecord) -> SettleTurn {
    let input = record.replica.as_bytes().to_vec();
    SettleTurn {
        program: None,
        turn: record_key(keys, record),
        used_tokens: 0,
        retention_ms: millis(CRASH_RETENTION),
        retained: Some(RetainedTurn { previous: None, input, output: Vec::new() }),
        run: None,
    }
}

/// Returns the report that `replica` has answered the request since this crash, the newest one under
/// it.
pub fn report_answer(newest: &CrashRecord, replica: &str) -> SettleTurn {
    let key = record_key(ANSWER_KEYS, newest);
    SettleTurn {
        program: None,
        turn: format!("{key}{KEY_SEPARATOR}{replica}"),
        used_tokens: 0,
        retention_ms: 0,
        retained: None,
        run: None,
    }
}

/// Returns the newest crash and the replica of the answer that has this key; `None` for the key of
/// anything else.
pub fn find_answer(key: &str) -> Option<(CrashRecord, String)> {
    let (newest, replica) = key.rsplit_once(KEY_SEPARATOR)?;
    Some((find_record(ANSWER_KEYS, newest)?, replica.to_owned()))
}

/// Returns the command that charges a crash to the account of the request. It may be repeated, and
/// a replica is charged once, whichever gateway reports it.
pub fn charge_crash(record: &CrashRecord) -> SettleTurn {
    charge(record, CRASH_CHARGE_RETENTION)
}

fn charge(record: &CrashRecord, retention: Duration) -> SettleTurn {
    settle_send(&record.request, replica_charge(&record.replica), 1, retention)
}

/// Returns the command that permits one send of a request under which replicas have crashed, unless
/// the crashes and the sends under way use up its account, which has a token more for each of the
/// `cleared` crashes. `send` is unique.
pub fn reserve_send(request: &RequestFingerprint, send: &str, cleared: usize) -> ReserveTurn {
    ReserveTurn {
        program: Some(account_of(request)),
        turn: send_charge(send),
        most_tokens: 1,
        budget: (MAX_CRASHES + cleared) as u64,
        previous: None,
        retention_ms: millis(CRASH_RETENTION),
    }
}

/// Returns the command that ends a permitted send, after any crash under it was charged.
pub fn release_send(request: &RequestFingerprint, send: &str) -> SettleTurn {
    settle_send(request, send_charge(send), 0, CRASH_RETENTION)
}

fn settle_send(
    request: &RequestFingerprint,
    charge: TurnId,
    used_tokens: u64,
    retention: Duration,
) -> SettleTurn {
    SettleTurn {
        program: Some(account_of(request)),
        turn: charge,
        used_tokens,
        retention_ms: millis(retention),
        retained: None,
        run: None,
    }
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

/// Keys of accounts begin with the separator, as in no id of a program.
fn account_of(request: &RequestFingerprint) -> ProgramId {
    format!("{KEY_SEPARATOR}{ACCOUNT_KEYS}{KEY_SEPARATOR}{request}")
}

fn send_charge(send: &str) -> TurnId {
    format!("{KEY_SEPARATOR}send{KEY_SEPARATOR}{send}")
}

fn replica_charge(replica: &str) -> TurnId {
    format!("{KEY_SEPARATOR}replica{KEY_SEPARATOR}{replica}")
}

fn key_prefix(keys: &str) -> String {
    format!("{KEY_SEPARATOR}{keys}{KEY_SEPARATOR}")
}

/// Returns the key of a crash record.
pub fn crash_key(record: &CrashRecord) -> TurnId {
    record_key(CRASH_KEYS, record)
}

/// Returns the key of a cleared crash.
pub fn cleared_key(record: &CrashRecord) -> TurnId {
    record_key(CLEARED_KEYS, record)
}

fn record_key(keys: &str, record: &CrashRecord) -> TurnId {
    let CrashRecord { tenant, request, replica } = record;
    let tenant = tenant.as_deref().unwrap_or_default();
    let prefix = key_prefix(keys);
    format!("{prefix}{tenant}{KEY_SEPARATOR}{request}{KEY_SEPARATOR}{replica}")
}

/// Returns the crash whose record has this key; `None` for the key of anything else.
pub fn find_crash(key: &str) -> Option<CrashRecord> {
    find_record(CRASH_KEYS, key)
}

/// Returns the crash that the record with this key clears; `None` for the key of anything else.
pub fn find_cleared_crash(key: &str) -> Option<CrashRecord> {
    find_record(CLEARED_KEYS, key)
}

fn find_record(keys: &str, key: &str) -> Option<CrashRecord> {
    let key = key.strip_prefix(KEY_SEPARATOR)?.strip_prefix(keys)?;
    let mut parts = key.strip_prefix(KEY_SEPARATOR)?.splitn(3, KEY_SEPARATOR);
    let tenant = parts.next()?;
    let request = parts.next()?.parse().ok()?;
    let replica = parts.next()?.to_owned();
    let tenant = (!tenant.is_empty()).then(|| tenant.to_owned());
    Some(CrashRecord { tenant, request, replica })
}

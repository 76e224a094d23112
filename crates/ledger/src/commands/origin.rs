//! Records of what began a stream, which tell where a client may resume it.
//!
//! A record has the form of a retained turn with a key of its own: ledger machines of every build
//! store it until it expires, also while two builds run side by side.

use std::time::Duration;

use super::{KEY_SEPARATOR, ReserveTurn, RetainedTurn, SettleTurn, TurnId};

/// Time after the beginning or the last resumption of a stream for which its record is kept, unless
/// there are many.
pub const ORIGIN_RETENTION: Duration = Duration::from_secs(300);
/// Second part of the keys of records. The first one is empty, as in no key of a turn.
const ORIGIN_KEYS: &str = "origin";
/// Second part of the keys of conflicts.
const CONFLICT_KEYS: &str = "origin-conflict";
/// Content of a conflict, which no build can decode as a record: a request id has begun streams of
/// different origins.
pub const ORIGIN_CONFLICT: &[u8] = &[u8::MAX];
/// A conflict outlasts the record that it replaces.
const CONFLICT_RETENTION: Duration = ORIGIN_RETENTION.saturating_mul(2);

/// Returns the beginning of the keys of all records.
pub fn origin_key_prefix() -> String {
    format!("{KEY_SEPARATOR}{ORIGIN_KEYS}{KEY_SEPARATOR}")
}

/// Returns the command that stores the record of the stream that the request `stream` begins. It may
/// be repeated.
pub fn store_origin(stream: &str, record: Vec<u8>) -> SettleTurn {
    SettleTurn {
        program: None,
        turn: origin_key(stream),
        used_tokens: 0,
        retention_ms: millis(ORIGIN_RETENTION),
        retained: Some(RetainedTurn { previous: None, input: record, output: Vec::new() }),
        run: None,
    }
}

/// Returns the key of the conflict of the record with the given key; `None` if it is not one of a
/// record.
pub fn origin_conflict_key(origin: &str) -> Option<TurnId> {
    let stream = origin.strip_prefix(&origin_key_prefix())?;
    Some(format!("{KEY_SEPARATOR}{CONFLICT_KEYS}{KEY_SEPARATOR}{stream}"))
}

/// Returns the command that stores a conflict under its key.
pub fn store_origin_conflict(key: TurnId) -> SettleTurn {
    let input = ORIGIN_CONFLICT.to_vec();
    SettleTurn {
        program: None,
        turn: key,
        used_tokens: 0,
        retention_ms: millis(CONFLICT_RETENTION),
        retained: Some(RetainedTurn { previous: None, input, output: Vec::new() }),
        run: None,
    }
}

/// Returns the command that reads the record of the stream that the request `stream` began, for the
/// request `reader`, and keeps it for longer.
pub fn read_origin(stream: &str, reader: &str) -> ReserveTurn {
    ReserveTurn {
        program: None,
        turn: origin_key(reader),
        most_tokens: 0,
        budget: u64::MAX,
        previous: Some(origin_key(stream)),
        retention_ms: millis(ORIGIN_RETENTION),
    }
}

/// Returns whether a key is that of a record.
pub fn is_origin(key: &str) -> bool {
    let key = key.strip_prefix(KEY_SEPARATOR).and_then(|key| key.strip_prefix(ORIGIN_KEYS));
    key.is_some_and(|key| key.starts_with(KEY_SEPARATOR))
}

fn origin_key(request: &str) -> TurnId {
    format!("{}{request}", origin_key_prefix())
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

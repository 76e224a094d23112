//! How long the accounts of programs are kept.
//!
//! A program may be idle for longer than its route keeps turns, and must not get its budget again
//! when it goes on. Its account is therefore kept for longer than its turns, as far as memory allows.

use std::time::Duration;

use crate::commands::{Command, ReserveTurn, SettleTurn, is_program};
use crate::state::LedgerState;

/// Time after its last use for which an account is kept while there are few.
pub const ACCOUNT_RETENTION: Duration = Duration::from_secs(600);
/// Number of charges from which accounts are kept for no longer than their routes ask. A charge takes
/// about 130 bytes.
pub const MAX_IDLE_CHARGES: usize = 16_384;

/// Lengthens the retention of a command that affects an account and no turn, while all accounts hold
/// `charges` charges.
pub fn extend_account(command: &mut Command, charges: usize) {
    let (program, retention_ms) = match command {
        Command::Reserve(ReserveTurn { program, previous: None, retention_ms, .. })
        | Command::Settle(SettleTurn { program, retained: None, retention_ms, .. }) => {
            (program, retention_ms)
        }
        _ => return,
    };
    if program.as_deref().is_some_and(is_program) {
        *retention_ms = (*retention_ms).max(idle_retention_ms(charges));
    }
}

/// Returns whether a reservation can be rejected for its budget without an entry of the log, so that a
/// program that goes on asking does not fill it. Its account must be kept for its retention. The applied
/// state lags by `lag_ms`, if that is known.
pub fn is_rejected_at_once(
    state: &LedgerState,
    reserve: &ReserveTurn,
    lag_ms: Option<u64>,
) -> bool {
    lag_ms.is_some_and(|lag_ms| state.has_spent_budget(reserve, lag_ms))
}

/// Lengthens a reservation that will be rejected unless its account expires first, so that most further
/// ones need no entry of the log.
pub fn extend_rejected(state: &LedgerState, reserve: &mut ReserveTurn) {
    if reserve.program.as_deref().is_some_and(is_program) && state.will_reject(reserve) {
        reserve.retention_ms = reserve.retention_ms.saturating_mul(2);
    }
}

/// Returns how long an idle account is kept, in ms: the less, the more charges there are.
fn idle_retention_ms(charges: usize) -> u64 {
    let longest_ms = u64::try_from(ACCOUNT_RETENTION.as_millis()).unwrap_or(u64::MAX);
    let room = MAX_IDLE_CHARGES.saturating_sub(charges);
    longest_ms * room as u64 / MAX_IDLE_CHARGES as u64
}

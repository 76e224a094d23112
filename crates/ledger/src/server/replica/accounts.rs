//! How long the accounts of programs are kept.
//!
//! A program may be idle for longer than its route keeps turns, and must not get its budget again
//! when it goes on. Its account is therefore kept for longer than its turns, as far as the number of
//! accounts allows.

use std::time::Duration;

use crate::commands::{Command, ReserveTurn, SettleTurn, is_program};
use crate::state::LedgerState;

/// Time after its last use for which an account is kept while there are few.
pub const ACCOUNT_RETENTION: Duration = Duration::from_secs(600);
/// Number of accounts from which each is kept for no longer than its route asks. An account with
/// some turns takes about 1 KB.
pub const MAX_IDLE_ACCOUNTS: usize = 2_048;

/// Lengthens the retention of a command that affects an account and no turn; `held` accounts are held.
pub fn extend_account(command: &mut Command, held: usize) {
    let (program, retention_ms) = match command {
        Command::Reserve(ReserveTurn { program, previous: None, retention_ms, .. })
        | Command::Settle(SettleTurn { program, retained: None, retention_ms, .. }) => {
            (program, retention_ms)
        }
        _ => return,
    };
    if program.as_deref().is_some_and(is_program) {
        *retention_ms = (*retention_ms).max(idle_retention_ms(held));
    }
}

/// Returns whether a reservation can be rejected for its budget without an entry of the log, so that a
/// program that goes on asking does not fill it. The clock of the state lags by `lag_ms`.
///
/// One whose account would then expire too early is applied instead. It needs no history, and keeps the
/// account so long that most further ones need no entry.
pub fn is_rejected_at_once(state: &LedgerState, reserve: &mut ReserveTurn, lag_ms: u64) -> bool {
    if !state.will_reject(reserve) {
        return false;
    }
    if state.keeps_account(reserve, lag_ms) {
        return true;
    }
    reserve.previous = None;
    if reserve.program.as_deref().is_some_and(is_program) {
        reserve.retention_ms = reserve.retention_ms.saturating_mul(2);
    }
    false
}

/// Returns how long an idle account is kept, in ms: the less, the more accounts there are.
fn idle_retention_ms(held: usize) -> u64 {
    let longest_ms = u64::try_from(ACCOUNT_RETENTION.as_millis()).unwrap_or(u64::MAX);
    let room = MAX_IDLE_ACCOUNTS.saturating_sub(held);
    longest_ms * room as u64 / MAX_IDLE_ACCOUNTS as u64
}

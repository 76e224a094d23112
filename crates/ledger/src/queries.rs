//! Read-only queries on the state; callers confirm leadership with a quorum first.

use crate::commands::TurnId;
use crate::state::{HistoryPiece, LedgerState, VersionedConfiguration};

/// Returns the current configuration, or `None` if none has been stored yet.
pub fn configuration(state: &LedgerState) -> Option<&VersionedConfiguration> {
    let held = state.configuration();
    (held.version > 0).then_some(held)
}

/// Returns all input and output before a turn that continues from `previous`, oldest first, or
/// `None` if part of it is no longer retained.
pub fn history<'a>(
    state: &'a LedgerState,
    previous: Option<&TurnId>,
) -> Option<Vec<HistoryPiece<'a>>> {
    match previous {
        Some(previous) => state.turns().history(previous),
        None => Some(Vec::new()),
    }
}

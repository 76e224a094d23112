//! What is read from the state, once a quorum stands behind the reader.

use crate::commands::TurnId;
use crate::state::{HistoryPiece, LedgerState, VersionedConfiguration};

/// The configuration in force; `None` before the first.
pub fn configuration(state: &LedgerState) -> Option<&VersionedConfiguration> {
    let held = state.configuration();
    (held.version > 0).then_some(held)
}

/// All input and output before a turn that continues from `previous`, oldest first;
/// `None` when part of it is not kept.
pub fn history<'a>(
    state: &'a LedgerState,
    previous: Option<&TurnId>,
) -> Option<Vec<HistoryPiece<'a>>> {
    match previous {
        Some(previous) => state.turns().history(previous),
        None => Some(Vec::new()),
    }
}

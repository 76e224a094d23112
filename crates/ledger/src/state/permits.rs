//! Permits that leaders have issued lately.
//!
//! Every machine sees them in the log, so that whoever leads next counts them towards the
//! limits of their tenants.

use std::collections::VecDeque;

use calicohoist_limiter::IssuedPermits;
use serde::{Deserialize, Serialize};

/// Time for which notes are kept, in ms: longer than the longest window with the life of a
/// permit in it, which is no longer than a window.
pub const KEPT_MS: u64 = 30_000;

/// Permits issued within a short time.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PermitNote {
    /// Counts all notes, from 1 on.
    pub number: u64,
    /// When, on the clock of the notes, in ms.
    pub at_ms: u64,
    /// By tenant.
    pub issued: Vec<IssuedPermits>,
}

/// The newest notes.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PermitNotes {
    /// Time that leaders have counted between notes, in ms; less than true time.
    clock_ms: u64,
    /// Number of the newest note.
    newest: u64,
    notes: VecDeque<PermitNote>,
}

impl PermitNotes {
    /// Adds what was issued since the last note.
    pub fn add(&mut self, issued: Vec<IssuedPermits>, elapsed_ms: u64) {
        self.clock_ms += elapsed_ms;
        let oldest = self.clock_ms.saturating_sub(KEPT_MS);
        while self.notes.front().is_some_and(|note| note.at_ms < oldest) {
            self.notes.pop_front();
        }
        self.newest += 1;
        self.notes.push_back(PermitNote { number: self.newest, at_ms: self.clock_ms, issued });
    }

    /// Time on the clock of the notes, in ms.
    pub fn clock_ms(&self) -> u64 {
        self.clock_ms
    }

    /// Number of the newest note; 0 before the first.
    pub fn newest(&self) -> u64 {
        self.newest
    }

    /// The notes after a number, oldest first, as far as they are kept.
    pub fn after(&self, number: u64) -> impl Iterator<Item = &PermitNote> {
        self.notes.iter().skip_while(move |note| note.number <= number)
    }
}

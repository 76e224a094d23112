//! The log of one group in memory: the tail after the last snapshot.

use std::sync::Arc;

use crate::message::{Entry, EntryKind, Index, Membership, Snapshot, Term};

/// Entries after the snapshot, the snapshot, and the membership they imply.
#[derive(Debug)]
pub(crate) struct RaftLog {
    snapshot: Arc<Snapshot>,
    entries: Vec<Entry>,
    /// Where the entries that change the membership are: every step asks for the
    /// newest, and a search through all entries grew with the log.
    changes: Vec<Index>,
}

impl RaftLog {
    pub(crate) fn new(snapshot: Arc<Snapshot>, entries: Vec<Entry>) -> Self {
        let changes = entries.iter().filter(|entry| changes_membership(entry));
        let changes = changes.map(|entry| entry.index).collect();
        Self { snapshot, entries, changes }
    }

    pub(crate) fn snapshot(&self) -> &Arc<Snapshot> {
        &self.snapshot
    }

    pub(crate) fn entries(&self) -> &[Entry] {
        &self.entries
    }

    pub(crate) fn last_index(&self) -> Index {
        self.entries.last().map_or(self.snapshot.index, |entry| entry.index)
    }

    pub(crate) fn last_term(&self) -> Term {
        self.entries.last().map_or(self.snapshot.term, |entry| entry.term)
    }

    /// Term at `index`; `None` when the log does not hold it.
    pub(crate) fn term_at(&self, index: Index) -> Option<Term> {
        if index == self.snapshot.index {
            return Some(self.snapshot.term);
        }
        self.get(index).map(|entry| entry.term)
    }

    fn get(&self, index: Index) -> Option<&Entry> {
        let offset = index.checked_sub(self.snapshot.index + 1)?;
        self.entries.get(usize::try_from(offset).ok()?)
    }

    /// Entries from `from` on, at most `limit` of them and about `bytes` bytes.
    pub(crate) fn slice(&self, from: Index, limit: usize, bytes: usize) -> Vec<Entry> {
        let offset = from.saturating_sub(self.snapshot.index + 1) as usize;
        let tail = self.entries.get(offset..).unwrap_or_default();
        let mut taken = 0;
        let fits = |entry: &&Entry| {
            let fits_yet = taken < bytes;
            taken += entry_bytes(entry);
            fits_yet
        };
        tail.iter().take(limit).take_while(fits).cloned().collect()
    }

    /// Entries in `(after, up_to]`.
    pub(crate) fn between(&self, after: Index, up_to: Index) -> Vec<Entry> {
        let offset = |index: Index| index.saturating_sub(self.snapshot.index) as usize;
        let wanted = self.entries.get(offset(after)..offset(up_to).min(self.entries.len()));
        wanted.unwrap_or_default().to_vec()
    }

    pub(crate) fn push(&mut self, entry: Entry) {
        debug_assert_eq!(entry.index, self.last_index() + 1);
        if changes_membership(&entry) {
            self.changes.push(entry.index);
        }
        self.entries.push(entry);
    }

    /// Drops the entries from `from` on.
    pub(crate) fn truncate_from(&mut self, from: Index) {
        let keep = from.saturating_sub(self.snapshot.index + 1) as usize;
        self.entries.truncate(keep);
        self.changes.retain(|index| *index < from);
    }

    /// Replaces everything by a snapshot.
    pub(crate) fn reset(&mut self, snapshot: Arc<Snapshot>) {
        self.snapshot = snapshot;
        self.entries.clear();
        self.changes.clear();
    }

    /// Drops the entries that a new snapshot covers.
    pub(crate) fn compact(&mut self, snapshot: Arc<Snapshot>) {
        let index = snapshot.index;
        self.entries.retain(|entry| entry.index > index);
        self.changes.retain(|change| *change > index);
        self.snapshot = snapshot;
    }

    /// First index whose term equals that of `index`, or the first after the snapshot.
    pub(crate) fn first_of_term_at(&self, index: Index) -> Index {
        let Some(term) = self.term_at(index) else {
            return self.snapshot.index + 1;
        };
        let first = self.entries.iter().find(|entry| entry.term == term);
        first.map_or(self.snapshot.index + 1, |entry| entry.index)
    }

    /// The newest membership in the log; it holds from the moment it is appended.
    pub(crate) fn membership(&self) -> (Index, &Membership) {
        let newest = self.changes.last().and_then(|index| self.change_at(*index));
        newest.unwrap_or((self.snapshot.index, &self.snapshot.membership))
    }

    fn change_at(&self, index: Index) -> Option<(Index, &Membership)> {
        match &self.get(index)?.kind {
            EntryKind::Membership(membership) => Some((index, membership)),
            EntryKind::Empty | EntryKind::Command(_) => None,
        }
    }

    /// The membership that held at `index`.
    pub(crate) fn membership_at(&self, index: Index) -> Membership {
        let newest = self.changes.iter().rev().find(|change| **change <= index);
        let newest = newest.and_then(|change| self.change_at(*change));
        newest.map_or_else(|| self.snapshot.membership.clone(), |(_, found)| found.clone())
    }
}

fn changes_membership(entry: &Entry) -> bool {
    matches!(entry.kind, EntryKind::Membership(_))
}

fn entry_bytes(entry: &Entry) -> usize {
    match &entry.kind {
        EntryKind::Command(command) => command.len(),
        EntryKind::Empty | EntryKind::Membership(_) => 0,
    }
}

//! In-memory log of one group: the last snapshot and the entries after it.

use std::sync::Arc;

use crate::message::{Entry, EntryKind, Index, Membership, Snapshot, Term};

/// Last snapshot, the entries after it, and the resulting membership.
#[derive(Debug)]
pub(crate) struct RaftLog {
    snapshot: Arc<Snapshot>,
    entries: Vec<Entry>,
    /// Indices of the entries that change the membership, which avoids scanning the log.
    membership_changes: Vec<Index>,
}

impl RaftLog {
    pub(crate) fn new(snapshot: Arc<Snapshot>, entries: Vec<Entry>) -> Self {
        let membership_changes = entries.iter().filter(|entry| is_membership_change(entry));
        let membership_changes = membership_changes.map(|entry| entry.index).collect();
        Self { snapshot, entries, membership_changes }
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

    /// Term of the entry at `index`, or `None` if it is not in the log.
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

    /// Returns at most `limit` entries from index `from` on, with about `max_bytes` of commands.
    pub(crate) fn slice(&self, from: Index, limit: usize, max_bytes: usize) -> Vec<Entry> {
        let offset = from.saturating_sub(self.snapshot.index + 1) as usize;
        let tail = self.entries.get(offset..).unwrap_or_default();
        let mut size = 0;
        let fits = |entry: &&Entry| {
            let has_room = size < max_bytes;
            size += entry.command_bytes();
            has_room
        };
        tail.iter().take(limit).take_while(fits).cloned().collect()
    }

    /// Returns the entries in `(after, up_to]`.
    pub(crate) fn entries_between(&self, after: Index, up_to: Index) -> Vec<Entry> {
        let offset = |index: Index| index.saturating_sub(self.snapshot.index) as usize;
        let wanted = self.entries.get(offset(after)..offset(up_to).min(self.entries.len()));
        wanted.unwrap_or_default().to_vec()
    }

    /// Size of the commands of the entries after index `after`, in bytes.
    pub(crate) fn command_bytes_after(&self, after: Index) -> usize {
        let offset = after.saturating_sub(self.snapshot.index) as usize;
        let counted = self.entries.get(offset..).unwrap_or_default();
        counted.iter().map(Entry::command_bytes).sum()
    }

    pub(crate) fn push(&mut self, entry: Entry) {
        debug_assert_eq!(entry.index, self.last_index() + 1);
        if is_membership_change(&entry) {
            self.membership_changes.push(entry.index);
        }
        self.entries.push(entry);
    }

    /// Removes the entries from index `from` on.
    pub(crate) fn truncate_from(&mut self, from: Index) {
        let kept = from.saturating_sub(self.snapshot.index + 1) as usize;
        self.entries.truncate(kept);
        self.membership_changes.retain(|index| *index < from);
    }

    /// Replaces the whole log with a snapshot.
    pub(crate) fn reset(&mut self, snapshot: Arc<Snapshot>) {
        self.snapshot = snapshot;
        self.entries.clear();
        self.membership_changes.clear();
    }

    /// Drops the data of the last snapshot, which is stored.
    pub(crate) fn unload_snapshot(&mut self) {
        if self.snapshot.data.loaded().is_some_and(|data| !data.is_empty()) {
            self.snapshot = Arc::new(self.snapshot.unloaded());
        }
    }

    /// Removes the entries covered by a new snapshot.
    pub(crate) fn compact(&mut self, snapshot: Arc<Snapshot>) {
        let index = snapshot.index;
        self.entries.retain(|entry| entry.index > index);
        self.membership_changes.retain(|change| *change > index);
        self.snapshot = snapshot;
    }

    /// First index with the same term as the entry at `index`, or the first index after the
    /// snapshot.
    pub(crate) fn first_index_of_term_at(&self, index: Index) -> Index {
        let Some(term) = self.term_at(index) else {
            return self.snapshot.index + 1;
        };
        let first = self.entries.iter().find(|entry| entry.term == term);
        first.map_or(self.snapshot.index + 1, |entry| entry.index)
    }

    /// Newest membership in the log, with its index. A membership takes effect when appended.
    pub(crate) fn membership(&self) -> (Index, &Membership) {
        let newest =
            self.membership_changes.last().and_then(|index| self.membership_change_at(*index));
        newest.unwrap_or((self.snapshot.index, &self.snapshot.membership))
    }

    fn membership_change_at(&self, index: Index) -> Option<(Index, &Membership)> {
        match &self.get(index)?.kind {
            EntryKind::Membership(membership) => Some((index, membership)),
            EntryKind::Empty | EntryKind::Command(_) => None,
        }
    }

    /// Membership in effect at `index`.
    pub(crate) fn membership_at(&self, index: Index) -> Membership {
        let newest = self.membership_changes.iter().rev().find(|change| **change <= index);
        let newest = newest.and_then(|change| self.membership_change_at(*change));
        newest.map_or_else(|| self.snapshot.membership.clone(), |(_, found)| found.clone())
    }
}

fn is_membership_change(entry: &Entry) -> bool {
    matches!(entry.kind, EntryKind::Membership(_))
}

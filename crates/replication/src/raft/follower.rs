//! Taking entries and snapshots from a leader.

use std::sync::Arc;

use super::Raft;
use crate::message::{Entry, Index, Message, Refused, ReplicaId, Snapshot, Term};

impl Raft {
    pub(super) fn on_append(
        &mut self,
        from: ReplicaId,
        (previous_index, previous_term): (Index, Term),
        entries: Vec<Entry>,
        commit: Index,
        round: u64,
    ) {
        let known = self.log.snapshot().index;
        if previous_index >= known && self.log.term_at(previous_index) != Some(previous_term) {
            let last = self.log.last_index();
            let retry_from = if previous_index > last {
                last + 1
            } else {
                self.log.first_of_term_at(previous_index)
            };
            let refused = Refused { previous_index, retry_from };
            return self.reply_to_append(from, 0, Some(refused), round);
        }
        let matched = entries.last().map_or(previous_index, |entry| entry.index);
        for entry in entries {
            self.take_entry(entry);
        }
        // Only what the leader showed to be equal may be called committed.
        self.commit = self.commit.max(commit.min(matched));
        self.deliver();
        self.reply_to_append(from, matched, None, round);
    }

    fn take_entry(&mut self, entry: Entry) {
        if entry.index <= self.log.snapshot().index {
            return;
        }
        match self.log.term_at(entry.index) {
            Some(term) if term == entry.term => {}
            Some(_) => {
                debug_assert!(entry.index > self.commit, "a committed entry conflicts");
                self.drop_from(entry.index);
                self.add(entry);
            }
            None => self.add(entry),
        }
    }

    fn add(&mut self, entry: Entry) {
        self.log.push(entry.clone());
        self.effects.append.push(entry);
    }

    fn drop_from(&mut self, index: Index) {
        self.log.truncate_from(index);
        self.persisted = self.persisted.min(index - 1);
        self.effects.append.retain(|entry| entry.index < index);
        let earlier = self.effects.truncate_from.unwrap_or(index);
        self.effects.truncate_from = Some(earlier.min(index));
    }

    fn reply_to_append(
        &mut self,
        to: ReplicaId,
        matched: Index,
        refused: Option<Refused>,
        round: u64,
    ) {
        let term = self.hard_state.term;
        let reply = Message::AppendReply { term, matched, refused, round };
        self.send(to, reply);
    }

    pub(super) fn on_install(&mut self, from: ReplicaId, snapshot: Arc<Snapshot>, round: u64) {
        let index = snapshot.index;
        if index > self.commit && !self.needs_snapshot(&snapshot) {
            // Entries after the snapshot may be acknowledged: they must stay.
            self.commit = index;
            self.deliver();
        } else if index > self.commit {
            self.log.reset(snapshot.clone());
            self.commit = index;
            self.delivered = index;
            self.persisted = index;
            self.effects.append.clear();
            self.effects.truncate_from = None;
            self.effects.committed.clear();
            self.effects.install = Some(snapshot);
        }
        self.reply_to_append(from, index, None, round);
    }
}

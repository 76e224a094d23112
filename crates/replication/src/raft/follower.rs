//! Follower side of replication: appends entries and installs snapshots.

use std::sync::Arc;

use super::Raft;
use crate::message::{AppendRejection, Entry, Index, Message, ReplicaId, Snapshot, Term};

impl Raft {
    pub(super) fn on_append(
        &mut self,
        from: ReplicaId,
        (previous_index, previous_term): (Index, Term),
        entries: Vec<Entry>,
        commit: Index,
        round: u64,
    ) {
        let snapshot_index = self.log.snapshot().index;
        if previous_index >= snapshot_index
            && self.log.term_at(previous_index) != Some(previous_term)
        {
            let last = self.log.last_index();
            let retry_from = if previous_index > last {
                last + 1
            } else {
                self.log.first_index_of_term_at(previous_index)
            };
            let rejection = AppendRejection { previous_index, retry_from };
            return self.reply_to_append(from, 0, Some(rejection), round);
        }
        let matched = entries.last().map_or(previous_index, |entry| entry.index);
        for entry in entries {
            self.append_or_replace(entry);
        }
        // Local entries beyond `matched` may differ from those of the leader.
        self.commit = self.commit.max(commit.min(matched));
        self.deliver_committed();
        self.reply_to_append(from, matched, None, round);
    }

    fn append_or_replace(&mut self, entry: Entry) {
        if entry.index <= self.log.snapshot().index {
            return;
        }
        match self.log.term_at(entry.index) {
            Some(term) if term == entry.term => {}
            Some(_) => {
                debug_assert!(entry.index > self.commit, "a committed entry conflicts");
                self.truncate_from_index(entry.index);
                self.append(entry);
            }
            None => self.append(entry),
        }
    }

    fn append(&mut self, entry: Entry) {
        self.log.push(entry.clone());
        self.effects.append.push(entry);
    }

    fn truncate_from_index(&mut self, index: Index) {
        self.log.truncate_from(index);
        self.persisted_index = self.persisted_index.min(index - 1);
        self.effects.append.retain(|entry| entry.index < index);
        let earlier = self.effects.truncate_from.unwrap_or(index);
        self.effects.truncate_from = Some(earlier.min(index));
    }

    fn reply_to_append(
        &mut self,
        to: ReplicaId,
        matched: Index,
        refused: Option<AppendRejection>,
        round: u64,
    ) {
        let term = self.hard_state.term;
        let reply = Message::AppendReply { term, matched, refused, round };
        self.send(to, reply);
    }

    pub(super) fn on_install(&mut self, from: ReplicaId, snapshot: Arc<Snapshot>, round: u64) {
        let index = snapshot.index;
        if index > self.commit && !self.needs_snapshot(&snapshot) {
            // The log already contains the snapshot's last entry. Later entries may have been
            // acknowledged and must be kept.
            self.commit = index;
            self.deliver_committed();
        } else if index > self.commit {
            self.log.reset(snapshot.clone());
            self.commit = index;
            self.delivered_index = index;
            self.persisted_index = index;
            self.effects.append.clear();
            self.effects.truncate_from = None;
            self.effects.committed.clear();
            self.effects.install = Some(snapshot);
        }
        self.reply_to_append(from, index, None, round);
    }
}

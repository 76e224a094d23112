//! What was sent to one follower and is not acknowledged yet.

use std::collections::VecDeque;

use super::RaftSettings;
use crate::message::{Entry, Index};

/// Messages with entries that a follower has not acknowledged, oldest first. Also counts entries
/// that the leader has compacted since.
#[derive(Clone, Debug, Default)]
pub(super) struct SendWindow {
    messages: VecDeque<SentMessage>,
    entries: u64,
    bytes: usize,
}

#[derive(Clone, Copy, Debug)]
struct SentMessage {
    last_index: Index,
    entries: u64,
    bytes: usize,
}

/// Limits of one message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct MessageLimit {
    pub(super) entries: usize,
    /// Approximate size of the commands.
    pub(super) bytes: usize,
}

impl MessageLimit {
    /// Limit of a message without entries.
    pub(super) const EMPTY: Self = Self { entries: 0, bytes: 0 };
}

impl SendWindow {
    /// Returns what may be sent now.
    pub(super) fn room(&self, settings: &RaftSettings) -> MessageLimit {
        let entries = settings.max_entries_in_flight.saturating_sub(self.entries);
        let bytes = settings.max_bytes_in_flight.saturating_sub(self.bytes);
        MessageLimit {
            entries: usize::try_from(entries)
                .unwrap_or(usize::MAX)
                .min(settings.max_entries_per_message),
            bytes: bytes.min(settings.max_bytes_per_message),
        }
    }

    /// Records the entries of a message.
    pub(super) fn record(&mut self, sent: &[Entry]) {
        let Some(last) = sent.last() else {
            return;
        };
        let bytes = sent.iter().map(Entry::command_bytes).sum();
        let message = SentMessage { last_index: last.index, entries: sent.len() as u64, bytes };
        self.entries += message.entries;
        self.bytes += message.bytes;
        self.messages.push_back(message);
    }

    /// Removes the messages whose entries are all acknowledged.
    pub(super) fn acknowledge(&mut self, matched: Index) {
        while let Some(message) = self.messages.pop_front_if(|sent| sent.last_index <= matched) {
            self.entries -= message.entries;
            self.bytes -= message.bytes;
        }
    }

    /// Removes all messages, after a rejection: the follower discards what it gets of them.
    pub(super) fn clear(&mut self) {
        *self = Self::default();
    }
}

//! Division of writes into batches, each of which is one frame of the log.

use std::borrow::Cow;

use super::Write;
use crate::message::{Entry, EntryKind, GroupId};

/// Maximum decoded size of a batch that consists of more than one entry. A batch is held in memory
/// three times while it is written. Builds before this limit decode at most 64 MB.
const MAX_BATCH_BYTES: usize = 4 << 20;
/// Upper bound of the decoded size of a write without its entries, or an entry without its content.
const BASE_BYTES: usize = 64;
/// Upper bound of the decoded size of a member of a group.
const MEMBER_BYTES: usize = 16;

/// Divides `writes` into batches that reproduce them in the same order.
pub(super) fn batches(writes: &[Write]) -> Vec<Cow<'_, [Write]>> {
    if writes.iter().map(write_bytes).sum::<usize>() <= MAX_BATCH_BYTES {
        return vec![Cow::Borrowed(writes)];
    }
    let mut divider = BatchDivider::default();
    for write in writes {
        match write {
            Write::Append(group, entries) => divider.append(*group, entries),
            other => divider.push(other.clone(), BASE_BYTES),
        }
    }
    divider.finish()
}

/// Collects batches. Entries share their content with the writes that they are taken from.
#[derive(Default)]
struct BatchDivider {
    complete: Vec<Cow<'static, [Write]>>,
    current: Vec<Write>,
    current_bytes: usize,
}

impl BatchDivider {
    fn push(&mut self, write: Write, bytes: usize) {
        self.make_room(bytes);
        self.current.push(write);
        self.current_bytes += bytes;
    }

    fn append(&mut self, group: GroupId, entries: &[Entry]) {
        for entry in entries {
            let bytes = entry_bytes(entry);
            self.make_room(bytes + BASE_BYTES);
            match self.current.last_mut() {
                Some(Write::Append(last, appended)) if *last == group => {
                    appended.push(entry.clone());
                    self.current_bytes += bytes;
                }
                _ => self.push(Write::Append(group, vec![entry.clone()]), bytes + BASE_BYTES),
            }
        }
    }

    /// Completes the current batch if `bytes` more would exceed the limit.
    fn make_room(&mut self, bytes: usize) {
        if !self.current.is_empty() && self.current_bytes + bytes > MAX_BATCH_BYTES {
            self.complete.push(Cow::Owned(std::mem::take(&mut self.current)));
            self.current_bytes = 0;
        }
    }

    fn finish(mut self) -> Vec<Cow<'static, [Write]>> {
        self.complete.push(Cow::Owned(self.current));
        self.complete
    }
}

fn write_bytes(write: &Write) -> usize {
    match write {
        Write::Append(_, entries) => BASE_BYTES + entries.iter().map(entry_bytes).sum::<usize>(),
        Write::HardState(..) | Write::Truncate(..) | Write::Snapshot { .. } => BASE_BYTES,
    }
}

fn entry_bytes(entry: &Entry) -> usize {
    let content = match &entry.kind {
        EntryKind::Empty => 0,
        EntryKind::Command(command) => command.len(),
        EntryKind::Membership(membership) => {
            let sets = [&membership.voters, &membership.outgoing, &membership.learners];
            sets.iter().map(|replicas| replicas.len() * MEMBER_BYTES).sum()
        }
    };
    BASE_BYTES + content
}

//! Recently applied items.
//!
//! Every machine collects them from the log, so that the next leader knows them. They are soft state
//! and not encoded in snapshots.

use std::collections::VecDeque;

/// A buffer of the newest `CAPACITY` items, numbered from the start of this process.
#[derive(Clone, Debug)]
pub struct RecentItems<T, const CAPACITY: usize> {
    items: VecDeque<T>,
    /// Number assigned to the next item.
    next: u64,
}

impl<T, const CAPACITY: usize> Default for RecentItems<T, CAPACITY> {
    fn default() -> Self {
        Self { items: VecDeque::new(), next: 0 }
    }
}

impl<T, const CAPACITY: usize> RecentItems<T, CAPACITY> {
    /// Appends an item, evicting the oldest one when the buffer is full.
    pub fn push(&mut self, item: T) {
        if self.items.len() >= CAPACITY {
            self.items.pop_front();
        }
        self.items.push_back(item);
        self.next += 1;
    }

    /// Returns the number assigned to the next item.
    pub fn next(&self) -> u64 {
        self.next
    }

    /// Returns the buffered items from `number` on.
    pub fn since(&self, number: u64) -> impl Iterator<Item = &T> {
        let wanted = usize::try_from(self.next.saturating_sub(number)).unwrap_or(usize::MAX);
        let kept = self.items.len();
        self.items.iter().skip(kept.saturating_sub(wanted))
    }
}

/// Always equal: soft state doesn't count when ledger states are compared.
impl<T, const CAPACITY: usize> PartialEq for RecentItems<T, CAPACITY> {
    fn eq(&self, _other: &Self) -> bool {
        true
    }
}

impl<T, const CAPACITY: usize> Eq for RecentItems<T, CAPACITY> {}

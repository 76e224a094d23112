//! Sliding-window counter of issued permits.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Permits issued within this interval are counted as one slot.
const SLOT_WIDTH: Duration = Duration::from_millis(100);

#[derive(Clone, Copy, Debug)]
struct IssueSlot {
    /// When the first permit of the slot was issued.
    start: Instant,
    count: u32,
}

/// Sliding window over the permits issued to one tenant.
#[derive(Clone, Debug, Default)]
pub struct IssueWindow {
    /// Oldest first.
    slots: VecDeque<IssueSlot>,
    total: u64,
}

impl IssueWindow {
    /// Adds permits that were issued at `at`.
    pub fn add(&mut self, count: u32, at: Instant) {
        if count == 0 {
            return;
        }
        self.total += u64::from(count);
        match self.slots.back_mut() {
            // Permits older than the newest slot are added to it and so counted slightly longer.
            Some(newest) if at < newest.start + SLOT_WIDTH => newest.count += count,
            _ => self.slots.push_back(IssueSlot { start: at, count }),
        }
    }

    /// Returns the number of permits issued within `span` before `now`, rounded up to whole slots.
    /// Removes older slots.
    pub fn total(&mut self, span: Duration, now: Instant) -> u64 {
        while let Some(oldest) = self.slots.front()
            && oldest.start + SLOT_WIDTH + span <= now
        {
            self.total -= u64::from(oldest.count);
            self.slots.pop_front();
        }
        self.total
    }

    /// Returns the number of permits issued longer ago than `age`.
    pub fn older_than(&self, age: Duration, now: Instant) -> u64 {
        let old = self.slots.iter().take_while(|slot| slot.start + SLOT_WIDTH + age <= now);
        old.map(|slot| u64::from(slot.count)).sum()
    }

    /// Returns the time until `count` permits are older than `span`.
    pub fn time_until_expired(&self, count: u64, span: Duration, now: Instant) -> Duration {
        let mut expired = 0;
        for slot in &self.slots {
            expired += u64::from(slot.count);
            if expired >= count {
                return (slot.start + SLOT_WIDTH + span).saturating_duration_since(now);
            }
        }
        span
    }
}

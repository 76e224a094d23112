//! What a tenant was given lately.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Permits that were issued at nearly the same time are counted together.
const SLOT: Duration = Duration::from_millis(100);

#[derive(Clone, Copy, Debug)]
struct IssueSlot {
    /// When the first of them was issued.
    began: Instant,
    count: u32,
}

/// Permits issued within the last span of time.
#[derive(Clone, Debug, Default)]
pub struct IssueWindow {
    /// Oldest first.
    slots: VecDeque<IssueSlot>,
    total: u64,
}

impl IssueWindow {
    /// Notes permits that are issued now, or were at an earlier time.
    pub fn add(&mut self, count: u32, at: Instant) {
        if count == 0 {
            return;
        }
        self.total += u64::from(count);
        match self.slots.back_mut() {
            // What was issued before the newest slot counts as if it had come with it: for
            // longer than it must.
            Some(newest) if at < newest.began + SLOT => newest.count += count,
            _ => self.slots.push_back(IssueSlot { began: at, count }),
        }
    }

    /// Permits issued within `span` before `now`, and a little longer.
    pub fn total(&mut self, span: Duration, now: Instant) -> u64 {
        while let Some(oldest) = self.slots.front()
            && oldest.began + SLOT + span <= now
        {
            self.total -= u64::from(oldest.count);
            self.slots.pop_front();
        }
        self.total
    }

    /// Permits issued longer ago than `age`.
    pub fn older_than(&self, age: Duration, now: Instant) -> u64 {
        let old = self.slots.iter().take_while(|slot| slot.began + SLOT + age <= now);
        old.map(|slot| u64::from(slot.count)).sum()
    }

    /// Time until `count` of them are older than `span`.
    pub fn time_until_gone(&self, count: u64, span: Duration, now: Instant) -> Duration {
        let mut gone = 0;
        for slot in &self.slots {
            gone += u64::from(slot.count);
            if gone >= count {
                return (slot.began + SLOT + span).saturating_duration_since(now);
            }
        }
        span
    }
}

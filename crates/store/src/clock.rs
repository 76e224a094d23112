//! Timestamps of the commands of program groups.
//!
//! The clock of a group's state is the timestamp of its latest command. Deadlines and retention of programs
//! are counted by it, so it begins with the time of day and from then on advances by measured time: a
//! step of the time of day, or machines whose time of day differs, would end programs early.

use calicohoist_types::Moment;

/// Estimates the present time of a group's clock.
#[derive(Clone, Copy, Debug, Default)]
pub struct GroupClock {
    /// A timestamp in Unix milliseconds, and when it was the present one; `None` until the group has
    /// one.
    known: Option<(u64, Moment)>,
}

impl GroupClock {
    /// Records the latest timestamp in the state; 0 if there is none.
    pub fn observe(&mut self, latest: u64, now: Moment) {
        let is_ahead = self.estimate(now).is_none_or(|estimate| estimate < latest);
        if latest > 0 && is_ahead {
            self.known = Some((latest, now));
        }
    }

    /// Returns the timestamp of a command that is proposed now. `unix_millis` is the time of day, at
    /// which the clock of a new group begins.
    pub fn timestamp(&mut self, unix_millis: u64, now: Moment) -> u64 {
        self.estimate(now).unwrap_or_else(|| {
            self.known = Some((unix_millis, now));
            unix_millis
        })
    }

    fn estimate(&self, now: Moment) -> Option<u64> {
        let (timestamp, at) = self.known?;
        let elapsed = u64::try_from(now.since(at).as_millis()).unwrap_or(u64::MAX);
        Some(timestamp.saturating_add(elapsed))
    }
}

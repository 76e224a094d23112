//! Time of a leadership that the clock of the state does not show yet.
//!
//! The clock of the state moves in steps, each by the time since the one before. A duration that is
//! written to the log between two steps would lose the time since the last one, so a leader adds it.
//! The clock never runs ahead of real time: a leader counts no time from before it led, which earlier
//! leaders have counted.
//!
//! Time for which a leader stands still, for instance in a flush, is not counted. It serves nobody
//! meanwhile, so that nobody can use what is kept.

use std::time::Duration;

use calicohoist_types::Moment;

use super::CLOCK_INTERVAL;
use crate::commands::Command;

/// Longest time between two uses of the clock that is counted in whole. A leader uses it at each tick.
pub const MAX_COUNTED_GAP: Duration = Duration::from_secs(1);

/// Clock of a leader, from which it advances the clock of the state.
#[derive(Debug, Default)]
pub struct LeaderClock {
    leadership: Option<Leadership>,
}

/// A term in which this machine leads.
#[derive(Clone, Copy, Debug)]
struct Leadership {
    term: u64,
    /// Time up to which steps of the clock of the state were proposed.
    counted_until: Moment,
    /// Last use of the clock.
    used_at: Moment,
    /// Steps that were proposed and are not applied.
    steps_in_flight: usize,
}

impl Leadership {
    fn new(term: u64, now: Moment) -> Self {
        Self { term, counted_until: now, used_at: now, steps_in_flight: 0 }
    }

    /// Leaves out the time for which the leader has stood still since the last use.
    fn skip_pause(&mut self, now: Moment) {
        let pause = now.since(self.used_at).saturating_sub(MAX_COUNTED_GAP);
        self.counted_until = self.counted_until + pause;
        self.used_at = now;
    }
}

impl LeaderClock {
    /// Follows the leadership of this machine; `term` is the one in which it leads, if it does. Called
    /// before each use of the clock.
    pub fn follow(&mut self, term: Option<u64>, now: Moment) {
        match &mut self.leadership {
            Some(leadership) if Some(leadership.term) == term => leadership.skip_pause(now),
            _ => self.leadership = term.map(|term| Leadership::new(term, now)),
        }
    }

    /// Returns the command that advances the clock of the state, if it is due.
    pub fn next_step(&mut self, now: Moment) -> Option<Command> {
        let leadership = self.leadership.as_mut()?;
        let elapsed = now.since(leadership.counted_until);
        if elapsed < CLOCK_INTERVAL {
            return None;
        }
        let elapsed_ms = u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX);
        leadership.counted_until = leadership.counted_until + Duration::from_millis(elapsed_ms);
        leadership.steps_in_flight += 1;
        Some(Command::Advance { elapsed_ms })
    }

    /// Records that a step which was proposed in `term` is applied, or lost with its term.
    pub fn end_step(&mut self, term: u64) {
        if let Some(leadership) = self.leadership.as_mut().filter(|known| known.term == term) {
            leadership.steps_in_flight = leadership.steps_in_flight.saturating_sub(1);
        }
    }

    /// Returns the time by which the applied state lags, in ms, rounded up; `None` while steps are not
    /// applied, or without a leadership. The state must have all entries of earlier terms.
    pub fn applied_lag_ms(&self, now: Moment) -> Option<u64> {
        let leadership = self.leadership?;
        (leadership.steps_in_flight == 0).then(|| self.lag_ms(now))
    }

    /// Returns the time by which the clock of the log lags, in ms, rounded up.
    pub fn lag_ms(&self, now: Moment) -> u64 {
        let counted_until = self.leadership.map_or(now, |leadership| leadership.counted_until);
        let lag = now.since(counted_until).as_micros().div_ceil(1_000);
        u64::try_from(lag).unwrap_or(u64::MAX)
    }

    /// Makes the durations of a command begin now, rather than at the last step of the clock of the
    /// state. Every command passes here once, when it is proposed. Returns `false` if it has none.
    pub fn date(&self, command: &mut Command, now: Moment) -> bool {
        let Some(retention_ms) = command.retention_ms_mut() else {
            return false;
        };
        *retention_ms = retention_ms.saturating_add(self.lag_ms(now));
        true
    }
}

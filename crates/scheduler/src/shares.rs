//! Which kinds of program are served too seldom beside others.
//!
//! Urgent kinds go first; without a bound a long push of them would shut out all others.
//! [`KindShares`] compares how many of the programs of each kind that come are let in.

use std::time::{Duration, Instant};

use foldhash::HashMap;

use crate::overload::ProgramKind;

/// A kind counts as starved when the share of its programs that is let in is less than
/// this part of the share of the best served one.
const LEAST_PART: f64 = 0.25;
/// Time in which a count halves: about as long as callers wait and come back.
const HALF_LIFE: Duration = Duration::from_secs(2);
/// Programs that must have come lately for a kind to count.
const LEAST_ASKED: f64 = 2.0;

#[derive(Clone, Copy, Debug)]
struct KindCounts {
    asked: f64,
    begun: f64,
    at: Instant,
}

impl KindCounts {
    fn at(mut self, now: Instant) -> Self {
        let passed = now.saturating_duration_since(self.at);
        let kept = 0.5f64.powf(passed.as_secs_f64() / HALF_LIFE.as_secs_f64());
        self.asked *= kept;
        self.begun *= kept;
        self.at = now;
        self
    }

    fn share(&self) -> Option<f64> {
        (self.asked >= LEAST_ASKED).then(|| (self.begun / self.asked).min(1.0))
    }
}

/// How many programs of each kind came and were let in lately.
#[derive(Debug, Default)]
pub struct KindShares {
    counts: HashMap<ProgramKind, KindCounts>,
}

impl KindShares {
    /// A program comes.
    pub fn note_asked(&mut self, kind: &ProgramKind, now: Instant) {
        self.counts_of(kind, now).asked += 1.0;
    }

    /// A program is let in.
    pub fn note_begun(&mut self, kind: &ProgramKind, now: Instant) {
        self.counts_of(kind, now).begun += 1.0;
    }

    /// The kinds that get less than their part beside the best served one of their service.
    pub fn starved(&self, now: Instant) -> Vec<ProgramKind> {
        let share_of = |counts: &KindCounts| counts.at(now).share();
        let best = |service: &str| {
            let of_service = self.counts.iter().filter(|(kind, _)| kind.service == service);
            of_service.filter_map(|(_, counts)| share_of(counts)).fold(0.0, f64::max)
        };
        let is_starved = |kind: &ProgramKind, counts: &KindCounts| {
            share_of(counts).is_some_and(|own| own < best(&kind.service) * LEAST_PART)
        };
        let starved = self.counts.iter().filter(|(kind, counts)| is_starved(kind, counts));
        starved.map(|(kind, _)| kind.clone()).collect()
    }

    fn counts_of(&mut self, kind: &ProgramKind, now: Instant) -> &mut KindCounts {
        let none = KindCounts { asked: 0.0, begun: 0.0, at: now };
        let counts = self.counts.entry(kind.clone()).or_insert(none);
        *counts = counts.at(now);
        counts
    }
}

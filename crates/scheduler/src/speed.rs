//! How fast a service's engines are, learned from the turns that ended.
//!
//! The measure is the time that a turn takes for each token that it generates. The fastest
//! turns show what an engine does alone; all of them show what it does now. Both are taken
//! from what gateways report, so that every ledger machine knows them; only the leader
//! knows how many turns run beside each other.

use serde::{Deserialize, Serialize};

/// A run that ended whole.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunSample {
    /// Tokens that it generated.
    pub generated: u32,
    /// Time from the request to the end of its answer, in ms.
    pub time_ms: u32,
}

/// A turn of fewer tokens says little about the time for one.
const LEAST_TOKENS: u32 = 32;
/// Samples before anything is said.
const LEAST_SAMPLES: u32 = 50;
/// Weight of a new sample in the present mean.
const PRESENT_WEIGHT: f64 = 0.02;
/// Weight of a new sample that is faster than the fastest so far.
const FASTER_WEIGHT: f64 = 0.1;
/// By how much the fastest time is raised with each sample that is slower, so that an
/// engine that became slower for good is known as such after some thousands of turns.
const FASTEST_RISE: f64 = 1.0001;

/// Learns the speed of one service's engines.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct EngineSpeed {
    samples: u32,
    /// Time for one token at its best, in ms.
    alone_ms: f64,
    /// Time for one token now, in ms.
    present_ms: f64,
    /// Tokens that a turn generates.
    tokens: f64,
    /// Turns that run beside each other at one replica; `None` while nobody has told.
    running: Option<f64>,
}

impl EngineSpeed {
    /// Notes a run.
    pub fn note_run(&mut self, sample: RunSample) {
        if sample.generated < LEAST_TOKENS || sample.time_ms == 0 {
            return;
        }
        let generated = f64::from(sample.generated);
        let per_token = f64::from(sample.time_ms) / generated;
        if self.samples == 0 {
            (self.alone_ms, self.present_ms, self.tokens) = (per_token, per_token, generated);
        }
        self.samples = self.samples.saturating_add(1);
        self.present_ms += (per_token - self.present_ms) * PRESENT_WEIGHT;
        self.tokens += (generated - self.tokens) * PRESENT_WEIGHT;
        if per_token < self.alone_ms {
            self.alone_ms += (per_token - self.alone_ms) * FASTER_WEIGHT;
        } else {
            self.alone_ms *= FASTEST_RISE;
        }
    }

    /// Notes how many turns ran beside each other where one has ended.
    pub fn note_running(&mut self, turns: f64) {
        let running = self.running.get_or_insert(turns);
        *running += (turns - *running) * PRESENT_WEIGHT;
    }

    /// Forgets how many turns run: another leader placed them.
    pub fn forget_running(&mut self) {
        self.running = None;
    }

    /// How many times as long as alone a turn takes now; `None` while too little is known.
    pub fn slowdown(&self) -> Option<f64> {
        self.known(self.present_ms / self.alone_ms)
    }

    /// How many turns may run at a replica for a turn to take `slowdown` times as long as
    /// alone; `None` while too little is known.
    ///
    /// The delay is taken to grow in proportion to the turns beside it.
    pub fn turns_within(&self, slowdown: f64) -> Option<f64> {
        let running = self.running?;
        let excess = (self.slowdown()? - 1.0).max(f64::EPSILON);
        Some(running * (slowdown - 1.0) / excess)
    }

    /// Time that a turn takes now, in ms.
    pub fn turn_ms(&self) -> Option<f64> {
        self.known(self.present_ms * self.tokens)
    }

    /// Time that one generated token takes at its best, in ms.
    pub fn token_ms(&self) -> Option<f64> {
        self.known(self.alone_ms)
    }

    /// Time that a turn takes at its best, in ms.
    pub fn alone_ms(&self) -> Option<f64> {
        self.known(self.alone_ms * self.tokens)
    }

    fn known(&self, figure: f64) -> Option<f64> {
        (self.samples >= LEAST_SAMPLES).then_some(figure)
    }
}

//! Engine speed of a service, estimated from completed turns.
//!
//! The measure is the time per generated token. The fastest turns show the speed of an engine
//! without contention, the mean shows the current speed. Both are computed from samples that are
//! replicated to all machines of the ledger; the concurrency is known only to the leader.

use serde::{Deserialize, Serialize};

/// Measurement of a completed turn.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunSample {
    /// Generated tokens.
    pub generated: u32,
    /// Time from the request to the end of the response, in ms.
    pub time_ms: u32,
}

/// Shorter turns are ignored, since fixed delays dominate their time per token.
const MIN_SAMPLE_TOKENS: u32 = 32;
/// Number of samples from which estimates are available.
const MIN_SAMPLES: u32 = 50;
/// Smoothing factor of the moving averages.
const MEAN_SMOOTHING: f64 = 0.02;
/// Smoothing factor for samples that are faster than the best time.
const BEST_SMOOTHING: f64 = 0.1;
/// Factor by which the best time grows with each slower sample, so that the estimate adapts to an
/// engine that has become slower.
const BEST_GROWTH: f64 = 1.0001;

/// Speed estimate for the engines of one service.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct EngineSpeed {
    samples: u32,
    /// Best time per token, in ms.
    best_token_ms: f64,
    /// Mean time per token, in ms.
    mean_token_ms: f64,
    /// Mean number of generated tokens per turn.
    mean_tokens: f64,
    /// Mean number of concurrent turns per replica; `None` until the first observation.
    mean_concurrency: Option<f64>,
}

impl EngineSpeed {
    /// Records a completed turn.
    pub fn record_sample(&mut self, sample: RunSample) {
        if sample.generated < MIN_SAMPLE_TOKENS || sample.time_ms == 0 {
            return;
        }
        let generated = f64::from(sample.generated);
        let token_ms = f64::from(sample.time_ms) / generated;
        if self.samples == 0 {
            (self.best_token_ms, self.mean_token_ms, self.mean_tokens) =
                (token_ms, token_ms, generated);
        }
        self.samples = self.samples.saturating_add(1);
        self.mean_token_ms += (token_ms - self.mean_token_ms) * MEAN_SMOOTHING;
        self.mean_tokens += (generated - self.mean_tokens) * MEAN_SMOOTHING;
        if token_ms < self.best_token_ms {
            self.best_token_ms += (token_ms - self.best_token_ms) * BEST_SMOOTHING;
        } else {
            self.best_token_ms *= BEST_GROWTH;
        }
    }

    /// Records the number of turns that ran concurrently on a replica.
    pub fn record_concurrency(&mut self, turns: f64) {
        let concurrency = self.mean_concurrency.get_or_insert(turns);
        *concurrency += (turns - *concurrency) * MEAN_SMOOTHING;
    }

    /// Discards the mean concurrency when a term starts.
    pub fn reset_concurrency(&mut self) {
        self.mean_concurrency = None;
    }

    /// Returns the ratio of the mean to the best time per token; `None` with too few samples.
    pub fn slowdown(&self) -> Option<f64> {
        self.if_sampled(self.mean_token_ms / self.best_token_ms)
    }

    /// Returns the number of concurrent turns per replica at which a turn takes `slowdown` times
    /// as long as alone; `None` with too few samples.
    ///
    /// Assumes that the delay is proportional to the number of concurrent turns.
    pub fn concurrency_at(&self, slowdown: f64) -> Option<f64> {
        let concurrency = self.mean_concurrency?;
        let excess = (self.slowdown()? - 1.0).max(f64::EPSILON);
        Some(concurrency * (slowdown - 1.0) / excess)
    }

    /// Returns the mean duration of a turn, in ms.
    pub fn mean_turn_ms(&self) -> Option<f64> {
        self.if_sampled(self.mean_token_ms * self.mean_tokens)
    }

    /// Returns the best time per generated token, in ms.
    pub fn best_token_ms(&self) -> Option<f64> {
        self.if_sampled(self.best_token_ms)
    }

    /// Returns the duration of a mean turn at the best speed, in ms.
    pub fn uncontended_turn_ms(&self) -> Option<f64> {
        self.if_sampled(self.best_token_ms * self.mean_tokens)
    }

    fn if_sampled(&self, value: f64) -> Option<f64> {
        (self.samples >= MIN_SAMPLES).then_some(value)
    }
}

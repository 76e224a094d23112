//! The time of one routing decision.

use std::hint::black_box;
use std::time::Instant;

use calicohoist_scheduler::{CostInputs, CostWeights, choose};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};

/// Engines of each rung.
const RUNGS: [usize; 4] = [10, 100, 300, 600];
/// Decisions of each rung.
const DECISIONS: u32 = 2_000;

/// Time of a decision among some engines.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct DecisionPoint {
    /// Engines to choose from.
    pub engines: usize,
    /// Nanoseconds of one decision.
    pub nanos: f64,
}

/// Measures every rung.
pub fn measure() -> Vec<DecisionPoint> {
    let mut random = ChaCha8Rng::seed_from_u64(1);
    RUNGS.iter().map(|engines| measure_one(*engines, &mut random)).collect()
}

fn measure_one(engines: usize, random: &mut ChaCha8Rng) -> DecisionPoint {
    let inputs: Vec<CostInputs> = (0..engines)
        .map(|_| CostInputs {
            prompt_tokens: 4_000,
            cached_tokens: random.random_range(0..4_000),
            running: random.random_range(0..12),
            waiting: random.random_range(0..4),
            slots: 8,
            same_zone: random.random_bool(0.2),
        })
        .collect();
    let weights = CostWeights::default();
    let begin = Instant::now();
    for _ in 0..DECISIONS {
        let candidates = black_box(&inputs).iter().enumerate();
        let candidates = candidates.map(|(index, inputs)| (index, *inputs));
        black_box(choose(candidates, &weights));
    }
    let nanos = begin.elapsed().as_nanos() as f64 / f64::from(DECISIONS);
    DecisionPoint { engines, nanos }
}

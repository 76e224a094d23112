//! Duration of a routing decision by number of engines.

use std::hint::black_box;
use std::time::Instant;

use calicohoist_scheduler::{CostInputs, CostWeights, choose};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};

const ENGINE_COUNTS: [usize; 4] = [10, 100, 300, 600];
const DECISIONS_PER_POINT: u32 = 2_000;

/// Duration of a routing decision at one number of engines.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct DecisionPoint {
    /// Number of engines to choose from.
    pub engines: usize,
    /// Mean duration in nanoseconds.
    pub nanos: f64,
}

/// Measures routing decisions at each number of engines.
pub fn measure() -> Vec<DecisionPoint> {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    ENGINE_COUNTS.iter().map(|engines| measure_point(*engines, &mut rng)).collect()
}

fn measure_point(engines: usize, rng: &mut ChaCha8Rng) -> DecisionPoint {
    let inputs: Vec<CostInputs> = (0..engines)
        .map(|_| CostInputs {
            prompt_tokens: 4_000,
            cached_tokens: rng.random_range(0..4_000),
            running: rng.random_range(0..12),
            waiting: rng.random_range(0..4),
            slots: 8,
            same_zone: rng.random_bool(0.2),
        })
        .collect();
    let weights = CostWeights::default();
    let started = Instant::now();
    for _ in 0..DECISIONS_PER_POINT {
        let candidates = black_box(&inputs).iter().enumerate();
        let candidates = candidates.map(|(index, inputs)| (index, *inputs));
        black_box(choose(candidates, &weights));
    }
    let nanos = started.elapsed().as_nanos() as f64 / f64::from(DECISIONS_PER_POINT);
    DecisionPoint { engines, nanos }
}

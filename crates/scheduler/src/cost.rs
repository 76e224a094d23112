//! Routing cost: the estimated time to the first token of a call.

/// Weights of the cost terms, in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CostWeights {
    /// Time to compute one prompt token that is not cached by the engine.
    pub per_uncached_token: f64,
    /// Time that a running or waiting call occupies a slot.
    pub per_call: f64,
    /// Extra latency to an engine in another zone.
    pub cross_zone: f64,
}

impl Default for CostWeights {
    fn default() -> Self {
        Self { per_uncached_token: 0.25, per_call: 600.0, cross_zone: 3.0 }
    }
}

/// State of one engine when a call is routed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CostInputs {
    /// Prompt length in tokens.
    pub prompt_tokens: u64,
    /// Prompt tokens that are estimated to be cached by the engine.
    pub cached_tokens: u64,
    /// Running calls.
    pub running: u32,
    /// Waiting calls.
    pub waiting: u32,
    /// Maximum number of concurrent calls.
    pub slots: u32,
    /// Whether the engine is in the gateway's zone.
    pub same_zone: bool,
}

/// Estimates the time to the first token, in milliseconds.
pub fn cost_millis(inputs: &CostInputs, weights: &CostWeights) -> f64 {
    let uncached = inputs.prompt_tokens.saturating_sub(inputs.cached_tokens);
    let compute = uncached as f64 * weights.per_uncached_token;
    let ahead = f64::from(inputs.running) + f64::from(inputs.waiting);
    let slots = f64::from(inputs.slots.max(1));
    let excess_calls = (ahead + 1.0 - slots).max(0.0);
    let queueing = excess_calls / slots * weights.per_call;
    // Calls in the same batch slow each other down even when a slot is free.
    let contention = ahead.min(slots) / slots * weights.per_call * BATCH_CONTENTION;
    let network = if inputs.same_zone { 0.0 } else { weights.cross_zone };
    compute + queueing + contention + network
}

/// Slowdown by a full batch, as a fraction of the time of a call.
const BATCH_CONTENTION: f64 = 0.2;

/// Returns the cheapest candidate, or the first of several with the same cost.
pub fn choose<T>(
    candidates: impl IntoIterator<Item = (T, CostInputs)>,
    weights: &CostWeights,
) -> Option<T> {
    let costed = candidates
        .into_iter()
        .map(|(candidate, inputs)| (candidate, cost_millis(&inputs, weights)));
    let cheapest = costed.min_by(|left, right| left.1.total_cmp(&right.1));
    cheapest.map(|(candidate, _)| candidate)
}

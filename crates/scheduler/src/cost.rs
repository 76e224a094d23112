//! The routing cost: an estimate of how long a call's first token would take.

/// How much each part of the cost weighs, in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CostWeights {
    /// Time to compute one prompt token that the engine does not hold.
    pub per_missing_token: f64,
    /// Time that a running or waiting call occupies one slot.
    pub per_call: f64,
    /// Extra time to reach an engine in another zone.
    pub other_zone: f64,
}

impl Default for CostWeights {
    fn default() -> Self {
        Self { per_missing_token: 0.25, per_call: 600.0, other_zone: 3.0 }
    }
}

/// What is known of one engine when a call is routed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CostInputs {
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Of these, tokens that the engine is believed to hold.
    pub held_tokens: u64,
    /// Calls running there.
    pub running: u32,
    /// Calls waiting there.
    pub waiting: u32,
    /// Calls that run there at a time.
    pub slots: u32,
    /// Whether it is in the gateway's own zone.
    pub same_zone: bool,
}

/// Estimated milliseconds until the first token.
pub fn cost_millis(inputs: &CostInputs, weights: &CostWeights) -> f64 {
    let missing = inputs.prompt_tokens.saturating_sub(inputs.held_tokens);
    let compute = missing as f64 * weights.per_missing_token;
    let ahead = f64::from(inputs.running) + f64::from(inputs.waiting);
    let slots = f64::from(inputs.slots.max(1));
    let beyond_slots = (ahead + 1.0 - slots).max(0.0);
    let queueing = beyond_slots / slots * weights.per_call;
    // Calls that share a batch slow each other down even when a slot is free.
    let sharing = ahead.min(slots) / slots * weights.per_call * SHARING;
    let distance = if inputs.same_zone { 0.0 } else { weights.other_zone };
    compute + queueing + sharing + distance
}

/// Part of a call's time by which a full batch delays it.
const SHARING: f64 = 0.2;

/// The cheapest of `candidates`; the first one among equals.
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

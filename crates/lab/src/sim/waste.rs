//! Engine cache held for ended programs or computed more than once.

use std::collections::{BTreeMap, BTreeSet};

use calicohoist_emulator::EngineRecord;
use calicohoist_types::ChatMessage;
use serde::{Deserialize, Serialize};

use super::world::World;

/// Wasted cache as shares of the totals.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct WastedCache {
    /// Share of cached tokens that belong to ended programs, averaged over time.
    pub dead_held_share: f64,
    /// Share of prompt tokens that an engine had already computed for the same program.
    pub rebuilt_token_share: f64,
}

/// Cached tokens of all engines, summed over samples at equal intervals.
#[derive(Clone, Copy, Debug, Default)]
pub struct CacheSamples {
    cached_tokens: u64,
    ended_tokens: u64,
}

impl CacheSamples {
    /// Adds a sample of all engines.
    pub fn sample(&mut self, world: &World) {
        let ended = world.ended_programs();
        for engine in &world.engines {
            for (program, tokens) in engine.holdings() {
                self.cached_tokens += tokens;
                if ended.contains(program.as_str()) {
                    self.ended_tokens += tokens;
                }
            }
        }
    }

    /// Returns the share of cached tokens that belonged to ended programs.
    pub fn ended_share(&self) -> f64 {
        share(self.ended_tokens, self.cached_tokens)
    }
}

/// Returns the share of prompt tokens that were computed again.
pub fn recomputed_share(records: &[EngineRecord]) -> f64 {
    let mut by_arrival: Vec<&EngineRecord> = records.iter().collect();
    by_arrival.sort_by_key(|record| record.arrived);
    let mut computed: BTreeMap<&str, u64> = BTreeMap::new();
    let (mut prompt_tokens, mut recomputed) = (0, 0);
    for record in by_arrival {
        let prompt: u64 = record.prompt.iter().map(ChatMessage::tokens).sum();
        let previous = computed.entry(record.program.as_str()).or_default();
        prompt_tokens += prompt;
        recomputed += (*previous).min(prompt).saturating_sub(record.usage.cached_tokens);
        *previous = (*previous).max(prompt);
    }
    share(recomputed, prompt_tokens)
}

fn share(part: u64, whole: u64) -> f64 {
    if whole == 0 { 0.0 } else { part as f64 / whole as f64 }
}

impl World {
    /// Returns the programs whose end was confirmed to their callers.
    pub(super) fn ended_programs(&self) -> BTreeSet<&str> {
        let ended = self.clients.programs.iter().filter(|program| program.ended.is_some());
        ended.map(|program| program.id.as_str()).collect()
    }
}

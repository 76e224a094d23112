//! Engine memory that is held or computed in vain.

use std::collections::{BTreeMap, BTreeSet};

use calicohoist_emulator::EngineRecord;
use calicohoist_types::ChatMessage;
use serde::{Deserialize, Serialize};

use super::world::World;

/// Shares of wasted cache.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct WastedCache {
    /// Share of held tokens, over time, whose program had ended.
    pub dead_held_share: f64,
    /// Share of prompt tokens that were computed again though an engine had
    /// computed them for the same program before.
    pub rebuilt_token_share: f64,
}

/// Sums of what engines hold, sampled at equal intervals.
#[derive(Clone, Copy, Debug, Default)]
pub struct HeldSamples {
    held: u64,
    dead: u64,
}

impl HeldSamples {
    /// Looks at all engines once.
    pub fn sample(&mut self, world: &World) {
        let ended = world.ended_programs();
        for engine in &world.engines {
            for (program, tokens) in engine.holdings() {
                self.held += tokens;
                if ended.contains(program.as_str()) {
                    self.dead += tokens;
                }
            }
        }
    }

    /// Share of dead tokens.
    pub fn dead_share(&self) -> f64 {
        share(self.dead, self.held)
    }
}

/// Share of prompt tokens that were computed again.
pub fn rebuilt_share(records: &[EngineRecord]) -> f64 {
    let mut by_arrival: Vec<&EngineRecord> = records.iter().collect();
    by_arrival.sort_by_key(|record| record.arrived);
    let mut known: BTreeMap<&str, u64> = BTreeMap::new();
    let (mut prompt_tokens, mut rebuilt) = (0, 0);
    for record in by_arrival {
        let prompt: u64 = record.prompt.iter().map(ChatMessage::tokens).sum();
        let before = known.entry(record.program.as_str()).or_default();
        prompt_tokens += prompt;
        rebuilt += (*before).min(prompt).saturating_sub(record.usage.cached_tokens);
        *before = (*before).max(prompt);
    }
    share(rebuilt, prompt_tokens)
}

fn share(part: u64, whole: u64) -> f64 {
    if whole == 0 { 0.0 } else { part as f64 / whole as f64 }
}

impl World {
    /// Programs whose callers were told that they ended.
    pub(super) fn ended_programs(&self) -> BTreeSet<&str> {
        let ended = self.clients.programs.iter().filter(|program| program.ended.is_some());
        ended.map(|program| program.id.as_str()).collect()
    }
}

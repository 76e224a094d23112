//! Retained turns: a forest in which each turn names the one it continued from.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::commands::{RetainedTurn, TurnId};

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Turn {
    kept: RetainedTurn,
    keep_until_ms: u64,
}

/// All retained turns.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Turns {
    turns: BTreeMap<TurnId, Turn>,
}

impl Turns {
    /// Keeps a turn and all it continued from until `until_ms`. A turn that is there
    /// already stays as it is.
    pub fn insert(&mut self, id: TurnId, kept: RetainedTurn, until_ms: u64) {
        self.turns.entry(id.clone()).or_insert(Turn { kept, keep_until_ms: until_ms });
        self.keep_until(&id, until_ms);
    }

    /// Whether the turn is held.
    pub fn contains(&self, id: &str) -> bool {
        self.turns.contains_key(id)
    }

    /// Keeps a turn and all it continued from until `until_ms` at least.
    pub fn keep_until(&mut self, id: &str, until_ms: u64) {
        let mut next = Some(id.to_owned());
        while let Some(id) = next {
            let Some(turn) = self.turns.get_mut(&id) else {
                return;
            };
            turn.keep_until_ms = turn.keep_until_ms.max(until_ms);
            next = turn.kept.previous.clone();
        }
    }

    /// Inputs and outputs from the first turn of the line up to `id`, oldest first;
    /// `None` when a turn of the line is not held.
    pub fn history(&self, id: &str) -> Option<Vec<u8>> {
        let mut line = Vec::new();
        let mut next = Some(id);
        while let Some(id) = next {
            let turn = self.turns.get(id)?;
            line.push(turn);
            next = turn.kept.previous.as_deref();
        }
        let bytes = |turn: &&Turn| turn.kept.input.len() + turn.kept.output.len();
        let mut history = Vec::with_capacity(line.iter().map(bytes).sum());
        for turn in line.into_iter().rev() {
            history.extend_from_slice(&turn.kept.input);
            history.extend_from_slice(&turn.kept.output);
        }
        Some(history)
    }

    /// Drops the turns that nobody continued for as long as they are kept.
    pub fn expire(&mut self, now_ms: u64) {
        self.turns.retain(|_, turn| turn.keep_until_ms > now_ms);
    }

    /// Turns held.
    pub fn len(&self) -> usize {
        self.turns.len()
    }

    /// Whether no turn is held.
    pub fn is_empty(&self) -> bool {
        self.turns.is_empty()
    }
}

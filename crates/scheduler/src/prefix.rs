//! What each replica is believed to hold of prompts.
//!
//! A prompt is a list of parts; a replica that ran it holds them for as long as its
//! memory allows. The index is an estimate kept from what was placed where: replicas
//! are not asked. A wrong entry costs reading a prompt anew and nothing else.

use foldhash::HashMap;
use serde::{Deserialize, Serialize};

/// One part of a prompt. Prompts that share a part have it under one identity, and a
/// part that belongs to one line of turns grows from turn to turn.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PromptPart {
    /// Identity of the part.
    pub id: u64,
    /// Its length, in tokens.
    pub tokens: u32,
}

/// Share of a full memory that stays when the oldest parts give way.
const KEPT_OF_FULL: f64 = 0.9;

#[derive(Clone, Copy, Debug)]
struct HeldPart {
    tokens: u32,
    last_use: u64,
}

/// What one replica holds.
#[derive(Clone, Debug, Default)]
pub(crate) struct Memory {
    parts: HashMap<u64, HeldPart>,
    tokens: u64,
}

impl Memory {
    /// Tokens that are held in all.
    pub(crate) fn tokens(&self) -> u64 {
        self.tokens
    }

    /// Tokens of the prompt that would have to be read, and those among them of parts that
    /// other prompts may share: all but the last one.
    pub(crate) fn unread(&self, prompt: &[PromptPart]) -> Unread {
        let shared = prompt.split_last().map_or(prompt, |(_, shared)| shared);
        Unread {
            all: tokens_of(prompt) - self.held(prompt),
            shared: tokens_of(shared) - self.held(shared),
        }
    }

    /// Tokens at the front of the prompt that are held.
    fn held(&self, prompt: &[PromptPart]) -> u64 {
        let mut held = 0;
        for part in prompt {
            let of_part = self.parts.get(&part.id).map_or(0, |known| known.tokens.min(part.tokens));
            held += u64::from(of_part);
            if of_part < part.tokens {
                break;
            }
        }
        held
    }

    fn note(&mut self, part: PromptPart, use_number: u64) {
        let known = self.parts.entry(part.id).or_insert(HeldPart { tokens: 0, last_use: 0 });
        self.tokens -= u64::from(known.tokens);
        known.tokens = known.tokens.max(part.tokens);
        known.last_use = use_number;
        self.tokens += u64::from(known.tokens);
    }

    /// Lets the parts that were unused for longest give way.
    fn shrink(&mut self, capacity: u64) {
        if self.tokens <= capacity {
            return;
        }
        let mut by_age: Vec<(u64, u64)> =
            self.parts.iter().map(|(id, part)| (part.last_use, *id)).collect();
        by_age.sort_unstable();
        let target = (capacity as f64 * KEPT_OF_FULL) as u64;
        for (_, id) in by_age {
            if self.tokens <= target {
                return;
            }
            let gone = self.parts.remove(&id).map_or(0, |part| part.tokens);
            self.tokens -= u64::from(gone);
        }
    }
}

/// Tokens of a prompt that a replica would have to read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Unread {
    /// Of the whole prompt.
    pub(crate) all: u64,
    /// Of parts that other prompts may share.
    pub(crate) shared: u64,
}

fn tokens_of(prompt: &[PromptPart]) -> u64 {
    prompt.iter().map(|part| u64::from(part.tokens)).sum()
}

/// What all replicas are believed to hold, by their identity.
#[derive(Clone, Debug, Default)]
pub struct PrefixIndex {
    memories: HashMap<String, Memory>,
    uses: u64,
}

impl PrefixIndex {
    /// What the replica holds; `None` when nothing is known of it.
    pub(crate) fn memory(&self, replica: &str) -> Option<&Memory> {
        self.memories.get(replica)
    }

    /// Tokens of the prompt that the replica would have to read.
    pub fn unread(&self, replica: &str, prompt: &[PromptPart]) -> u64 {
        let held = self.memories.get(replica).map_or(0, |memory| memory.held(prompt));
        tokens_of(prompt) - held
    }

    /// Notes that the replica reads the prompt; its memory holds `capacity` tokens.
    pub fn note(&mut self, replica: &str, prompt: &[PromptPart], capacity: u64) {
        if prompt.is_empty() {
            return;
        }
        self.uses += 1;
        let memory = match self.memories.get_mut(replica) {
            Some(memory) => memory,
            None => self.memories.entry(replica.to_owned()).or_default(),
        };
        for part in prompt {
            memory.note(*part, self.uses);
        }
        memory.shrink(capacity);
    }

    /// Forgets replicas for which `is_listed` is false.
    pub fn retain(&mut self, is_listed: impl Fn(&str) -> bool) {
        self.memories.retain(|replica, _| is_listed(replica));
    }
}

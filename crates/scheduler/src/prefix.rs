//! Estimated contents of the replicas' prefix caches.
//!
//! A prompt is a list of parts. A replica that ran a prompt caches its parts until they are
//! evicted. The index is derived from placements and completed turns; replicas are not queried.
//! An error in the estimate only costs the computation of a prompt that was believed to be
//! cached.

use std::collections::VecDeque;
use std::sync::Arc;

use foldhash::HashMap;
use serde::{Deserialize, Serialize};

/// Part of a prompt. Parts that are common to several prompts have the same id. The part that
/// belongs to a single conversation grows with each turn.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PromptPart {
    /// Identity of the part.
    pub id: u64,
    /// Length in tokens.
    pub tokens: u32,
}

/// Fraction of the capacity that remains in use after an eviction.
const EVICTION_TARGET: f64 = 0.9;
/// Number of replicas that are tracked for each part.
const MAX_HOLDERS: usize = 64;

#[derive(Clone, Copy, Debug)]
struct CachedPart {
    tokens: u32,
    last_use: u64,
}

/// Estimated prefix cache of one replica.
#[derive(Clone, Debug, Default)]
pub(crate) struct PrefixCache {
    parts: HashMap<u64, CachedPart>,
    tokens: u64,
}

impl PrefixCache {
    /// Number of cached tokens.
    pub(crate) fn tokens(&self) -> u64 {
        self.tokens
    }

    /// Counts the tokens of a prompt that are not cached.
    pub(crate) fn uncached(&self, prompt: &[PromptPart]) -> UncachedTokens {
        let Some((last, shared)) = prompt.split_last() else {
            return UncachedTokens { all: 0, shared: 0 };
        };
        let uncached_shared = total_tokens(shared) - self.cached(shared);
        // Without the parts before it, the last one is computed again.
        let cached_last = if uncached_shared == 0 { self.cached_tokens(last) } else { 0 };
        UncachedTokens {
            all: uncached_shared + u64::from(last.tokens - cached_last),
            shared: uncached_shared,
        }
    }

    /// Counts the cached tokens at the start of a prompt.
    fn cached(&self, prompt: &[PromptPart]) -> u64 {
        let mut cached = 0;
        for part in prompt {
            let cached_tokens = self.cached_tokens(part);
            cached += u64::from(cached_tokens);
            if cached_tokens < part.tokens {
                break;
            }
        }
        cached
    }

    fn cached_tokens(&self, part: &PromptPart) -> u32 {
        self.parts.get(&part.id).map_or(0, |cached_part| cached_part.tokens.min(part.tokens))
    }

    fn record(&mut self, part: PromptPart, last_use: u64) {
        let cached_part =
            self.parts.entry(part.id).or_insert(CachedPart { tokens: 0, last_use: 0 });
        self.tokens -= u64::from(cached_part.tokens);
        cached_part.tokens = cached_part.tokens.max(part.tokens);
        cached_part.last_use = last_use;
        self.tokens += u64::from(cached_part.tokens);
    }

    /// Evicts the least recently used parts if the cache exceeds `capacity`, and returns them.
    fn evict(&mut self, capacity: u64) -> Vec<u64> {
        let mut evicted_parts = Vec::new();
        if self.tokens <= capacity {
            return evicted_parts;
        }
        let mut by_last_use: Vec<(u64, u64)> =
            self.parts.iter().map(|(id, part)| (part.last_use, *id)).collect();
        by_last_use.sort_unstable();
        let target = (capacity as f64 * EVICTION_TARGET) as u64;
        for (_, id) in by_last_use {
            if self.tokens <= target {
                break;
            }
            let evicted = self.parts.remove(&id).map_or(0, |part| part.tokens);
            self.tokens -= u64::from(evicted);
            evicted_parts.push(id);
        }
        evicted_parts
    }
}

/// Tokens of a prompt that are not cached.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct UncachedTokens {
    /// Tokens in the whole prompt.
    pub(crate) all: u64,
    /// Tokens in parts that other prompts may share: all parts but the last.
    pub(crate) shared: u64,
}

fn total_tokens(prompt: &[PromptPart]) -> u64 {
    prompt.iter().map(|part| u64::from(part.tokens)).sum()
}

/// Estimated prefix caches by replica.
#[derive(Clone, Debug, Default)]
pub struct PrefixIndex {
    caches: HashMap<String, PrefixCache>,
    /// Replicas that have cached a part, least recently used first; at most [`MAX_HOLDERS`].
    holders: HashMap<u64, VecDeque<Arc<str>>>,
    use_counter: u64,
}

impl PrefixIndex {
    /// Returns the cache of a replica; `None` if nothing is known about it.
    pub(crate) fn cache(&self, replica: &str) -> Option<&PrefixCache> {
        self.caches.get(replica)
    }

    /// Returns the number of tokens of a prompt that the replica has not cached.
    pub fn uncached(&self, replica: &str, prompt: &[PromptPart]) -> u64 {
        let cached = self.caches.get(replica).map_or(0, |cache| cache.cached(prompt));
        total_tokens(prompt) - cached
    }

    /// Records that the replica computes a prompt; its cache holds `capacity` tokens.
    pub fn record(&mut self, replica: &str, prompt: &[PromptPart], capacity: u64) {
        if prompt.is_empty() {
            return;
        }
        self.use_counter += 1;
        let cache = match self.caches.get_mut(replica) {
            Some(cache) => cache,
            None => self.caches.entry(replica.to_owned()).or_default(),
        };
        for part in prompt {
            cache.record(*part, self.use_counter);
        }
        let evicted = cache.evict(capacity);
        for part in prompt {
            record_holder(self.holders.entry(part.id).or_default(), replica);
        }
        for part in evicted {
            self.remove_holder(part, replica);
        }
    }

    fn remove_holder(&mut self, part: u64, replica: &str) {
        let Some(holders) = self.holders.get_mut(&part) else {
            return;
        };
        holders.retain(|holder| holder.as_ref() != replica);
        if holders.is_empty() {
            self.holders.remove(&part);
        }
    }

    /// Iterates over the tracked replicas that have cached a part, most recently used first.
    pub(crate) fn holders(&self, part: u64) -> impl Iterator<Item = &str> {
        self.holders.get(&part).into_iter().flatten().rev().map(AsRef::as_ref)
    }

    /// Drops replicas for which `is_listed` is false.
    pub fn retain(&mut self, is_listed: impl Fn(&str) -> bool) {
        let unlisted: Vec<String> =
            self.caches.keys().filter(|replica| !is_listed(replica)).cloned().collect();
        for replica in unlisted {
            let parts = self.caches.remove(&replica).map(|cache| cache.parts).unwrap_or_default();
            for part in parts.keys() {
                self.remove_holder(*part, &replica);
            }
        }
    }
}

/// Moves a replica to the end of the holders of a part.
fn record_holder(holders: &mut VecDeque<Arc<str>>, replica: &str) {
    let known = holders.iter().position(|holder| holder.as_ref() == replica);
    let holder = match known {
        Some(position) => holders.remove(position),
        None => None,
    };
    holders.push_back(holder.unwrap_or_else(|| Arc::from(replica)));
    if holders.len() > MAX_HOLDERS {
        holders.pop_front();
    }
}

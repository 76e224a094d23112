//! Prefix cache of fixed-size token blocks, keyed by a hash of the whole preceding prefix.

use std::collections::{BTreeMap, BTreeSet};

use calicohoist_types::{Moment, ProgramId};

/// Number of tokens per block.
pub const BLOCK_TOKENS: u64 = 16;

/// Hash of a block's tokens and all tokens before it.
pub type BlockHash = u64;

#[derive(Debug)]
struct Block {
    holders: BTreeSet<ProgramId>,
    last_used: Moment,
    pins: u32,
}

/// Prefix cache of an engine with a fixed number of blocks and LRU eviction.
#[derive(Debug)]
pub struct BlockCache {
    capacity: usize,
    blocks: BTreeMap<BlockHash, Block>,
    cached_tokens: BTreeMap<ProgramId, u64>,
    changed_programs: BTreeSet<ProgramId>,
}

impl BlockCache {
    /// Creates an empty cache of `capacity` blocks.
    pub fn new(capacity: usize) -> Self {
        Self {
            capacity,
            blocks: BTreeMap::new(),
            cached_tokens: BTreeMap::new(),
            changed_programs: BTreeSet::new(),
        }
    }

    /// Returns the number of leading `hashes` that are cached.
    pub fn cached_prefix_len(&self, hashes: &[BlockHash]) -> usize {
        hashes.iter().take_while(|hash| self.blocks.contains_key(hash)).count()
    }

    /// Stores blocks for `program` and pins them until [`BlockCache::unpin`].
    ///
    /// Returns the number of leading blocks stored; the rest did not fit.
    pub fn store(&mut self, now: Moment, program: &ProgramId, hashes: &[BlockHash]) -> usize {
        for (stored, hash) in hashes.iter().enumerate() {
            if !self.blocks.contains_key(hash) && !self.evict_if_full() {
                return stored;
            }
            let block = self.blocks.entry(*hash).or_insert_with(|| Block {
                holders: BTreeSet::new(),
                last_used: now,
                pins: 0,
            });
            block.last_used = now;
            block.pins += 1;
            if block.holders.insert(program.clone()) {
                *self.cached_tokens.entry(program.clone()).or_default() += BLOCK_TOKENS;
                self.changed_programs.insert(program.clone());
            }
        }
        hashes.len()
    }

    /// Releases one pin of each of the given blocks.
    pub fn unpin(&mut self, hashes: &[BlockHash]) {
        for hash in hashes {
            if let Some(block) = self.blocks.get_mut(hash) {
                block.pins = block.pins.saturating_sub(1);
            }
        }
    }

    /// Evicts the least recently used unpinned block if the cache is full.
    ///
    /// Returns `false` when the cache is full and every block is pinned.
    fn evict_if_full(&mut self) -> bool {
        if self.blocks.len() < self.capacity {
            return true;
        }
        let unpinned = self.blocks.iter().filter(|(_, block)| block.pins == 0);
        let least_recent = unpinned.min_by_key(|(_, block)| block.last_used).map(|(hash, _)| *hash);
        match least_recent {
            Some(hash) => {
                self.evict_block(hash);
                true
            }
            None => false,
        }
    }

    fn evict_block(&mut self, hash: BlockHash) {
        let Some(block) = self.blocks.remove(&hash) else {
            return;
        };
        for program in block.holders {
            self.subtract_block_tokens(&program);
        }
    }

    fn subtract_block_tokens(&mut self, program: &ProgramId) {
        if let Some(tokens) = self.cached_tokens.get_mut(program) {
            *tokens = tokens.saturating_sub(BLOCK_TOKENS);
            if *tokens == 0 {
                self.cached_tokens.remove(program);
            }
        }
        self.changed_programs.insert(program.clone());
    }

    /// Removes `program` from its blocks and frees those without another holder.
    ///
    /// Returns the number of tokens that were cached for `program`.
    pub fn release(&mut self, program: &ProgramId) -> u64 {
        let freed = self.cached_tokens.get(program).copied().unwrap_or_default();
        let held: Vec<BlockHash> = self.blocks_of(program);
        for hash in held {
            if let Some(block) = self.blocks.get_mut(&hash) {
                block.holders.remove(program);
                if block.holders.is_empty() {
                    self.blocks.remove(&hash);
                }
            }
        }
        if self.cached_tokens.remove(program).is_some() {
            self.changed_programs.insert(program.clone());
        }
        freed
    }

    /// Returns the blocks cached for `program`.
    pub fn blocks_of(&self, program: &ProgramId) -> Vec<BlockHash> {
        let held = self.blocks.iter().filter(|(_, block)| block.holders.contains(program));
        held.map(|(hash, _)| *hash).collect()
    }

    /// Returns the number of cached tokens of each program.
    pub fn tokens_by_program(&self) -> Vec<(ProgramId, u64)> {
        self.cached_tokens.iter().map(|(program, tokens)| (program.clone(), *tokens)).collect()
    }

    /// Returns the number of occupied blocks.
    pub fn used_blocks(&self) -> usize {
        self.blocks.len()
    }

    /// Returns the total number of blocks.
    pub fn capacity(&self) -> usize {
        self.capacity
    }

    /// Returns the programs whose cached tokens changed since the last call, with the new count.
    pub fn take_changes(&mut self) -> Vec<(ProgramId, u64)> {
        let changed = std::mem::take(&mut self.changed_programs);
        let held =
            |program: &ProgramId| self.cached_tokens.get(program).copied().unwrap_or_default();
        changed.into_iter().map(|program| (program.clone(), held(&program))).collect()
    }
}

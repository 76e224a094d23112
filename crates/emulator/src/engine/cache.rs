//! The prefix cache: blocks of tokens, found by a hash of everything before them.

use std::collections::{BTreeMap, BTreeSet};

use calicohoist_types::{Moment, ProgramId};

/// Tokens in one block.
pub const BLOCK_TOKENS: u64 = 16;

/// Hash of a block's tokens and all tokens before it.
pub type BlockHash = u64;

#[derive(Debug)]
struct Block {
    holders: BTreeSet<ProgramId>,
    last_used: Moment,
    pins: u32,
}

/// Blocks in an engine's memory.
#[derive(Debug)]
pub struct BlockCache {
    capacity: usize,
    blocks: BTreeMap<BlockHash, Block>,
    tokens: BTreeMap<ProgramId, u64>,
    changed: BTreeSet<ProgramId>,
}

impl BlockCache {
    /// A cache of `capacity` blocks.
    pub fn new(capacity: usize) -> Self {
        Self {
            capacity,
            blocks: BTreeMap::new(),
            tokens: BTreeMap::new(),
            changed: BTreeSet::new(),
        }
    }

    /// How many of `hashes`, from the first on, are held.
    pub fn held_prefix(&self, hashes: &[BlockHash]) -> usize {
        hashes.iter().take_while(|hash| self.blocks.contains_key(hash)).count()
    }

    /// Stores blocks for `program` and pins them while a request uses them.
    /// Returns how many fitted; the rest are computed but not kept.
    pub fn store(&mut self, now: Moment, program: &ProgramId, hashes: &[BlockHash]) -> usize {
        for (stored, hash) in hashes.iter().enumerate() {
            if !self.blocks.contains_key(hash) && !self.make_room() {
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
                *self.tokens.entry(program.clone()).or_default() += BLOCK_TOKENS;
                self.changed.insert(program.clone());
            }
        }
        hashes.len()
    }

    /// Ends the use of blocks by a request.
    pub fn unpin(&mut self, hashes: &[BlockHash]) {
        for hash in hashes {
            if let Some(block) = self.blocks.get_mut(hash) {
                block.pins = block.pins.saturating_sub(1);
            }
        }
    }

    /// Frees one block if the cache is full; `false` when all are in use.
    fn make_room(&mut self) -> bool {
        if self.blocks.len() < self.capacity {
            return true;
        }
        let unused = self.blocks.iter().filter(|(_, block)| block.pins == 0);
        let oldest = unused.min_by_key(|(_, block)| block.last_used).map(|(hash, _)| *hash);
        match oldest {
            Some(hash) => {
                self.drop_block(hash);
                true
            }
            None => false,
        }
    }

    fn drop_block(&mut self, hash: BlockHash) {
        let Some(block) = self.blocks.remove(&hash) else {
            return;
        };
        for program in block.holders {
            self.forget_tokens(&program);
        }
    }

    fn forget_tokens(&mut self, program: &ProgramId) {
        if let Some(tokens) = self.tokens.get_mut(program) {
            *tokens = tokens.saturating_sub(BLOCK_TOKENS);
            if *tokens == 0 {
                self.tokens.remove(program);
            }
        }
        self.changed.insert(program.clone());
    }

    /// Frees everything that only `program` holds; returns the tokens it held.
    pub fn release(&mut self, program: &ProgramId) -> u64 {
        let freed = self.tokens.get(program).copied().unwrap_or_default();
        let held: Vec<BlockHash> = self.blocks_of(program);
        for hash in held {
            if let Some(block) = self.blocks.get_mut(&hash) {
                block.holders.remove(program);
                if block.holders.is_empty() {
                    self.blocks.remove(&hash);
                }
            }
        }
        if self.tokens.remove(program).is_some() {
            self.changed.insert(program.clone());
        }
        freed
    }

    /// The blocks that `program` holds.
    pub fn blocks_of(&self, program: &ProgramId) -> Vec<BlockHash> {
        let held = self.blocks.iter().filter(|(_, block)| block.holders.contains(program));
        held.map(|(hash, _)| *hash).collect()
    }

    /// Programs with the tokens held for each.
    pub fn listing(&self) -> Vec<(ProgramId, u64)> {
        self.tokens.iter().map(|(program, tokens)| (program.clone(), *tokens)).collect()
    }

    /// Blocks in use.
    pub fn used(&self) -> usize {
        self.blocks.len()
    }

    /// Blocks in all.
    pub fn capacity(&self) -> usize {
        self.capacity
    }

    /// Takes the programs whose holdings changed, with the tokens held now.
    pub fn take_changes(&mut self) -> Vec<(ProgramId, u64)> {
        let changed = std::mem::take(&mut self.changed);
        let held = |program: &ProgramId| self.tokens.get(program).copied().unwrap_or_default();
        changed.into_iter().map(|program| (program.clone(), held(&program))).collect()
    }
}

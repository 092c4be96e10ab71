//! The prefix cache.

use std::collections::HashMap;
use std::hash::{DefaultHasher, Hash, Hasher};

/// Characters that make one token.
pub(super) const CHARS_PER_TOKEN: usize = 4;
/// Tokens in one cached block.
const BLOCK_TOKENS: usize = 16;

/// What reading a prompt costs.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(super) struct PromptCost {
    /// Tokens that must be read.
    pub(super) fresh_tokens: u64,
    /// Tokens found in the cache.
    pub(super) cached_tokens: u64,
}

/// Blocks of prompts by the hash of all that comes before and in them.
#[derive(Debug)]
pub(super) struct PrefixCache {
    capacity: usize,
    clock: u64,
    last_use: HashMap<u64, u64>,
}

impl PrefixCache {
    pub(super) fn new(capacity: usize) -> Self {
        Self {
            capacity,
            clock: 0,
            last_use: HashMap::new(),
        }
    }

    /// Reads a prompt for an adapter and keeps its blocks.
    pub(super) fn read(&mut self, adapter: &str, prompt: &str) -> PromptCost {
        self.clock += 1;
        let mut cost = PromptCost::default();
        let mut hasher = DefaultHasher::new();
        adapter.hash(&mut hasher);
        for block in prompt.as_bytes().chunks(BLOCK_TOKENS * CHARS_PER_TOKEN) {
            block.hash(&mut hasher);
            let tokens = block.len().div_ceil(CHARS_PER_TOKEN) as u64;
            match self.last_use.insert(hasher.finish(), self.clock) {
                None => cost.fresh_tokens += tokens,
                Some(_) => cost.cached_tokens += tokens,
            }
        }
        self.shrink();
        cost
    }

    /// Drops the older half when there are too many blocks.
    fn shrink(&mut self) {
        if self.last_use.len() <= self.capacity {
            return;
        }
        let mut uses = self.last_use.values().copied().collect::<Vec<_>>();
        uses.sort_unstable();
        let oldest_kept = uses[uses.len() - self.capacity / 2];
        self.last_use.retain(|_, last| *last >= oldest_kept);
    }
}

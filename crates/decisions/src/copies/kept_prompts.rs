//! Estimates which prompt prefixes an engine has cached.
//!
//! An engine caches a prompt until newer prompts need the memory, and drops it with the adapter.
//! The engine's holder grants every request, so it can estimate the cache contents without querying
//! the engine.

use std::collections::BTreeMap;

use monsoonspread_model::fleet::{AdapterKey, PromptPart};

/// Share of an engine's cache memory that prefixes may fill, in percent; running requests use the
/// rest.
const KEPT_PERCENT: u64 = 80;
/// Maximum number of tracked parts. An engine's memory holds a few hundred of usual length.
const MAX_PARTS: usize = 512;

#[derive(Clone, Copy, Debug)]
struct KeptPart {
    tokens: u32,
    /// Value of `sent_tokens` when the part was last used.
    used_at_token: u64,
}

/// Tracks the prompt prefixes that an engine has probably cached.
#[derive(Clone, Debug)]
pub(super) struct KeptPrompts {
    capacity_tokens: u64,
    sent_tokens: u64,
    parts: BTreeMap<(AdapterKey, u64), KeptPart>,
}

impl KeptPrompts {
    /// Starts with an empty cache of `kv_tokens` tokens.
    pub(super) fn new(kv_tokens: u64) -> Self {
        Self {
            capacity_tokens: kv_tokens * KEPT_PERCENT / 100,
            sent_tokens: 0,
            parts: BTreeMap::new(),
        }
    }

    /// A prompt of `prompt_tokens` tokens with the prefix `shared` is sent.
    pub(super) fn on_sent(&mut self, key: &AdapterKey, shared: &[PromptPart], prompt_tokens: u32) {
        let kept = self.kept_tokens(key, shared);
        self.sent_tokens += u64::from(prompt_tokens.saturating_sub(kept));
        for part in shared {
            let used = KeptPart {
                tokens: part.tokens,
                used_at_token: self.sent_tokens,
            };
            self.parts.insert((key.clone(), part.id), used);
        }
        if self.parts.len() > MAX_PARTS {
            self.evict_oldest();
        }
    }

    /// Length in tokens of the prompt prefix that is probably cached.
    pub(super) fn kept_tokens(&self, key: &AdapterKey, shared: &[PromptPart]) -> u32 {
        let parts = shared.iter().map(|part| {
            let part = self.parts.get(&(key.clone(), part.id));
            part.filter(|part| self.is_kept(part))
        });
        parts.map_while(|part| Some(part?.tokens)).sum()
    }

    /// The engine removed an adapter.
    pub(super) fn on_dropped(&mut self, key: &AdapterKey) {
        self.parts.retain(|(of, _), _| of != key);
    }

    /// The engine restarted.
    pub(super) fn clear(&mut self) {
        self.parts.clear();
    }

    fn is_kept(&self, part: &KeptPart) -> bool {
        self.sent_tokens - part.used_at_token <= self.capacity_tokens
    }

    fn evict_oldest(&mut self) {
        let oldest = self.parts.iter().min_by_key(|(_, part)| part.used_at_token);
        if let Some(oldest) = oldest.map(|(part, _)| part.clone()) {
            self.parts.remove(&oldest);
        }
    }
}

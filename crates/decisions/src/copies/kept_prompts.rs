//! Which beginnings of prompts an engine has probably kept.
//!
//! An engine keeps what it read until newer prompts need the memory, and drops it with the
//! adapter. Every prompt is granted by the engine's holder, which can therefore tell what is kept
//! there without asking the engine.

use std::collections::BTreeMap;

use monsoonspread_model::fleet::{AdapterKey, PromptPart};

/// Share of an engine's memory that kept prompts may fill, in percent: running requests take the
/// rest.
const KEPT_PERCENT: u64 = 80;
/// Parts that are remembered, of the few hundred of usual length that an engine's memory holds.
const MAX_PARTS: usize = 512;

#[derive(Clone, Copy, Debug)]
struct KeptPart {
    tokens: u32,
    /// Tokens that had been sent to the engine when the part was used last.
    used_at_token: u64,
}

/// Which beginnings of prompts an engine has probably kept.
#[derive(Clone, Debug)]
pub(super) struct KeptPrompts {
    capacity_tokens: u64,
    sent_tokens: u64,
    parts: BTreeMap<(AdapterKey, u64), KeptPart>,
}

impl KeptPrompts {
    /// Nothing is kept yet in a memory of `kv_tokens`.
    pub(super) fn new(kv_tokens: u64) -> Self {
        Self {
            capacity_tokens: kv_tokens * KEPT_PERCENT / 100,
            sent_tokens: 0,
            parts: BTreeMap::new(),
        }
    }

    /// A prompt of `prompt_tokens` that begins with `shared` is sent.
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
            self.forget_oldest();
        }
    }

    /// Length of the beginning of a prompt that need not be read.
    pub(super) fn kept_tokens(&self, key: &AdapterKey, shared: &[PromptPart]) -> u32 {
        let parts = shared.iter().map(|part| {
            let part = self.parts.get(&(key.clone(), part.id));
            part.filter(|part| self.is_kept(part))
        });
        parts.map_while(|part| Some(part?.tokens)).sum()
    }

    /// The engine dropped an adapter.
    pub(super) fn on_dropped(&mut self, key: &AdapterKey) {
        self.parts.retain(|(of, _), _| of != key);
    }

    /// The engine started anew.
    pub(super) fn clear(&mut self) {
        self.parts.clear();
    }

    fn is_kept(&self, part: &KeptPart) -> bool {
        self.sent_tokens - part.used_at_token <= self.capacity_tokens
    }

    fn forget_oldest(&mut self) {
        let oldest = self.parts.iter().min_by_key(|(_, part)| part.used_at_token);
        if let Some(oldest) = oldest.map(|(part, _)| part.clone()) {
            self.parts.remove(&oldest);
        }
    }
}

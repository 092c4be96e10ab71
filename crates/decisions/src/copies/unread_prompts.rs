//! Prompts that an engine has not read yet.
//!
//! An engine reads prompts between the tokens of running requests. Prompts that are read in the
//! same step make every running stream pause, the longer the slower the engine is at that
//! moment. Those beyond a few wait at the holder, where the most urgent one goes first.

use std::collections::BTreeMap;

use monsoonspread_model::UnixMs;

use super::{AskId, CopyAsk};

/// Tokens of unread prompts at one engine.
///
/// Two prompts of usual length: while one is read the next is on its way.
const MAX_UNREAD_TOKENS: u32 = 2_800;
/// Most tokens that a prompt counts for: an engine reads longer ones in several steps.
const MAX_COUNTED_TOKENS: u32 = 1_500;
/// How long an engine's word on its slowness is believed, in milliseconds: about the time for
/// which a neighbour on its machine presses.
const SLOWNESS_MS: u64 = 500;
/// Slowness of an engine that works as usual, in percent.
const USUAL_PERCENT: u32 = 100;
/// How long a prompt counts at the most, in milliseconds: its instance may not tell.
const MAX_UNREAD_MS: u64 = 1_500;

#[derive(Clone, Copy, Debug)]
struct Unread {
    /// Length of the prompt.
    tokens: u32,
    until: UnixMs,
}

/// Prompts that an engine has not read yet.
#[derive(Clone, Debug, Default)]
pub(super) struct UnreadPrompts {
    prompts: BTreeMap<AskId, Unread>,
    slowness_percent: u32,
    slow_until: UnixMs,
}

impl UnreadPrompts {
    /// Whether a prompt may be sent now.
    pub(super) fn admit(&mut self, now: UnixMs, tokens: u32) -> bool {
        self.prompts.retain(|_, unread| unread.until > now);
        let prompts = self.prompts.values();
        let unread: u32 = prompts.map(|unread| counted(unread.tokens)).sum();
        unread == 0 || unread + counted(tokens) <= self.limit(now)
    }

    /// Tokens of all prompts that are not read yet.
    pub(super) fn tokens(&self, now: UnixMs) -> u32 {
        let unread = self.prompts.values().filter(|unread| unread.until > now);
        unread.fold(0, |sum, unread| sum.saturating_add(unread.tokens))
    }

    /// The engine told how long work takes there now, in percent of the usual time.
    pub(super) fn on_slowness(&mut self, now: UnixMs, percent: u32) {
        self.slowness_percent = percent;
        self.slow_until = now + SLOWNESS_MS;
    }

    /// How long work takes at the engine, in percent of the usual time; `None` where it was not
    /// told of late.
    pub(super) fn slowness_percent(&self, now: UnixMs) -> Option<u32> {
        (now < self.slow_until).then_some(self.slowness_percent)
    }

    /// The prompt of `ask` is sent.
    pub(super) fn on_sent(&mut self, now: UnixMs, ask: &CopyAsk) {
        let unread = Unread {
            tokens: ask.prompt_tokens,
            until: now + MAX_UNREAD_MS,
        };
        self.prompts.insert(ask.id.clone(), unread);
    }

    /// The prompt of `ask` was read, or never will be; false when that was known.
    pub(super) fn on_read(&mut self, ask: &AskId) -> bool {
        self.prompts.remove(ask).is_some()
    }

    /// A slow engine is handed less at once, so that the streams that run there pause no longer.
    fn limit(&self, now: UnixMs) -> u32 {
        let slowness_percent = self.slowness_percent(now).unwrap_or(USUAL_PERCENT);
        MAX_UNREAD_TOKENS * USUAL_PERCENT / slowness_percent.max(USUAL_PERCENT)
    }
}

fn counted(tokens: u32) -> u32 {
    tokens.min(MAX_COUNTED_TOKENS)
}

//! Limits the prompts that an engine has received but not processed yet.
//!
//! An engine processes prompts between the tokens of running requests. Prompts processed in the same
//! step pause every running stream, for longer the slower the engine currently is. Prompts beyond a
//! few wait at the holder, which sends the most urgent one first.

use std::collections::BTreeMap;

use monsoonspread_model::UnixMs;

use super::{CopyRequest, CopyRequestId};

/// Maximum number of unprocessed prompt tokens at one engine.
///
/// Two prompts of usual length: while one is processed the next is in transit.
const MAX_UNREAD_TOKENS: u32 = 2_800;
/// Maximum number of tokens that one prompt counts as: an engine processes longer ones in several
/// steps.
const MAX_COUNTED_TOKENS: u32 = 1_500;
/// How long a reported slowness is used, in milliseconds: about the time for which a neighbour on
/// the engine's machine causes load.
const SLOWNESS_MS: u64 = 500;
/// Slowness of an engine at its usual speed, in percent.
const USUAL_PERCENT: u32 = 100;
/// Time after which a prompt no longer counts, in milliseconds: the instance may fail to report
/// that it was processed.
const MAX_UNREAD_MS: u64 = 1_500;

#[derive(Clone, Copy, Debug)]
struct Unread {
    /// Length of the prompt in tokens.
    tokens: u32,
    until: UnixMs,
}

/// Tracks the prompts that an engine has not processed yet.
#[derive(Clone, Debug, Default)]
pub(super) struct UnreadPrompts {
    prompts: BTreeMap<CopyRequestId, Unread>,
    slowness_percent: u32,
    slow_until: UnixMs,
}

impl UnreadPrompts {
    /// Whether a prompt may be sent now.
    ///
    /// Prompts of a rank that may take only a share of the engine leave the rest of the limit to
    /// more urgent ones.
    pub(super) fn admit(&mut self, now: UnixMs, tokens: u32, share_percent: u32) -> bool {
        self.prompts.retain(|_, unread| unread.until > now);
        let prompts = self.prompts.values();
        let unread: u32 = prompts.map(|unread| counted(unread.tokens)).sum();
        unread == 0 || unread + counted(tokens) <= self.limit(now) * share_percent / USUAL_PERCENT
    }

    /// Number of tokens in all unprocessed prompts.
    pub(super) fn tokens(&self, now: UnixMs) -> u32 {
        let unread = self.prompts.values().filter(|unread| unread.until > now);
        unread.fold(0, |sum, unread| sum.saturating_add(unread.tokens))
    }

    /// The engine reported its current processing time, in percent of the usual time.
    pub(super) fn on_slowness(&mut self, now: UnixMs, percent: u32) {
        self.slowness_percent = percent;
        self.slow_until = now + SLOWNESS_MS;
    }

    /// Processing time of the engine in percent of the usual time; `None` without a recent report.
    pub(super) fn slowness_percent(&self, now: UnixMs) -> Option<u32> {
        (now < self.slow_until).then_some(self.slowness_percent)
    }

    /// The prompt of a granted copy request is sent.
    pub(super) fn on_sent(&mut self, now: UnixMs, request: &CopyRequest) {
        let unread = Unread {
            tokens: request.prompt_tokens,
            until: now + MAX_UNREAD_MS,
        };
        self.prompts.insert(request.id.clone(), unread);
    }

    /// A prompt was processed, or never will be; returns false if it was not tracked.
    pub(super) fn on_read(&mut self, request: &CopyRequestId) -> bool {
        self.prompts.remove(request).is_some()
    }

    /// Token limit, reduced for a slow engine so that its running streams don't pause for longer.
    fn limit(&self, now: UnixMs) -> u32 {
        let slowness_percent = self.slowness_percent(now).unwrap_or(USUAL_PERCENT);
        MAX_UNREAD_TOKENS * USUAL_PERCENT / slowness_percent.max(USUAL_PERCENT)
    }
}

fn counted(tokens: u32) -> u32 {
    tokens.min(MAX_COUNTED_TOKENS)
}

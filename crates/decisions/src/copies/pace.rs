//! When the next prompt may go to an engine.
//!
//! An engine reads prompts between the tokens of running requests. Prompts that arrive together
//! are read in one step, and every running stream pauses for it.

use monsoonspread_model::UnixMs;

/// Prompt tokens a millisecond that are sent to one engine while few requests wait.
const TOKENS_PER_MS: f64 = 12.0;
/// Most tokens that a prompt counts for: an engine reads longer ones in several steps.
const MAX_COUNTED_TOKENS: u32 = 2_048;
/// Waiting requests by which the pace doubles.
const DOUBLES_AT: f64 = 4.0;
/// How early the next prompt may go, in milliseconds: the way to the engine.
const AHEAD_MS: u64 = 15;

/// When the next prompt may go to an engine.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Pace {
    free_at: UnixMs,
}

impl Pace {
    /// Whether a prompt may go now.
    pub(super) fn admits(&self, now: UnixMs) -> bool {
        self.free_at <= now + AHEAD_MS
    }

    /// A prompt goes, out of `ready` that could.
    pub(super) fn on_start(&mut self, now: UnixMs, prompt_tokens: u32, ready: usize) {
        let tokens = f64::from(prompt_tokens.min(MAX_COUNTED_TOKENS));
        let others = ready.saturating_sub(1) as f64;
        let pace = TOKENS_PER_MS * (1.0 + others / DOUBLES_AT);
        self.free_at = self.free_at.max(now) + (tokens / pace) as u64;
    }
}

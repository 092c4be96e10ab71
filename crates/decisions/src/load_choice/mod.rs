//! Which of several engines with a copy gets the next request.
//!
//! Load reports lag by more than the time in which a crest builds up. What is used instead is
//! what the holders said with their latest grants, plus what this instance sent since.

#[cfg(test)]
mod tests;

use std::collections::BTreeMap;

use monsoonspread_model::{UnixMs, UpstreamName};

use crate::copies::{EngineQuote, QuotedCopy};

/// How long an engine is tried last after it failed a request, in milliseconds.
///
/// A few times the objective of short requests: long enough that one hanging engine doesn't
/// get a share of each second's requests.
const FAILED_MS: u64 = 2_000;
/// How long an engine is tried last while its holder doesn't answer, in milliseconds.
const HOLDER_SILENT_MS: u64 = 1_000;
/// Age at which what was said of an engine's load has lost half of its weight, in
/// milliseconds: a short request's time.
const LOAD_HALF_LIFE_MS: f64 = 700.0;
/// Weight of one engine's load in the moving mean over all.
const MEAN_WEIGHT: f64 = 0.05;
/// Requests by which an engine with a copy may be busier than one without before a further
/// copy is made: a load costs about half of a short answer's worth.
const SPARE_COST: f64 = 8.0;
/// Requests that an engine in trouble counts for.
const TROUBLE_COST: f64 = 1_000.0;

/// Requests that a copy on its way counts for.
const COMING_COST: f64 = 1.0;
/// Requests that a copy counts for that the demand calls for and that has to be brought.
const LOAD_COST: f64 = 3.0;
/// Requests that each one beyond the places of an engine's batch counts for.
const QUEUED_COST: f64 = 3.0;
/// Requests that an engine counts for whose holder gave no quote in time.
const NO_QUOTE_COST: f64 = 4.0;

/// Prompt tokens whose reading costs as much as one more running request: an engine reads them
/// in about the time that a request adds to the steps of one stream.
const TOKENS_PER_RUNNING: f64 = 200.0;

/// Part of what a kept beginning saves by which its home may be busier than another engine that
/// has not kept it either, in percent: the next reader may find it there.
const HOME_PERCENT: f64 = 25.0;

/// The prompt of a request.
#[derive(Clone, Copy, Debug, Default)]
pub struct PromptCost<'a> {
    /// Its length.
    pub tokens: u32,
    /// The engine where prompts with the same beginning meet, and the length of that.
    pub home: Option<(&'a UpstreamName, u32)>,
}

impl PromptCost<'_> {
    /// Whether a part of so many tokens weighs as much as one running request.
    pub fn matters(tokens: u32) -> bool {
        f64::from(tokens) >= TOKENS_PER_RUNNING
    }

    /// What reading it costs on `upstream`.
    fn at(&self, upstream: &UpstreamName, quote: Option<&EngineQuote>) -> f64 {
        let kept = quote.map_or(0, |quote| quote.kept_tokens);
        let read = self.tokens.saturating_sub(kept);
        let cost = f64::from(read) / TOKENS_PER_RUNNING * quote.map_or(1.0, slowness);
        match self.home {
            Some((home, tokens)) if home == upstream && kept == 0 => {
                cost - f64::from(tokens) / TOKENS_PER_RUNNING * HOME_PERCENT / 100.0
            }
            _ => cost,
        }
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct View {
    running: f64,
    seen_at: UnixMs,
    failed_until: UnixMs,
    silent_until: UnixMs,
}

/// What an instance knows of the engines' load.
#[derive(Debug, Default)]
pub struct LoadChoice {
    views: BTreeMap<UpstreamName, View>,
    mean_running: f64,
}

impl LoadChoice {
    /// Nothing is known yet.
    pub fn new() -> Self {
        Self::default()
    }

    /// A holder or an engine told how many requests run there.
    pub fn on_running(&mut self, now: UnixMs, upstream: &UpstreamName, running: u32) {
        self.mean_running += MEAN_WEIGHT * (f64::from(running) - self.mean_running);
        let view = self.views.entry(upstream.clone()).or_default();
        view.running = f64::from(running);
        view.seen_at = now;
    }

    /// The holder of an engine told how busy it is, or didn't in time.
    pub fn on_quote(&mut self, now: UnixMs, upstream: &UpstreamName, quote: Option<&EngineQuote>) {
        let load = match quote {
            Some(quote) => {
                let load = quoted_load(quote);
                self.mean_running += MEAN_WEIGHT * (load - self.mean_running);
                load
            }
            None => self.mean_running + NO_QUOTE_COST,
        };
        let view = self.views.entry(upstream.clone()).or_default();
        view.running = load;
        view.seen_at = now;
    }

    /// This instance is about to send a request to an engine.
    pub fn on_sent(&mut self, now: UnixMs, upstream: &UpstreamName) {
        let running = self.running(now, upstream) + 1.0;
        let view = self.views.entry(upstream.clone()).or_default();
        view.running = running;
        view.seen_at = now;
    }

    /// An engine failed a request.
    pub fn on_failed(&mut self, now: UnixMs, upstream: &UpstreamName) {
        let view = self.views.entry(upstream.clone()).or_default();
        view.failed_until = now + FAILED_MS;
    }

    /// The holder of an engine doesn't answer.
    pub fn on_holder_silent(&mut self, now: UnixMs, upstream: &UpstreamName) {
        let view = self.views.entry(upstream.clone()).or_default();
        view.silent_until = now + HOLDER_SILENT_MS;
    }

    /// Whether the holder of an engine was silent a moment ago.
    pub fn is_silent(&self, now: UnixMs, upstream: &UpstreamName) -> bool {
        let view = self.views.get(upstream);
        view.is_some_and(|view| now < view.silent_until)
    }

    /// Forgets engines that are gone.
    pub fn retain(&mut self, mut is_live: impl FnMut(&UpstreamName) -> bool) {
        self.views.retain(|name, _| is_live(name));
    }

    /// Sorts `candidates` by what one more request costs there; the first `copies` are meant to
    /// hold a copy, and those `quoted` told whether they do and what they kept of the `prompt`.
    ///
    /// ```
    /// # use monsoonspread_decisions::load_choice::{LoadChoice, PromptCost};
    /// # use monsoonspread_model::UnixMs;
    /// let mut loads = LoadChoice::new();
    /// loads.on_running(UnixMs(0), &"busy".into(), 4);
    /// loads.on_running(UnixMs(0), &"idle".into(), 0);
    /// loads.on_running(UnixMs(0), &"spare".into(), 0);
    /// let mut candidates = vec!["busy".into(), "idle".into(), "spare".into()];
    /// loads.sort(UnixMs(0), &mut candidates, 2, &[], PromptCost::default());
    /// assert_eq!(candidates, ["idle".into(), "busy".into(), "spare".into()]);
    /// ```
    pub fn sort(
        &self,
        now: UnixMs,
        candidates: &mut Vec<UpstreamName>,
        copies: usize,
        quoted: &[(UpstreamName, EngineQuote)],
        prompt: PromptCost<'_>,
    ) {
        let mut costs: Vec<(f64, UpstreamName)> = std::mem::take(candidates)
            .into_iter()
            .enumerate()
            .map(|(rank, name)| {
                let quote = quoted.iter().find(|(quoted, _)| *quoted == name);
                let quote = quote.map(|(_, quote)| quote);
                let copy = copy_cost(rank < copies, quote.map(|quote| quote.copy));
                let load = self.running(now, &name) + prompt.at(&name, quote);
                (load + copy + self.trouble(now, &name), name)
            })
            .collect();
        costs.sort_by(|a, b| a.0.total_cmp(&b.0));
        candidates.extend(costs.into_iter().map(|(_, name)| name));
    }

    /// Requests that run on an engine; what was said of it fades into the mean over all.
    fn running(&self, now: UnixMs, upstream: &UpstreamName) -> f64 {
        let Some(view) = self.views.get(upstream) else {
            return self.mean_running;
        };
        let age_ms = now.ms_since(view.seen_at) as f64;
        let kept = 0.5_f64.powf(age_ms / LOAD_HALF_LIFE_MS);
        self.mean_running + kept * (view.running - self.mean_running)
    }

    fn trouble(&self, now: UnixMs, upstream: &UpstreamName) -> f64 {
        let Some(view) = self.views.get(upstream) else {
            return 0.0;
        };
        let failed = f64::from(u8::from(now < view.failed_until));
        let silent = f64::from(u8::from(now < view.silent_until));
        TROUBLE_COST * (2.0 * failed + silent)
    }
}

/// How busy an engine is, in running requests.
fn quoted_load(quote: &EngineQuote) -> f64 {
    let queued = quote.running.saturating_sub(quote.batch_places);
    let load = f64::from(quote.running)
        + f64::from(queued) * QUEUED_COST
        + f64::from(quote.unread_tokens) / TOKENS_PER_RUNNING;
    load * slowness(quote)
}

/// How long work takes on an engine, relative to the usual time.
fn slowness(quote: &EngineQuote) -> f64 {
    f64::from(quote.slowness_percent.unwrap_or(100)) / 100.0
}

/// What the lack of a copy costs; `is_meant` where the demand calls for one.
fn copy_cost(is_meant: bool, quoted: Option<QuotedCopy>) -> f64 {
    match quoted {
        Some(QuotedCopy::Present) => 0.0,
        Some(QuotedCopy::Coming) => COMING_COST,
        Some(QuotedCopy::Absent) if is_meant => LOAD_COST,
        None if is_meant => 0.0,
        Some(QuotedCopy::Absent) | None => SPARE_COST,
    }
}

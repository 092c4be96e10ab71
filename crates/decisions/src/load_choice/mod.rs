//! Chooses the engine for a request among several candidates.
//!
//! Load reports lag by more than the time in which a peak builds up. The load is instead estimated
//! from the holders' latest grants and quotes, plus the requests that this instance sent since.

#[cfg(test)]
mod tests;

use std::collections::BTreeMap;

use monsoonspread_model::{UnixMs, UpstreamName};

use crate::capacity::{EnginePaces, usual_paces};
use crate::copies::{EngineQuote, QuotedCopy};

/// How long an engine is sorted last after it failed a request, in milliseconds.
///
/// A few times the objective of short requests: long enough that a hanging engine doesn't receive a
/// share of each second's requests.
const FAILED_MS: u64 = 2_000;
/// How long an engine is sorted last after its holder failed to answer, in milliseconds.
const HOLDER_UNRESPONSIVE_MS: u64 = 1_000;
/// Half-life of the weight of a reported load, in milliseconds: the duration of a short request.
const LOAD_HALF_LIFE_MS: f64 = 700.0;
/// How long quoted paces count in the usual ones, in milliseconds: an instance that compares a few
/// engines for each request has seen most of them by then.
const PACES_MS: u64 = 10_000;
/// Weight of one reported load in the moving mean over all engines.
const MEAN_WEIGHT: f64 = 0.05;
/// Cost of an additional copy, in running requests: how much busier an engine with a copy may be than
/// one without. A load costs about half as much as a short answer.
const SPARE_COST: f64 = 8.0;
/// Cost of an unresponsive holder, in running requests; a failed engine costs twice as much.
const FAILURE_COST: f64 = 1_000.0;

/// Cost of a copy that is being loaded, in running requests.
const COMING_COST: f64 = 1.0;
/// Cost of loading a copy that the demand requires, in running requests.
const LOAD_COST: f64 = 3.0;
/// Additional cost of each request beyond an engine's batch places, in running requests.
const QUEUED_COST: f64 = 3.0;
/// Cost above the mean load of an engine whose holder gave no quote in time, in running requests.
const NO_QUOTE_COST: f64 = 4.0;

/// Prompt tokens that cost as much as one more running request: an engine processes them in about the
/// time that a request adds to the steps of one stream.
const TOKENS_PER_RUNNING: f64 = 200.0;

/// Discount for the preferred engine while no engine has cached the prefix, in percent of the cost
/// that a cached prefix saves: later requests may find it cached there.
const PREFERRED_PERCENT: f64 = 25.0;

/// Prompt of a request, for estimating its cost on an engine.
#[derive(Clone, Copy, Debug, Default)]
pub struct PromptCost<'a> {
    /// Length in tokens.
    pub tokens: u32,
    /// The preferred engine for prompts with the same prefix, and the prefix length in tokens.
    pub preferred_engine: Option<(&'a UpstreamName, u32)>,
}

impl PromptCost<'_> {
    /// Whether `tokens` prompt tokens cost at least as much as one running request.
    pub fn matters(tokens: u32) -> bool {
        f64::from(tokens) >= TOKENS_PER_RUNNING
    }

    /// Cost of processing the prompt on `upstream`, in running requests.
    fn at(&self, upstream: &UpstreamName, quote: Option<&EngineQuote>) -> f64 {
        let cached = quote.map_or(0, |quote| quote.kept_tokens);
        let read = self.tokens.saturating_sub(cached);
        let cost = f64::from(read) / TOKENS_PER_RUNNING * quote.map_or(1.0, slowness);
        match self.preferred_engine {
            Some((preferred, tokens)) if preferred == upstream && cached == 0 => {
                cost - f64::from(tokens) / TOKENS_PER_RUNNING * PREFERRED_PERCENT / 100.0
            }
            _ => cost,
        }
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct LoadView {
    running: f64,
    seen_at: UnixMs,
    failed_until: UnixMs,
    unresponsive_until: UnixMs,
    paces: EnginePaces,
    paces_at: UnixMs,
}

/// Load of the engines as known to one instance.
#[derive(Debug, Default)]
pub struct LoadChoice {
    views: BTreeMap<UpstreamName, LoadView>,
    mean_running: f64,
}

impl LoadChoice {
    /// Starts without any reported load.
    pub fn new() -> Self {
        Self::default()
    }

    /// A holder or an engine reported the number of running requests.
    pub fn on_running(&mut self, now: UnixMs, upstream: &UpstreamName, running: u32) {
        self.mean_running += MEAN_WEIGHT * (f64::from(running) - self.mean_running);
        let view = self.views.entry(upstream.clone()).or_default();
        view.running = f64::from(running);
        view.seen_at = now;
    }

    /// The holder of an engine sent a quote; `None` if it didn't in time.
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
        if let Some(quote) = quote {
            view.paces = quote.paces;
            view.paces_at = now;
        }
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

    /// The holder of an engine failed to answer.
    pub fn on_holder_unresponsive(&mut self, now: UnixMs, upstream: &UpstreamName) {
        let view = self.views.entry(upstream.clone()).or_default();
        view.unresponsive_until = now + HOLDER_UNRESPONSIVE_MS;
    }

    /// Whether the holder of an engine recently failed to answer.
    pub fn is_unresponsive(&self, now: UnixMs, upstream: &UpstreamName) -> bool {
        let view = self.views.get(upstream);
        view.is_some_and(|view| now < view.unresponsive_until)
    }

    /// Returns the usual paces: the median over the engines that were quoted recently.
    pub fn usual_paces(&self, now: UnixMs) -> EnginePaces {
        let is_recent = |view: &&LoadView| now.ms_since(view.paces_at) < PACES_MS;
        let recent = self.views.values().filter(is_recent);
        let known: Vec<EnginePaces> = recent.map(|view| view.paces).collect();
        usual_paces(&known)
    }

    /// Removes the engines for which `is_live` returns false.
    pub fn retain(&mut self, mut is_live: impl FnMut(&UpstreamName) -> bool) {
        self.views.retain(|name, _| is_live(name));
    }

    /// Sorts `candidates` by the estimated cost of one more request, lowest first.
    ///
    /// The demand requires a copy on the first `copies` candidates. The quotes in `quoted` contain
    /// the state of the copy and the cached length of the `prompt`.
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
                (load + copy + self.failure_cost(now, &name), name)
            })
            .collect();
        costs.sort_by(|a, b| a.0.total_cmp(&b.0));
        candidates.extend(costs.into_iter().map(|(_, name)| name));
    }

    /// Estimated number of running requests; a reported load decays to the mean over all engines.
    fn running(&self, now: UnixMs, upstream: &UpstreamName) -> f64 {
        let Some(view) = self.views.get(upstream) else {
            return self.mean_running;
        };
        let age_ms = now.ms_since(view.seen_at) as f64;
        let weight = 0.5_f64.powf(age_ms / LOAD_HALF_LIFE_MS);
        self.mean_running + weight * (view.running - self.mean_running)
    }

    fn failure_cost(&self, now: UnixMs, upstream: &UpstreamName) -> f64 {
        let Some(view) = self.views.get(upstream) else {
            return 0.0;
        };
        let failed = f64::from(u8::from(now < view.failed_until));
        let unresponsive = f64::from(u8::from(now < view.unresponsive_until));
        FAILURE_COST * (2.0 * failed + unresponsive)
    }
}

/// Load of an engine, in running requests.
fn quoted_load(quote: &EngineQuote) -> f64 {
    let queued = quote.running.saturating_sub(quote.batch_places);
    let load = f64::from(quote.running)
        + f64::from(queued) * QUEUED_COST
        + f64::from(quote.unread_tokens) / TOKENS_PER_RUNNING;
    load * slowness(quote)
}

/// Processing time of an engine relative to the usual time.
fn slowness(quote: &EngineQuote) -> f64 {
    f64::from(quote.slowness_percent.unwrap_or(100)) / 100.0
}

/// Cost of a missing copy, in running requests; `is_required` if the demand requires a copy.
fn copy_cost(is_required: bool, quoted: Option<QuotedCopy>) -> f64 {
    match quoted {
        Some(QuotedCopy::Present) => 0.0,
        Some(QuotedCopy::Coming) => COMING_COST,
        Some(QuotedCopy::Absent) if is_required => LOAD_COST,
        None if is_required => 0.0,
        Some(QuotedCopy::Absent) | None => SPARE_COST,
    }
}

//! Which of several engines with a copy gets the next request.
//!
//! Load reports lag by more than the time in which a crest builds up. What is used instead is
//! what the holders said with their latest grants, plus what this instance sent since.

#[cfg(test)]
mod tests;

use std::collections::BTreeMap;

use monsoonspread_model::{UnixMs, UpstreamName};

/// How long an engine is tried last after it failed a request, in milliseconds.
///
/// A few times the objective of short requests: long enough that one hanging engine doesn't
/// get a share of each second's requests.
const FAILED_MS: u64 = 2_000;
/// How long an engine is tried last while its holder doesn't answer, in milliseconds.
const HOLDER_SILENT_MS: u64 = 1_000;
/// Age at which what a holder said of an engine's load has lost half of its weight, in
/// milliseconds: a short request's time.
const LOAD_HALF_LIFE_MS: f64 = 700.0;

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
}

impl LoadChoice {
    /// Nothing is known yet.
    pub fn new() -> Self {
        Self::default()
    }

    /// A holder told how many requests run on an engine.
    pub fn on_running(&mut self, now: UnixMs, upstream: &UpstreamName, running: u32) {
        let view = self.views.entry(upstream.clone()).or_default();
        view.running = f64::from(running);
        view.seen_at = now;
    }

    /// This instance is about to send a request to an engine.
    pub fn on_sent(&mut self, now: UnixMs, upstream: &UpstreamName) {
        let view = self.views.entry(upstream.clone()).or_default();
        view.running = decayed(now, view) + 1.0;
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

    /// Sorts the first `copies` of `candidates` by load; engines in trouble go last.
    ///
    /// ```
    /// # use monsoonspread_decisions::load_choice::LoadChoice;
    /// # use monsoonspread_model::UnixMs;
    /// let mut loads = LoadChoice::new();
    /// loads.on_running(UnixMs(0), &"busy".into(), 9);
    /// let mut candidates = vec!["busy".into(), "idle".into(), "spare".into()];
    /// loads.sort(UnixMs(0), &mut candidates, 2);
    /// assert_eq!(candidates, ["idle".into(), "busy".into(), "spare".into()]);
    /// ```
    pub fn sort(&self, now: UnixMs, candidates: &mut [UpstreamName], copies: usize) {
        let copies = copies.min(candidates.len());
        let load = |name: &UpstreamName| self.views.get(name).map_or(0.0, |v| decayed(now, v));
        candidates[..copies].sort_by(|a, b| load(a).total_cmp(&load(b)));
        candidates.sort_by_key(|name| self.trouble(now, name));
    }

    fn trouble(&self, now: UnixMs, upstream: &UpstreamName) -> u8 {
        let Some(view) = self.views.get(upstream) else {
            return 0;
        };
        u8::from(now < view.failed_until) * 2 + u8::from(now < view.silent_until)
    }
}

fn decayed(now: UnixMs, view: &View) -> f64 {
    let age_ms = now.ms_since(view.seen_at) as f64;
    view.running * 0.5_f64.powf(age_ms / LOAD_HALF_LIFE_MS)
}

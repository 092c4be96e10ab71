//! Chooses the candidate upstreams of an adapter.

use std::collections::BTreeSet;

use monsoonspread_model::fleet::SharedPrompt;
use monsoonspread_model::{AdapterName, UnixMs, UpstreamName, ZoneName};

use super::counted_demand::CountedDemand;
use super::demand::DemandSketch;
use super::rank::score;

/// An upstream that can serve adapters.
#[derive(Clone, Debug, PartialEq)]
pub struct CandidateUpstream {
    /// Name of the upstream.
    pub name: UpstreamName,
    /// Zone of the upstream.
    pub zone: ZoneName,
    /// Relative share of the adapters, for example the number of adapter slots.
    pub weight: f64,
}

/// Parameters that relate the number of copies to the demand.
#[derive(Clone, Debug, PartialEq)]
pub struct PlacementSettings {
    /// Requests per second that one copy serves within the objectives.
    pub requests_per_copy_per_s: f64,
    /// Maximum number of copies of one adapter in the region.
    pub max_copies: usize,
    /// Number of additional candidates, tried when the upstreams with copies refuse.
    pub spare_candidates: usize,
    /// Half-life of the tracked demand, in milliseconds.
    pub demand_half_life_ms: u64,
    /// Maximum number of adapters whose demand is tracked.
    pub demand_capacity: usize,
}

impl Default for PlacementSettings {
    fn default() -> Self {
        Self {
            requests_per_copy_per_s: 4.0,
            max_copies: 6,
            spare_candidates: 1,
            demand_half_life_ms: 3_000,
            demand_capacity: 1_024,
        }
    }
}

/// Maximum number of engines that share the prompts of one adapter: more would rarely receive the
/// same prefix twice, fewer would be filled by the long prompts of the busiest adapter.
const MAX_PREFERRED_ENGINES: usize = 3;

/// Number of engines that are compared before a request is sent.
const COMPARED: usize = 3;

/// Chooses the candidate upstreams of adapters.
#[derive(Debug)]
pub struct Placement {
    zone: ZoneName,
    settings: PlacementSettings,
    upstreams: Vec<CandidateUpstream>,
    demand: DemandSketch<AdapterName>,
    sharing_instances: usize,
    counted: CountedDemand,
}

impl Placement {
    /// Creates a placement that prefers upstreams in `zone`.
    ///
    /// ```
    /// # use monsoonspread_decisions::placement::{Placement, PlacementSettings};
    /// # use monsoonspread_model::UnixMs;
    /// let placement = Placement::new("vestland-1".into(), PlacementSettings::default());
    /// assert!(placement.candidates(UnixMs(0), &"needle-7".into()).is_empty());
    /// ```
    pub fn new(zone: ZoneName, settings: PlacementSettings) -> Self {
        let demand = DemandSketch::new(settings.demand_capacity, settings.demand_half_life_ms);
        Self {
            zone,
            settings,
            upstreams: Vec::new(),
            demand,
            sharing_instances: 1,
            counted: CountedDemand::default(),
        }
    }

    /// The holder of the adapter's first engine reported the region's requests per second.
    pub fn on_counted_demand(&mut self, now: UnixMs, adapter: &AdapterName, per_s: f64) {
        self.counted.set(now, adapter, per_s);
    }

    /// Replaces the known upstreams.
    pub fn on_upstreams(&mut self, upstreams: Vec<CandidateUpstream>) {
        self.upstreams = upstreams;
    }

    /// Sets the number of instances in the region that share the demand, this one included.
    pub fn on_sharing_instances(&mut self, instances: usize) {
        self.sharing_instances = instances.max(1);
    }

    /// Counts a request for `adapter`.
    pub fn on_arrival(&mut self, now: UnixMs, adapter: &AdapterName) {
        self.demand.on_arrival(now, adapter);
    }

    /// Whether `upstream` is known.
    pub fn contains(&self, upstream: &UpstreamName) -> bool {
        self.upstreams.iter().any(|known| known.name == *upstream)
    }

    /// Number of copies of `adapter` that its demand in the region requires.
    pub fn copies(&self, now: UnixMs, adapter: &AdapterName) -> usize {
        let region = self.counted.get(now, adapter).unwrap_or_else(|| {
            // Without a recent count, every instance is assumed to have the local demand.
            self.demand.per_second_before(now, adapter) * self.sharing_instances as f64
        });
        let copies = (region / self.settings.requests_per_copy_per_s).ceil() as usize;
        copies.clamp(1, self.settings.max_copies)
    }

    /// Candidate upstreams for `adapter`, best first.
    ///
    /// The first [`Placement::copies`] of them should hold a copy, those in the local zone first;
    /// the spare candidates follow.
    pub fn candidates(&self, now: UnixMs, adapter: &AdapterName) -> Vec<UpstreamName> {
        self.candidates_among(now, adapter, |_| true)
    }

    /// Like [`Placement::candidates`], but among the upstreams for which `may_serve` returns true.
    pub fn candidates_among(
        &self,
        now: UnixMs,
        adapter: &AdapterName,
        may_serve: impl Fn(&UpstreamName) -> bool,
    ) -> Vec<UpstreamName> {
        let copies = self.copies(now, adapter);
        let mut ranked = self.ranked(adapter);
        ranked.retain(|upstream| may_serve(&upstream.name));
        let wanted = copies + self.settings.spare_candidates;
        let mut chosen = zones_first(&ranked, copies);
        let (mut ordered, other): (Vec<_>, Vec<_>) = chosen
            .iter()
            .copied()
            .partition(|upstream| upstream.zone == self.zone);
        ordered.extend(other);
        let spares = ranked
            .iter()
            .copied()
            .filter(|upstream| !chosen.iter().any(|taken| taken.name == upstream.name));
        ordered.extend(spares.take(wanted.saturating_sub(chosen.len())));
        chosen = ordered;
        chosen.into_iter().map(|up| up.name.clone()).collect()
    }

    /// Engines to compare before a request for `adapter` is sent. The first one's holder counts the
    /// adapter's demand.
    ///
    /// Only a few of many candidates are drawn: the least loaded of a few is nearly as good as the
    /// least loaded of all. `draw` should differ from request to request.
    pub fn compared(
        &self,
        now: UnixMs,
        adapter: &AdapterName,
        draw: usize,
        may_serve: impl Fn(&UpstreamName) -> bool,
    ) -> Vec<UpstreamName> {
        let ranked = self.ranked(adapter);
        let first = ranked.iter().find(|upstream| may_serve(&upstream.name));
        let Some(first) = first.map(|upstream| upstream.name.clone()) else {
            return Vec::new();
        };
        let mut others = self.candidates_among(now, adapter, may_serve);
        others.retain(|name| *name != first);
        if !others.is_empty() {
            let start = draw % others.len();
            others.rotate_left(start);
        }
        others.truncate(COMPARED - 1);
        others.insert(0, first);
        others
    }

    /// Preferred engine for prompts with the prefix `shared`, so that later prompts find it cached
    /// there; `None` without a candidate.
    ///
    /// Only the first few engines of the adapter are used: instances may differ in their estimate of
    /// the number of copies, but agree on these.
    pub fn preferred_engine(
        &self,
        now: UnixMs,
        adapter: &AdapterName,
        shared: SharedPrompt,
        may_serve: impl Fn(&UpstreamName) -> bool,
    ) -> Option<UpstreamName> {
        let mut ranked = self.ranked(adapter);
        ranked.retain(|upstream| may_serve(&upstream.name));
        let preferred = zones_first(
            &ranked,
            self.copies(now, adapter).min(MAX_PREFERRED_ENGINES),
        );
        let prompt = format!("{adapter}:{:x}", shared.id);
        let score = |engine: &&CandidateUpstream| score(&prompt, engine.name.as_str(), 1.0);
        let best = preferred.into_iter().max_by(|a, b| {
            score(a)
                .total_cmp(&score(b))
                .then_with(|| b.name.cmp(&a.name))
        });
        best.map(|engine| engine.name.clone())
    }

    fn ranked(&self, adapter: &AdapterName) -> Vec<&CandidateUpstream> {
        let mut scored: Vec<(f64, &CandidateUpstream)> = self
            .upstreams
            .iter()
            .map(|upstream| {
                let score = score(adapter.as_str(), upstream.name.as_str(), upstream.weight);
                (score, upstream)
            })
            .collect();
        scored.sort_by(|a, b| b.0.total_cmp(&a.0).then_with(|| a.1.name.cmp(&b.1.name)));
        scored.into_iter().map(|(_, upstream)| upstream).collect()
    }
}

/// Returns the first `count` of `ranked`, taking one per zone before a second one of any zone.
fn zones_first<'a>(ranked: &[&'a CandidateUpstream], count: usize) -> Vec<&'a CandidateUpstream> {
    let mut chosen: Vec<&CandidateUpstream> = Vec::new();
    let mut rest: Vec<&CandidateUpstream> = ranked.to_vec();
    while chosen.len() < count && !rest.is_empty() {
        let mut zones = BTreeSet::new();
        let (round, later): (Vec<_>, Vec<_>) = rest
            .into_iter()
            .partition(|upstream| zones.insert(&upstream.zone));
        chosen.extend(round);
        rest = later;
    }
    chosen.truncate(count);
    chosen
}

//! Candidates of an adapter.

use std::collections::BTreeSet;

use monsoonspread_model::fleet::SharedPrompt;
use monsoonspread_model::{AdapterName, UnixMs, UpstreamName, ZoneName};

use super::counted_demand::CountedDemand;
use super::demand::DemandSketch;
use super::rank::score;

/// An upstream that may be asked for.
#[derive(Clone, Debug, PartialEq)]
pub struct CandidateUpstream {
    /// Its name.
    pub name: UpstreamName,
    /// The zone it stands in.
    pub zone: ZoneName,
    /// Its share of the adapters, for example its adapter slots.
    pub weight: f64,
}

/// How placement follows demand.
#[derive(Clone, Debug, PartialEq)]
pub struct PlacementSettings {
    /// Requests a second that one copy serves well.
    pub requests_per_copy_per_s: f64,
    /// Most copies of one adapter in the region.
    pub max_copies: usize,
    /// Further candidates after the copies, tried when those refuse.
    pub spare_candidates: usize,
    /// Half-life of the demand that is remembered.
    pub demand_half_life_ms: u64,
    /// Adapters whose demand is remembered.
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

/// Engines that share the prompts of one adapter: more would seldom see a prompt twice, fewer be
/// filled by the long prompts of the busiest one.
const MAX_PROMPT_HOMES: usize = 3;

/// Engines that are compared before a request is sent.
const COMPARED: usize = 3;

/// Chooses the candidates of adapters.
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
    /// Placement as seen from `zone`.
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

    /// The holder of the adapter's first engine told how many requests come in the whole region.
    pub fn on_counted_demand(&mut self, now: UnixMs, adapter: &AdapterName, per_s: f64) {
        self.counted.set(now, adapter, per_s);
    }

    /// Replaces the upstreams that may be asked for.
    pub fn on_upstreams(&mut self, upstreams: Vec<CandidateUpstream>) {
        self.upstreams = upstreams;
    }

    /// Sets how many instances of the region share the demand, this one included.
    pub fn on_sharing_instances(&mut self, instances: usize) {
        self.sharing_instances = instances.max(1);
    }

    /// Counts a request for `adapter`.
    pub fn on_arrival(&mut self, now: UnixMs, adapter: &AdapterName) {
        self.demand.on_arrival(now, adapter);
    }

    /// Whether `upstream` may be asked for.
    pub fn contains(&self, upstream: &UpstreamName) -> bool {
        self.upstreams.iter().any(|known| known.name == *upstream)
    }

    /// Copies of `adapter` that its demand in the region calls for.
    pub fn copies(&self, now: UnixMs, adapter: &AdapterName) -> usize {
        let region = self.counted.get(now, adapter).unwrap_or_else(|| {
            // Without a count, the own demand stands for that of each instance.
            self.demand.per_second_before(now, adapter) * self.sharing_instances as f64
        });
        let copies = (region / self.settings.requests_per_copy_per_s).ceil() as usize;
        copies.clamp(1, self.settings.max_copies)
    }

    /// Upstreams to ask for `adapter`, best first.
    ///
    /// The first [`Placement::copies`] hold or are to hold a copy, those of the own zone first;
    /// the spare ones follow.
    pub fn candidates(&self, now: UnixMs, adapter: &AdapterName) -> Vec<UpstreamName> {
        self.candidates_among(now, adapter, |_| true)
    }

    /// The same among the upstreams that `may_serve`.
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
        let (mut own, other): (Vec<_>, Vec<_>) = chosen
            .iter()
            .copied()
            .partition(|upstream| upstream.zone == self.zone);
        own.extend(other);
        let spares = ranked
            .iter()
            .copied()
            .filter(|upstream| !chosen.iter().any(|taken| taken.name == upstream.name));
        own.extend(spares.take(wanted.saturating_sub(chosen.len())));
        chosen = own;
        chosen.into_iter().map(|up| up.name.clone()).collect()
    }

    /// Engines to compare before a request for `adapter` is sent, the one whose holder counts the
    /// adapter's demand first.
    ///
    /// Of many candidates a few are drawn: the less loaded of a few is nearly as good as the
    /// least loaded of all. `draw` differs from request to request.
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

    /// Which engine with a copy of `adapter` is to read a shared prompt, so that its next reader
    /// finds it kept there.
    ///
    /// The first few engines of the adapter share its prompts: instances differ in how many
    /// copies they think there are, but not in these.
    pub fn prompt_home(
        &self,
        now: UnixMs,
        adapter: &AdapterName,
        shared: SharedPrompt,
        may_serve: impl Fn(&UpstreamName) -> bool,
    ) -> Option<UpstreamName> {
        let mut ranked = self.ranked(adapter);
        ranked.retain(|upstream| may_serve(&upstream.name));
        let homes = zones_first(&ranked, self.copies(now, adapter).min(MAX_PROMPT_HOMES));
        let prompt = format!("{adapter}:{:x}", shared.id);
        let score = |home: &&CandidateUpstream| score(&prompt, home.name.as_str(), 1.0);
        let home = homes.into_iter().max_by(|a, b| {
            score(a)
                .total_cmp(&score(b))
                .then_with(|| b.name.cmp(&a.name))
        });
        home.map(|home| home.name.clone())
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

/// The first `count` of `ranked`, but one of each zone before a second of any.
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

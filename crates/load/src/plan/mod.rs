//! Open-loop plans: every request of a run with its time, worked out from the seed beforehand.

mod phase;
mod planned_request;
mod popularity;
#[cfg(test)]
mod tests;

use monsoonspread_model::RequestClass;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::workload::{ClassMix, Workload};

pub use phase::Phase;
pub use planned_request::PlannedRequest;
pub use popularity::Popularity;

/// Every request of a run.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// The requests in the order of their phases and times.
    pub requests: Vec<PlannedRequest>,
}

impl Plan {
    /// Works out the plan of a workload; the same workload gives the same plan.
    ///
    /// ```no_run
    /// # use monsoonspread_load::{plan::Plan, workload::Workload};
    /// let text = std::fs::read_to_string("workloads/nalverk.toml").unwrap();
    /// let workload = Workload::parse("nalverk.toml", &text).unwrap();
    /// assert_eq!(Plan::new(&workload), Plan::new(&workload));
    /// ```
    pub fn new(workload: &Workload) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(workload.seed);
        let mut popularity = Popularity::new(
            workload.adapters.count,
            workload.adapters.zipf_exponent,
            &mut random,
        );
        let phases = workload.phases;
        let mut draw = Draw {
            workload,
            random,
            popularity: &mut popularity,
        };
        let warm_up = draw.phase(Phase::WarmUp, phases.warm_up_s);
        let steady = draw.phase(Phase::WithLong, phases.steady_s);
        let swing = draw.phase(Phase::Swing, phases.swing_s);
        let is_not_long = |request: &&PlannedRequest| request.class != RequestClass::Long;
        let without_long = steady.iter().filter(is_not_long);
        let requests = warm_up
            .into_iter()
            .filter(|request| is_not_long(&request))
            .chain(moved_to(Phase::WithoutLong, without_long))
            .chain(moved_to(Phase::WithLong, steady.iter()))
            .chain(moved_to(Phase::Slowed, steady.iter()))
            .chain(swing);
        Self {
            requests: numbered(requests),
        }
    }

    /// The requests of one phase.
    pub fn of(&self, phase: Phase) -> impl Iterator<Item = &PlannedRequest> {
        self.requests
            .iter()
            .filter(move |request| request.phase == phase)
    }
}

fn moved_to<'a>(
    phase: Phase,
    requests: impl Iterator<Item = &'a PlannedRequest>,
) -> impl Iterator<Item = PlannedRequest> {
    requests.map(move |request| PlannedRequest { phase, ..*request })
}

fn numbered(requests: impl Iterator<Item = PlannedRequest>) -> Vec<PlannedRequest> {
    requests
        .zip(1..)
        .map(|(request, id)| PlannedRequest { id, ..request })
        .collect()
}

/// Share of a crest's height above which a request counts as sent at the crest.
const CREST_SHARE: f64 = 0.5;

/// Draws requests.
struct Draw<'a> {
    workload: &'a Workload,
    random: ChaCha8Rng,
    popularity: &'a mut Popularity,
}

impl Draw<'_> {
    /// Draws the requests of a phase: a Poisson process, thinned down to the rate at each time.
    fn phase(&mut self, phase: Phase, length_s: f64) -> Vec<PlannedRequest> {
        let swings = phase == Phase::Swing;
        let arrivals = &self.workload.arrivals;
        let highest = arrivals
            .crests
            .iter()
            .map(|crest| crest.factor)
            .fold(1.0, f64::max);
        let highest = if swings { highest } else { 1.0 };
        let mut shifts = self
            .workload
            .adapters
            .shifts
            .iter()
            .filter(|_| swings)
            .peekable();
        let mut requests = Vec::new();
        let mut at_s = 0.0;
        loop {
            at_s += self.gap_s(arrivals.base_per_s * highest);
            if at_s >= length_s {
                return requests;
            }
            while let Some(shift) = shifts.next_if(|shift| shift.at_share * length_s <= at_s) {
                self.popularity.shift(shift.adapters, &mut self.random);
            }
            let factor = if swings {
                arrivals.factor_at(at_s, length_s)
            } else {
                1.0
            };
            if self.random.random::<f64>() * highest > factor {
                continue;
            }
            let at_crest = factor > 1.0 + (highest - 1.0) * CREST_SHARE;
            requests.push(self.request(phase, at_s, at_crest));
        }
    }

    fn gap_s(&mut self, per_s: f64) -> f64 {
        -(1.0 - self.random.random::<f64>()).ln() / per_s
    }

    fn request(&mut self, phase: Phase, at_s: f64, at_crest: bool) -> PlannedRequest {
        let mix = self.class();
        let tokens = self.random.random_range(mix.min_tokens..=mix.max_tokens);
        let zones = self.workload.zones.len() as u32;
        let caller = self.random.random_range(0..self.workload.callers as u32);
        PlannedRequest {
            id: 0,
            phase,
            at_us: (at_s * 1e6) as u64,
            adapter: self.popularity.draw(&mut self.random),
            class: mix.class,
            tokens: tokens as u32,
            prompt_tokens: mix.prompt_tokens as u32,
            deadline_ms: mix.deadline_ms,
            caller,
            zone: caller % zones,
            at_crest,
        }
    }

    fn class(&mut self) -> ClassMix {
        let classes = &self.workload.classes;
        let mut point = self.random.random::<f64>();
        for mix in classes {
            point -= mix.share;
            if point < 0.0 {
                return *mix;
            }
        }
        classes[0]
    }
}

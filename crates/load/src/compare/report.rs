//! Results of a comparison.

use std::collections::BTreeMap;

use monsoonspread_model::RequestClass;
use serde::Serialize;

use super::Audit;
use crate::fleet::FleetTotals;
use crate::plan::Phase;
use crate::record::{Outcome, Summary};

/// What the stand-ins and the policy counted while the requests of a phase were sent.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct PhaseFigures {
    /// The phase.
    pub phase: Phase,
    /// Its length.
    pub length_s: f64,
    /// What the engines counted.
    pub fleet: FleetTotals,
    /// Time that requests waited for loads.
    pub load_wait_ms: u64,
}

/// What one policy did in one phase.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct PhaseReport {
    /// What was counted meanwhile.
    pub figures: PhaseFigures,
    /// Every request.
    pub all: Summary,
    /// The requests of each class.
    pub classes: BTreeMap<&'static str, Summary>,
    /// Requests sent at a crest.
    pub crest: Summary,
}

impl PhaseReport {
    /// Sums up the outcomes of a phase.
    pub fn new(figures: PhaseFigures, outcomes: &[Outcome]) -> Self {
        let of_class = |class: &RequestClass| {
            let class = *class;
            let matching = outcomes
                .iter()
                .filter(|outcome| outcome.request.class == class);
            (class.as_str(), Summary::of(matching))
        };
        let at_crest = outcomes.iter().filter(|outcome| outcome.request.at_crest);
        Self {
            figures,
            all: Summary::of(outcomes.iter()),
            classes: RequestClass::ALL.iter().map(of_class).collect(),
            crest: Summary::of(at_crest),
        }
    }

    /// The requests of one class.
    pub fn class(&self, class: RequestClass) -> &Summary {
        &self.classes[class.as_str()]
    }

    /// Loads in a second.
    pub fn loads_per_s(&self) -> f64 {
        self.figures.fleet.loads as f64 / self.figures.length_s.max(0.001)
    }

    /// Whole answers for each load.
    pub fn answers_per_load(&self) -> f64 {
        self.all.answered as f64 / self.figures.fleet.loads.max(1) as f64
    }
}

/// Requests in time among those sent in one second of the swing phase.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct SecondReport {
    /// Requests sent.
    pub sent: u64,
    /// Those in time.
    pub in_time: u64,
}

/// What one policy did.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct PolicyReport {
    /// Its name.
    pub policy: &'static str,
    /// The phases in their order.
    pub phases: Vec<PhaseReport>,
    /// The swing phase by seconds.
    pub swing_seconds: Vec<SecondReport>,
    /// What the engines ran against what was asked for.
    pub audit: Audit,
    /// Longest time from a planned sending to the real one.
    pub worst_send_lag_ms: f64,
    /// Cores that clients, stand-ins and entry instances kept busy on average.
    pub busy_cores: f64,
}

impl PolicyReport {
    /// The report of one phase.
    pub fn phase(&self, phase: Phase) -> &PhaseReport {
        let found = self
            .phases
            .iter()
            .find(|report| report.figures.phase == phase);
        found.expect("every phase of a run is reported")
    }
}

/// A whole comparison.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Comparison {
    /// Name of the workload.
    pub workload: String,
    /// Its seed.
    pub seed: u64,
    /// Planned seconds for each policy.
    pub seconds: f64,
    /// The policies in the order they ran.
    pub policies: Vec<PolicyReport>,
}

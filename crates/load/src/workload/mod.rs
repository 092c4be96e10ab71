//! Workloads: what arrives, and what it arrives at, read from a TOML file.

mod adapter_mix;
mod arrivals;
mod class_mix;
mod engine_mix;
mod finding;
mod network;
mod phases;
mod section;
#[cfg(test)]
mod tests;
mod weights;

use monsoonspread_model::{RequestClass, ZoneName};
use toml::de::DeTable;

pub use adapter_mix::{AdapterMix, Shift};
pub use arrivals::{Arrivals, Crest};
pub use class_mix::ClassMix;
pub use engine_mix::EngineMix;
pub use finding::{Finding, Findings};
pub use network::Network;
pub use phases::Phases;
pub use section::Section;
pub use weights::Weights;

/// A whole workload, checked.
#[derive(Clone, Debug, PartialEq)]
pub struct Workload {
    /// Its name in reports.
    pub name: String,
    /// Seed of the plan.
    pub seed: u64,
    /// Availability zones.
    pub zones: Vec<ZoneName>,
    /// Entry instances, spread over the zones.
    pub entries: u64,
    /// Callers, who take turns.
    pub callers: u64,
    /// Lengths of the run's phases.
    pub phases: Phases,
    /// How requests arrive.
    pub arrivals: Arrivals,
    /// Which adapters are asked for.
    pub adapters: AdapterMix,
    /// The classes, shortest first.
    pub classes: Vec<ClassMix>,
    /// The model engines.
    pub engines: EngineMix,
    /// The weight store.
    pub weights: Weights,
    /// Distances.
    pub network: Network,
}

impl Workload {
    /// Reads a workload from `text`, the content of the file named `file`.
    ///
    /// # Errors
    ///
    /// Returns every fault of the file, in its order.
    ///
    /// ```
    /// # use monsoonspread_load::workload::Workload;
    /// let findings = Workload::parse("w.toml", "speed = 1").unwrap_err();
    /// assert!(findings.iter().any(|finding| finding.message == "is not a known key"));
    /// ```
    pub fn parse(file: &str, text: &str) -> Result<Self, Vec<Finding>> {
        let findings = Findings::new(file, text);
        let (root, errors) = DeTable::parse_recoverable(text);
        for error in errors {
            let offset = error.span().map_or(0, |span| span.start);
            findings.add(offset, "file", format!("is not TOML: {}", error.message()));
        }
        let workload = Self::read(Section::new(root.get_ref(), &findings));
        let list = findings.into_list();
        if list.is_empty() {
            Ok(workload)
        } else {
            Err(list)
        }
    }

    fn read(root: Section<'_>) -> Self {
        let classes = root.section("classes");
        let workload = Self {
            name: root.text("name"),
            seed: root.whole("seed", 0..=u64::MAX),
            zones: root
                .texts("zones")
                .iter()
                .map(|zone| zone.as_str().into())
                .collect(),
            entries: root.whole("entries", 1..=1_000),
            callers: root.whole("callers", 1..=10_000),
            phases: Phases::read(root.section("phases")),
            arrivals: Arrivals::read(root.section("arrivals")),
            adapters: AdapterMix::read(root.section("adapters")),
            classes: RequestClass::ALL
                .iter()
                .map(|class| ClassMix::read(*class, classes.section(class.as_str())))
                .collect(),
            engines: EngineMix::read(root.section("engines")),
            weights: Weights::read(root.section("weights")),
            network: Network::read(root.section("network")),
        };
        let shares: f64 = workload.classes.iter().map(|mix| mix.share).sum();
        if (shares - 1.0).abs() > SHARE_TOLERANCE {
            root.fault(
                "classes",
                format!("have shares that add up to {shares}, not 1"),
            );
        }
        classes.finish();
        root.finish();
        workload
    }
}

/// How far the sum of the classes' shares may be from 1.
const SHARE_TOLERANCE: f64 = 0.000_1;

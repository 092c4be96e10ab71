//! Workloads: what arrives, and what it arrives at, read from a TOML file.

mod adapter_mix;
mod arrivals;
mod class_mix;
mod engine_mix;
mod network;
mod phases;
#[cfg(test)]
mod tests;
mod weights;

use monsoonspread_model::toml_check::{Document, Findings, TableReader};
use monsoonspread_model::{RequestClass, ZoneName};

pub use adapter_mix::{AdapterMix, Shift};
pub use arrivals::{Arrivals, Crest};
pub use class_mix::ClassMix;
pub use engine_mix::EngineMix;
pub use network::Network;
pub use phases::Phases;
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
    /// assert!(findings.to_string().contains("w.toml:1: speed: is not a known key"));
    /// ```
    pub fn parse(file: &str, text: &str) -> Result<Self, Findings> {
        let document = Document::parse(file, text)?;
        let workload = Self::read(&document.root());
        document.finish(workload)
    }

    fn read(root: &TableReader<'_>) -> Option<Self> {
        let name = root.string("name");
        let seed = root.integer("seed", 0..=u64::MAX);
        let zones = zones(root);
        let entries = root.integer("entries", 1..=1_000);
        let callers = root.integer("callers", 1..=10_000);
        let phases = part(root, "phases", Phases::read);
        let arrivals = part(root, "arrivals", Arrivals::read);
        let adapters = part(root, "adapters", AdapterMix::read);
        let classes = part(root, "classes", classes);
        let engines = part(root, "engines", EngineMix::read);
        let weights = part(root, "weights", Weights::read);
        let network = part(root, "network", Network::read);
        Some(Self {
            name: name?,
            seed: seed?,
            zones: zones?,
            entries: entries?,
            callers: callers?,
            phases: phases?,
            arrivals: arrivals?,
            adapters: adapters?,
            classes: classes?,
            engines: engines?,
            weights: weights?,
            network: network?,
        })
    }
}

/// Reads a table that must be there.
fn part<T>(
    root: &TableReader<'_>,
    key: &str,
    read: impl FnOnce(&TableReader<'_>) -> Option<T>,
) -> Option<T> {
    if !root.has(key) {
        root.finding(key, "is missing");
    }
    read(&root.table(key)?)
}

fn zones(root: &TableReader<'_>) -> Option<Vec<ZoneName>> {
    let zones = root.strings("zones");
    if zones.is_empty() {
        root.finding("zones", "must name at least one zone");
        return None;
    }
    Some(zones.into_iter().map(ZoneName::from).collect())
}

fn classes(table: &TableReader<'_>) -> Option<Vec<ClassMix>> {
    let mixes: Vec<Option<ClassMix>> = RequestClass::ALL
        .iter()
        .map(|class| part(table, class.as_str(), |mix| ClassMix::read(*class, mix)))
        .collect();
    let mixes: Vec<ClassMix> = mixes.into_iter().collect::<Option<_>>()?;
    let shares: f64 = mixes.iter().map(|mix| mix.share).sum();
    if (shares - 1.0).abs() > SHARE_TOLERANCE {
        let message = format!("the shares add up to {shares}, not 1");
        table.finding("short", &message);
    }
    Some(mixes)
}

/// How far the sum of the classes' shares may be from 1.
const SHARE_TOLERANCE: f64 = 0.000_1;

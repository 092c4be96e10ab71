//! How large a region is and how it behaves.

use monsoonspread_standin::{EngineSettings, ServiceSettings, WeightsSettings};

/// Size and behaviour of a region.
#[derive(Clone, Debug)]
pub struct RegionShape {
    /// Availability zones.
    pub zones: usize,
    /// Entry instances in each.
    pub entries_per_zone: usize,
    /// Engines in each.
    pub engines_per_zone: usize,
    /// Every how many engines one ignores fencing numbers; 0 for none.
    pub every_unfenced: usize,
    /// How engines behave.
    pub engine: EngineSettings,
    /// How servers of plain services behave.
    pub service: ServiceSettings,
    /// How the weight store behaves.
    pub weights: WeightsSettings,
    /// How long the instance list takes to show a change.
    pub list_lag_ms: u64,
    /// How often entry instances read the list.
    pub list_poll_ms: u64,
}

impl Default for RegionShape {
    fn default() -> Self {
        Self {
            zones: 3,
            entries_per_zone: 1,
            engines_per_zone: 2,
            every_unfenced: 3,
            engine: EngineSettings::default(),
            service: ServiceSettings::default(),
            weights: WeightsSettings::default(),
            list_lag_ms: 300,
            list_poll_ms: 200,
        }
    }
}

impl RegionShape {
    /// Zone and number of each entry instance, counted from 1.
    pub fn entries(&self) -> Vec<(usize, usize)> {
        self.numbered(self.entries_per_zone)
    }

    /// Zone and number of each engine, counted from 1.
    pub fn engines(&self) -> Vec<(usize, usize)> {
        self.numbered(self.engines_per_zone)
    }

    fn numbered(&self, per_zone: usize) -> Vec<(usize, usize)> {
        (1..=self.zones)
            .flat_map(|zone| (1..=per_zone).map(move |number| (zone, number)))
            .collect()
    }
}

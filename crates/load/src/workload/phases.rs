//! The parts of a run.

use monsoonspread_model::toml_check::TableReader;

/// Lengths of a run's phases, which follow each other on the same engines.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Phases {
    /// Steady load that is not measured, so that the engines hold adapters.
    pub warm_up_s: f64,
    /// Steady load; played without long work, with it, and with some engines slowed.
    pub steady_s: f64,
    /// Load with crests, shifts of popularity and slowed engines.
    pub swing_s: f64,
}

impl Phases {
    pub(super) fn read(table: &TableReader<'_>) -> Option<Self> {
        let warm_up_s = table.float("warm_up_s", 0.0..=600.0);
        let steady_s = table.float("steady_s", 1.0..=3_600.0);
        let swing_s = table.float("swing_s", 1.0..=3_600.0);
        let phases = Self {
            warm_up_s: warm_up_s?,
            steady_s: steady_s?,
            swing_s: swing_s?,
        };
        Some(phases)
    }

    /// Length of the whole run.
    pub fn total_s(&self) -> f64 {
        self.warm_up_s + 3.0 * self.steady_s + self.swing_s
    }

    /// The same run in `total_s` seconds.
    #[must_use]
    pub fn scaled_to(self, total_s: f64) -> Self {
        let factor = total_s / self.total_s();
        Self {
            warm_up_s: self.warm_up_s * factor,
            steady_s: self.steady_s * factor,
            swing_s: self.swing_s * factor,
        }
    }
}

//! The parts of a run.

use super::Section;

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
    pub(super) fn read(section: Section<'_>) -> Self {
        let phases = Self {
            warm_up_s: section.number("warm_up_s", 0.0..=600.0),
            steady_s: section.number("steady_s", 1.0..=3_600.0),
            swing_s: section.number("swing_s", 1.0..=3_600.0),
        };
        section.finish();
        phases
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

//! How requests arrive.

use super::Section;

/// A sharp rise of the arrivals for a while.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Crest {
    /// When it begins, as a share of the swing phase.
    pub at_share: f64,
    /// How long the arrivals stay up.
    pub hold_s: f64,
    /// Seconds from the base rate to the crest, and back.
    pub ramp_s: f64,
    /// Arrivals at the crest over the base rate.
    pub factor: f64,
}

impl Crest {
    fn read(section: Section<'_>) -> Self {
        let crest = Self {
            at_share: section.number("at_share", 0.0..=1.0),
            hold_s: section.number("hold_s", 0.1..=600.0),
            ramp_s: section.number("ramp_s", 0.0..=60.0),
            factor: section.number("factor", 1.0..=100.0),
        };
        section.finish();
        crest
    }

    /// Factor on the base rate `at_s` seconds into a swing phase of `swing_s` seconds.
    pub fn factor_at(&self, at_s: f64, swing_s: f64) -> f64 {
        let into_s = at_s - self.at_share * swing_s;
        let left_s = 2.0 * self.ramp_s + self.hold_s - into_s;
        let height = (into_s.min(left_s) / self.ramp_s.max(0.001)).clamp(0.0, 1.0);
        1.0 + (self.factor - 1.0) * height
    }
}

/// How requests arrive.
#[derive(Clone, Debug, PartialEq)]
pub struct Arrivals {
    /// Requests a second outside crests.
    pub base_per_s: f64,
    /// Crests of the swing phase.
    pub crests: Vec<Crest>,
}

impl Arrivals {
    pub(super) fn read(section: Section<'_>) -> Self {
        let arrivals = Self {
            base_per_s: section.number("base_per_s", 0.1..=10_000.0),
            crests: section
                .sections("crest")
                .into_iter()
                .map(Crest::read)
                .collect(),
        };
        section.finish();
        arrivals
    }

    /// Factor on the base rate `at_s` seconds into the swing phase.
    pub fn factor_at(&self, at_s: f64, swing_s: f64) -> f64 {
        self.crests
            .iter()
            .map(|crest| crest.factor_at(at_s, swing_s))
            .fold(1.0, f64::max)
    }
}

//! How requests arrive.

use monsoonspread_model::toml_check::TableReader;

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
    fn read(table: &TableReader<'_>) -> Option<Self> {
        let at_share = table.float("at_share", 0.0..=1.0);
        let hold_s = table.float("hold_s", 0.1..=600.0);
        let ramp_s = table.float("ramp_s", 0.0..=60.0);
        let factor = table.float("factor", 1.0..=100.0);
        let crest = Self {
            at_share: at_share?,
            hold_s: hold_s?,
            ramp_s: ramp_s?,
            factor: factor?,
        };
        Some(crest)
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
    pub(super) fn read(table: &TableReader<'_>) -> Option<Self> {
        let base_per_s = table.float("base_per_s", 0.1..=10_000.0);
        let crests = table
            .tables("crest")
            .iter()
            .map(Crest::read)
            .collect::<Option<Vec<Crest>>>();
        let arrivals = Self {
            base_per_s: base_per_s?,
            crests: crests?,
        };
        Some(arrivals)
    }

    /// Factor on the base rate `at_s` seconds into the swing phase.
    pub fn factor_at(&self, at_s: f64, swing_s: f64) -> f64 {
        self.crests
            .iter()
            .map(|crest| crest.factor_at(at_s, swing_s))
            .fold(1.0, f64::max)
    }
}

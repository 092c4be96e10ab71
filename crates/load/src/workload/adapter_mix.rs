//! Which adapters are asked for.

use super::Section;

/// A moment at which popular and cold adapters change places.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Shift {
    /// When, as a share of the swing phase.
    pub at_share: f64,
    /// How many of the most popular change places with cold ones.
    pub adapters: u64,
}

impl Shift {
    fn read(section: Section<'_>) -> Self {
        let shift = Self {
            at_share: section.number("at_share", 0.0..=1.0),
            adapters: section.whole("adapters", 1..=100_000),
        };
        section.finish();
        shift
    }
}

/// Which adapters are asked for.
#[derive(Clone, Debug, PartialEq)]
pub struct AdapterMix {
    /// Offered adapters.
    pub count: u64,
    /// Exponent of the Zipf distribution of their popularity.
    pub zipf_exponent: f64,
    /// Shifts of popularity.
    pub shifts: Vec<Shift>,
}

impl AdapterMix {
    pub(super) fn read(section: Section<'_>) -> Self {
        let mix = Self {
            count: section.whole("count", 1..=100_000),
            zipf_exponent: section.number("zipf_exponent", 0.0..=4.0),
            shifts: section
                .sections("shift")
                .into_iter()
                .map(Shift::read)
                .collect(),
        };
        if mix
            .shifts
            .iter()
            .any(|shift| shift.adapters * 2 > mix.count)
        {
            section.fault("shift", "moves more than half of the adapters");
        }
        section.finish();
        mix
    }
}

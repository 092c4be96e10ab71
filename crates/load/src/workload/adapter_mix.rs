//! Which adapters are asked for.

use monsoonspread_model::toml_check::TableReader;

/// A moment at which popular and cold adapters change places.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Shift {
    /// When, as a share of the swing phase.
    pub at_share: f64,
    /// How many of the most popular change places with cold ones.
    pub adapters: u64,
}

impl Shift {
    fn read(table: &TableReader<'_>) -> Option<Self> {
        let at_share = table.float("at_share", 0.0..=1.0);
        let adapters = table.integer("adapters", 1..=100_000);
        let shift = Self {
            at_share: at_share?,
            adapters: adapters?,
        };
        Some(shift)
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
    pub(super) fn read(table: &TableReader<'_>) -> Option<Self> {
        let count = table.integer("count", 1..=100_000);
        let zipf_exponent = table.float("zipf_exponent", 0.0..=4.0);
        let shifts = table
            .tables("shift")
            .iter()
            .map(Shift::read)
            .collect::<Option<Vec<Shift>>>();
        let mix = Self {
            count: count?,
            zipf_exponent: zipf_exponent?,
            shifts: shifts?,
        };
        if mix
            .shifts
            .iter()
            .any(|shift| shift.adapters * 2 > mix.count)
        {
            table.finding("shift", "moves more than half of the adapters");
        }
        Some(mix)
    }
}

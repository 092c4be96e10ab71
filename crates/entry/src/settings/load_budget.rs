//! The weight store's rate.

/// The weight store's rate and this instance's part of it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadBudget {
    /// Loads that the weight store allows in a second, over all instances.
    pub loads_per_s: f64,
    /// This instance's part; an even split over the listed instances when absent.
    pub share: Option<f64>,
}

impl Default for LoadBudget {
    fn default() -> Self {
        Self {
            loads_per_s: 6.0,
            share: None,
        }
    }
}

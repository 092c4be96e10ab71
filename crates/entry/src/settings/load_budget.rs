//! Rate limit of the weight store.

/// Rate limit of the weight store and the share of this instance.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadBudget {
    /// Loads per second that the weight store allows over all instances.
    pub loads_per_s: f64,
    /// Share of this instance, from 0 to 1; `None` splits the rate evenly over the listed
    /// instances.
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

//! Capacity of an upstream, as far as an owner needs it.

use monsoonspread_model::UpstreamName;

/// The name and capacity of an upstream.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct UpstreamShape {
    /// Name of the upstream.
    pub name: UpstreamName,
    /// Maximum number of adapters loaded at a time.
    pub adapter_slots: u32,
    /// Maximum number of requests in one batch.
    pub batch_places: u32,
    /// Whether it refuses orders with an outdated fencing number.
    pub checks_fencing: bool,
}

impl UpstreamShape {
    /// Creates a description of an upstream.
    ///
    /// ```
    /// # use monsoonspread_decisions::owner::UpstreamShape;
    /// assert_eq!(UpstreamShape::new("engine-1", 8, 16, true).adapter_slots, 8);
    /// ```
    pub fn new(
        name: impl Into<UpstreamName>,
        adapter_slots: u32,
        batch_places: u32,
        checks_fencing: bool,
    ) -> Self {
        Self {
            name: name.into(),
            adapter_slots,
            batch_places,
            checks_fencing,
        }
    }
}

//! What an owner has to know of an upstream.

use monsoonspread_model::UpstreamName;

/// An upstream and its capacity.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct UpstreamShape {
    /// Its name.
    pub name: UpstreamName,
    /// Adapters it holds at a time.
    pub adapter_slots: u32,
    /// Requests it runs in one batch.
    pub batch_places: u32,
    /// Whether it refuses orders with an old fencing number.
    pub checks_fencing: bool,
}

impl UpstreamShape {
    /// Describes an upstream.
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

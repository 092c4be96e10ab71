//! What a holder record tells.

use monsoonspread_model::InstanceName;
use monsoonspread_model::fleet::HolderActivity;

/// What a holder record tells.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct KnownHolder {
    /// The holder.
    pub holder: InstanceName,
    /// What it is doing.
    pub activity: HolderActivity,
    /// How long after the record was written the holder had to wait for its predecessors, in milliseconds; `None` if
    /// the record doesn't show who gave orders last.
    pub orders_in_ms: Option<u64>,
    /// Revision of the record.
    pub revision: u64,
}

impl KnownHolder {
    /// Returns what a record shows of its holder; `is_earlier` if it was written before the store came back from an
    /// older copy, so that another instance may have given orders since.
    ///
    /// ```
    /// use monsoonspread_decisions::holders::KnownHolder;
    /// use monsoonspread_model::fleet::HolderActivity::{Orders, Waits};
    ///
    /// assert_eq!(KnownHolder::trusted(Orders, Some(0), false), (Orders, Some(0)));
    /// assert_eq!(KnownHolder::trusted(Orders, Some(0), true), (Waits, None));
    /// ```
    pub fn trusted(
        activity: HolderActivity,
        orders_in_ms: Option<u64>,
        is_earlier: bool,
    ) -> (HolderActivity, Option<u64>) {
        match activity {
            HolderActivity::Orders | HolderActivity::Waits if is_earlier => {
                (HolderActivity::Waits, None)
            }
            HolderActivity::Orders => (activity, Some(0)),
            HolderActivity::Waits => (activity, orders_in_ms),

            HolderActivity::Stopped if is_earlier => (activity, None),
            HolderActivity::Stopped => (activity, Some(orders_in_ms.unwrap_or(0))),
        }
    }
}

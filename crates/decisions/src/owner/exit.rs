//! Pending ends of ownerships.

use monsoonspread_model::InstanceName;

/// How an ownership ends once the outstanding orders to the upstream were answered.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) enum Exit {
    /// The upstream is handed over with its grants.
    HandOver(InstanceName),
    /// This instance steps down, because there is a newer owner or, on a drain, no successor.
    StepDown,
}

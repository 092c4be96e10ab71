//! How the ownership of an upstream is ending.

use monsoonspread_model::InstanceName;

/// What happens when the orders to an upstream were answered.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) enum Exit {
    /// The upstream is handed over with its grants.
    HandOver(InstanceName),
    /// This instance steps down, because a newer owner asked for its grants.
    StepDown,
}

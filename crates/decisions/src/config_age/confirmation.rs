//! A feed source's answer to a subscriber that asks when the store was last asked.

use serde::{Deserialize, Serialize};

/// When a feed source last asked the store, told by the receipt of a subscriber's request.
///
/// The clocks of two instances differ, but run at the same rate. The request was sent before it was received,
/// so the time at which the subscriber sent it plus `asked_after_ms` is no later than the call to the store.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Confirmation {
    /// Number of the subscriber's request.
    #[serde(rename = "n")]
    pub number: u64,
    /// From the receipt of the request to the source's last answered call of the store, in milliseconds;
    /// negative if the call was made before.
    #[serde(rename = "a")]
    pub asked_after_ms: i64,
    /// Revision of the store that the answer to that call showed.
    #[serde(rename = "r")]
    pub revision: u64,
}

//! One engine that this instance gives orders to.

use std::net::SocketAddr;

use monsoonspread_decisions::copies::CopyControl;
use monsoonspread_model::UnixMs;

/// One engine that this instance gives orders to.
#[derive(Debug)]
pub(super) struct HeldEngine {
    pub(super) control: CopyControl,
    pub(super) address: SocketAddr,
    /// Fencing number of its orders.
    pub(super) fence: u64,
    /// Orders may be given from then on, once the record says so.
    pub(super) waits_until: Option<UnixMs>,
}

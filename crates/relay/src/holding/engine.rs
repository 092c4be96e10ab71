//! One engine that this instance gives orders to.

use std::net::SocketAddr;

use monsoonspread_decisions::copies::CopyControl;

/// One engine that this instance gives orders to.
#[derive(Debug)]
pub(super) struct HeldEngine {
    pub(super) control: CopyControl,
    pub(super) address: SocketAddr,
    /// Fencing number of its orders.
    pub(super) fence: u64,
}

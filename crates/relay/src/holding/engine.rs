//! A held engine.

use std::net::SocketAddr;

use monsoonspread_decisions::copies::CopyControl;
use monsoonspread_model::UnixMs;

/// An engine that this instance gives orders to.
#[derive(Debug)]
pub(super) struct HeldEngine {
    pub(super) control: CopyControl,
    pub(super) address: SocketAddr,
    /// Fencing number of its orders.
    pub(super) fence: u64,
    /// When orders may be given, once the store records it; `None` if they may be given now.
    pub(super) waits_until: Option<UnixMs>,
}

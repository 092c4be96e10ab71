//! A held engine.

use std::net::SocketAddr;

use monsoonspread_borders::relay::HolderRecord;
use monsoonspread_decisions::copies::CopyControl;
use monsoonspread_model::UnixMs;
use monsoonspread_model::fleet::HolderActivity;

/// An engine that this instance gives orders to.
#[derive(Debug)]
pub(super) struct HeldEngine {
    pub(super) control: CopyControl,
    pub(super) address: SocketAddr,
    /// Fencing number of its orders.
    pub(super) fence: u64,
    /// Revision of its holder's record in the store.
    pub(super) record: u64,
    /// Whether the record says what this instance does.
    pub(super) is_recorded: bool,
    /// When orders may be given, once the store records it; `None` if they may be given now.
    pub(super) waits_until: Option<UnixMs>,
}

impl HeldEngine {
    /// The store has another record that names this instance, as it came back from an older copy.
    pub(super) fn on_recorded(&mut self, record: &HolderRecord) {
        self.record = record.fence;
        self.is_recorded = record.activity == HolderActivity::Orders || self.waits_until.is_some();
    }
}

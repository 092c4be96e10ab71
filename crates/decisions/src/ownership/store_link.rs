//! The state of the exchange with the key-value service.

use monsoonspread_model::{OwnershipTable, UnixMs};

/// At most one call is under way.
#[derive(Clone, Debug)]
pub(super) struct StoreLink {
    pub(super) call: StoreCall,
    /// Revision of the key's last write, 0 when absent, `None` when not known.
    pub(super) mod_revision: Option<u64>,
    pub(super) retry_at: UnixMs,
}

/// The call that is under way.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) enum StoreCall {
    Idle,
    Reading,
    Writing(OwnershipTable),
}

impl StoreLink {
    pub(super) fn new() -> Self {
        Self {
            call: StoreCall::Idle,
            mod_revision: None,
            retry_at: UnixMs(0),
        }
    }

    pub(super) fn is_ready(&self, now: UnixMs) -> bool {
        self.call == StoreCall::Idle && now >= self.retry_at
    }

    /// Ends the call under way and returns the table that it was to write.
    pub(super) fn finish(&mut self) -> Option<OwnershipTable> {
        match std::mem::replace(&mut self.call, StoreCall::Idle) {
            StoreCall::Writing(table) => Some(table),
            StoreCall::Idle | StoreCall::Reading => None,
        }
    }
}

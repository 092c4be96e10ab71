//! What the key-value service and peers say of the table.

use monsoonspread_model::OwnershipTable;

/// Where a table came from.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TableSource {
    /// Read from the key-value service.
    Store {
        /// Revision of the key's last write.
        mod_revision: u64,
    },
    /// Told by a peer.
    Peer,
}

/// Result of writing a table.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum WriteResult {
    /// Written.
    Written {
        /// Revision of the write.
        mod_revision: u64,
    },
    /// Not written, as the key holds something else.
    Conflict {
        /// What the key holds, with the revision of its last write; `None` when absent.
        current: Option<(OwnershipTable, u64)>,
    },
    /// The answer was lost: the write may have taken effect or may still do so.
    Unknown,
    /// Not written, as the key-value service can't be reached.
    Unreachable,
}

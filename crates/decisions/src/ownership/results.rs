//! Results of reading and writing the ownership table.

use monsoonspread_model::OwnershipTable;

/// Origin of a received table.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TableSource {
    /// Read from the key-value service.
    Store {
        /// Revision of the key's last write.
        mod_revision: u64,
    },
    /// Received from a peer, which got it from the key-value service.
    Peer,
}

/// Result of writing a table.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum WriteResult {
    /// The write took effect.
    Written {
        /// Revision of the key after the write.
        mod_revision: u64,
    },
    /// Not written: the key holds another value.
    Conflict {
        /// The table in the key and the revision of its last write; `None` when the key is absent.
        current: Option<(OwnershipTable, u64)>,
    },
    /// The answer was lost: the write may have taken effect or may still do so later.
    Unknown,
    /// Not written: the key-value service is unreachable.
    Unreachable,
}

//! What ownership asks its driver to do.

use monsoonspread_model::{Epoch, InstanceName, OwnershipTable, UpstreamName};

use super::OwnershipEvent;

/// How an instance came to own an upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AcquisitionKind {
    /// Nobody owned the upstream before.
    Fresh,
    /// Another owner may still act or have granted.
    Takeover,
    /// The old owner handed it over; use the handover message that caused this.
    Handover,
}

/// One thing to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum OwnershipAction {
    /// Write the zone's table by compare-and-swap and report the [`super::WriteResult`].
    WriteTable {
        /// The table.
        table: OwnershipTable,
        /// The revision to compare, 0 for an absent key.
        expected_mod_revision: u64,
    },
    /// Read the zone's table and report it by `on_table`, `on_table_absent` or `on_read_failed`.
    ReadTable,
    /// Tell every peer of the zone, and one or two in each other zone.
    SpreadTable(OwnershipTable),
    /// Start to act as owner.
    Own {
        /// The upstream.
        upstream: UpstreamName,
        /// The fencing number of every order.
        epoch: Epoch,
        /// How it came.
        kind: AcquisitionKind,
        /// Instances that could hold grants of an earlier owner.
        holders: Vec<InstanceName>,
    },
    /// Stop to act as owner.
    Disown {
        /// The upstream.
        upstream: UpstreamName,
    },
    /// This instance leaves: hand each upstream to its successor.
    HandOver {
        /// Each owned upstream with the next usable in its failover order.
        successors: Vec<(UpstreamName, InstanceName)>,
    },
    /// Log this.
    Event(OwnershipEvent),
}

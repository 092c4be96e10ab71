//! Actions that ownership returns to its driver.

use monsoonspread_model::{Epoch, InstanceName, OwnershipTable, UpstreamName};

use super::OwnershipEvent;

/// How an instance acquired an upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AcquisitionKind {
    /// Nobody owned the upstream before.
    Fresh,
    /// A previous owner may still be active or have outstanding grants.
    Takeover,
    /// The previous owner handed it over; its state is in the handover message that caused this.
    Handover,
}

/// An action for the driver to execute.
#[derive(Clone, Debug, PartialEq)]
pub enum OwnershipAction {
    /// Write the zone's table by compare-and-swap and report the [`super::WriteResult`].
    WriteTable {
        /// The table to write.
        table: OwnershipTable,
        /// The revision the key must have, 0 for an absent key.
        expected_mod_revision: u64,
    },
    /// Read the zone's table and report it by `on_table`, `on_table_absent` or `on_read_failed`.
    ReadTable,
    /// Send the table to every peer of the zone, and to one or two in each other zone.
    SpreadTable(OwnershipTable),
    /// Start acting as owner.
    Own {
        /// The acquired upstream.
        upstream: UpstreamName,
        /// The fencing number to put on every order.
        epoch: Epoch,
        /// How it was acquired.
        kind: AcquisitionKind,
        /// Instances that could hold grants from an earlier owner.
        holders: Vec<InstanceName>,
    },
    /// Stop acting as owner.
    Disown {
        /// The upstream to stop owning.
        upstream: UpstreamName,
    },
    /// Hand each owned upstream to its successor, because this instance shuts down.
    HandOver {
        /// Each owned upstream with the next usable instance in its failover order.
        successors: Vec<(UpstreamName, InstanceName)>,
    },
    /// Log an event.
    Event(OwnershipEvent),
}

//! Known state of an engine's holder record.

use monsoonspread_model::{InstanceName, UnixMs};

use super::CONFIRMED_FOR_MS;

/// Margin for an order in transit that was sent at the last permitted moment, in milliseconds.
const IN_TRANSIT_MS: u64 = 500;
/// Time in which a holder that stopped as planned can restart and claim again, in milliseconds.
///
/// A restart takes one to two seconds, and no other holder could give orders before the gap between
/// holders has passed.
const RESTART_MS: u64 = 2_500;

/// Known state of an engine's holder record.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum HolderState {
    /// The engine never had a holder.
    NeverHeld {
        /// When this was determined.
        since: UnixMs,
    },
    /// The engine has a holder.
    Held {
        /// The holder.
        holder: InstanceName,
        /// Revision of the record.
        revision: u64,
        /// The holder has given no order yet because it waits for its predecessor to stop.
        waiting: bool,
        /// When this state was received.
        since: UnixMs,
    },
    /// The last holder released the engine.
    Stopped {
        /// The instance that released it.
        holder: InstanceName,
        /// Revision of the record.
        revision: u64,
        /// When this state was received.
        since: UnixMs,
    },
    /// The record was removed; the previous holder may not know of it yet.
    Removed {
        /// When this state was received.
        since: UnixMs,
        /// The store was reachable throughout, so the holder's lease has run out.
        expired: bool,
    },
}

impl HolderState {
    /// Whether the last known holder is an earlier process of `local`.
    pub(super) fn is_of(&self, local: &InstanceName) -> bool {
        match self {
            Self::Held { holder, .. } | Self::Stopped { holder, .. } => holder == local,
            Self::NeverHeld { .. } | Self::Removed { .. } => false,
        }
    }

    /// Time from which any instance may claim the engine; `None` while it has a holder.
    pub(super) fn free_since(&self) -> Option<UnixMs> {
        match self {
            Self::Held { .. } => None,
            Self::Stopped { since, .. } => Some(*since + RESTART_MS),
            Self::NeverHeld { since } | Self::Removed { since, .. } => Some(*since),
        }
    }

    /// Revision that the record must have for a claim; 0 if there must be no record.
    pub(super) fn revision(&self) -> u64 {
        match self {
            Self::Held { revision, .. } | Self::Stopped { revision, .. } => *revision,
            Self::NeverHeld { .. } | Self::Removed { .. } => 0,
        }
    }

    /// Earliest time at which `local` may give an order after a claim.
    ///
    /// A stopped holder and one whose lease ran out give no more orders. A holder whose record was
    /// removed otherwise continues until its confirmation ends. Orders of successive holders are
    /// `order_gap_ms` apart.
    pub(super) fn orders_from(&self, local: &InstanceName, order_gap_ms: u64) -> UnixMs {
        match self {
            Self::NeverHeld { .. } => UnixMs(0),
            Self::Held {
                holder,
                waiting: true,
                since,
                ..
            } if holder == local => *since + CONFIRMED_FOR_MS + order_gap_ms + IN_TRANSIT_MS,
            Self::Held { holder, .. } | Self::Stopped { holder, .. } if holder == local => {
                UnixMs(0)
            }
            Self::Held { .. } => UnixMs(u64::MAX),
            Self::Stopped { since, .. } => *since + order_gap_ms + IN_TRANSIT_MS,
            // The lease lasts at least as long as the confirmation.
            Self::Removed {
                since,
                expired: true,
            } => *since + order_gap_ms + IN_TRANSIT_MS,
            Self::Removed { since, .. } => *since + CONFIRMED_FOR_MS + order_gap_ms + IN_TRANSIT_MS,
        }
    }
}

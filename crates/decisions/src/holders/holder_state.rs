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
///
/// Each state has the time from which its next holder may give orders. It covers all holders before, so a state
/// that follows another one never names an earlier time unless a holder has given orders since.
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
        /// Time from which the holder, or its next process, may give orders.
        orders_from: UnixMs,
    },
    /// The last holder released the engine.
    Stopped {
        /// The instance that released it.
        holder: InstanceName,
        /// Revision of the record.
        revision: u64,
        /// When this state was received.
        since: UnixMs,
        /// Time from which the next process of the holder may give orders.
        orders_from: UnixMs,
    },
    /// The record was removed; the previous holder may not know of it yet.
    Removed {
        /// When this state was received.
        since: UnixMs,
        /// Time from which any instance may give orders.
        orders_from: UnixMs,
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

    /// Returns the state after the record was removed; `expired` if the lease of its holder ran out.
    ///
    /// A holder whose lease ran out gives no more orders, as the lease lasts at least as long as the confirmation.
    /// Any other holder continues until its confirmation ends. A holder that was still waiting for the one before
    /// it leaves this wait to the next one.
    pub(super) fn removed(&self, now: UnixMs, expired: bool, order_gap_ms: u64) -> Self {
        let ended_by = match expired {
            true => now,
            false => now + CONFIRMED_FOR_MS,
        };
        let waits_until = match self {
            Self::NeverHeld { .. } => UnixMs(0),
            Self::Held { orders_from, .. }
            | Self::Stopped { orders_from, .. }
            | Self::Removed { orders_from, .. } => *orders_from,
        };
        Self::Removed {
            since: now,
            orders_from: waits_until.max(ended_by + order_gap_ms + IN_TRANSIT_MS),
        }
    }

    /// Earliest time at which `local` may give an order after a claim.
    ///
    /// A stopped holder gives no more orders. Orders of successive holders are `order_gap_ms` apart.
    pub(super) fn orders_from(&self, local: &InstanceName, order_gap_ms: u64) -> UnixMs {
        match self {
            Self::NeverHeld { .. } => UnixMs(0),
            Self::Held {
                holder,
                orders_from,
                ..
            }
            | Self::Stopped {
                holder,
                orders_from,
                ..
            } if holder == local => *orders_from,
            Self::Held { .. } => UnixMs(u64::MAX),
            Self::Stopped {
                since, orders_from, ..
            } => (*orders_from).max(*since + order_gap_ms + IN_TRANSIT_MS),
            Self::Removed { orders_from, .. } => *orders_from,
        }
    }
}

/// Returns how long after a record of unknown truth was read orders of any former holder may arrive, in
/// milliseconds, and how long the next holder must wait after them.
pub(super) fn longest_wait_ms(order_gap_ms: u64) -> u64 {
    CONFIRMED_FOR_MS + order_gap_ms + IN_TRANSIT_MS
}

//! What is known of an engine's holder.

use monsoonspread_model::{InstanceName, UnixMs};

use super::CONFIRMED_FOR_MS;

/// Allowance for an order that was sent at the last moment, in milliseconds.
const IN_TRANSIT_MS: u64 = 500;
/// Time for a holder that stopped as planned to start again and go on, in milliseconds.
///
/// A restart takes one to two seconds, and no other holder could give orders before the gap
/// between holders has passed.
const RETURN_MS: u64 = 2_500;

/// What is known of an engine's holder.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Standing {
    /// It never had one.
    NeverHeld {
        /// Since when this is known.
        since: UnixMs,
    },
    /// It has one.
    Held {
        /// The holder.
        holder: InstanceName,
        /// Revision of the record.
        revision: u64,
        /// It has given no order yet, as it waits for a former holder to stop.
        waiting: bool,
        /// When this was seen.
        since: UnixMs,
    },
    /// The last one gave it up.
    Stopped {
        /// Who gave it up.
        holder: InstanceName,
        /// Revision of the record.
        revision: u64,
        /// When this was seen.
        since: UnixMs,
    },
    /// The record vanished; the former holder may not know of it.
    Vanished {
        /// When this was seen.
        since: UnixMs,
        /// The store answered all the while, so that the holder's lease ran out.
        expired: bool,
    },
}

impl Standing {
    /// Whether an earlier process of `own` held the engine last.
    pub(super) fn is_of(&self, own: &InstanceName) -> bool {
        match self {
            Self::Held { holder, .. } | Self::Stopped { holder, .. } => holder == own,
            Self::NeverHeld { .. } | Self::Vanished { .. } => false,
        }
    }

    /// Since when any instance may claim the engine; `None` while it is held.
    pub(super) fn free_since(&self) -> Option<UnixMs> {
        match self {
            Self::Held { .. } => None,
            Self::Stopped { since, .. } => Some(*since + RETURN_MS),
            Self::NeverHeld { since } | Self::Vanished { since, .. } => Some(*since),
        }
    }

    /// Revision that the record must have for a claim, 0 for none.
    pub(super) fn revision(&self) -> u64 {
        match self {
            Self::Held { revision, .. } | Self::Stopped { revision, .. } => *revision,
            Self::NeverHeld { .. } | Self::Vanished { .. } => 0,
        }
    }

    /// When `own` may give its first order after a claim.
    ///
    /// A holder that stopped gives no more orders, nor does one whose lease ran out; one whose
    /// record vanished otherwise goes on until its confirmation ends. Orders of two holders are `order_gap_ms` apart.
    pub(super) fn orders_from(&self, own: &InstanceName, order_gap_ms: u64) -> UnixMs {
        match self {
            Self::NeverHeld { .. } => UnixMs(0),
            Self::Held {
                holder,
                waiting: true,
                since,
                ..
            } if holder == own => *since + CONFIRMED_FOR_MS + order_gap_ms + IN_TRANSIT_MS,
            Self::Held { holder, .. } | Self::Stopped { holder, .. } if holder == own => UnixMs(0),
            Self::Held { .. } => UnixMs(u64::MAX),
            Self::Stopped { since, .. } => *since + order_gap_ms + IN_TRANSIT_MS,
            // The lease lasts no shorter than the confirmation.
            Self::Vanished {
                since,
                expired: true,
            } => *since + order_gap_ms + IN_TRANSIT_MS,
            Self::Vanished { since, .. } => {
                *since + CONFIRMED_FOR_MS + order_gap_ms + IN_TRANSIT_MS
            }
        }
    }
}

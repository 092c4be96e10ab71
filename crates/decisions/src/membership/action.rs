//! Actions that membership returns to its driver.

use monsoonspread_model::message::Health;
use monsoonspread_model::{BundleVersion, InstanceName, MeshMessage};

use super::MembershipEvent;

/// An action for the driver to execute.
#[derive(Clone, Debug, PartialEq)]
pub enum MembershipAction {
    /// Send a message to a member; `address_of` gives its address.
    Send {
        /// The recipient.
        to: InstanceName,
        /// The message to send.
        message: MeshMessage,
    },
    /// A member joined, or its health changed.
    Changed {
        /// Name of the member.
        member: InstanceName,
        /// Its new health.
        health: Health,
    },
    /// A member restarted as a new process, without the state of the earlier one.
    Restarted {
        /// Name of the member.
        member: InstanceName,
    },
    /// A peer has a higher bundle version than this instance.
    PeerHasBundle {
        /// The peer that announced it.
        peer: InstanceName,
        /// The announced version.
        version: BundleVersion,
    },
    /// A peer has a higher revision of the zone's ownership table.
    PeerHasTable {
        /// The peer that announced it.
        peer: InstanceName,
        /// The announced revision.
        revision: u64,
    },
    /// Log an event.
    Event(MembershipEvent),
}

//! What membership asks its driver to do.

use monsoonspread_model::message::Health;
use monsoonspread_model::{BundleVersion, InstanceName, MeshMessage};

use super::MembershipEvent;

/// One thing to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum MembershipAction {
    /// Send to a member; its address is given by `address_of`.
    Send {
        /// The member.
        to: InstanceName,
        /// The message.
        message: MeshMessage,
    },
    /// A member joined, or its health changed.
    Changed {
        /// The member.
        member: InstanceName,
        /// What is said of it now.
        health: Health,
    },
    /// A member came back as a new process, which knows nothing of the former one.
    Restarted {
        /// The member.
        member: InstanceName,
    },
    /// A peer has a higher bundle version than this instance.
    PeerHasBundle {
        /// The peer.
        peer: InstanceName,
        /// The version.
        version: BundleVersion,
    },
    /// A peer has a higher revision of the zone's ownership table.
    PeerHasTable {
        /// The peer.
        peer: InstanceName,
        /// The revision.
        revision: u64,
    },
    /// Log this.
    Event(MembershipEvent),
}

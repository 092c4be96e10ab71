//! Commands of the membership task.

use std::net::SocketAddr;

use monsoonspread_decisions::membership::MembershipDump;
use monsoonspread_model::InstanceName;
use monsoonspread_model::message::{Hello, Swim};
use tokio::sync::oneshot;

/// Command for the membership task.
pub enum MembershipCommand {
    /// A connection to an instance was opened.
    Connected {
        /// The instance's hello.
        hello: Hello,
        /// Address of the instance's mesh listener; `None` when the instance opened the connection.
        address: Option<SocketAddr>,
    },
    /// A member sent a membership message.
    Swim {
        /// Member that sent it.
        from: InstanceName,
        /// Membership message.
        swim: Swim,
    },
    /// A connection to an instance was refused: no process listens at its address.
    ConnectionRefused(InstanceName),
    /// Revision of the zone's ownership table that this instance has.
    TableRevision(u64),
    /// This instance begins a planned stop.
    Leave,
    /// Describe the task's state for the dump.
    Dump(oneshot::Sender<MembershipDump>),
}

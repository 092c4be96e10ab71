//! What the membership task is told.

use std::net::SocketAddr;

use monsoonspread_decisions::membership::MembershipDump;
use monsoonspread_model::InstanceName;
use monsoonspread_model::message::{Hello, Swim};
use tokio::sync::oneshot;

/// A message to the membership task.
pub enum MembershipCommand {
    /// A connection to an instance is open.
    Connected {
        /// Its greeting.
        hello: Hello,
        /// Where it listens, when this instance opened the connection.
        address: Option<SocketAddr>,
    },
    /// A member's message.
    Swim {
        /// The member.
        from: InstanceName,
        /// The message.
        swim: Swim,
    },
    /// Nobody listens where an instance did.
    ConnectionRefused(InstanceName),
    /// This instance has a table of the zone.
    TableRevision(u64),
    /// This instance leaves as planned.
    Leave,
    /// Describe the task's state.
    Dump(oneshot::Sender<MembershipDump>),
}

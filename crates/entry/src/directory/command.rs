//! What the directory task is told.

use monsoonspread_model::{InstanceName, ListedInstance};

/// A message to the task that reads the instance list.
pub enum DirectoryCommand {
    /// A connection to a peer is open.
    PeerConnected(InstanceName),
    /// A peer asks for the list.
    Request(InstanceName),
    /// A peer's last reading of the list.
    PeerList(Vec<ListedInstance>),
}

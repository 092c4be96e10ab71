//! Commands of the directory task.

use monsoonspread_model::{InstanceName, ListedInstance};

/// Command for the task that reads the instance list.
pub enum DirectoryCommand {
    /// A connection to a peer was opened.
    PeerConnected(InstanceName),
    /// A peer requests the list.
    Request(InstanceName),
    /// A peer sent the list that it last read or received.
    PeerList(Vec<ListedInstance>),
}

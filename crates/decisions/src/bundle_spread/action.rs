//! Actions that bundle distribution returns to its driver.

use std::sync::Arc;

use monsoonspread_model::bundle::Manifest;
use monsoonspread_model::{Bundle, InstanceName, MeshMessage};

use super::BundleEvent;

/// An action for the driver to execute.
#[derive(Clone, Debug, PartialEq)]
pub enum BundleAction {
    /// Put this bundle in force; its version is higher than that of any earlier one.
    Adopt(Arc<Bundle>),
    /// Read the delta or the parts of this bundle from the key-value service.
    FetchFromStore(Manifest),
    /// Send a message to one peer.
    Send {
        /// The recipient.
        to: InstanceName,
        /// The message to send.
        message: MeshMessage,
    },
    /// Send the same message to several peers.
    Notify {
        /// The recipients.
        peers: Vec<InstanceName>,
        /// The message to send.
        message: MeshMessage,
    },
    /// Log an event.
    Event(BundleEvent),
}

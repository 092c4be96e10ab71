//! What the spread of bundles asks its driver to do.

use std::sync::Arc;

use monsoonspread_model::bundle::Manifest;
use monsoonspread_model::{Bundle, InstanceName, MeshMessage};

use super::BundleEvent;

/// One thing to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum BundleAction {
    /// Put this bundle in force; its version is higher than all before.
    Adopt(Arc<Bundle>),
    /// Read this bundle's delta or parts from the key-value service.
    FetchFromStore(Manifest),
    /// Send to one peer.
    Send {
        /// The peer.
        to: InstanceName,
        /// The message.
        message: MeshMessage,
    },
    /// Send to several peers.
    Notify {
        /// The peers.
        peers: Vec<InstanceName>,
        /// The message.
        message: MeshMessage,
    },
    /// Log this.
    Event(BundleEvent),
}

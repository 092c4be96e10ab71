//! Commands of the bundle task.

use monsoonspread_decisions::bundle_spread::BundleDump;
use monsoonspread_model::bundle::{BundleDelta, Manifest};
use monsoonspread_model::message::{BundleContent, BundleNotice, BundleRequest};
use monsoonspread_model::{BundleVersion, InstanceName};
use tokio::sync::oneshot;

/// Command for the bundle task.
pub enum BundleCommand {
    /// The bundle pointer was read from the key-value service.
    Pointer(Manifest),
    /// A delta was read from the key-value service.
    StoredDelta {
        /// Manifest of the version that the delta leads to.
        manifest: Manifest,
        /// Changes from the previous version.
        delta: BundleDelta,
    },
    /// All parts of a bundle were read from the key-value service.
    Parts {
        /// Manifest of the bundle.
        manifest: Manifest,
        /// Parts joined in the manifest's order.
        content: Vec<u8>,
    },
    /// The content could not be read from the key-value service.
    FetchFailed,
    /// A peer announced a bundle.
    Notice {
        /// Peer that sent the notice.
        from: InstanceName,
        /// Notice with the announced bundle.
        notice: BundleNotice,
    },
    /// A peer requested a bundle.
    Request {
        /// Requesting peer.
        from: InstanceName,
        /// Request with the version that the peer has.
        request: BundleRequest,
    },
    /// A peer sent a bundle.
    Content {
        /// Peer that sent the content.
        from: InstanceName,
        /// Content that the peer sent.
        content: BundleContent,
    },
    /// A peer announced its bundle version.
    PeerVersion {
        /// Peer that announced its version.
        peer: InstanceName,
        /// Version that the peer has.
        version: BundleVersion,
    },
    /// Describe the task's state for the dump.
    Dump(oneshot::Sender<BundleDump>),
}

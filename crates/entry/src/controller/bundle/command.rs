//! What the bundle task is told.

use monsoonspread_decisions::bundle_spread::BundleDump;
use monsoonspread_model::bundle::{BundleDelta, Manifest};
use monsoonspread_model::message::{BundleContent, BundleNotice, BundleRequest};
use monsoonspread_model::{BundleVersion, InstanceName};
use tokio::sync::oneshot;

/// A message to the bundle task.
pub enum BundleCommand {
    /// The key-value service's pointer was read.
    Pointer(Manifest),
    /// A delta was read from the key-value service.
    StoredDelta {
        /// Manifest of the version that results.
        manifest: Manifest,
        /// The changes.
        delta: BundleDelta,
    },
    /// The parts of a bundle were read from the key-value service.
    Parts {
        /// Its manifest.
        manifest: Manifest,
        /// The joined parts.
        content: Vec<u8>,
    },
    /// The key-value service did not give the content.
    FetchFailed,
    /// A peer tells of a bundle.
    Notice {
        /// The peer.
        from: InstanceName,
        /// What it tells.
        notice: BundleNotice,
    },
    /// A peer asks for what it lacks.
    Request {
        /// The peer.
        from: InstanceName,
        /// What it has.
        request: BundleRequest,
    },
    /// A peer sent a bundle.
    Content {
        /// The peer.
        from: InstanceName,
        /// The bundle.
        content: BundleContent,
    },
    /// A peer said which version it has.
    PeerVersion {
        /// The peer.
        peer: InstanceName,
        /// The version.
        version: BundleVersion,
    },
    /// Describe the task's state.
    Dump(oneshot::Sender<BundleDump>),
}

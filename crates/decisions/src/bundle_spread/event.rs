//! Bundle events for the log.

use displaydoc::Display;
use monsoonspread_model::{BundleVersion, InstanceName};

/// An adoption or a rejection of a bundle, or a failed fetch.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum BundleEvent {
    /// bundle {version} in force
    InForce {
        /// Version of the bundle.
        version: BundleVersion,
    },
    /// bundle {version} from {from} is not signed by an accepted key
    BadSignature {
        /// Version of the bundle.
        version: BundleVersion,
        /// Where the bundle came from.
        from: Source,
    },
    /// content of bundle {version} from {from} does not match the signed digest or version
    BadContent {
        /// Version of the bundle.
        version: BundleVersion,
        /// Where the bundle came from.
        from: Source,
    },
    /// content of bundle {version} from {from} not received
    FetchFailed {
        /// The lowest version that was requested.
        version: BundleVersion,
        /// Where the bundle came from.
        from: Source,
    },
}

/// Source of a bundle.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum Source {
    /// the key-value service
    Store,
    /// instance "{0}"
    Peer(InstanceName),
}

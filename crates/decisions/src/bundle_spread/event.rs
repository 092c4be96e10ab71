//! What is worth logging about bundles.

use displaydoc::Display;
use monsoonspread_model::{BundleVersion, InstanceName};

/// Something that happened to bundles.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum BundleEvent {
    /// bundle {version} in force
    InForce {
        /// Its version.
        version: BundleVersion,
    },
    /// bundle {version} from {from} is not signed by an accepted key
    BadSignature {
        /// Its version.
        version: BundleVersion,
        /// The peer, or the key-value service.
        from: Source,
    },
    /// content of bundle {version} from {from} is not what was signed
    BadContent {
        /// Its version.
        version: BundleVersion,
        /// The peer, or the key-value service.
        from: Source,
    },
    /// content of bundle {version} from {from} did not come in time
    FetchFailed {
        /// The lowest version that was asked for.
        version: BundleVersion,
        /// The peer, or the key-value service.
        from: Source,
    },
}

/// Where bundles come from.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum Source {
    /// the key-value service
    Store,
    /// instance "{0}"
    Peer(InstanceName),
}

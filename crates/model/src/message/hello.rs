//! The first message on a connection.

use serde::{Deserialize, Serialize};

use crate::{BundleVersion, InstanceName, UnixMs, ZoneName};

/// Version of the mesh protocol; instances with different versions do not exchange messages.
pub const PROTOCOL_VERSION: u32 = 1;

/// Identifies the sender at the start of a connection.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Hello {
    /// The sender's [`PROTOCOL_VERSION`].
    pub protocol_version: u32,
    /// The sender's name.
    pub instance: InstanceName,
    /// The sender's zone.
    pub zone: ZoneName,
    /// When the sender's process started; distinguishes an instance from an earlier run of it.
    pub started_at_unix_ms: UnixMs,
    /// The bundle version that is active on the sender.
    pub bundle_version: BundleVersion,
}

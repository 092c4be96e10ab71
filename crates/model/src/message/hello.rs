//! The first message on a connection.

use serde::{Deserialize, Serialize};

use crate::{BundleVersion, InstanceName, UnixMs, ZoneName};

/// Version of the messages of this build; peers with another one are not spoken to.
pub const PROTOCOL_VERSION: u32 = 1;

/// Who is speaking.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Hello {
    /// [`PROTOCOL_VERSION`] of the sender.
    pub protocol_version: u32,
    /// The sender.
    pub instance: InstanceName,
    /// The sender's zone.
    pub zone: ZoneName,
    /// When the sender's process started; tells a restarted instance from its former self.
    pub started_at_unix_ms: UnixMs,
    /// The bundle version the sender has in force.
    pub bundle_version: BundleVersion,
}

//! Settings of the mesh between entry instances.

use std::net::SocketAddr;

use super::MeshKey;

/// Settings of the mesh between entry instances.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct MeshSettings {
    /// Pre-shared key for the handshake.
    pub key: MeshKey,
    /// Mesh addresses of peers to contact while the instance list is unavailable.
    pub peers: Vec<SocketAddr>,
}

impl Default for MeshSettings {
    fn default() -> Self {
        Self {
            key: MeshKey::new(&[]),
            peers: Vec::new(),
        }
    }
}

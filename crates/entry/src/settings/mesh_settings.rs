//! How instances speak with each other.

use std::net::SocketAddr;

use super::MeshKey;

/// The mesh's settings.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct MeshSettings {
    /// The pre-shared key.
    pub key: MeshKey,
    /// Mesh listeners to ask while the instance list is away.
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

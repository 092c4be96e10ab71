//! Addresses of the platform.

use std::net::SocketAddr;

/// Where the platform's services are.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PlatformSettings {
    /// Key-value service.
    pub store: Vec<SocketAddr>,
    /// Instance list.
    pub instance_list: Option<SocketAddr>,
    /// How often the instance list is read.
    pub list_poll_ms: u64,
}

impl Default for PlatformSettings {
    fn default() -> Self {
        Self {
            store: Vec::new(),
            instance_list: None,
            list_poll_ms: 1_000,
        }
    }
}

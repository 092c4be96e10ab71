//! Addresses of the platform's services.

use std::net::SocketAddr;

/// Addresses of the platform's services.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PlatformSettings {
    /// Servers of the key-value service.
    pub store: Vec<SocketAddr>,
    /// Instance list service; `None` only in settings that were not parsed from a file.
    pub instance_list: Option<SocketAddr>,
    /// Interval between reads of the instance list.
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

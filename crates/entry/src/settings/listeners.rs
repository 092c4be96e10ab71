//! Listener addresses.

use std::net::{Ipv4Addr, SocketAddr};

/// Addresses of the three listeners; port 0 lets the operating system choose.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Listeners {
    /// HTTP API for callers.
    pub callers: SocketAddr,
    /// HTTP API for operators: state dump and planned stop.
    pub operators: SocketAddr,
    /// Connections from other entry instances.
    pub mesh: SocketAddr,
}

impl Default for Listeners {
    fn default() -> Self {
        let any_port = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        Self {
            callers: any_port,
            operators: any_port,
            mesh: any_port,
        }
    }
}

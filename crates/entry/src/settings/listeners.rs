//! Addresses that the process listens on.

use std::net::{Ipv4Addr, SocketAddr};

/// The three listeners.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Listeners {
    /// Callers' HTTP API.
    pub callers: SocketAddr,
    /// Operators' HTTP listener: state dump and planned stop.
    pub operators: SocketAddr,
    /// Other entry instances.
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

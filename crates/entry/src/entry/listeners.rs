//! Opens the listeners.

use std::io;
use std::net::SocketAddr;

use displaydoc::Display;
use thiserror::Error;
use tokio::net::TcpListener;

use crate::settings::Listeners;

/// Error when starting an instance.
#[derive(Debug, Display, Error)]
pub enum StartError {
    /// listener {0} can't be opened: {1}
    Listener(SocketAddr, io::Error),
}

/// Open listeners of one instance.
pub(super) struct OpenListeners {
    requested: Listeners,
    pub(super) callers: TcpListener,
    pub(super) operators: TcpListener,
    pub(super) mesh: TcpListener,
}

impl OpenListeners {
    /// Binds all listeners.
    pub(super) async fn open(requested: Listeners) -> Result<Self, StartError> {
        Ok(Self {
            requested,
            callers: bind(requested.callers).await?,
            operators: bind(requested.operators).await?,
            mesh: bind(requested.mesh).await?,
        })
    }

    /// Returns the bound addresses, with the ports chosen by the operating system.
    pub(super) fn addresses(&self) -> Result<Listeners, StartError> {
        Ok(Listeners {
            callers: address_of(&self.callers, self.requested.callers)?,
            operators: address_of(&self.operators, self.requested.operators)?,
            mesh: address_of(&self.mesh, self.requested.mesh)?,
        })
    }
}

async fn bind(address: SocketAddr) -> Result<TcpListener, StartError> {
    TcpListener::bind(address)
        .await
        .map_err(|error| StartError::Listener(address, error))
}

fn address_of(listener: &TcpListener, requested: SocketAddr) -> Result<SocketAddr, StartError> {
    listener
        .local_addr()
        .map_err(|error| StartError::Listener(requested, error))
}

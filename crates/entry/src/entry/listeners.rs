//! Opening of the listeners.

use std::io;
use std::net::SocketAddr;

use displaydoc::Display;
use thiserror::Error;
use tokio::net::TcpListener;

use crate::settings::Listeners;

/// Why an instance did not start.
#[derive(Debug, Display, Error)]
pub enum StartError {
    /// listener {0} can't be opened: {1}
    Listener(SocketAddr, io::Error),
}

/// The open listeners of one instance.
pub(super) struct OpenListeners {
    asked: Listeners,
    pub(super) callers: TcpListener,
    pub(super) operators: TcpListener,
    pub(super) mesh: TcpListener,
}

impl OpenListeners {
    /// Opens every listener.
    pub(super) async fn open(asked: Listeners) -> Result<Self, StartError> {
        Ok(Self {
            asked,
            callers: bind(asked.callers).await?,
            operators: bind(asked.operators).await?,
            mesh: bind(asked.mesh).await?,
        })
    }

    /// Addresses with the ports that the system chose.
    pub(super) fn addresses(&self) -> Result<Listeners, StartError> {
        Ok(Listeners {
            callers: address_of(&self.callers, self.asked.callers)?,
            operators: address_of(&self.operators, self.asked.operators)?,
            mesh: address_of(&self.mesh, self.asked.mesh)?,
        })
    }
}

async fn bind(address: SocketAddr) -> Result<TcpListener, StartError> {
    TcpListener::bind(address)
        .await
        .map_err(|error| StartError::Listener(address, error))
}

fn address_of(listener: &TcpListener, asked: SocketAddr) -> Result<SocketAddr, StartError> {
    listener
        .local_addr()
        .map_err(|error| StartError::Listener(asked, error))
}

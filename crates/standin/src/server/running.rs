//! Stand-ins that run.

use std::io;
use std::net::SocketAddr;
use std::ops::Deref;
use std::sync::Arc;

use tokio::net::{TcpListener, TcpSocket};
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;

use super::{StandIn, connection};
use crate::fault::{Fault, FaultState};

const BACKLOG: u32 = 1024;

/// A stand-in that serves on a port; it derefs to the stand-in itself.
#[derive(Debug)]
pub struct Running<T> {
    address: SocketAddr,
    target: Arc<T>,
    faults: Arc<FaultState>,
    stop: CancellationToken,
    task: JoinHandle<()>,
}

impl<T: StandIn> Running<T> {
    /// Serves `target` on `address`; port 0 lets the system choose one.
    ///
    /// # Errors
    ///
    /// Fails when the address can't be bound.
    pub async fn start(
        target: T,
        faults: Arc<FaultState>,
        address: SocketAddr,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let target = Arc::new(target);
        let stop = CancellationToken::new();
        let server = Server {
            address,
            target: Arc::clone(&target),
            faults: Arc::clone(&faults),
        };
        let task = tokio::spawn(server.run(listener, stop.clone()));
        Ok(Self {
            address,
            target,
            faults,
            stop,
            task,
        })
    }

    /// Where it listens.
    ///
    /// ```
    /// # use monsoonspread_standin::{Store, StoreSettings};
    /// # tokio::runtime::Runtime::new().unwrap().block_on(async {
    /// # let store = Store::start(StoreSettings::default()).await.unwrap();
    /// assert_ne!(store.address().port(), 0);
    /// # });
    /// ```
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Its faults.
    ///
    /// ```
    /// # use monsoonspread_standin::{Fault, Store, StoreSettings};
    /// # tokio::runtime::Runtime::new().unwrap().block_on(async {
    /// # let store = Store::start(StoreSettings::default()).await.unwrap();
    /// store.faults().apply(Fault::Pause);
    /// # });
    /// ```
    pub fn faults(&self) -> &Arc<FaultState> {
        &self.faults
    }

    /// Switches one fault.
    ///
    /// ```
    /// # use monsoonspread_standin::{Fault, Store, StoreSettings};
    /// # tokio::runtime::Runtime::new().unwrap().block_on(async {
    /// # let store = Store::start(StoreSettings::default()).await.unwrap();
    /// store.apply(Fault::Slow { factor: 3.0 });
    /// # });
    /// ```
    pub fn apply(&self, fault: Fault) {
        self.faults.apply(fault);
    }

    /// The stand-in behind the port.
    ///
    /// ```
    /// # use monsoonspread_standin::{Store, StoreSettings};
    /// # tokio::runtime::Runtime::new().unwrap().block_on(async {
    /// # let store = Store::start(StoreSettings::default()).await.unwrap();
    /// assert_eq!(store.target().asked().reads, 0);
    /// # });
    /// ```
    pub fn target(&self) -> &Arc<T> {
        &self.target
    }

    /// Stops serving and drops every connection.
    ///
    /// ```
    /// # use monsoonspread_standin::{Store, StoreSettings};
    /// # tokio::runtime::Runtime::new().unwrap().block_on(async {
    /// Store::start(StoreSettings::default()).await.unwrap().stop().await;
    /// # });
    /// ```
    pub async fn stop(self) {
        self.stop.cancel();
        let _ = self.task.await;
    }
}

impl<T> Deref for Running<T> {
    type Target = T;

    fn deref(&self) -> &T {
        &self.target
    }
}

struct Server<T> {
    address: SocketAddr,
    target: Arc<T>,
    faults: Arc<FaultState>,
}

impl<T: StandIn> Server<T> {
    async fn run(self, mut listener: TcpListener, stop: CancellationToken) {
        loop {
            let life = stop.child_token();
            tokio::select! {
                () = self.accept(&listener, &life) => {}
                () = self.faults.crashed() => {}
                () = stop.cancelled() => {}
            }
            life.cancel();
            if stop.is_cancelled() {
                return;
            }
            drop(listener);
            self.target.crash();
            let started = tokio::select! {
                started = self.wait_for_start() => started,
                () = stop.cancelled() => return,
            };
            match started {
                Ok(started) => listener = started,
                Err(error) => {
                    log::error!("address {} can't be bound again: {error}", self.address);
                    return;
                }
            }
        }
    }

    async fn accept(&self, listener: &TcpListener, life: &CancellationToken) {
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                continue;
            };
            let target = Arc::clone(&self.target);
            let faults = Arc::clone(&self.faults);
            tokio::spawn(connection::serve(stream, target, faults, life.clone()));
        }
    }

    /// Holds the port without listening on it, so that connections are refused meanwhile.
    async fn wait_for_start(&self) -> io::Result<TcpListener> {
        let socket = TcpSocket::new_v4()?;
        socket.set_reuseaddr(true)?;
        socket.bind(self.address)?;
        self.faults.started().await;
        socket.listen(BACKLOG)
    }
}

//! The key-value service: etcd v3 semantics in memory, over the JSON gateway.

mod data;
mod service_calls;
mod settings;
#[cfg(test)]
mod tests;
mod watching;
mod wire;

pub use settings::StoreSettings;

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use serde::Serialize;
use tokio::sync::watch;
use tokio::time::Instant;

use crate::fault::FaultState;
use crate::pace::Pace;
use crate::server::Running;
use data::Data;

/// Calls that may wait for nothing before the rates hold.
const BURST: u32 = 32;

/// The key-value service. Unlike other stand-ins it keeps its state when it crashes.
#[derive(Debug)]
pub struct Store {
    settings: StoreSettings,
    state: Mutex<State>,
    revision: watch::Sender<i64>,
    faults: Arc<FaultState>,
}

#[derive(Debug)]
struct State {
    data: Data,
    writes: Pace,
    reads: Pace,
    counters: StoreCounters,
}

/// What the service was asked.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize)]
pub struct StoreCounters {
    /// Calls that read.
    pub reads: u64,
    /// Calls that may write.
    pub writes: u64,
    /// Watches opened.
    pub watches: u64,
    /// Calls on leases.
    pub lease_calls: u64,
}

impl Store {
    /// Starts the service on a port that the system chooses.
    ///
    /// # Errors
    ///
    /// Fails when no port can be bound.
    ///
    /// ```
    /// # use monsoonspread_standin::{Store, StoreSettings};
    /// # tokio::runtime::Runtime::new().unwrap().block_on(async {
    /// let store = Store::start(StoreSettings::default()).await.unwrap();
    /// assert!(store.address().ip().is_loopback());
    /// store.stop().await;
    /// # });
    /// ```
    pub async fn start(settings: StoreSettings) -> io::Result<Running<Self>> {
        Self::start_at(settings, crate::LOOPBACK).await
    }

    /// Starts the service at `address`.
    ///
    /// # Errors
    ///
    /// Fails when the address can't be bound.
    ///
    /// ```
    /// # use monsoonspread_standin::{LOOPBACK, Store, StoreSettings};
    /// # tokio::runtime::Runtime::new().unwrap().block_on(async {
    /// assert!(Store::start_at(StoreSettings::default(), LOOPBACK).await.is_ok());
    /// # });
    /// ```
    pub async fn start_at(
        settings: StoreSettings,
        address: SocketAddr,
    ) -> io::Result<Running<Self>> {
        let now = Instant::now();
        let faults = Arc::new(FaultState::new(Duration::ZERO));
        let state = State {
            data: Data::default(),
            writes: Pace::new(settings.writes_per_s, BURST, now),
            reads: Pace::new(settings.reads_per_s, BURST, now),
            counters: StoreCounters::default(),
        };
        let store = Self {
            settings,
            state: Mutex::new(state),
            revision: watch::Sender::new(0),
            faults: Arc::clone(&faults),
        };
        Running::start(store, faults, address).await
    }

    /// What the service was asked so far.
    ///
    /// ```
    /// # use monsoonspread_standin::{Store, StoreSettings};
    /// # tokio::runtime::Runtime::new().unwrap().block_on(async {
    /// # let store = Store::start(StoreSettings::default()).await.unwrap();
    /// assert_eq!(store.asked().writes, 0);
    /// # });
    /// ```
    pub fn asked(&self) -> StoreCounters {
        self.lock().counters
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

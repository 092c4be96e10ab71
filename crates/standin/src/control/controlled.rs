//! Stand-ins behind a control listener.

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;

use serde_json::Value;

use crate::fault::{Fault, FaultState};
use crate::server::{Running, StandIn};

/// A stand-in behind a control listener.
pub struct Controlled {
    name: String,
    address: SocketAddr,
    faults: Arc<FaultState>,
    target: Arc<dyn StandIn>,
}

impl Controlled {
    /// Puts a running stand-in under control by `name`.
    ///
    /// ```
    /// # use monsoonspread_standin::control::{Control, Controlled};
    /// # tokio::runtime::Runtime::new().unwrap().block_on(async {
    /// # use monsoonspread_standin::{LOOPBACK, Store, StoreSettings};
    /// # let store = Store::start(StoreSettings::default()).await.unwrap();
    /// let control = Control::new(vec![Controlled::new("store", &store)], None);
    /// assert!(control.start_at(LOOPBACK).await.is_ok());
    /// # });
    /// ```
    pub fn new<T: StandIn>(name: &str, running: &Running<T>) -> Self {
        Self {
            name: name.to_owned(),
            address: running.address(),
            faults: Arc::clone(running.faults()),
            target: Arc::clone(running.target()) as Arc<dyn StandIn>,
        }
    }

    /// Its name.
    pub(super) fn name(&self) -> &str {
        &self.name
    }

    /// Where it listens.
    pub(super) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Switches one fault.
    pub(super) fn apply(&self, fault: Fault) {
        self.faults.apply(fault);
    }

    /// Its counters.
    pub(super) async fn counters(&self) -> Value {
        self.target.counters().await
    }
}

impl fmt::Debug for Controlled {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Controlled")
            .field("name", &self.name)
            .field("address", &self.address)
            .finish_non_exhaustive()
    }
}

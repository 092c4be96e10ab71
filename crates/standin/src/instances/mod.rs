//! The lagging list of live and leaving instances.

use std::collections::{BTreeMap, VecDeque};
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use async_trait::async_trait;
use hyper::body::Incoming;
use hyper::{Request, StatusCode};
use monsoonspread_model::{InstanceState, ListedInstance};
use serde::Deserialize;
use serde_json::{Value, json as json_value};
use tokio::time::Instant;

use crate::fault::FaultState;
use crate::server::{Answer, Running, StandIn, empty, json};

/// Settings of the instance list.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(default, deny_unknown_fields)]
pub struct InstancesSettings {
    /// How long the list takes to show a change.
    pub lag_ms: u64,
    /// Rows that it shows from the start.
    pub rows: Vec<ListedInstance>,
}

impl Default for InstancesSettings {
    fn default() -> Self {
        Self {
            lag_ms: 1_000,
            rows: Vec::new(),
        }
    }
}

type Rows = BTreeMap<String, ListedInstance>;

/// The instance list.
#[derive(Debug)]
pub struct Instances {
    lag: Duration,
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    newest: Rows,
    shown: Rows,
    coming: VecDeque<(Instant, Rows)>,
    reads: u64,
}

impl Instances {
    /// Starts the list on a port that the system chooses.
    ///
    /// # Errors
    ///
    /// Fails when no port can be bound.
    ///
    /// ```
    /// # use monsoonspread_standin::{Instances, InstancesSettings};
    /// # tokio::runtime::Runtime::new().unwrap().block_on(async {
    /// let list = Instances::start(InstancesSettings::default()).await.unwrap();
    /// assert!(list.shown().is_empty());
    /// # });
    /// ```
    pub async fn start(settings: InstancesSettings) -> io::Result<Running<Self>> {
        Self::start_at(settings, crate::LOOPBACK).await
    }

    /// Starts the list at `address`.
    ///
    /// # Errors
    ///
    /// Fails when the address can't be bound.
    ///
    /// ```
    /// # use monsoonspread_standin::{Instances, InstancesSettings, LOOPBACK};
    /// # tokio::runtime::Runtime::new().unwrap().block_on(async {
    /// assert!(Instances::start_at(InstancesSettings::default(), LOOPBACK).await.is_ok());
    /// # });
    /// ```
    pub async fn start_at(
        settings: InstancesSettings,
        address: SocketAddr,
    ) -> io::Result<Running<Self>> {
        let rows = settings
            .rows
            .into_iter()
            .map(|row| (row.name.clone(), row))
            .collect::<Rows>();
        let state = State {
            newest: rows.clone(),
            shown: rows,
            coming: VecDeque::new(),
            reads: 0,
        };
        let list = Self {
            lag: Duration::from_millis(settings.lag_ms),
            state: Mutex::new(state),
        };
        let faults = Arc::new(FaultState::new(Duration::ZERO));
        Running::start(list, faults, address).await
    }

    /// Adds or replaces a row.
    ///
    /// ```
    /// # use monsoonspread_standin::{Fleet, Plan};
    /// # tokio::runtime::Runtime::new().unwrap().block_on(async {
    /// let fleet = Fleet::start(&Plan::default().with_zone("zone-1", 1, &[])).await.unwrap();
    /// let mut row = fleet.engines[0].row();
    /// row.name = "engine-2".to_owned();
    /// fleet.instances.put(row);
    /// # });
    /// ```
    pub fn put(&self, row: ListedInstance) {
        self.change(|rows| {
            rows.insert(row.name.clone(), row);
        });
    }

    /// Marks a row as leaving.
    ///
    /// ```
    /// # use monsoonspread_standin::{Instances, InstancesSettings};
    /// # tokio::runtime::Runtime::new().unwrap().block_on(async {
    /// # let list = Instances::start(InstancesSettings::default()).await.unwrap();
    /// list.set_leaving("engine-1");
    /// # });
    /// ```
    pub fn set_leaving(&self, name: &str) {
        self.change(|rows| {
            if let Some(row) = rows.get_mut(name) {
                row.state = InstanceState::Leaving;
            }
        });
    }

    /// Removes a row.
    ///
    /// ```
    /// # use monsoonspread_standin::{Instances, InstancesSettings};
    /// # tokio::runtime::Runtime::new().unwrap().block_on(async {
    /// # let list = Instances::start(InstancesSettings::default()).await.unwrap();
    /// list.remove("engine-1");
    /// # });
    /// ```
    pub fn remove(&self, name: &str) {
        self.change(|rows| {
            rows.remove(name);
        });
    }

    /// The rows as they are shown now.
    ///
    /// ```
    /// # use monsoonspread_standin::{Instances, InstancesSettings};
    /// # tokio::runtime::Runtime::new().unwrap().block_on(async {
    /// # let list = Instances::start(InstancesSettings::default()).await.unwrap();
    /// assert!(list.shown().is_empty());
    /// # });
    /// ```
    pub fn shown(&self) -> Vec<ListedInstance> {
        let mut state = self.lock();
        let now = Instant::now();
        while state.coming.front().is_some_and(|(at, _)| *at <= now) {
            if let Some((_, rows)) = state.coming.pop_front() {
                state.shown = rows;
            }
        }
        state.shown.values().cloned().collect()
    }

    fn change(&self, edit: impl FnOnce(&mut Rows)) {
        let mut state = self.lock();
        edit(&mut state.newest);
        let rows = state.newest.clone();
        state.coming.push_back((Instant::now() + self.lag, rows));
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

#[async_trait]
impl StandIn for Instances {
    async fn handle(self: Arc<Self>, request: Request<Incoming>) -> Answer {
        if request.uri().path() != "/instances" {
            return Ok(empty(StatusCode::NOT_FOUND));
        }
        self.lock().reads += 1;
        Ok(json(StatusCode::OK, &self.shown()))
    }

    async fn counters(&self) -> Value {
        json_value!({ "reads": self.lock().reads })
    }
}

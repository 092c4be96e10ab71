//! The rate-limited weight store.

mod http_weights;
#[cfg(test)]
mod tests;
mod weight_source;

pub use http_weights::HttpWeights;
pub use weight_source::{FetchError, WeightSource};

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use async_trait::async_trait;
use hyper::body::Incoming;
use hyper::{Request, StatusCode};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json as json_value};
use tokio::time::Instant;

use crate::fault::FaultState;
use crate::pace::Pace;
use crate::server::{Answer, Running, StandIn, empty, json};

/// Settings of the weight store.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(default, deny_unknown_fields)]
pub struct WeightsSettings {
    /// Loads that it serves a second.
    pub loads_per_s: f64,
    /// Loads that it starts at once at full speed.
    pub full_speed_loads: u32,
    /// Time of a load while few are in transit.
    pub load_ms: u64,
    /// Loads in transit beyond which each takes longer in proportion.
    pub transit_limit: u32,
    /// Factor on all times.
    pub time_scale: f64,
}

impl Default for WeightsSettings {
    fn default() -> Self {
        Self {
            loads_per_s: 9.0,
            full_speed_loads: 3,
            load_ms: 250,
            transit_limit: 24,
            time_scale: 1.0,
        }
    }
}

/// What the weight store served.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize)]
pub struct WeightsCounters {
    /// Loads asked for.
    pub asked: u64,
    /// Loads served whole.
    pub served: u64,
    /// Loads in transit now, waiting ones included.
    pub in_transit: u32,
    /// Most loads that were in transit at a time.
    pub most_in_transit: u32,
    /// Time that loads waited for their turn, summed up.
    pub waited_ms: u64,
}

/// The weight store, shared by all engines.
#[derive(Debug)]
pub struct Weights {
    settings: WeightsSettings,
    state: Mutex<State>,
    faults: Arc<FaultState>,
}

#[derive(Debug)]
struct State {
    pace: Pace,
    counters: WeightsCounters,
}

impl Weights {
    /// Starts the store on a port that the system chooses.
    ///
    /// # Errors
    ///
    /// Fails when no port can be bound.
    ///
    /// ```
    /// # use monsoonspread_standin::weights::WeightSource;
    /// # tokio::runtime::Runtime::new().unwrap().block_on(async {
    /// # use monsoonspread_standin::{Weights, WeightsSettings};
    /// let settings = WeightsSettings { time_scale: 0.01, ..WeightsSettings::default() };
    /// let weights = Weights::start(settings).await.unwrap();
    /// weights.fetch("needle-7@2").await.unwrap();
    /// # });
    /// ```
    pub async fn start(settings: WeightsSettings) -> io::Result<Running<Self>> {
        Self::start_at(settings, crate::LOOPBACK).await
    }

    /// Starts the store at `address`.
    ///
    /// # Errors
    ///
    /// Fails when the address can't be bound.
    ///
    /// ```
    /// # use monsoonspread_standin::{LOOPBACK, Weights, WeightsSettings};
    /// # tokio::runtime::Runtime::new().unwrap().block_on(async {
    /// assert!(Weights::start_at(WeightsSettings::default(), LOOPBACK).await.is_ok());
    /// # });
    /// ```
    pub async fn start_at(
        settings: WeightsSettings,
        address: SocketAddr,
    ) -> io::Result<Running<Self>> {
        let rate_per_s = settings.loads_per_s / settings.time_scale.max(f64::MIN_POSITIVE);
        let state = State {
            pace: Pace::new(rate_per_s, settings.full_speed_loads, Instant::now()),
            counters: WeightsCounters::default(),
        };
        let faults = Arc::new(FaultState::new(Duration::ZERO));
        let weights = Self {
            settings,
            state: Mutex::new(state),
            faults: Arc::clone(&faults),
        };
        Running::start(weights, faults, address).await
    }

    /// What was served so far.
    ///
    /// ```
    /// # use monsoonspread_standin::{Weights, WeightsSettings};
    /// # tokio::runtime::Runtime::new().unwrap().block_on(async {
    /// # let weights = Weights::start(WeightsSettings::default()).await.unwrap();
    /// assert_eq!(weights.served().asked, 0);
    /// # });
    /// ```
    pub fn served(&self) -> WeightsCounters {
        self.lock().counters
    }

    /// Takes a place in transit and says when the load's turn comes.
    fn take_turn(&self) -> (Transit<'_>, Instant) {
        let now = Instant::now();
        let mut state = self.lock();
        let turn = state.pace.take(now);
        let counters = &mut state.counters;
        counters.asked += 1;
        counters.in_transit += 1;
        counters.most_in_transit = counters.most_in_transit.max(counters.in_transit);
        counters.waited_ms += turn.duration_since(now).as_millis() as u64;
        (Transit(self), turn)
    }

    fn transfer_time(&self) -> Duration {
        let in_transit = f64::from(self.lock().counters.in_transit);
        let crowding = in_transit / f64::from(self.settings.transit_limit.max(1));
        let factor = crowding.max(1.0) * self.settings.time_scale * self.faults.slow_factor();
        Duration::from_millis(self.settings.load_ms).mul_f64(factor)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

#[async_trait]
impl WeightSource for Weights {
    async fn fetch(&self, _adapter: &str) -> Result<(), FetchError> {
        let (transit, turn) = self.take_turn();
        tokio::time::sleep_until(turn).await;
        tokio::time::sleep(self.transfer_time()).await;
        drop(transit);
        if self.faults.take_failed_load() {
            return Err(FetchError("the weight store failed the load".to_owned()));
        }
        self.lock().counters.served += 1;
        Ok(())
    }
}

/// A load in transit; ends when dropped.
struct Transit<'a>(&'a Weights);

impl Drop for Transit<'_> {
    fn drop(&mut self) {
        self.0.lock().counters.in_transit -= 1;
    }
}

#[async_trait]
impl StandIn for Weights {
    async fn handle(self: Arc<Self>, request: Request<Incoming>) -> Answer {
        let Some(adapter) = request.uri().path().strip_prefix("/weights/") else {
            return Ok(empty(StatusCode::NOT_FOUND));
        };
        match self.fetch(adapter).await {
            Ok(()) => Ok(json(StatusCode::OK, &json_value!({ "adapter": adapter }))),
            Err(error) => Ok(json(
                StatusCode::SERVICE_UNAVAILABLE,
                &json_value!({ "error": error.to_string() }),
            )),
        }
    }

    async fn counters(&self) -> Value {
        json_value!(self.served())
    }
}

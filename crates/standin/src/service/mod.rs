//! A plain record or card service, which counts every run.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::{Method, Request, StatusCode};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json as json_value};

use crate::fault::FaultState;
use crate::marker::marker_of;
use crate::server::{Answer, Running, StandIn, TookEffect, empty, json, not_run};

const MAX_BODY_BYTES: usize = 1024 * 1024;
const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";

/// Settings of a server of a plain service.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(default, deny_unknown_fields)]
pub struct ServiceSettings {
    /// Name of the server.
    pub name: String,
    /// Time of a call.
    pub call_ms: u64,
    /// Time until it is back after a restart.
    pub cold_start_ms: u64,
    /// Factor on all times.
    pub time_scale: f64,
}

impl Default for ServiceSettings {
    fn default() -> Self {
        Self {
            name: "service-1".to_owned(),
            call_ms: 5,
            cold_start_ms: 500,
            time_scale: 1.0,
        }
    }
}

/// What a server ran.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize)]
pub struct ServiceCounters {
    /// Runs of every call.
    pub runs: u64,
    /// Runs by call.
    pub by_call: BTreeMap<String, u64>,
    /// Runs by idempotency key.
    pub by_key: BTreeMap<String, u64>,
    /// Runs by the marker in the body.
    pub by_marker: BTreeMap<String, u64>,
}

/// One server of a plain service. Its counters outlive crashes, as evidence for tests.
#[derive(Debug)]
pub struct Service {
    settings: ServiceSettings,
    counters: Mutex<ServiceCounters>,
    faults: Arc<FaultState>,
}

impl Service {
    /// Starts a server on a port that the system chooses.
    ///
    /// # Errors
    ///
    /// Fails when no port can be bound.
    ///
    /// ```
    /// # use monsoonspread_standin::{Service, ServiceSettings};
    /// # tokio::runtime::Runtime::new().unwrap().block_on(async {
    /// let service = Service::start(ServiceSettings::default()).await.unwrap();
    /// assert_eq!(service.ran().runs, 0);
    /// service.stop().await;
    /// # });
    /// ```
    pub async fn start(settings: ServiceSettings) -> io::Result<Running<Self>> {
        Self::start_at(settings, crate::LOOPBACK).await
    }

    /// Starts a server at `address`.
    ///
    /// # Errors
    ///
    /// Fails when the address can't be bound.
    ///
    /// ```
    /// # use monsoonspread_standin::{LOOPBACK, Service, ServiceSettings};
    /// # tokio::runtime::Runtime::new().unwrap().block_on(async {
    /// let settings = ServiceSettings::default();
    /// assert!(Service::start_at(settings, LOOPBACK).await.is_ok());
    /// # });
    /// ```
    pub async fn start_at(
        settings: ServiceSettings,
        address: SocketAddr,
    ) -> io::Result<Running<Self>> {
        let cold_start = Duration::from_millis(settings.cold_start_ms).mul_f64(settings.time_scale);
        let faults = Arc::new(FaultState::new(cold_start));
        let service = Self {
            settings,
            counters: Mutex::default(),
            faults: Arc::clone(&faults),
        };
        Running::start(service, faults, address).await
    }

    /// What it ran so far.
    ///
    /// ```
    /// # use monsoonspread_standin::{Service, ServiceSettings};
    /// # tokio::runtime::Runtime::new().unwrap().block_on(async {
    /// # let service = Service::start(ServiceSettings::default()).await.unwrap();
    /// assert!(service.ran().by_call.is_empty());
    /// # });
    /// ```
    pub fn ran(&self) -> ServiceCounters {
        self.lock().clone()
    }

    /// Runs of the call with this idempotency key.
    ///
    /// ```
    /// # use monsoonspread_standin::{Service, ServiceSettings};
    /// # tokio::runtime::Runtime::new().unwrap().block_on(async {
    /// # let service = Service::start(ServiceSettings::default()).await.unwrap();
    /// assert_eq!(service.runs_of_key("key-1"), 0);
    /// # });
    /// ```
    pub fn runs_of_key(&self, key: &str) -> u64 {
        self.lock().by_key.get(key).copied().unwrap_or(0)
    }

    /// Runs of calls with this marker in the body.
    ///
    /// ```
    /// # use monsoonspread_standin::{Service, ServiceSettings};
    /// # tokio::runtime::Runtime::new().unwrap().block_on(async {
    /// # let service = Service::start(ServiceSettings::default()).await.unwrap();
    /// assert_eq!(service.runs_of_marker("c-1"), 0);
    /// # });
    /// ```
    pub fn runs_of_marker(&self, marker: &str) -> u64 {
        self.lock().by_marker.get(marker).copied().unwrap_or(0)
    }

    async fn run(&self, call: &str, key: Option<&str>, body: &Bytes) -> Value {
        let run = self.count(call, key, body);
        let time = Duration::from_millis(self.settings.call_ms)
            .mul_f64(self.settings.time_scale * self.faults.slow_factor());
        tokio::time::sleep(time).await;
        json_value!({ "call": call, "run": run, "server": self.settings.name })
    }

    fn count(&self, call: &str, key: Option<&str>, body: &[u8]) -> u64 {
        let mut counters = self.lock();
        counters.runs += 1;
        *counters.by_call.entry(call.to_owned()).or_default() += 1;
        if let Some(key) = key {
            *counters.by_key.entry(key.to_owned()).or_default() += 1;
        }
        if let Some(marker) = marker_of(&String::from_utf8_lossy(body)) {
            *counters.by_marker.entry(marker.to_owned()).or_default() += 1;
        }
        counters.runs
    }

    fn lock(&self) -> MutexGuard<'_, ServiceCounters> {
        self.counters.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

#[async_trait]
impl StandIn for Service {
    async fn handle(self: Arc<Self>, request: Request<Incoming>) -> Answer {
        let path = request.uri().path().to_owned();
        let Some(call) = path.strip_prefix("/calls/") else {
            return Ok(empty(StatusCode::NOT_FOUND));
        };
        if request.method() != Method::POST {
            return Ok(empty(StatusCode::METHOD_NOT_ALLOWED));
        }
        if self.faults.is_draining() {
            return Ok(not_run("the server is stopping"));
        }
        let key = request
            .headers()
            .get(IDEMPOTENCY_KEY_HEADER)
            .and_then(|key| key.to_str().ok())
            .map(str::to_owned);
        let Ok(body) = Limited::new(request.into_body(), MAX_BODY_BYTES)
            .collect()
            .await
        else {
            return Ok(empty(StatusCode::PAYLOAD_TOO_LARGE));
        };
        let result = self.run(call, key.as_deref(), &body.to_bytes()).await;
        let mut response = json(StatusCode::OK, &result);
        response.extensions_mut().insert(TookEffect);
        Ok(response)
    }

    async fn counters(&self) -> Value {
        json_value!(self.ran())
    }
}

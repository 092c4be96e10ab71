//! The least loaded engine, after lagging reports.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use http_body_util::{BodyExt, Empty};
use hyper::Uri;
use hyper::body::Bytes;
use hyper_util::client::legacy::Client as HttpClient;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use monsoonspread_model::LoadReport;
use rand::SeedableRng;
use rand::seq::IndexedRandom;
use rand_chacha::ChaCha8Rng;
use tokio::task::JoinHandle;

use super::{Policy, direct_target};
use crate::client::Target;
use crate::plan::PlannedRequest;

/// How often each engine's report is read.
const READ_EVERY: Duration = Duration::from_millis(250);

/// Requests that each engine reported, running and waiting.
type Reported = Arc<Mutex<Vec<u32>>>;

/// Sends each request to one of the engines that report the fewest requests.
#[derive(Debug)]
pub struct LeastLoaded {
    engines: Vec<SocketAddr>,
    reported: Reported,
    random: Mutex<ChaCha8Rng>,
    reader: JoinHandle<()>,
}

impl LeastLoaded {
    /// Chooses among `engines` and starts to read their reports.
    pub fn new(engines: Vec<SocketAddr>, seed: u64) -> Self {
        let reported = Reported::new(Mutex::new(vec![0; engines.len()]));
        Self {
            reader: tokio::spawn(read_reports(engines.clone(), Arc::clone(&reported))),
            engines,
            reported,
            random: Mutex::new(ChaCha8Rng::seed_from_u64(seed)),
        }
    }
}

impl Drop for LeastLoaded {
    fn drop(&mut self) {
        self.reader.abort();
    }
}

impl Policy for LeastLoaded {
    fn target(&self, request: &PlannedRequest, tried: &[SocketAddr]) -> Option<Target> {
        let reported = self
            .reported
            .lock()
            .unwrap_or_else(|broken| broken.into_inner());
        let left: Vec<(SocketAddr, u32)> = self
            .engines
            .iter()
            .copied()
            .zip(reported.iter().copied())
            .filter(|(engine, _)| !tried.contains(engine))
            .collect();
        let fewest = left.iter().map(|(_, requests)| *requests).min()?;
        let least: Vec<SocketAddr> = left
            .into_iter()
            .filter(|(_, requests)| *requests == fewest)
            .map(|(engine, _)| engine)
            .collect();
        let mut random = self
            .random
            .lock()
            .unwrap_or_else(|broken| broken.into_inner());
        least
            .choose(&mut *random)
            .map(|engine| direct_target(*engine, request))
    }
}

async fn read_reports(engines: Vec<SocketAddr>, reported: Reported) {
    let client = HttpClient::builder(TokioExecutor::new()).build_http::<Empty<Bytes>>();
    let mut ticks = tokio::time::interval(READ_EVERY);
    loop {
        ticks.tick().await;
        for (place, engine) in engines.iter().enumerate() {
            let Some(report) = read_report(&client, *engine).await else {
                continue;
            };
            let mut reported = reported.lock().unwrap_or_else(|broken| broken.into_inner());
            reported[place] = report.running + report.waiting;
        }
    }
}

async fn read_report(
    client: &HttpClient<HttpConnector, Empty<Bytes>>,
    engine: SocketAddr,
) -> Option<LoadReport> {
    let uri: Uri = format!("http://{engine}/load").parse().ok()?;
    let response = client.get(uri).await.ok()?;
    let body = response.into_body().collect().await.ok()?.to_bytes();
    serde_json::from_slice(&body).ok()
}

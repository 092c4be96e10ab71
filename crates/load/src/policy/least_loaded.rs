//! The least loaded engine, after lagging reports.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use monsoonspread_model::LoadReport;
use rand::SeedableRng;
use rand::seq::IndexedRandom;
use rand_chacha::ChaCha8Rng;
use tokio::task::JoinHandle;

use super::{Policy, direct_target};
use crate::client::{JsonReader, Target};
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
    let reader = JsonReader::new();
    let mut ticks = tokio::time::interval(READ_EVERY);
    loop {
        ticks.tick().await;
        for (place, engine) in engines.iter().enumerate() {
            let Some(report) = reader.get::<LoadReport>(*engine, "/load").await else {
                continue;
            };
            let mut reported = reported.lock().unwrap_or_else(|broken| broken.into_inner());
            reported[place] = report.running + report.waiting;
        }
    }
}

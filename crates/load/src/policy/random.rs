//! Any engine.

use std::net::SocketAddr;
use std::sync::Mutex;

use rand::SeedableRng;
use rand::seq::IndexedRandom;
use rand_chacha::ChaCha8Rng;

use super::{Policy, direct_target};
use crate::client::Target;
use crate::plan::PlannedRequest;

/// Sends each request to any engine.
#[derive(Debug)]
pub struct Random {
    engines: Vec<SocketAddr>,
    random: Mutex<ChaCha8Rng>,
}

impl Random {
    /// Chooses among `engines`.
    pub fn new(engines: Vec<SocketAddr>, seed: u64) -> Self {
        Self {
            engines,
            random: Mutex::new(ChaCha8Rng::seed_from_u64(seed)),
        }
    }
}

impl Policy for Random {
    fn target(&self, request: &PlannedRequest, tried: &[SocketAddr]) -> Option<Target> {
        let left: Vec<SocketAddr> = super::untried(&self.engines, tried).collect();
        let mut random = self
            .random
            .lock()
            .unwrap_or_else(|broken| broken.into_inner());
        let engine = left.choose(&mut *random)?;
        Some(direct_target(*engine, request))
    }
}

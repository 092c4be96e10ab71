//! Plain hash affinity.

use std::net::SocketAddr;

use xxhash_rust::xxh3::xxh3_64;

use super::{Policy, direct_target};
use crate::client::Target;
use crate::plan::PlannedRequest;

/// Sends each adapter's requests to the engine that its rendezvous hash ranks first.
#[derive(Debug)]
pub struct HashAffinity {
    engines: Vec<SocketAddr>,
}

impl HashAffinity {
    /// Chooses among `engines`.
    pub fn new(engines: Vec<SocketAddr>) -> Self {
        Self { engines }
    }
}

impl Policy for HashAffinity {
    fn target(&self, request: &PlannedRequest, tried: &[SocketAddr]) -> Option<Target> {
        let rank = |engine: &SocketAddr| {
            let place = self.engines.iter().position(|other| other == engine);
            xxh3_64(format!("{}/{}", request.adapter, place.unwrap_or_default()).as_bytes())
        };
        let engine = super::untried(&self.engines, tried).max_by_key(rank)?;
        Some(direct_target(engine, request))
    }
}

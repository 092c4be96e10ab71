//! Entry instances with their decisions.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};

use async_trait::async_trait;

use super::Policy;
use crate::client::{Target, caller_key, wanted_model};
use crate::fleet::EntryFleet;
use crate::plan::PlannedRequest;

/// Sends each request to an entry instance of its caller's zone, as the balancer does.
pub struct Monsoonspread {
    fleet: EntryFleet,
    by_zone: Vec<Vec<SocketAddr>>,
    turn: AtomicUsize,
}

impl Monsoonspread {
    /// Takes turns among the instances of each zone.
    pub fn new(fleet: EntryFleet) -> Self {
        let mut zones: Vec<_> = fleet.entries().map(|(zone, _)| zone.clone()).collect();
        zones.sort();
        zones.dedup();
        let addresses_of = |zone| {
            let inside = fleet.entries().filter(move |(other, _)| *other == zone);
            inside.map(|(_, entry)| entry.callers_address()).collect()
        };
        Self {
            by_zone: zones.iter().map(addresses_of).collect(),
            fleet,
            turn: AtomicUsize::new(0),
        }
    }
}

#[async_trait]
impl Policy for Monsoonspread {
    fn target(&self, request: &PlannedRequest, tried: &[SocketAddr]) -> Option<Target> {
        let zone = request.zone as usize % self.by_zone.len();
        let others = self.by_zone.iter().skip(zone + 1).chain(&self.by_zone);
        let turn = self.turn.fetch_add(1, Ordering::Relaxed);
        let own = &self.by_zone[zone];
        let own = own.iter().cycle().skip(turn % own.len()).take(own.len());
        let address = own
            .chain(others.flatten())
            .find(|address| !tried.contains(address))?;
        Some(Target {
            address: *address,
            model: wanted_model(request),
            api_key: Some(caller_key(request.caller)),
        })
    }

    /// An instance has tried other upstreams before it refuses.
    fn retries_refusals(&self) -> bool {
        false
    }

    async fn load_wait_ms(&self) -> u64 {
        let dumps = self.fleet.dumps().await;
        let waits = dumps
            .iter()
            .filter_map(|dump| dump["owner"]["load_waits"]["waited_ms"].as_u64());
        waits.sum()
    }
}

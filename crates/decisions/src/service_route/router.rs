//! Server selection for plain services.

use std::collections::BTreeMap;

use monsoonspread_model::{Refusal, RefusalReason, ServiceName, UnixMs, UpstreamName, ZoneName};
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde::Serialize;

use super::server::Server;

/// Maximum number of calls that may not be repeated in flight from one instance to one server.
pub const MAX_COMMITS_PER_SERVER: u32 = 16;
/// Retry delay for a caller when every server is full or failed, in milliseconds.
const RETRY_AFTER_MS: u64 = 1_000;

/// A live server of a plain service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ServiceServer {
    /// Unique name of the server.
    pub name: UpstreamName,
    /// The service it belongs to.
    pub service: ServiceName,
    /// Availability zone it runs in.
    pub zone: ZoneName,
}

/// State of one server in a dump.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct RouteDump {
    /// The server.
    pub server: UpstreamName,
    /// The service it belongs to.
    pub service: ServiceName,
    /// Repeatable calls in flight from this instance.
    pub reads: u32,
    /// Other calls in flight from this instance.
    pub commits: u32,
    /// Expected latency in milliseconds.
    pub latency_ms: f64,
}

/// All servers of all plain services, as seen by one instance.
#[derive(Debug)]
pub struct ServiceRouter {
    zone: ZoneName,
    servers: BTreeMap<UpstreamName, Server>,
    random: ChaCha8Rng,
}

impl ServiceRouter {
    /// Creates a router without servers for an instance in `zone`; `seed` sets the random choices.
    ///
    /// ```
    /// # use monsoonspread_decisions::service_route::ServiceRouter;
    /// # use monsoonspread_model::UnixMs;
    /// let mut router = ServiceRouter::new("vestland-1".into(), 7);
    /// assert!(router.pick(UnixMs(0), &"records".into(), true, &[]).is_err());
    /// ```
    pub fn new(zone: ZoneName, seed: u64) -> Self {
        Self {
            zone,
            servers: BTreeMap::new(),
            random: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Replaces the live servers; the statistics of those that remain are kept.
    pub fn on_servers(&mut self, live: &[ServiceServer]) {
        self.servers
            .retain(|name, _| live.iter().any(|server| server.name == *name));
        for server in live {
            self.servers
                .entry(server.name.clone())
                .or_insert_with(|| Server::new(server.service.clone(), server.zone.clone()));
        }
    }

    /// Chooses a server for one call and counts the call as in flight there.
    ///
    /// # Errors
    ///
    /// Returns a "not run" refusal when no server of the service can take the call now.
    pub fn pick(
        &mut self,
        now: UnixMs,
        service: &ServiceName,
        repeatable: bool,
        tried: &[UpstreamName],
    ) -> Result<UpstreamName, Refusal> {
        let open: Vec<UpstreamName> = self
            .servers
            .iter()
            .filter(|(name, server)| server.service == *service && !tried.contains(name))
            .filter(|(_, server)| repeatable || server.commits < MAX_COMMITS_PER_SERVER)
            .map(|(name, _)| name.clone())
            .collect();
        let healthy: Vec<UpstreamName> = open
            .iter()
            .filter(|name| !self.servers[*name].is_failed(now))
            .cloned()
            .collect();
        let candidates = if healthy.is_empty() { open } else { healthy };
        if candidates.is_empty() {
            let message = format!("no server of service \"{service}\" can take the call now");
            let refusal = Refusal::not_run(RefusalReason::Unavailable, message);
            return Err(refusal.with_retry_at(now + RETRY_AFTER_MS));
        }
        let chosen = self.better_of_two(now, &candidates);
        if let Some(server) = self.servers.get_mut(&chosen) {
            server.start(repeatable);
        }
        Ok(chosen)
    }

    /// Records the end of a call; `latency_ms` is `None` when the server did not answer.
    pub fn on_end(
        &mut self,
        now: UnixMs,
        server: &UpstreamName,
        repeatable: bool,
        latency_ms: Option<u64>,
    ) {
        let Some(server) = self.servers.get_mut(server) else {
            return;
        };
        server.end(repeatable);
        match latency_ms {
            Some(latency_ms) => server.on_latency(now, latency_ms),
            None => server.on_failure(now),
        }
    }

    /// Records that a call was not sent.
    pub fn on_cancelled(&mut self, server: &UpstreamName, repeatable: bool) {
        if let Some(server) = self.servers.get_mut(server) {
            server.end(repeatable);
        }
    }

    /// Describes every server.
    pub fn dump(&self, now: UnixMs) -> Vec<RouteDump> {
        let servers = self.servers.iter();
        servers
            .map(|(name, server)| RouteDump {
                server: name.clone(),
                service: server.service.clone(),
                reads: server.reads,
                commits: server.commits,
                latency_ms: server.latency_ms(now),
            })
            .collect()
    }

    fn better_of_two(&mut self, now: UnixMs, candidates: &[UpstreamName]) -> UpstreamName {
        let first = self.random.random_range(0..candidates.len());
        let second = self.random.random_range(0..candidates.len());
        let cost = |index: usize| self.servers[&candidates[index]].cost_ms(now, &self.zone);
        let better = if cost(second) < cost(first) {
            second
        } else {
            first
        };
        candidates[better].clone()
    }
}

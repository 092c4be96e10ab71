//! Requests for a place.

use std::rc::Rc;
use std::time::Duration;

use monsoonspread_borders::relay::ServerLoad;
use monsoonspread_decisions::room::{keeper, pool_of, pools};
use monsoonspread_model::fleet::Merit;
use monsoonspread_model::{
    Fingerprint, InstanceName, ServiceName, UnixMs, UpstreamName, WorkspaceName,
};
use tokio::sync::mpsc::{UnboundedReceiver, unbounded_channel};
use tokio::time::timeout;

use super::Place;
use super::place::reported;
use super::rooms::{PoolKey, shows_contention};
use crate::event::{Line, kind};
use crate::peers::{PeerPlaceRequest, PlaceAnswer};
use crate::shared::Shared;

/// How long to wait for a keeper's first answer, in milliseconds: a few round trips to another zone, and well
/// below the objectives of plain services.
const ANSWER_TIMEOUT_MS: u64 = 50;
/// How long a request waits for a place beyond twice the wait that the keeper expects, in milliseconds: the
/// keeper refuses it before, unless it has stopped.
const WAIT_SLACK_MS: u64 = 400;
/// Pools that a request asks for a place at most.
const MAX_POOLS: usize = 2;

/// A request's claim to a place.
#[derive(Clone, Copy, Debug)]
pub struct PlaceAsk<'a> {
    /// The request.
    pub id: &'a str,
    /// The service.
    pub service: &'a ServiceName,
    /// The order in which it is served.
    pub merit: Merit,
    /// The workspace that it counts for.
    pub workspace: Option<&'a WorkspaceName>,
    /// When its answer must be complete to meet its objective.
    pub in_time_until: UnixMs,
    /// When its answer is of no use any more.
    pub ends_by: UnixMs,
}

/// Result of asking for a place.
pub enum Placed {
    /// The call may be sent to this server.
    At(UpstreamName, Place),
    /// There is no place in time.
    Refused {
        /// The expected wait, in milliseconds.
        wait_ms: u64,
        /// When the caller may return, in milliseconds from now.
        return_ms: u64,
    },
    /// Nobody need be asked, or no keeper answers: the call is sent without a place.
    Direct,
}

impl Shared {
    /// Obtains a place for a call to a plain service, if the service is contended.
    pub async fn place(self: &Rc<Self>, ask: PlaceAsk<'_>) -> Placed {
        if !self.rooms.is_contended(self.now(), ask.service) {
            return Placed::Direct;
        }
        let mut refused = Placed::Direct;
        for pool in self.pools_for(&ask) {
            match self.place_in(&ask, pool).await {
                Placed::Refused { wait_ms, return_ms } => {
                    refused = Placed::Refused { wait_ms, return_ms };
                }
                placed => return placed,
            }
        }
        refused
    }

    /// A server of a plain service told its load, or none.
    pub fn on_server_load(
        &self,
        service: &ServiceName,
        upstream: &UpstreamName,
        load: Option<ServerLoad>,
    ) {
        let load = load.and_then(reported);
        if shows_contention(load) && self.rooms.on_contended(self.now(), service) {
            let seen = load.map_or(0, |load| load.running + load.waiting);
            Line::new(&kind::SERVICE_CONTENDED)
                .field("service", service)
                .field("upstream", upstream)
                .field("calls", seen)
                .field("places", load.map_or(0, |load| load.places))
                .log();
        }
    }

    /// Pools to ask, the one with the shorter wait first. None if servers have rate limits, whose permits
    /// decide instead.
    fn pools_for(&self, ask: &PlaceAsk<'_>) -> Vec<PoolKey> {
        let fleet = self.fleet.borrow();
        let servers: Vec<&UpstreamName> = fleet.ready(ask.service).map(|up| &up.name).collect();
        let has_limit = servers.iter().any(|server| self.has_limit(server));
        if has_limit || servers.is_empty() {
            return Vec::new();
        }
        let pools = pools(servers.len());
        // Pools are drawn by their number of servers.
        let draw = Fingerprint::of([ask.id.as_bytes()]).0 as usize;
        let drawn = [draw, draw / servers.len()].map(|draw| servers[draw % servers.len()]);
        let mut chosen: Vec<PoolKey> = drawn
            .map(|server| (ask.service.clone(), pool_of(server, pools)))
            .to_vec();
        chosen.dedup();
        chosen.sort_by_key(|pool| self.rooms.wait_ms(pool));
        chosen.truncate(MAX_POOLS);
        chosen
    }

    async fn place_in(self: &Rc<Self>, ask: &PlaceAsk<'_>, pool: PoolKey) -> Placed {
        let asked_at = self.now();
        let keeper = self.keeper_of(&pool);
        if self.rooms.is_unresponsive(asked_at, &keeper) {
            self.metrics.count("places", "keeper skipped");
            return Placed::Direct;
        }
        let number = self.holding.next_number();
        let request = PeerPlaceRequest {
            number,
            service: pool.0.clone(),
            pool: pool.1,
            merit: ask.merit,
            workspace: ask.workspace.cloned(),
            in_time_ms: ask.in_time_until.ms_since(asked_at),
            lasts_ms: ask.ends_by.ms_since(asked_at),
        };
        let Some(mut answers) = self.send_place_request(&keeper, request) else {
            return Placed::Direct;
        };
        // Ends the request for the place also if the client leaves.
        let place = Place::new(self, keeper.clone(), pool.clone(), number);
        let mut wait_ms = ANSWER_TIMEOUT_MS;
        let mut is_queued = false;
        loop {
            match timeout(Duration::from_millis(wait_ms), answers.recv()).await {
                Ok(Some(PlaceAnswer::Granted { server, is_calm })) => {
                    self.on_granted(ask, &pool, asked_at, is_calm);
                    return Placed::At(server, place);
                }
                Ok(Some(PlaceAnswer::Refused { wait_ms, return_ms })) => {
                    self.rooms.on_wait(&pool, wait_ms);
                    self.rooms.on_contended(self.now(), ask.service);
                    return Placed::Refused { wait_ms, return_ms };
                }
                Ok(Some(PlaceAnswer::Queued { wait_ms: expected })) => {
                    self.rooms.on_wait(&pool, expected);
                    let left_ms = ask.ends_by.ms_since(self.now());
                    wait_ms = left_ms.min(expected * 2 + WAIT_SLACK_MS);
                    is_queued = true;
                }
                Ok(None) | Err(_) => {
                    self.on_no_place_answer(ask, &keeper, asked_at, is_queued);
                    return Placed::Direct;
                }
            }
        }
    }

    fn send_place_request(
        self: &Rc<Self>,
        keeper: &InstanceName,
        request: PeerPlaceRequest,
    ) -> Option<UnboundedReceiver<PlaceAnswer>> {
        if *keeper == self.settings.instance {
            let (answer, answers) = unbounded_channel();
            let mut local = self.rooms.local.borrow_mut();
            local.retain(|_, waiting| !waiting.is_closed());
            local.insert(request.number, answer);
            drop(local);
            self.on_place_request(keeper, &request);
            return Some(answers);
        }
        let address = self.fleet.borrow().member(keeper)?;
        self.peers.request_place(keeper, address, request)
    }

    fn on_granted(&self, ask: &PlaceAsk<'_>, pool: &PoolKey, asked_at: UnixMs, is_calm: bool) {
        let now = self.now();
        let waited_ms = now.ms_since(asked_at);
        self.rooms.on_wait(pool, 0);
        if !is_calm {
            self.rooms.on_contended(now, ask.service);
        }
        self.metrics.count("places", "granted");
        self.metrics.record_latency("place_wait", waited_ms);
    }

    fn on_no_place_answer(
        &self,
        ask: &PlaceAsk<'_>,
        keeper: &InstanceName,
        asked_at: UnixMs,
        is_queued: bool,
    ) {
        let now = self.now();
        // A keeper that queued the request answers others.
        if *keeper != self.settings.instance && !is_queued {
            self.rooms.on_unresponsive(now, keeper);
        }
        let outcome = if is_queued { "overdue" } else { "no answer" };
        self.metrics.count("places", outcome);
        Line::new(&kind::KEEPER_SILENT)
            .field("id", ask.id)
            .field("service", ask.service)
            .field("keeper", keeper)
            .field("outcome", outcome)
            .field("waited_ms", now.ms_since(asked_at))
            .log();
    }

    fn keeper_of(&self, (service, pool): &PoolKey) -> InstanceName {
        let fleet = self.fleet.borrow();
        let chosen = keeper(service, *pool, fleet.members().map(|member| &member.name));
        chosen.unwrap_or(&self.settings.instance).clone()
    }
}

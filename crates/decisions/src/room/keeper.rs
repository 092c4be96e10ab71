//! The keeper of a pool of servers.

use std::collections::BTreeMap;

use monsoonspread_model::{InstanceName, UnixMs, UpstreamName};
use serde::Serialize;

use super::arrivals::Arrivals;
use super::server::ServerState;
use super::wait_queue::{WaitQueue, is_late};
use super::{PlaceEnd, PlaceId, PlaceRequest, ReportedLoad, RoomAction, RoomServer};

/// Maximum number of requests that wait; bounds the memory and the time for each.
const MAX_WAITING: usize = 512;
/// Share of the servers' throughput that counts as left for late requests at least.
const MIN_SPARE: f64 = 0.02;
/// Time within which most calls end, in multiples of the mean: work differs by half.
const CAREFUL: f64 = 1.6;
/// Share of the places in use below which nobody need ask.
const CALM_SHARE: f64 = 0.5;
/// Latest time at which a refused caller is told to return, in milliseconds: peaks end within seconds.
const MAX_RETURN_MS: f64 = 2_000.0;
/// Interval between two returns, in places' times: half of the throughput is left for new requests.
const RETURN_SHARE: f64 = 0.5;

/// State of a server of a pool in a dump.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct RoomServerDump {
    /// Calls that were granted and haven't ended.
    pub granted: usize,
    /// Calls at the server, with those that weren't granted.
    pub running: f64,
    /// Calls that may be at the server at once.
    pub limit: u32,
    /// Mean time of a call at the server's usual speed, in milliseconds; `None` without recent ones.
    pub call_ms: Option<f64>,
}

/// State of a pool in a dump.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct RoomDump {
    /// Waiting requests.
    pub waiting: usize,
    /// Requests per second.
    pub per_s: f64,
    /// Time since the last message about the pool, in milliseconds.
    pub age_ms: u64,
    /// The servers.
    pub servers: BTreeMap<UpstreamName, RoomServerDump>,
}

/// Grants the places of a pool of servers and queues the requests that find none.
#[derive(Debug, Default)]
pub struct RoomKeeper {
    servers: Vec<ServerState>,
    queue: WaitQueue,
    arrivals: Arrivals,
    /// When the next refused caller may return, in Unix milliseconds. Fractional, as the interval is.
    next_return_ms: f64,
    used_at: UnixMs,
}

impl RoomKeeper {
    /// Sets the listed servers of the pool. Those that remain keep their state, but not after a restart.
    pub fn on_servers(&mut self, listed: Vec<RoomServer>) {
        let mut known = std::mem::take(&mut self.servers);
        let servers = listed.into_iter().map(|server| {
            let same = known.iter().position(|state| state.listed == server);
            match same {
                Some(index) => known.swap_remove(index),
                None => ServerState::new(server),
            }
        });
        self.servers = servers.collect();
    }

    /// An instance asks for a place.
    ///
    /// ```
    /// # use monsoonspread_decisions::room::*;
    /// # use monsoonspread_model::{UnixMs, fleet::Merit};
    /// let now = UnixMs(1_000);
    /// let mut keeper = RoomKeeper::default();
    /// keeper.on_servers(vec![RoomServer { name: "a".into(), zone: "z".into(), incarnation: 1 }]);
    /// let request = PlaceRequest {
    ///     id: PlaceId { instance: "entry-1".into(), number: 1 },
    ///     merit: Merit::default(),
    ///     workspace: None,
    ///     zone: None,
    ///     in_time_until: now + 150,
    ///     ends_by: now + 1_000,
    /// };
    /// let actions = keeper.on_request(now, request);
    /// assert!(matches!(&actions[..], [RoomAction::Grant { .. }]));
    /// ```
    pub fn on_request(&mut self, now: UnixMs, request: PlaceRequest) -> Vec<RoomAction> {
        self.used_at = now;
        self.arrivals.on_arrival(now, request.merit);
        self.queue.on_asked(now, request.workspace.as_ref());
        let (id, ends_by) = (request.id.clone(), request.ends_by);
        if self.servers.is_empty() {
            return vec![self.refuse(now, id, 0.0)];
        }
        let mut actions = Vec::new();
        let careful_ms = self.careful_ms(now);
        if self.queue.len() >= MAX_WAITING {
            let last = self.queue.take_last_after(now, careful_ms, &request);
            let Some(last) = last else {
                return vec![self.refuse(now, id, 0.0)];
            };
            actions.push(self.refuse(now, last.id, 0.0));
        }
        let (in_time, late) = self.queue.ahead_of(now, careful_ms, &request);
        let wait_ms = self.wait_ms(now, &request, in_time, late);
        self.queue.push(request);
        actions.extend(self.grant_all(now));
        if !self.queue.contains(&id) {
            return actions;
        }
        if now + (wait_ms + self.call_ms(now)) as u64 > ends_by {
            self.queue.remove(&id);
            actions.push(self.refuse(now, id, wait_ms));
        } else {
            let wait_ms = wait_ms.ceil() as u64;
            actions.push(RoomAction::Queue { id, wait_ms });
        }
        actions
    }

    /// A call ended, or its request no longer waits. The server may have told its load.
    pub fn on_end(
        &mut self,
        now: UnixMs,
        id: &PlaceId,
        end: PlaceEnd,
        load: Option<ReportedLoad>,
    ) -> Vec<RoomAction> {
        self.used_at = now;
        if !self.queue.remove(id) {
            let mut servers = self.servers.iter_mut();
            servers.any(|server| server.on_end(now, id, end, load));
        }
        self.grant_all(now)
    }

    /// Frees places whose end nobody told, and refuses the requests that became hopeless.
    pub fn on_tick(&mut self, now: UnixMs) -> Vec<RoomAction> {
        for server in &mut self.servers {
            server.expire(now);
        }
        let mut actions = self.grant_all(now);
        let call_ms = self.call_ms(now) as u64;
        let careful_ms = self.careful_ms(now);
        let (mut in_time, mut late) = (0, 0);
        for request in self.queue.in_order(now, careful_ms) {
            let wait_ms = self.wait_ms(now, &request, in_time, late);
            if now + wait_ms as u64 + call_ms > request.ends_by {
                self.queue.remove(&request.id);
                actions.push(self.refuse(now, request.id, wait_ms));
            } else if is_late(now, careful_ms, &request) {
                late += 1;
            } else {
                in_time += 1;
            }
        }
        actions
    }

    /// An instance is no longer listed: its calls have ended or can't tell their end.
    pub fn on_instance_removed(&mut self, now: UnixMs, instance: &InstanceName) -> Vec<RoomAction> {
        self.queue.retain(|id| id.instance != *instance);
        for server in &mut self.servers {
            server.retain(|id| id.instance != *instance);
        }
        self.grant_all(now)
    }

    /// Whether nobody waits or runs, and the last message is older than `idle_ms`.
    pub fn is_idle(&self, now: UnixMs, idle_ms: u64) -> bool {
        let is_unused = self.servers.iter().all(|server| server.granted() == 0);
        self.queue.len() == 0 && is_unused && now.ms_since(self.used_at) >= idle_ms
    }

    /// Describes the pool.
    pub fn dump(&mut self, now: UnixMs) -> RoomDump {
        let servers = self.servers.iter_mut().map(|server| {
            let dump = RoomServerDump {
                granted: server.granted(),
                running: server.running(now),
                limit: server.estimate.limit(now),
                call_ms: server.estimate.mean_ms(now),
            };
            (server.listed.name.clone(), dump)
        });
        RoomDump {
            waiting: self.queue.len(),
            servers: servers.collect(),
            per_s: self.arrivals.per_ms(now) * 1_000.0,
            age_ms: now.ms_since(self.used_at),
        }
    }

    fn grant_all(&mut self, now: UnixMs) -> Vec<RoomAction> {
        let mut actions = Vec::new();
        let careful_ms = self.careful_ms(now);
        while self.queue.len() > 0 && self.has_room(now) {
            let Some(request) = self.queue.take_next(now, careful_ms) else {
                break;
            };
            if request.ends_by <= now {
                actions.push(self.refuse(now, request.id, 0.0));
                continue;
            }
            let Some(server) = self.cheapest(now, &request) else {
                break;
            };
            server.grant(now, request.id.clone(), request.ends_by);
            let server = server.listed.name.clone();
            actions.push(RoomAction::Grant {
                id: request.id,
                server,
                is_calm: self.is_calm(now),
            });
        }
        actions
    }

    fn has_room(&mut self, now: UnixMs) -> bool {
        let mut servers = self.servers.iter_mut();
        servers.any(|server| server.has_room(now))
    }

    fn cheapest(&mut self, now: UnixMs, request: &PlaceRequest) -> Option<&mut ServerState> {
        let zone = request.zone.as_ref();
        let mut best: Option<(f64, usize)> = None;
        for (index, server) in self.servers.iter_mut().enumerate() {
            if !server.has_room(now) {
                continue;
            }
            let cost = server.cost(now, zone);
            if best.is_none_or(|(least, _)| cost < least) {
                best = Some((cost, index));
            }
        }
        best.map(|(_, index)| &mut self.servers[index])
    }

    fn is_calm(&mut self, now: UnixMs) -> bool {
        let running: f64 = self.servers.iter().map(|server| server.running(now)).sum();
        self.queue.len() == 0 && running < self.limit(now) * CALM_SHARE
    }

    /// Calls that may be at the servers at once.
    fn limit(&mut self, now: UnixMs) -> f64 {
        let open = self.servers.iter_mut();
        open.map(|server| f64::from(server.estimate.limit(now)))
            .sum()
    }

    /// Mean time of a call, in milliseconds.
    fn call_ms(&self, now: UnixMs) -> f64 {
        let sum: f64 = self.servers.iter().map(|server| server.call_ms(now)).sum();
        sum / self.servers.len().max(1) as f64
    }

    /// Calls that the servers complete, per millisecond.
    fn throughput(&mut self, now: UnixMs) -> f64 {
        let call_ms = self.call_ms(now);
        let calls: f64 = self
            .servers
            .iter_mut()
            .map(|server| f64::from(server.estimate.calls(now)))
            .sum();
        calls / call_ms.max(1.0)
    }

    /// Time within which most calls end, in milliseconds.
    fn careful_ms(&self, now: UnixMs) -> u64 {
        (self.call_ms(now) * CAREFUL) as u64
    }

    /// How long a request is expected to wait, in milliseconds, that has these in front of it.
    ///
    /// Each rank gets what the more urgent ones leave, and requests that miss their objective what all others
    /// leave.
    fn wait_ms(&mut self, now: UnixMs, request: &PlaceRequest, in_time: usize, late: usize) -> f64 {
        let throughput = self.throughput(now).max(f64::MIN_POSITIVE);
        let least = throughput * MIN_SPARE;
        let urgent = self.arrivals.per_ms_before(now, request.merit);
        let wait_ms = (in_time + 1) as f64 / (throughput - urgent).max(least);
        let careful_ms = self.careful_ms(now);
        if !is_late(now + wait_ms as u64, careful_ms, request) {
            return wait_ms;
        }
        let spare = throughput - self.arrivals.per_ms(now);
        wait_ms + (late + 1) as f64 / spare.max(least)
    }

    fn refuse(&mut self, now: UnixMs, id: PlaceId, wait_ms: f64) -> RoomAction {
        let now_ms = now.0 as f64;
        let latest_ms = now_ms + MAX_RETURN_MS;
        let earliest_ms = now_ms + wait_ms.max(self.call_ms(now));
        let return_ms = self.next_return_ms.max(earliest_ms).min(latest_ms);
        let per_ms = self.throughput(now) * RETURN_SHARE;
        self.next_return_ms = return_ms + 1.0 / per_ms.max(0.001);
        RoomAction::Refuse {
            id,
            wait_ms: wait_ms.ceil() as u64,
            return_ms: (return_ms - now_ms).ceil() as u64,
        }
    }
}

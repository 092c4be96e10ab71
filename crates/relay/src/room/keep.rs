//! Pools that this instance keeps.

use monsoonspread_decisions::room::{
    PlaceId, PlaceRequest, RoomAction, RoomDump, RoomKeeper, RoomServer, pool_of, pools,
};
use monsoonspread_model::fleet::Merit;
use monsoonspread_model::{InstanceName, ServiceName};

use super::rooms::{LOG_EVERY_MS, PoolKey};
use crate::event::{Line, kind};
use crate::peers::{PeerPlace, PeerPlaceEnd, PeerPlaceRequest, PeerReply, PlaceAnswer};
use crate::shared::Shared;

/// How long a pool is kept without a message, in milliseconds.
const IDLE_MS: u64 = 10_000;

impl Shared {
    /// Handles a request for a place.
    pub fn on_place_request(&self, instance: &InstanceName, request: &PeerPlaceRequest) {
        let now = self.now();
        let key = (request.service.clone(), request.pool);
        let zone = self.fleet.borrow().zone_of(instance).cloned();
        let place_request = PlaceRequest {
            id: PlaceId {
                instance: instance.clone(),
                number: request.number,
            },
            merit: request.merit,
            workspace: request.workspace.clone(),
            zone,
            in_time_until: now + request.in_time_ms,
            ends_by: now + request.lasts_ms,
        };
        let mut keepers = self.rooms.keepers.borrow_mut();
        if !keepers.contains_key(&key) {
            keepers.insert(key.clone(), self.new_keeper(&key));
        }
        let actions = keepers
            .get_mut(&key)
            .map(|keeper| keeper.on_request(now, place_request));
        drop(keepers);
        self.count_answer(request.merit, actions.iter().flatten(), request.number);
        self.carry_out(actions.into_iter().flatten());
    }

    /// Handles the end of a call that had a place.
    pub fn on_place_end(&self, instance: &InstanceName, end: &PeerPlaceEnd) {
        let id = PlaceId {
            instance: instance.clone(),
            number: end.number,
        };
        let key = (end.service.clone(), end.pool);
        let mut keepers = self.rooms.keepers.borrow_mut();
        let actions = keepers
            .get_mut(&key)
            .map(|keeper| keeper.on_end(self.now(), &id, end.end, end.load));
        drop(keepers);
        self.carry_out(actions.into_iter().flatten());
    }

    /// Runs the periodic work of the pools.
    pub fn on_room_tick(&self) {
        let now = self.now();
        self.rooms.forget(now);
        let mut keepers = self.rooms.keepers.borrow_mut();
        keepers.retain(|_, keeper| !keeper.is_idle(now, IDLE_MS));
        if self.rooms.is_log_due(now) {
            for (key, keeper) in keepers.iter_mut() {
                let dump = keeper.dump(now);
                if dump.age_ms < LOG_EVERY_MS {
                    log_pool(key, &dump);
                }
            }
        }
        let ticked = keepers.values_mut().map(|keeper| keeper.on_tick(now));
        let actions: Vec<Vec<RoomAction>> = ticked.collect();
        drop(keepers);
        self.carry_out(actions.into_iter().flatten());
    }

    /// Updates the pools' servers.
    pub fn refresh_rooms(&self) {
        let mut keepers = self.rooms.keepers.borrow_mut();
        for (key, keeper) in keepers.iter_mut() {
            keeper.on_servers(self.servers_of(key));
        }
    }

    /// Another instance is no longer listed.
    pub fn on_room_member_removed(&self, instance: &InstanceName) {
        let now = self.now();
        let mut keepers = self.rooms.keepers.borrow_mut();
        let removed = keepers
            .values_mut()
            .map(|keeper| keeper.on_instance_removed(now, instance));
        let actions: Vec<Vec<RoomAction>> = removed.collect();
        drop(keepers);
        self.carry_out(actions.into_iter().flatten());
    }

    fn new_keeper(&self, key: &PoolKey) -> RoomKeeper {
        let mut keeper = RoomKeeper::default();
        let servers = self.servers_of(key);
        Line::new(&kind::POOL_KEPT)
            .field("service", &key.0)
            .field("pool", key.1)
            .field("servers", servers.len())
            .log();
        keeper.on_servers(servers);
        keeper
    }

    fn servers_of(&self, (service, pool): &(ServiceName, u32)) -> Vec<RoomServer> {
        let fleet = self.fleet.borrow();
        let count = pools(fleet.ready(service).count());
        let servers = fleet.ready(service);
        servers
            .filter(|record| pool_of(&record.name, count) == *pool)
            .map(|record| RoomServer {
                name: record.name.clone(),
                zone: record.zone.clone(),
                incarnation: record.started_unix_ms,
            })
            .collect()
    }

    fn carry_out(&self, actions: impl IntoIterator<Item = RoomAction>) {
        for action in actions {
            let (id, answer) = match action {
                RoomAction::Grant {
                    id,
                    server,
                    is_calm,
                } => (id, PlaceAnswer::Granted { server, is_calm }),
                RoomAction::Queue { id, wait_ms } => (id, PlaceAnswer::Queued { wait_ms }),
                RoomAction::Refuse {
                    id,
                    wait_ms,
                    return_ms,
                } => (id, PlaceAnswer::Refused { wait_ms, return_ms }),
            };
            let number = id.number;
            if id.instance != self.settings.instance {
                let reply = PeerReply::Place(PeerPlace { number, answer });
                self.incoming.reply(&id.instance, reply);
                continue;
            }
            if let Some(waiting) = self.rooms.local.borrow().get(&number) {
                // The request stopped waiting, and its end is on the way.
                let _ = waiting.send(answer);
            }
        }
    }

    fn count_answer<'a>(
        &self,
        merit: Merit,
        actions: impl IntoIterator<Item = &'a RoomAction>,
        number: u64,
    ) {
        for action in actions {
            match action {
                RoomAction::Refuse { id, .. } if id.number == number => {
                    self.metrics.count("place_refusals", rank_text(merit));
                }
                RoomAction::Queue { id, .. } if id.number == number => {
                    self.metrics.count("place_waits", rank_text(merit));
                }
                _ => {}
            }
        }
    }
}

fn log_pool((service, pool): &PoolKey, dump: &RoomDump) {
    let servers = dump.servers.values();
    let states = servers.map(|server| {
        let call_ms = server.call_ms.unwrap_or(0.0);
        format!(
            "{}+{:.1}/{}:{call_ms:.0}",
            server.granted,
            server.running - server.granted as f64,
            server.limit
        )
    });
    let states: Vec<String> = states.collect();
    Line::new(&kind::POOL_STATE)
        .field("service", service)
        .field("pool", pool)
        .field("waiting", dump.waiting)
        .field("per_s", format!("{:.0}", dump.per_s))
        .field("servers", states.join(","))
        .log();
}

/// Names a rank in metrics, which take fixed names only.
fn rank_text(merit: Merit) -> &'static str {
    const RANKS: [&str; 6] = ["rank 0", "rank 1", "rank 2", "rank 3", "rank 4", "rank 5"];
    let rank = merit.rank() as usize;
    RANKS.get(rank).copied().unwrap_or("rank 6 or more")
}

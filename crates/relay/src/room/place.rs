//! A place at a server of a plain service.

use std::cell::Cell;
use std::rc::Rc;

use monsoonspread_borders::relay::ServerLoad;
use monsoonspread_decisions::room::{PlaceEnd, ReportedLoad};
use monsoonspread_model::InstanceName;

use super::rooms::PoolKey;
use crate::peers::{PeerPlaceEnd, PeerRequest};
use crate::shared::Shared;

/// A place, or the wait for one, that ends when it is dropped.
pub struct Place {
    shared: Rc<Shared>,
    keeper: InstanceName,
    pool: PoolKey,
    number: u64,
    end: Cell<PlaceEnd>,
    load: Cell<Option<ReportedLoad>>,
}

impl Place {
    pub(super) fn new(
        shared: &Rc<Shared>,
        keeper: InstanceName,
        pool: PoolKey,
        number: u64,
    ) -> Self {
        Self {
            shared: Rc::clone(shared),
            keeper,
            pool,
            number,
            end: Cell::new(PlaceEnd::Unused),
            load: Cell::new(None),
        }
    }

    /// Records how the call ended.
    pub fn on_end(&self, end: PlaceEnd) {
        self.end.set(end);
    }

    /// Records the load that the server told.
    pub fn on_load(&self, load: Option<ServerLoad>) {
        self.load.set(load.and_then(reported));
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        let end = PeerPlaceEnd {
            number: self.number,
            service: self.pool.0.clone(),
            pool: self.pool.1,
            end: self.end.get(),
            load: self.load.get(),
        };
        if self.keeper == self.shared.settings.instance {
            self.shared.on_place_end(&self.keeper, &end);
            return;
        }
        let ended = PeerRequest::PlaceEnd(end);
        self.shared.peers.send_if_connected(&self.keeper, ended);
    }
}

/// The load as keepers are told it; `None` if the server doesn't tell how many calls it runs at once.
pub(super) fn reported(load: ServerLoad) -> Option<ReportedLoad> {
    Some(ReportedLoad {
        running: load.running,
        waiting: load.waiting,
        places: load.places.filter(|places| *places > 0)?,
        slowness_percent: load.slowness_percent,
    })
}

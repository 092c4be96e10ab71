//! What an instance knows of contended services, and the pools that it keeps.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};

use monsoonspread_decisions::room::{ReportedLoad, RoomDump, RoomKeeper};
use monsoonspread_model::{InstanceName, ServiceName, UnixMs};
use tokio::sync::mpsc::UnboundedSender;

use crate::peers::PlaceAnswer;

/// How long a service counts as contended after the last sign of it, in milliseconds: a few times the interval
/// between an instance's calls where many instances share a service.
const CONTENDED_MS: u64 = 2_000;
/// How long a keeper that didn't answer isn't asked, in milliseconds.
const UNRESPONSIVE_MS: u64 = 1_000;
/// Interval of the log lines on kept pools, in milliseconds.
pub(super) const LOG_EVERY_MS: u64 = 1_000;

/// A pool of the servers of a service.
pub(super) type PoolKey = (ServiceName, u32);

/// Contended services, and the pools that this instance keeps.
#[derive(Debug, Default)]
pub struct Rooms {
    pub(super) keepers: RefCell<BTreeMap<PoolKey, RoomKeeper>>,
    /// Answers to requests that this instance made to itself.
    pub(super) local: RefCell<HashMap<u64, UnboundedSender<PlaceAnswer>>>,
    contended_until: RefCell<BTreeMap<ServiceName, UnixMs>>,
    unresponsive_until: RefCell<BTreeMap<InstanceName, UnixMs>>,
    logs_at: Cell<UnixMs>,
    /// Waits that keepers told last, in milliseconds.
    waits_ms: RefCell<BTreeMap<PoolKey, u64>>,
}

impl Rooms {
    /// Whether keepers of a service are asked.
    pub(super) fn is_contended(&self, now: UnixMs, service: &ServiceName) -> bool {
        let contended = self.contended_until.borrow();
        contended.get(service).is_some_and(|until| now < *until)
    }

    /// An answer or a keeper shows that a service is contended; returns whether that is new.
    pub(super) fn on_contended(&self, now: UnixMs, service: &ServiceName) -> bool {
        let is_new = !self.is_contended(now, service);
        let mut contended = self.contended_until.borrow_mut();
        contended.insert(service.clone(), now + CONTENDED_MS);
        is_new
    }

    pub(super) fn is_unresponsive(&self, now: UnixMs, keeper: &InstanceName) -> bool {
        let unresponsive = self.unresponsive_until.borrow();
        unresponsive.get(keeper).is_some_and(|until| now < *until)
    }

    pub(super) fn on_unresponsive(&self, now: UnixMs, keeper: &InstanceName) {
        let mut unresponsive = self.unresponsive_until.borrow_mut();
        unresponsive.insert(keeper.clone(), now + UNRESPONSIVE_MS);
    }

    pub(super) fn wait_ms(&self, pool: &PoolKey) -> u64 {
        self.waits_ms.borrow().get(pool).copied().unwrap_or(0)
    }

    pub(super) fn on_wait(&self, pool: &PoolKey, wait_ms: u64) {
        self.waits_ms.borrow_mut().insert(pool.clone(), wait_ms);
    }

    /// Describes the pools that this instance keeps, by service and number.
    pub fn dump(&self, now: UnixMs) -> BTreeMap<String, RoomDump> {
        let mut keepers = self.keepers.borrow_mut();
        let pools = keepers.iter_mut();
        pools
            .map(|((service, pool), keeper)| (format!("{service}/{pool}"), keeper.dump(now)))
            .collect()
    }

    /// Whether the kept pools are to be logged again.
    pub(super) fn is_log_due(&self, now: UnixMs) -> bool {
        let is_due = now >= self.logs_at.get();
        if is_due {
            self.logs_at.set(now + LOG_EVERY_MS);
        }
        is_due
    }

    pub(super) fn forget(&self, now: UnixMs) {
        self.contended_until
            .borrow_mut()
            .retain(|_, until| now < *until);
        self.unresponsive_until
            .borrow_mut()
            .retain(|_, until| now < *until);
        let contended = self.contended_until.borrow();
        self.waits_ms
            .borrow_mut()
            .retain(|(service, _), _| contended.contains_key(service));
    }
}

/// Whether a load shows contention.
pub(super) fn shows_contention(load: Option<ReportedLoad>) -> bool {
    load.is_some_and(|load| load.is_full())
}

//! State machine for the adapter copies of one engine.

use std::collections::BTreeMap;

use monsoonspread_model::fleet::{AdapterKey, EngineShape, Holdings, Order};
use monsoonspread_model::{BaseModelName, UnixMs};

use super::copy::{Copy, CopyStage};
use super::kept_prompts::KeptPrompts;
use super::own_speed::OwnSpeed;
use super::room::EngineRoom;
use super::unread_prompts::UnreadPrompts;
use super::{CopyAction, CopyControlDump, CopyRefusal, CopyRequest, CopyRequestId, LateOrders};
use crate::capacity::EnginePaces;
use crate::placement::DemandSketch;

/// Tracks the copies on one engine for the instance that gives the engine its orders.
#[derive(Debug)]
pub struct CopyControl {
    pub(super) shape: EngineShape,
    pub(super) may_order: bool,
    pub(super) accepted: Option<u64>,
    pub(super) models: Vec<BaseModelName>,
    pub(super) copies: BTreeMap<AdapterKey, Copy>,
    pub(super) newest: BTreeMap<AdapterKey, u64>,
    pub(super) waiting: Vec<CopyRequest>,
    pub(super) under_way: Option<Order>,
    pub(super) unanswered: Option<Order>,
    pub(super) late: LateOrders,
    /// Base model of the load that the engine accepted last.
    pub(super) loading_model: Option<BaseModelName>,
    pub(super) pause_until: UnixMs,
    pub(super) report_at: UnixMs,
    pub(super) reading_report: bool,
    pub(super) model_check_at: UnixMs,
    pub(super) conflicts: u32,
    pub(super) prompts: UnreadPrompts,
    pub(super) kept: KeptPrompts,
    pub(super) room: EngineRoom,
    pub(super) speed: OwnSpeed,
    pub(super) demand: DemandSketch<AdapterKey>,
    actions: Vec<CopyAction>,
}

impl CopyControl {
    /// Starts without any known state. No order is given before [`Self::on_may_order`] allows it.
    pub fn new(shape: EngineShape) -> Self {
        Self {
            kept: KeptPrompts::new(shape.kv_tokens),
            shape,
            may_order: false,
            accepted: None,
            models: Vec::new(),
            copies: BTreeMap::new(),
            newest: BTreeMap::new(),
            waiting: Vec::new(),
            under_way: None,
            unanswered: None,
            late: LateOrders::default(),
            loading_model: None,
            pause_until: UnixMs(0),
            report_at: UnixMs(0),
            reading_report: false,
            model_check_at: UnixMs(0),
            conflicts: 0,
            prompts: UnreadPrompts::default(),
            room: EngineRoom::default(),
            speed: OwnSpeed::default(),
            demand: DemandSketch::new(DEMAND_CAPACITY, DEMAND_HALF_LIFE_MS),
            actions: Vec::new(),
        }
    }

    /// Sets the newest adapter versions requested so far.
    #[must_use]
    pub fn with_versions(mut self, newest: BTreeMap<AdapterKey, u64>) -> Self {
        self.newest = newest;
        self
    }

    /// Sets the orders of an earlier control of the engine that may still be carried out.
    #[must_use]
    pub fn with_late_orders(mut self, late: LateOrders) -> Self {
        self.late = late;
        self
    }

    /// Returns the orders that may still be carried out, for the next control of the engine.
    pub fn late_orders(&self, now: UnixMs) -> LateOrders {
        let mut late = self.late.clone();
        for order in self.unanswered.iter().chain(&self.under_way) {
            late.on_unanswered(now, order);
        }
        late
    }

    /// An instance requests a copy.
    pub fn on_request(&mut self, now: UnixMs, request: CopyRequest) -> Vec<CopyAction> {
        if let Some(version) = request.min_version {
            // The requester may know of a version before this instance does.
            self.on_newer(now, &request.key, version);
        }
        if let Some(reason) = self.immediate_refusal(now, &request) {
            self.refuse(request.id, reason);
            return self.advance(now);
        }
        self.room.on_arrival(now, request.rank);
        self.waiting.push(request);
        self.advance(now)
    }

    /// A request ended or was never sent; `absent` if the engine didn't have the copy.
    pub fn on_done(
        &mut self,
        now: UnixMs,
        request: &CopyRequestId,
        absent: bool,
    ) -> Vec<CopyAction> {
        self.waiting.retain(|waiting| waiting.id != *request);
        self.prompts.on_read(request);
        self.room.on_done(request);
        self.speed.on_done(now, request, NO_EVENTS);
        let mut used = None;
        for (key, copy) in &mut self.copies {
            if copy.remove_user(request) && copy.is_present() {
                used = Some(key.clone());
            }
        }
        if let (true, Some(key)) = (absent, used) {
            if let Some(copy) = self.copies.get_mut(&key) {
                copy.stage = CopyStage::Unconfirmed;
            }
            self.require_report(now);
        }
        self.advance(now)
    }

    /// The first event of a request's response arrived; `slowness_percent` is the slowness that the
    /// engine reported.
    pub fn on_started(
        &mut self,
        now: UnixMs,
        request: &CopyRequestId,
        slowness_percent: Option<u32>,
    ) -> Vec<CopyAction> {
        if let Some(percent) = slowness_percent {
            self.prompts.on_slowness(now, percent);
            self.speed.on_load(now, percent);
        }
        self.speed.on_started(now, request);
        if !self.prompts.on_read(request) {
            return Vec::new();
        }
        self.advance(now)
    }

    /// A request is about to be reported as done, after `events` events of its stream.
    pub fn on_streamed(&mut self, now: UnixMs, request: &CopyRequestId, events: u32) {
        self.speed.on_done(now, request, events);
    }

    /// An instance was removed; drops its waiting copy requests.
    pub fn on_instance_removed(&mut self, now: UnixMs, instance: &str) -> Vec<CopyAction> {
        self.waiting
            .retain(|request| request.id.instance.as_str() != instance);
        self.advance(now)
    }

    /// A newer version of an adapter was requested.
    pub fn on_version(&mut self, now: UnixMs, key: &AdapterKey, version: u64) -> Vec<CopyAction> {
        self.on_newer(now, key, version);
        self.advance(now)
    }

    /// The engine restarted; its state is unknown until the next report.
    pub fn on_restart(&mut self, now: UnixMs) -> Vec<CopyAction> {
        self.copies.clear();
        self.kept.clear();
        self.room.clear();
        self.speed.clear();
        self.models.clear();
        self.accepted = None;
        self.unanswered = None;
        self.loading_model = None;
        self.report_at = now;
        self.advance(now)
    }

    /// Sets whether this instance may give orders, as confirmed by the store.
    pub fn on_may_order(&mut self, now: UnixMs, may_order: bool) -> Vec<CopyAction> {
        if self.may_order == may_order {
            return Vec::new();
        }
        self.may_order = may_order;
        self.advance(now)
    }

    /// A report of the engine was read; `None` if reading it failed.
    pub fn on_report(&mut self, now: UnixMs, report: Option<Holdings>) -> Vec<CopyAction> {
        self.reading_report = false;
        match report {
            Some(holdings) if self.under_way.is_none() => self.apply_report(now, holdings),
            _ => self.report_at = now + REPORT_RETRY_MS,
        }
        self.advance(now)
    }

    /// Advances the time: expires users, answers copy requests and gives the next order.
    pub fn on_tick(&mut self, now: UnixMs) -> Vec<CopyAction> {
        for copy in self.copies.values_mut() {
            copy.expire_users(now);
        }
        self.room.expire(now);
        self.speed.on_tick(now);
        self.advance(now)
    }

    /// Refuses all waiting copy requests because this instance releases the engine.
    pub fn on_released(&mut self, reason: CopyRefusal) -> Vec<CopyAction> {
        let waiting = std::mem::take(&mut self.waiting);
        let refuse = |request: CopyRequest| CopyAction::Refuse {
            request: request.id,
            reason,
        };
        waiting.into_iter().map(refuse).collect()
    }

    /// Returns the state for a state dump.
    pub fn dump(&self) -> CopyControlDump {
        let keys = |matches: fn(&Copy) -> bool| {
            let copies = self.copies.iter().filter(|(_, copy)| matches(copy));
            copies.map(|(key, _)| key.clone()).collect()
        };
        CopyControlDump {
            capacity: self.capacity(),
            accepted_orders: self.accepted,
            present: keys(Copy::is_present),
            coming: keys(Copy::is_coming),
            going: keys(|copy| !copy.is_present() && !copy.is_coming()),
            waiting: self.waiting.len(),
            running: self.running(),
            running_tokens: self.room.tokens(),
            speed: self.speed.dump(),
        }
    }

    /// Returns the number of accepted orders, `None` while unknown, and whether requests may use `key`.
    pub fn progress(&self, key: &AdapterKey) -> (Option<u64>, bool) {
        (self.accepted, self.is_usable(key))
    }

    /// Number of adapters that fit beside the loaded base models.
    pub fn capacity(&self) -> usize {
        self.shape.adapters_beside(&self.models)
    }

    /// Number of granted requests that have not ended.
    pub fn running(&self) -> u32 {
        self.copies.values().map(|copy| copy.users() as u32).sum()
    }

    fn on_newer(&mut self, now: UnixMs, key: &AdapterKey, version: u64) {
        let newest = self.newest.entry(key.clone()).or_default();
        if version <= *newest {
            return;
        }
        *newest = version;
        // A pending load without a version loads the newest one; only a report of the engine shows
        // which version that was.
        let is_version_unknown = |copy: &Copy| copy.is_coming() && copy.ordered.is_none();
        if self.copies.get(key).is_some_and(is_version_unknown) {
            self.require_report(now);
        }
    }

    fn apply_report(&mut self, now: UnixMs, holdings: Holdings) {
        let mut previous = std::mem::take(&mut self.copies);
        self.models = holdings.models;
        for (key, version) in holdings.adapters {
            let mut copy = previous
                .remove(&key)
                .unwrap_or_else(|| Copy::new(CopyStage::Present, None, now));
            copy.version = Some(version);
            // Reports don't list a replacement that waits for running requests to end.
            if !copy.is_being_replaced() {
                copy.stage = CopyStage::Present;
            }
            self.copies.insert(key, copy);
        }
        for (key, version) in holdings.loading {
            let stage = CopyStage::Coming { check_at: now };
            let mut copy = previous
                .remove(&key)
                .unwrap_or_else(|| Copy::new(stage, None, now));
            copy.stage = stage;
            copy.ordered = Some(version);
            self.copies.insert(key, copy);
        }
        self.accepted = Some(holdings.accepted_orders);
        self.conflicts = 0;
    }

    fn advance(&mut self, now: UnixMs) -> Vec<CopyAction> {
        self.answer_requests(now);
        self.next_order(now);
        std::mem::take(&mut self.actions)
    }

    pub(super) fn act(&mut self, action: CopyAction) {
        self.actions.push(action);
    }

    /// The usual paces over engines changed.
    pub fn on_usual_paces(&mut self, usual: EnginePaces) {
        self.speed.on_usual(usual);
    }

    /// Returns the engine's slowness before and after a change that has to be reported, in percent.
    pub fn take_speed_change(&mut self, now: UnixMs) -> Option<(u32, u32)> {
        self.speed.take_change(now)
    }

    pub(super) fn refuse(&mut self, request: CopyRequestId, reason: CopyRefusal) {
        self.act(CopyAction::Refuse { request, reason });
    }
}

/// Events of a request whose end was reported without them.
const NO_EVENTS: u32 = 0;
/// Number of adapters whose demand a holder tracks: many times the number of adapters for which one
/// engine is the first candidate.
const DEMAND_CAPACITY: usize = 1_024;
/// Half-life of the tracked demand, in milliseconds: a peak builds up within seconds.
const DEMAND_HALF_LIFE_MS: u64 = 3_000;
/// Delay before the next attempt after a report that could not be read or used, in milliseconds.
const REPORT_RETRY_MS: u64 = 300;

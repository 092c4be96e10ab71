//! Delivers events to the held engines' state machines and performs their actions.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;

use monsoonspread_borders::relay::LeaseId;
use monsoonspread_decisions::copies::{
    CopyAction, CopyControlDump, CopyRefusal, CopyRequest, CopyRequestId, EngineQuote, LateOrders,
    QuoteQuestion,
};
use monsoonspread_decisions::holders::{Confirmation, HolderPlan, KnownHolder};
use monsoonspread_model::fleet::{UpstreamRecord, UpstreamStage};
use monsoonspread_model::{InstanceName, UnixMs, UpstreamName};
use tokio::sync::{Notify, oneshot};

use super::engine::HeldEngine;
use super::engine_calls::{read_report, send_order};
use super::engine_speed::log_speed_change;
use crate::event::{Line, kind};
use crate::fleet::FleetEvent;
use crate::peers::{CopyRequestFailure, GrantedCopy, PeerReply};
use crate::shared::Shared;

type LocalAnswer = oneshot::Sender<Result<GrantedCopy, CopyRequestFailure>>;

/// The engines that this instance gives orders to.
pub struct Holding {
    pub(super) plan: RefCell<HolderPlan>,
    pub(super) engines: RefCell<BTreeMap<UpstreamName, HeldEngine>>,
    pub(super) confirmation: RefCell<Confirmation>,
    pub(super) lease: Cell<Option<LeaseId>>,
    /// Wakes the renewal of the lease before its time.
    pub(super) renewal: Notify,
    /// Orders to released engines that may still be carried out.
    pub(super) late_orders: RefCell<BTreeMap<UpstreamName, LateOrders>>,
    local_requests: RefCell<HashMap<u64, LocalAnswer>>,
    last_number: Cell<u64>,
    may_order: Cell<bool>,
}

impl Holding {
    /// Creates the state with no engines held.
    pub fn new(local: InstanceName, order_gap_ms: u64) -> Self {
        Self {
            plan: RefCell::new(HolderPlan::new(local, order_gap_ms)),
            engines: RefCell::default(),
            confirmation: RefCell::default(),
            lease: Cell::new(None),
            renewal: Notify::new(),
            late_orders: RefCell::default(),
            local_requests: RefCell::default(),
            last_number: Cell::new(0),
            may_order: Cell::new(false),
        }
    }

    /// Returns the known holder of an engine.
    pub fn holder(&self, upstream: &UpstreamName) -> Option<InstanceName> {
        self.plan.borrow().holder(upstream).cloned()
    }

    /// Returns the number of instances that share the load, at least 1.
    pub fn members(&self) -> usize {
        self.plan.borrow().members().max(1)
    }

    /// Whether the store recently confirmed this instance's lease.
    pub fn is_confirmed(&self, now: UnixMs) -> bool {
        self.confirmation.borrow().holds(now)
    }

    /// The announcement of this instance disappeared: its lease is renewed, or opened again, soon.
    pub fn on_announcement_gone(&self) {
        self.renewal.notify_one();
    }

    /// Describes the held engines for the state dump.
    pub fn dump(&self) -> BTreeMap<UpstreamName, CopyControlDump> {
        let engines = self.engines.borrow();
        let dumps = engines.iter();
        dumps
            .map(|(name, engine)| (name.clone(), engine.control.dump()))
            .collect()
    }

    /// Returns a number that is unique among the copy requests and quotes of this process.
    pub fn next_number(&self) -> u64 {
        self.last_number.set(self.last_number.get() + 1);
        self.last_number.get()
    }

    pub(super) fn add_local_request(&self, number: u64, answer: LocalAnswer) {
        self.local_requests.borrow_mut().insert(number, answer);
    }

    pub(super) fn remove_local_request(&self, number: u64) {
        self.local_requests.borrow_mut().remove(&number);
    }

    /// Handles a change in the fleet.
    pub fn on_fleet(&self, shared: &Rc<Shared>, event: &FleetEvent) {
        let now = shared.now();
        let mut plan = self.plan.borrow_mut();
        match event {
            FleetEvent::Upstream {
                record,
                restarted,
                complete,
            } => {
                if shared.fleet.borrow().is_engine(&record.service) {
                    on_engine(shared, &mut plan, record, *complete);
                }
                drop(plan);
                if record.stage == UpstreamStage::Leaving {
                    self.plan.borrow_mut().on_engine_removed(&record.name);
                    self.release_engine(shared, &record.name, CopyRefusal::Leaving);
                }
                if *restarted {
                    self.update(shared, &record.name, |engine| {
                        engine.address = record.address;
                        engine.control.on_restart(now)
                    });
                }
            }
            FleetEvent::UpstreamRemoved(name) => {
                plan.on_engine_removed(name);
                drop(plan);
                self.release_engine(shared, name, CopyRefusal::Leaving);
            }
            FleetEvent::MemberLapsing(_) => {}
            FleetEvent::Member(name, zone) => plan.on_member(name.clone(), zone.clone()),
            FleetEvent::MemberRemoved(name) => {
                plan.on_member_removed(name);
                drop(plan);
                self.update_all(shared, |_, engine| {
                    engine.control.on_instance_removed(now, name.as_str())
                });
            }
            FleetEvent::Holder(record) => {
                let known = KnownHolder {
                    holder: record.holder.clone(),
                    activity: record.activity,
                    orders_in_ms: record.orders_in_ms,
                    revision: record.fence,
                };
                plan.on_holder(now, &record.upstream, known);
                drop(plan);
                if record.holder != shared.settings.instance {
                    self.release_engine(shared, &record.upstream, CopyRefusal::NotHolder);
                } else if let Some(engine) = self.engines.borrow_mut().get_mut(&record.upstream)
                    && engine.record < record.fence
                {
                    engine.on_recorded(record);
                }
            }
            FleetEvent::HolderRemoved(name, expired) => {
                plan.on_holder_removed(now, name, *expired);
                drop(plan);
                self.release_engine(shared, name, CopyRefusal::NotHolder);
            }
            FleetEvent::Version(key, version) => {
                drop(plan);
                self.update_all(shared, |_, engine| {
                    engine.control.on_version(now, key, *version)
                });
            }
            FleetEvent::Routing => {
                let fleet = shared.fleet.borrow();
                for record in fleet.all_ready().filter(|up| fleet.is_engine(&up.service)) {
                    // Without a configuration, engines could not be distinguished from other
                    // upstreams.
                    on_engine(shared, &mut plan, record, shared.settings.bootstrap);
                }
            }
        }
    }

    /// Quotes an engine's load to another instance; `None` if the engine isn't held here or its
    /// state is unknown.
    pub fn on_quote(
        &self,
        now: UnixMs,
        upstream: &UpstreamName,
        question: &QuoteQuestion,
    ) -> Option<EngineQuote> {
        let mut engines = self.engines.borrow_mut();
        let control = &mut engines.get_mut(upstream)?.control;
        control.on_quote(now, question)
    }

    /// Handles a copy request from any instance.
    pub fn on_copy_request(
        &self,
        shared: &Rc<Shared>,
        upstream: &UpstreamName,
        request: CopyRequest,
    ) {
        let id = request.id.clone();
        let now = shared.now();
        let held = self.update(shared, upstream, |engine| {
            engine.control.on_request(now, request)
        });
        if !held {
            self.answer(shared, id, Err(CopyRefusal::NotHolder));
        }
    }

    /// Records that the first event of a request's answer arrived.
    pub fn on_started(
        &self,
        shared: &Rc<Shared>,
        upstream: &UpstreamName,
        id: &CopyRequestId,
        slowness_percent: Option<u32>,
    ) {
        let now = shared.now();
        self.update(shared, upstream, |engine| {
            engine.control.on_started(now, id, slowness_percent)
        });
    }

    /// Records that a request ended after `events` events of its stream, or was never sent.
    pub fn on_done(
        &self,
        shared: &Rc<Shared>,
        upstream: &UpstreamName,
        id: &CopyRequestId,
        absent: bool,
        events: u32,
    ) {
        let now = shared.now();
        self.update(shared, upstream, |engine| {
            engine.control.on_streamed(now, id, events);
            engine.control.on_done(now, id, absent)
        });
    }

    /// Advances the held engines' state machines.
    pub fn on_tick(&self, shared: &Rc<Shared>) {
        let now = shared.now();
        let may_order = self.confirmation.borrow().holds(now);
        if self.may_order.replace(may_order) && !may_order {
            Line::new(&kind::ORDERS_PAUSED).log();
        }
        let usual = shared.loads.borrow().usual_paces(now);
        self.update_all(shared, |name, engine| {
            engine.control.on_usual_paces(usual);
            let is_open = engine.waits_until.is_none() && shared.backoff_until(name).is_none();
            let may_order = may_order && is_open;
            let mut actions = engine.control.on_may_order(now, may_order);
            actions.extend(engine.control.on_tick(now));
            log_speed_change(shared, now, name, engine);
            actions
        });
    }

    /// Releases all engines after the lease ended.
    pub(super) fn release_all_engines(&self, shared: &Rc<Shared>) {
        let names: Vec<UpstreamName> = self.engines.borrow().keys().cloned().collect();
        for name in names {
            self.release_engine(shared, &name, CopyRefusal::NotHolder);
        }
    }

    pub(super) fn release_engine(
        &self,
        shared: &Rc<Shared>,
        name: &UpstreamName,
        reason: CopyRefusal,
    ) {
        let Some(mut engine) = self.engines.borrow_mut().remove(name) else {
            return;
        };
        Line::new(&kind::ENGINE_RELEASED)
            .field("upstream", name)
            .field("fence", engine.fence)
            .log();
        let now = shared.now();
        let mut late_orders = self.late_orders.borrow_mut();
        late_orders.insert(name.clone(), engine.control.late_orders(now));
        late_orders.retain(|_, orders| !orders.is_over(now));
        drop(late_orders);
        let actions = engine.control.on_released(reason);
        self.perform(shared, name, actions);
    }

    fn update_all(
        &self,
        shared: &Rc<Shared>,
        mut event: impl FnMut(&UpstreamName, &mut HeldEngine) -> Vec<CopyAction>,
    ) {
        let mut all = Vec::new();
        for (name, engine) in self.engines.borrow_mut().iter_mut() {
            let actions = event(name, engine);
            if !actions.is_empty() {
                all.push((name.clone(), actions));
            }
        }
        for (name, actions) in all {
            self.perform(shared, &name, actions);
        }
    }

    /// Delivers an event to an engine; returns false if it isn't held.
    pub(super) fn update(
        &self,
        shared: &Rc<Shared>,
        name: &UpstreamName,
        event: impl FnOnce(&mut HeldEngine) -> Vec<CopyAction>,
    ) -> bool {
        let actions = match self.engines.borrow_mut().get_mut(name) {
            Some(engine) => event(engine),
            None => return false,
        };
        self.perform(shared, name, actions);
        true
    }

    fn perform(&self, shared: &Rc<Shared>, name: &UpstreamName, actions: Vec<CopyAction>) {
        for action in actions {
            match action {
                CopyAction::Grant {
                    request,
                    running,
                    version,
                } => self.answer(shared, request, Ok(GrantedCopy { running, version })),
                CopyAction::Refuse { request, reason } => self.answer(shared, request, Err(reason)),
                CopyAction::Order(order) => {
                    let (shared, name) = (Rc::clone(shared), name.clone());
                    tokio::task::spawn_local(send_order(shared, name, order));
                }
                CopyAction::ReadReport => {
                    let (shared, name) = (Rc::clone(shared), name.clone());
                    tokio::task::spawn_local(read_report(shared, name));
                }
            }
        }
    }

    fn answer(&self, shared: &Shared, id: CopyRequestId, answer: Result<GrantedCopy, CopyRefusal>) {
        if id.instance == shared.settings.instance {
            if let Some(waiting) = self.local_requests.borrow_mut().remove(&id.number) {
                // The requester stopped waiting; its guard ends the copy request.
                let _ = waiting.send(answer.map_err(CopyRequestFailure::Refused));
            }
            return;
        }
        let number = id.number;
        let reply = match answer {
            Ok(GrantedCopy { running, version }) => PeerReply::Granted {
                number,
                running,
                version,
            },
            Err(reason) => PeerReply::Refused { number, reason },
        };
        shared.incoming.reply(&id.instance, reply);
    }

    pub(super) fn answer_wait_ms(&self, name: &UpstreamName, now: UnixMs) -> u64 {
        let engines = self.engines.borrow();
        let engine = engines.get(name);
        engine.map_or(0, |engine| engine.control.answer_wait_ms(now))
    }

    pub(super) fn target(&self, name: &UpstreamName) -> Option<(std::net::SocketAddr, u64)> {
        let engines = self.engines.borrow();
        engines
            .get(name)
            .map(|engine| (engine.address, engine.fence))
    }
}

/// Adds a listed engine to the plan. An engine whose holder can't be recorded stays out of it: the records of
/// several engines are written together, all or none.
fn on_engine(shared: &Shared, plan: &mut HolderPlan, record: &UpstreamRecord, complete: bool) {
    if shared.borders.store.can_record_holder(&record.name) {
        plan.on_engine(shared.now(), &record.name, &record.zone, complete);
        return;
    }
    Line::new(&kind::ENGINE_UNHELD)
        .field("upstream", &record.name)
        .log();
}

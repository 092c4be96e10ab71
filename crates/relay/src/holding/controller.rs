//! Delivers events to the state of the engines held, and carries out its actions.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;

use monsoonspread_borders::relay::{ClaimOutcome, ClaimWrite, LeaseId};
use monsoonspread_decisions::copies::{
    AskId, CopyAction, CopyAsk, CopyControl, CopyControlDump, CopyRefusal,
};
use monsoonspread_decisions::holders::{Confirmation, HolderPlan, PlannedClaim};
use monsoonspread_model::fleet::{HolderActivity, Order, OrderAnswer, UpstreamStage};
use monsoonspread_model::{InstanceName, UnixMs, UpstreamName};
use tokio::sync::oneshot;

use super::engine::HeldEngine;
use crate::event::{Line, kind};
use crate::fleet::FleetEvent;
use crate::peers::{AskFailure, PeerReply};
use crate::shared::Shared;

/// Records that one write of the store takes.
const CLAIMS_AT_ONCE: usize = 16;

type LocalAnswer = oneshot::Sender<Result<u32, AskFailure>>;

/// The engines that this instance gives orders to.
pub struct Holding {
    plan: RefCell<HolderPlan>,
    engines: RefCell<BTreeMap<UpstreamName, HeldEngine>>,
    pub(super) confirmation: RefCell<Confirmation>,
    pub(super) lease: Cell<Option<LeaseId>>,
    local: RefCell<HashMap<u64, LocalAnswer>>,
    numbers: Cell<u64>,
    may_order: Cell<bool>,
}

impl Holding {
    /// No engines are held.
    pub fn new(own: InstanceName, order_gap_ms: u64) -> Self {
        Self {
            plan: RefCell::new(HolderPlan::new(own, order_gap_ms)),
            engines: RefCell::default(),
            confirmation: RefCell::default(),
            lease: Cell::new(None),
            local: RefCell::default(),
            numbers: Cell::new(0),
            may_order: Cell::new(false),
        }
    }

    /// Who holds an engine, as far as is known.
    pub fn holder(&self, upstream: &UpstreamName) -> Option<InstanceName> {
        self.plan.borrow().holder(upstream).cloned()
    }

    /// Instances that share the load.
    pub fn members(&self) -> usize {
        self.plan.borrow().members().max(1)
    }

    /// Describes the engines held.
    pub fn dump(&self) -> BTreeMap<UpstreamName, CopyControlDump> {
        let engines = self.engines.borrow();
        let dumps = engines.iter();
        dumps
            .map(|(name, engine)| (name.clone(), engine.control.dump()))
            .collect()
    }

    pub(super) fn next_number(&self) -> u64 {
        self.numbers.set(self.numbers.get() + 1);
        self.numbers.get()
    }

    pub(super) fn await_local(&self, number: u64, answer: LocalAnswer) {
        self.local.borrow_mut().insert(number, answer);
    }

    pub(super) fn forget_local(&self, number: u64) {
        self.local.borrow_mut().remove(&number);
    }

    /// The store told of something new.
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
                    plan.on_engine(now, &record.name, &record.zone, *complete);
                }
                drop(plan);
                if record.stage == UpstreamStage::Leaving {
                    self.plan.borrow_mut().on_engine_gone(&record.name);
                    self.give_up(shared, &record.name, CopyRefusal::Leaving);
                }
                if *restarted {
                    self.with(shared, &record.name, |engine| {
                        engine.address = record.address;
                        engine.control.on_restart(now)
                    });
                }
            }
            FleetEvent::UpstreamGone(name) => {
                plan.on_engine_gone(name);
                drop(plan);
                self.give_up(shared, name, CopyRefusal::Leaving);
            }
            FleetEvent::Member(name, zone) => plan.on_member(name.clone(), zone.clone()),
            FleetEvent::MemberGone(name) => {
                plan.on_member_gone(name);
                drop(plan);
                self.each(shared, |engine| {
                    engine.control.on_instance_gone(now, name.as_str())
                });
            }
            FleetEvent::Holder(record) => {
                let holder = record.holder.clone();
                plan.on_holder(now, &record.upstream, holder, record.activity, record.fence);
                drop(plan);
                if record.holder != shared.settings.instance {
                    self.give_up(shared, &record.upstream, CopyRefusal::NotHolder);
                }
            }
            FleetEvent::HolderGone(name, expired) => {
                plan.on_holder_gone(now, name, *expired);
                drop(plan);
                self.give_up(shared, name, CopyRefusal::NotHolder);
            }
            FleetEvent::Version(key, version) => {
                drop(plan);
                self.each(shared, |engine| {
                    engine.control.on_version(now, key, *version)
                });
            }
            FleetEvent::Routing => {
                let fleet = shared.fleet.borrow();
                for record in fleet.all_ready().filter(|up| fleet.is_engine(&up.service)) {
                    // Engines can be told from other upstreams only now.
                    plan.on_engine(now, &record.name, &record.zone, shared.settings.bootstrap);
                }
            }
        }
    }

    /// An instance asks for a copy.
    pub fn on_ask(&self, shared: &Rc<Shared>, upstream: &UpstreamName, ask: CopyAsk) {
        let id = ask.id.clone();
        let now = shared.now();
        let held = self.with(shared, upstream, |engine| engine.control.on_ask(now, ask));
        if !held {
            self.answer(shared, id, Err(CopyRefusal::NotHolder));
        }
    }

    /// The first event of a request came.
    pub fn on_started(&self, shared: &Rc<Shared>, upstream: &UpstreamName, ask: &AskId) {
        let now = shared.now();
        self.with(shared, upstream, |engine| {
            engine.control.on_started(now, ask)
        });
    }

    /// A request is over or was never sent.
    pub fn on_done(&self, shared: &Rc<Shared>, upstream: &UpstreamName, ask: &AskId, absent: bool) {
        let now = shared.now();
        self.with(shared, upstream, |engine| {
            engine.control.on_done(now, ask, absent)
        });
    }

    /// Time has passed.
    pub fn on_tick(&self, shared: &Rc<Shared>) {
        let now = shared.now();
        let may_order = self.confirmation.borrow().holds(now);
        if self.may_order.replace(may_order) && !may_order {
            Line::new(&kind::ORDERS_PAUSED).log();
        }
        self.each(shared, |engine| {
            let may_order = may_order && engine.waits_until.is_none();
            let mut actions = engine.control.on_may_order(now, may_order);
            actions.extend(engine.control.on_tick(now));
            actions
        });
    }

    /// Claims the engines that the plan gives to this instance.
    ///
    /// Until all instances are `known`, only those that an earlier process held.
    pub async fn claim(&self, shared: &Rc<Shared>, known: bool) {
        let Some(lease) = self.lease.get() else {
            return;
        };
        let is_held = |name: &UpstreamName| self.engines.borrow().contains_key(name);
        let planned = self.plan.borrow().claims(shared.now(), known, is_held);
        for claims in planned.chunks(CLAIMS_AT_ONCE) {
            let now = shared.now();
            let writes: Vec<ClaimWrite> = claims
                .iter()
                .map(|claim| ClaimWrite {
                    upstream: claim.upstream.clone(),
                    expected_revision: claim.expected_revision,
                    holder: shared.settings.instance.clone(),
                    activity: activity(claim.orders_from, now),
                })
                .collect();
            if let Some(fence) = write(shared, lease, &writes).await {
                self.adopt(shared, claims, now, fence);
            }
        }
        self.end_waits(shared, lease).await;
    }

    /// Records that this instance gives orders from now on where it waited long enough.
    async fn end_waits(&self, shared: &Rc<Shared>, lease: LeaseId) {
        let now = shared.now();
        let is_over = |engine: &HeldEngine| engine.waits_until.is_some_and(|until| until <= now);
        let over: Vec<(UpstreamName, u64)> = {
            let engines = self.engines.borrow();
            let over = engines.iter().filter(|(_, engine)| is_over(engine));
            over.map(|(name, engine)| (name.clone(), engine.fence))
                .collect()
        };
        for part in over.chunks(CLAIMS_AT_ONCE) {
            let writes = self.records(shared, part, HolderActivity::Orders);
            let Some(fence) = write(shared, lease, &writes).await else {
                continue;
            };
            let mut engines = self.engines.borrow_mut();
            for (name, former) in part {
                if let Some(engine) = engines.get_mut(name)
                    && engine.fence == *former
                {
                    engine.fence = fence;
                    engine.waits_until = None;
                }
            }
        }
    }

    fn records(
        &self,
        shared: &Shared,
        held: &[(UpstreamName, u64)],
        activity: HolderActivity,
    ) -> Vec<ClaimWrite> {
        let records = held.iter().map(|(name, fence)| ClaimWrite {
            upstream: name.clone(),
            expected_revision: *fence,
            holder: shared.settings.instance.clone(),
            activity,
        });
        records.collect()
    }

    /// Writes that this instance gives no more orders.
    pub async fn release(&self, shared: &Rc<Shared>) {
        let held: Vec<(UpstreamName, u64)> = {
            let engines = self.engines.borrow();
            engines
                .iter()
                .map(|(name, engine)| (name.clone(), engine.fence))
                .collect()
        };
        for (name, _) in &held {
            self.give_up(shared, name, CopyRefusal::NotHolder);
        }
        let Some(lease) = self.lease.get() else {
            return;
        };
        for part in held.chunks(CLAIMS_AT_ONCE) {
            let writes = self.records(shared, part, HolderActivity::Stopped);
            write(shared, lease, &writes).await;
        }
    }

    /// The lease ended: nothing is held any more.
    pub(super) fn drop_all(&self, shared: &Rc<Shared>) {
        let names: Vec<UpstreamName> = self.engines.borrow().keys().cloned().collect();
        for name in names {
            self.give_up(shared, &name, CopyRefusal::NotHolder);
        }
    }

    /// Takes over what was claimed; `written_at` is when the claims were written.
    fn adopt(&self, shared: &Rc<Shared>, claims: &[PlannedClaim], written_at: UnixMs, fence: u64) {
        let now = shared.now();
        for claim in claims {
            let name = &claim.upstream;
            let own = shared.settings.instance.clone();
            let activity = activity(claim.orders_from, written_at);
            self.plan
                .borrow_mut()
                .on_holder(now, name, own, activity, fence);
            let Some((address, shape)) = shared.engine_shape(name) else {
                continue;
            };
            Line::new(&kind::HELD)
                .field("upstream", name)
                .field("fence", fence)
                .field("orders_in_ms", claim.orders_from.ms_since(now))
                .log();
            let fleet = shared.fleet.borrow();
            let versions = fleet
                .versions()
                .map(|(key, version)| (key.clone(), version));
            let control = CopyControl::new(shape).with_versions(versions.collect());
            let waits = activity == HolderActivity::Waits;
            let engine = HeldEngine {
                control,
                address,
                fence,
                waits_until: waits.then_some(claim.orders_from),
            };
            self.engines.borrow_mut().insert(name.clone(), engine);
        }
    }

    fn give_up(&self, shared: &Rc<Shared>, name: &UpstreamName, reason: CopyRefusal) {
        let Some(mut engine) = self.engines.borrow_mut().remove(name) else {
            return;
        };
        Line::new(&kind::HELD_NO_MORE)
            .field("upstream", name)
            .field("fence", engine.fence)
            .log();
        let actions = engine.control.on_given_up(reason);
        self.perform(shared, name, actions);
    }

    fn each(&self, shared: &Rc<Shared>, mut event: impl FnMut(&mut HeldEngine) -> Vec<CopyAction>) {
        let mut all = Vec::new();
        for (name, engine) in self.engines.borrow_mut().iter_mut() {
            let actions = event(engine);
            if !actions.is_empty() {
                all.push((name.clone(), actions));
            }
        }
        for (name, actions) in all {
            self.perform(shared, &name, actions);
        }
    }

    /// Delivers an event to an engine; false when it is not held.
    fn with(
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
                CopyAction::Grant { ask, running } => self.answer(shared, ask, Ok(running)),
                CopyAction::Refuse { ask, reason } => self.answer(shared, ask, Err(reason)),
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

    fn answer(&self, shared: &Shared, ask: AskId, answer: Result<u32, CopyRefusal>) {
        if ask.instance == shared.settings.instance {
            if let Some(waiting) = self.local.borrow_mut().remove(&ask.number) {
                // The request has left meanwhile; its guard ends the ask.
                let _ = waiting.send(answer.map_err(AskFailure::Refused));
            }
            return;
        }
        let number = ask.number;
        let reply = match answer {
            Ok(running) => PeerReply::Granted { number, running },
            Err(reason) => PeerReply::Refused { number, reason },
        };
        shared.incoming.reply(&ask.instance, reply);
    }

    fn target(&self, name: &UpstreamName) -> Option<(std::net::SocketAddr, u64)> {
        let engines = self.engines.borrow();
        engines
            .get(name)
            .map(|engine| (engine.address, engine.fence))
    }
}

/// What a holder does at first that may give orders from `orders_from` on.
fn activity(orders_from: UnixMs, now: UnixMs) -> HolderActivity {
    if orders_from <= now {
        HolderActivity::Orders
    } else {
        HolderActivity::Waits
    }
}

/// Writes holder records; returns their revision.
async fn write(shared: &Shared, lease: LeaseId, writes: &[ClaimWrite]) -> Option<u64> {
    let outcome = match shared.borders.store.claim(lease, writes).await {
        Ok(ClaimOutcome::Written(revision)) => return Some(revision),
        Ok(outcome) => format!("{outcome:?}"),
        Err(error) => error.to_string(),
    };
    Line::new(&kind::CLAIM_FAILED)
        .field("engines", writes.len())
        .field("outcome", outcome)
        .log();
    None
}

async fn send_order(shared: Rc<Shared>, name: UpstreamName, order: Order) {
    let holding = &shared.holding;
    let Some((address, fence)) = holding.target(&name) else {
        return;
    };
    if !holding.confirmation.borrow().holds(shared.now()) {
        let now = shared.now();
        holding.with(&shared, &name, |engine| {
            engine.control.on_order_answer(now, OrderAnswer::NotSent)
        });
        return;
    }
    let answer = shared
        .borders
        .engines
        .order(&name, address, fence, &order)
        .await;
    shared.metrics.count("orders", order_outcome(answer));
    log::debug!("order {order:?} at {name}: {answer:?}");
    if !matches!(answer, OrderAnswer::Accepted | OrderAnswer::Holds) {
        Line::new(&kind::ORDER_ANSWERED)
            .field("upstream", &name)
            .field("order", format!("{:?}", order.kind))
            .field("adapter", &order.key)
            .field("accepted_before", order.accepted_before)
            .field("answer", format!("{answer:?}"))
            .log();
    }
    let now = shared.now();
    holding.with(&shared, &name, |engine| {
        if engine.fence != fence {
            return Vec::new();
        }
        engine.control.on_order_answer(now, answer)
    });
}

fn order_outcome(answer: OrderAnswer) -> &'static str {
    match answer {
        OrderAnswer::Accepted => "accepted",
        OrderAnswer::Holds => "holds",
        OrderAnswer::Conflict => "conflict",
        OrderAnswer::Unknown => "unknown",
        OrderAnswer::Rejected => "rejected",
        OrderAnswer::NotSent => "not_sent",
        OrderAnswer::Unanswered => "unanswered",
    }
}

async fn read_report(shared: Rc<Shared>, name: UpstreamName) {
    let holding = &shared.holding;
    let Some((address, _)) = holding.target(&name) else {
        return;
    };
    let report = shared.borders.engines.report(&name, address).await;
    match &report {
        Ok(holdings) => Line::new(&kind::REPORT_READ)
            .field("upstream", &name)
            .field("adapters", holdings.adapters.len())
            .field("accepted", holdings.accepted_orders)
            .log(),
        Err(error) => Line::new(&kind::REPORT_FAILED)
            .field("upstream", &name)
            .field("error", error)
            .log(),
    }
    let now = shared.now();
    holding.with(&shared, &name, |engine| {
        engine.control.on_report(now, report.ok())
    });
}

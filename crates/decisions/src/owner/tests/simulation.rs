//! Simulation of owners, holders and an engine in which messages and orders may be late,
//! duplicated or lost.

use std::collections::{BTreeMap, BTreeSet};

use monsoonspread_model::message::{
    GrantAnswer, GrantId, GrantOutcome, GrantReturn, HeldGrant, MeshMessage, RequestId,
};
use monsoonspread_model::{Epoch, InstanceName, LoadReport, RequestClass, UnixMs};

use super::envelope::Envelope;
use super::fake_engine::{FakeEngine, Order};
use super::fixture::{START, ended, engine, request};
use super::holder::{Holder, Reaction, copy_of};
use crate::owner::{
    OrderFailure, OwnerAction, OwnerSet, OwnerSettings, OwnershipOrigin, UpstreamShape,
};

/// Instances; each may own the engine and hold grants.
pub const INSTANCES: usize = 3;
/// Adapters that are requested.
const ADAPTERS: [&str; 5] = ["a", "b", "c", "d", "e"];
/// Places in the engine's batch.
pub const PLACES: u32 = 4;

/// State of the simulation and the history that its checks need.
pub struct Simulation {
    pub now: UnixMs,
    pub engine: FakeEngine,
    pub owners: Vec<OwnerSet>,
    pub holders: Vec<Holder>,
    pub owner: usize,
    pub epoch: Epoch,
    pub leaving: bool,
    envelopes: Vec<Envelope>,
    orders: Vec<(usize, Order)>,
    results: Vec<(usize, Order, Result<(), OrderFailure>)>,
    reports: Vec<LoadReport>,
    granted: BTreeMap<(Epoch, usize, RequestId), GrantId>,
    ran: BTreeSet<(usize, RequestId)>,
    stepped_down: Vec<Epoch>,
    next_request: u64,
    pub lossy: bool,
}

pub fn name(instance: usize) -> InstanceName {
    InstanceName::from(format!("entry-{instance}"))
}

fn index(instance: &InstanceName) -> usize {
    instance.as_str()["entry-".len()..].parse().unwrap()
}

impl Simulation {
    pub fn new(slots: usize, checks_fencing: bool, settings: OwnerSettings) -> Self {
        let owner = |instance| OwnerSet::new(name(instance), settings.clone(), 1);
        let mut simulation = Self {
            now: START,
            engine: FakeEngine::new(slots, checks_fencing),
            owners: (0..INSTANCES).map(owner).collect(),
            holders: (0..INSTANCES).map(|_| Holder::default()).collect(),
            owner: 0,
            epoch: Epoch(0),
            leaving: false,
            envelopes: Vec::new(),
            orders: Vec::new(),
            results: Vec::new(),
            reports: Vec::new(),
            granted: BTreeMap::new(),
            ran: BTreeSet::new(),
            stepped_down: Vec::new(),
            next_request: 0,
            lossy: true,
        };
        simulation.start_ownership(0, OwnershipOrigin::Fresh);
        simulation
    }

    /// Makes an instance the owner without notifying the former one.
    pub fn start_ownership(&mut self, instance: usize, origin: OwnershipOrigin) {
        self.owner = instance;
        self.epoch = Epoch(self.epoch.0 + 1);
        let slots = self.engine.slots as u32;
        let shape = UpstreamShape::new("engine-1", slots, PLACES, self.engine.checks_fencing);
        let holders: Vec<_> = (0..INSTANCES).map(name).collect();
        let actions = self.owners[instance]
            .on_ownership_gained(self.now, shape, self.epoch, origin, &holders);
        self.dispatch(instance, actions);
    }

    /// Runs the step encoded by `code`.
    pub fn step(&mut self, code: u32) {
        let pick = (code >> 8) as usize;
        match code % 32 {
            0..=6 => self.request_grant(pick),
            7..=14 => self.deliver(pick, code >> 28),
            15..=19 => self.carry_out_order(pick, code >> 28),
            20..=23 => self.deliver_result(pick),
            24..=26 => self.finish_run(pick),
            27 => self.withdraw(pick),
            28 => self.reports.push(self.engine.report(self.now)),
            29 => self.deliver_report(pick),
            _ => self.tick([20, 20, 200, 700][pick % 4]),
        }
    }

    fn request_grant(&mut self, pick: usize) {
        let holder = pick % INSTANCES;
        let id = RequestId(self.next_request);
        let class = RequestClass::ALL[pick / 3 % 3];
        let mut grant_request = request(id.0, ADAPTERS[pick / 9 % 5]);
        grant_request.class = class;
        grant_request.priority = (pick / 45 % 2) as u8;
        grant_request.deadline_unix_ms = self.now + [300, 2_000, 20_000][pick / 90 % 3];
        if self.holders[holder].dead || self.is_paused(holder) {
            return;
        }
        self.next_request += 1;
        self.holders[holder]
            .waiting
            .insert(id, grant_request.clone());
        self.send(holder, self.owner, MeshMessage::GrantRequest(grant_request));
    }

    fn withdraw(&mut self, pick: usize) {
        let holder = pick % INSTANCES;
        let Some((request, _)) = self.holders[holder].waiting.pop_first() else {
            return;
        };
        let upstream = engine();
        let message = MeshMessage::GrantWithdraw { upstream, request };
        self.send(holder, self.owner, message);
    }

    fn finish_run(&mut self, pick: usize) {
        let holder = pick % INSTANCES;
        if self.holders[holder].running.is_empty() || self.is_paused(holder) {
            return;
        }
        let index = pick / INSTANCES % self.holders[holder].running.len();
        let held = self.holders[holder].running.remove(index);
        self.engine.finish(&copy_of(&held));
        self.return_grant(holder, &held, GrantOutcome::Done);
    }

    fn return_grant(&mut self, holder: usize, held: &HeldGrant, outcome: GrantOutcome) {
        let returned: GrantReturn = ended(held.grant, outcome);
        self.send(holder, self.owner, MeshMessage::GrantReturn(returned));
    }

    fn send(&mut self, from: usize, to: usize, message: MeshMessage) {
        let sent_at = self.now;
        self.envelopes.push(Envelope {
            from,
            to,
            message,
            sent_at,
        });
    }

    /// Delivers a message out of order; a lossy simulation drops or duplicates some.
    fn deliver(&mut self, pick: usize, fate: u32) {
        if self.envelopes.is_empty() {
            return;
        }
        let envelope = self.envelopes.swap_remove(pick % self.envelopes.len());
        if self.lossy && fate == 0 {
            return;
        }
        if self.lossy && fate == 1 {
            let copy = envelope.message.clone();
            self.send(envelope.from, envelope.to, copy);
        }
        self.receive(envelope);
    }

    fn receive(&mut self, envelope: Envelope) {
        let Envelope {
            from,
            to,
            message,
            sent_at,
        } = envelope;
        // An instance discards messages that were sent to it while it was paused.
        let paused_until = self.holders[to].paused_until;
        if self.holders[to].dead || sent_at < paused_until {
            return;
        }
        let (now, sender) = (self.now, name(from));
        let owner = &mut self.owners[to];
        let actions = match message {
            MeshMessage::GrantRequest(grant_request) => {
                owner.on_request(now, &sender, grant_request)
            }
            MeshMessage::GrantReturn(returned) => {
                self.granted.retain(|_, grant| *grant != returned.grant);
                owner.on_return(now, &sender, returned)
            }
            MeshMessage::GrantWithdraw { upstream, request } => {
                let withdrawn = (from, request);
                self.granted.retain(|key, _| (key.1, key.2) != withdrawn);
                owner.on_withdraw(now, &sender, &upstream, request)
            }
            MeshMessage::Announce(announce) => owner.on_announce(now, &sender, announce),
            MeshMessage::AnnounceRequest(announce_request) => {
                let actions = owner.on_announce_request(now, &announce_request);
                if owner.may_announce(&announce_request.upstream, announce_request.epoch)
                    && let Some(announce) = self.holders[to].announce(announce_request.epoch)
                {
                    self.send(to, from, MeshMessage::Announce(announce));
                }
                actions
            }
            MeshMessage::GrantReply(reply) => {
                let reaction = self.holders[to].on_reply(now, &reply);
                self.react(to, reaction);
                Vec::new()
            }
            MeshMessage::Handover(handover) => {
                self.start_ownership(to, OwnershipOrigin::Handover(handover));
                Vec::new()
            }
            _ => Vec::new(),
        };
        self.dispatch(to, actions);
    }

    fn react(&mut self, holder: usize, reaction: Reaction) {
        match reaction {
            Reaction::Run(held) if self.engine.start(&copy_of(&held)) => {
                self.ran.insert((holder, held.request));
                self.holders[holder].running.push(held);
            }
            Reaction::Run(held) => self.return_grant(holder, &held, GrantOutcome::CopyMissing),
            Reaction::Return(held) => self.return_grant(holder, &held, GrantOutcome::Cancelled),
            Reaction::Ignore => {}
        }
    }

    fn carry_out_order(&mut self, pick: usize, fate: u32) {
        if self.orders.is_empty() {
            return;
        }
        let (by, order) = self.orders.swap_remove(pick % self.orders.len());
        let result = match fate {
            0 if self.lossy => Err(OrderFailure::Unreachable),
            1 if self.lossy => Err(OrderFailure::Failed),
            2 if self.lossy => {
                let _ = self.engine.carry_out(&order);
                Err(OrderFailure::AnswerLost)
            }
            _ => self.engine.carry_out(&order),
        };
        self.results.push((by, order, result));
    }

    fn deliver_result(&mut self, pick: usize) {
        if self.results.is_empty() {
            return;
        }
        let (to, order, result) = self.results.swap_remove(pick % self.results.len());
        let (now, upstream, owner) = (self.now, engine(), &mut self.owners[to]);
        let actions = match &order {
            Order::Load(copy) => owner.on_load_result(now, &upstream, copy, result),
            Order::Unload(copy, _) => owner.on_unload_result(now, &upstream, copy, result),
            Order::Fence(epoch) => owner.on_fence_result(now, &upstream, *epoch, result),
        };
        self.dispatch(to, actions);
    }

    fn deliver_report(&mut self, pick: usize) {
        if self.reports.is_empty() {
            return;
        }
        let report = self.reports.swap_remove(pick % self.reports.len());
        for instance in 0..INSTANCES {
            let now = self.now;
            let actions = self.owners[instance].on_report(now, &engine(), report.clone());
            self.dispatch(instance, actions);
        }
    }

    pub fn tick(&mut self, ms: u64) {
        self.now = self.now + ms;
        for instance in 0..INSTANCES {
            if !self.holders[instance].dead && !self.is_paused(instance) {
                let actions = self.owners[instance].on_tick(self.now);
                self.dispatch(instance, actions);
            }
        }
    }

    pub fn leave(&mut self) {
        for instance in 0..INSTANCES {
            let actions = self.owners[instance].on_leaving(self.now, &engine());
            self.dispatch(instance, actions);
        }
        self.leaving = true;
    }

    /// Crashes an instance; its running requests are cancelled.
    pub fn crash(&mut self, instance: usize) {
        for held in std::mem::take(&mut self.holders[instance].running) {
            self.engine.finish(&copy_of(&held));
        }
        self.holders[instance].dead = true;
        for other in 0..INSTANCES {
            let actions = self.owners[other].on_instance_removed(self.now, &name(instance));
            self.dispatch(other, actions);
        }
    }

    /// Pauses an instance, which the others remove before it resumes.
    pub fn pause(&mut self, instance: usize, ms: u64) {
        self.holders[instance].paused_until = self.now + ms;
        for other in (0..INSTANCES).filter(|other| *other != instance) {
            let actions = self.owners[other].on_instance_removed(self.now, &name(instance));
            self.dispatch(other, actions);
        }
    }

    fn is_paused(&self, instance: usize) -> bool {
        self.now < self.holders[instance].paused_until
    }

    pub fn drain(&mut self, successor: usize) {
        let to = [(engine(), name(successor))];
        let actions = self.owners[self.owner].on_drain(self.now, &to);
        self.dispatch(self.owner, actions);
    }

    /// Queues the messages and orders of `actions` and checks each.
    pub fn dispatch(&mut self, by: usize, actions: Vec<OwnerAction>) {
        for action in actions {
            match action {
                OwnerAction::Send { to, message } => {
                    self.check_answer(by, &to, &message);
                    self.send(by, index(&to), message);
                }
                OwnerAction::Load { copy, .. } => self.order(by, Order::Load(copy)),
                OwnerAction::Unload { copy, epoch, .. } => {
                    self.order(by, Order::Unload(copy, epoch));
                }
                OwnerAction::Fence { epoch, .. } => self.order(by, Order::Fence(epoch)),
                OwnerAction::StepDown { epoch, .. } => self.stepped_down.push(epoch),
                OwnerAction::Event(_) => {}
            }
        }
    }

    fn order(&mut self, by: usize, order: Order) {
        assert!(
            !self.stepped_down.contains(&order.epoch()),
            "ordered after stepping down: {order:?}"
        );
        self.orders.push((by, order));
    }

    fn check_answer(&mut self, by: usize, to: &InstanceName, message: &MeshMessage) {
        let MeshMessage::GrantReply(reply) = message else {
            return;
        };
        let key = (reply.epoch, index(to), reply.request);
        match reply.answer {
            GrantAnswer::Granted { grant, .. } => {
                let former = self.granted.insert(key, grant);
                let again = former == Some(grant);
                assert!(former.is_none() || again, "two grants for {key:?}");
                assert!(again || !self.leaving, "granted on a leaving upstream");
                let places: u32 = self.places_used(by);
                assert!(again || places <= PLACES, "{places} places used");
            }
            GrantAnswer::NotRun(ref refusal) => {
                let ran = self.ran.contains(&(key.1, key.2));
                assert!(
                    refusal.not_run && !ran,
                    "{key:?} ran but was answered as not run"
                );
            }
            GrantAnswer::Queued { .. } | GrantAnswer::NotOwner => {}
        }
    }

    fn places_used(&self, by: usize) -> u32 {
        let owned = self.owners[by].owned.get(&engine());
        owned.map_or(0, |owned| owned.grants.places_used())
    }

    /// Delivers messages, orders and reports without losses until nothing is left.
    pub fn settle(&mut self) {
        self.lossy = false;
        for round in 0..1_500 {
            self.deliver(round, 9);
            self.carry_out_order(round, 9);
            self.deliver_result(round);
            self.finish_run(round);
            if round % 10 == 0 {
                self.reports.clear();
                self.reports.push(self.engine.report(self.now));
                self.deliver_report(0);
                self.tick(500);
            }
        }
    }
}

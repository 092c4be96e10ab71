//! The task that owns the owner set.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use monsoonspread_decisions::owner::{
    OwnerAction, OwnerEvent, OwnerSet, OwnerSettings, OwnershipOrigin, UpstreamShape,
};
use monsoonspread_model::{Epoch, InstanceName, ListedInstance, UnixMs, UpstreamName};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::JoinSet;
use tokio::time::{MissedTickBehavior, interval};

use super::OwnerCommand;
use super::orders::Orders;
use crate::controller::Handles;
use crate::controller::dispatch::DispatchCommand;
use crate::controller::ownership::OwnershipCommand;
use crate::directory::Directory;
use crate::event::Event;
use crate::metrics::Metrics;
use crate::settings::Settings;

/// How often the owner set is told that time passed.
const TICK: Duration = Duration::from_millis(20);
/// How often load reports are read.
const REPORT_INTERVAL: Duration = Duration::from_millis(250);

/// An ownership whose upstream the directory does not show yet.
struct PendingOwn {
    epoch: Epoch,
    origin: OwnershipOrigin,
    holders: Vec<InstanceName>,
}

/// Owns every upstream that this instance decides for.
pub struct OwnerController {
    set: OwnerSet,
    settings: Arc<Settings>,
    handles: Handles,
    commands: mpsc::Receiver<OwnerCommand>,
    directory: watch::Receiver<Arc<Directory>>,
    owned: BTreeSet<UpstreamName>,
    pending: BTreeMap<UpstreamName, PendingOwn>,
    reporting: BTreeSet<UpstreamName>,
    listed: BTreeSet<InstanceName>,
    handed_over: Option<oneshot::Sender<()>>,
    orders: JoinSet<()>,
    metrics: Metrics,
}

impl OwnerController {
    /// Creates the task's state.
    pub fn new(
        settings: Arc<Settings>,
        handles: Handles,
        commands: mpsc::Receiver<OwnerCommand>,
        directory: watch::Receiver<Arc<Directory>>,
        metrics: Metrics,
    ) -> Self {
        let seed = rand::random();
        Self {
            set: OwnerSet::new(settings.instance.clone(), OwnerSettings::default(), seed),
            settings,
            handles,
            commands,
            directory,
            owned: BTreeSet::new(),
            pending: BTreeMap::new(),
            reporting: BTreeSet::new(),
            listed: BTreeSet::new(),
            handed_over: None,
            orders: JoinSet::new(),
            metrics,
        }
    }

    /// Serves messages until every sender is gone.
    pub async fn run(mut self) {
        let mut ticks = interval(TICK);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut reports = interval(REPORT_INTERVAL);
        reports.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                command = self.commands.recv() => match command {
                    Some(command) => self.on_command(command),
                    None => return,
                },
                _ = ticks.tick() => {
                    let actions = self.set.on_tick(UnixMs::now());
                    self.carry_out(actions);
                }
                _ = reports.tick() => self.read_reports(),
                Ok(()) = self.directory.changed() => self.on_directory(),
            }
            while self.orders.try_join_next().is_some() {}
        }
    }

    fn on_command(&mut self, command: OwnerCommand) {
        let now = UnixMs::now();
        let set = &mut self.set;
        let actions = match command {
            OwnerCommand::Request { from, request } => set.on_request(now, &from, request),
            OwnerCommand::Return { from, returned } => set.on_return(now, &from, returned),
            OwnerCommand::Withdraw {
                from,
                upstream,
                request,
            } => set.on_withdraw(now, &from, &upstream, request),
            OwnerCommand::Announce { from, announce } => set.on_announce(now, &from, announce),
            OwnerCommand::AnnounceRequest { from, ask } => {
                let actions = set.on_announce_request(now, &ask);
                let may_announce = set.may_announce(&ask.upstream, ask.epoch);
                self.carry_out(actions);
                if !may_announce {
                    // An unload of this instance is still to be answered; the new owner asks again.
                    return;
                }
                let ask = DispatchCommand::AnnounceRequest { from, ask };
                return self.handles.dispatch.tell(ask);
            }
            OwnerCommand::BudgetAsk { from, ask } => set.on_budget_ask(now, &from, ask),
            OwnerCommand::BudgetLend { from, lend } => set.on_budget_lend(now, &from, lend),
            OwnerCommand::Own {
                upstream,
                epoch,
                origin,
                holders,
            } => {
                let own = PendingOwn {
                    epoch,
                    origin,
                    holders,
                };
                self.pending.insert(upstream, own);
                return self.begin_pending();
            }
            OwnerCommand::Disown(upstream) => {
                self.pending.remove(&upstream);
                set.on_ownership_lost(now, &upstream)
            }
            OwnerCommand::HandOver { successors, done } => {
                self.pending.clear();
                self.handed_over = Some(done);
                set.on_drain(now, &successors)
            }
            OwnerCommand::InstanceGone(instance) => set.on_instance_removed(now, &instance),
            OwnerCommand::Loaded {
                upstream,
                copy,
                result,
            } => set.on_load_result(now, &upstream, &copy, result),
            OwnerCommand::Unloaded {
                upstream,
                copy,
                result,
            } => set.on_unload_result(now, &upstream, &copy, result),
            OwnerCommand::Fenced {
                upstream,
                epoch,
                result,
            } => set.on_fence_result(now, &upstream, epoch, result),
            OwnerCommand::Reported { upstream, report } => {
                self.reporting.remove(&upstream);
                let Some(report) = report else {
                    return;
                };
                set.on_report(now, &upstream, report)
            }
            OwnerCommand::Dump(reply) => {
                let _ = reply.send(set.dump(now));
                return;
            }
        };
        self.carry_out(actions);
    }

    fn on_directory(&mut self) {
        let directory = Arc::clone(&self.directory.borrow_and_update());
        let now = UnixMs::now();
        self.begin_pending();
        for upstream in self.owned.clone() {
            let leaves = directory
                .engines
                .get(&upstream)
                .is_none_or(|engine| !engine.is_live());
            let actions = match leaves {
                true => self.set.on_leaving(now, &upstream),
                false => self.set.on_live(now, &upstream),
            };
            self.carry_out(actions);
        }
        let listed: BTreeSet<_> = directory
            .mesh_addresses()
            .into_iter()
            .map(|(name, _)| name)
            .collect();
        for gone in self.listed.difference(&listed) {
            self.handles
                .owner
                .post(OwnerCommand::InstanceGone(gone.clone()));
        }
        self.listed = listed;
        let budget = &self.settings.load_budget;
        let even_share = 1.0 / directory.live_entries().max(1) as f64;
        let loads_per_s = budget.loads_per_s * budget.share.unwrap_or(even_share);
        let actions = self.set.on_budget_share(now, loads_per_s);
        self.carry_out(actions);
    }

    /// Begins ownerships whose upstream is known.
    fn begin_pending(&mut self) {
        let directory = Arc::clone(&self.directory.borrow());
        let known: Vec<_> = self
            .pending
            .keys()
            .filter_map(|upstream| directory.engines.get(upstream).cloned())
            .collect();
        for engine in known {
            let Some(own) = self.pending.remove(&engine.name) else {
                continue;
            };
            let now = UnixMs::now();
            let shape = shape(&engine.listed);
            let PendingOwn {
                epoch,
                origin,
                holders,
            } = own;
            let actions = self
                .set
                .on_ownership_gained(now, shape, epoch, origin, &holders);
            self.carry_out(actions);
            if !engine.is_live() {
                let actions = self.set.on_leaving(now, &engine.name);
                self.carry_out(actions);
            }
        }
    }

    fn read_reports(&mut self) {
        for upstream in self.owned.clone() {
            if !self.reporting.insert(upstream.clone()) {
                continue;
            }
            match self.orders_to(&upstream) {
                Some(orders) => {
                    self.orders.spawn(orders.report());
                }
                None => {
                    self.reporting.remove(&upstream);
                }
            }
        }
        self.metrics.on_owned(self.owned.len());
    }

    fn orders_to(&self, upstream: &UpstreamName) -> Option<Orders> {
        let directory = self.directory.borrow();
        let engine = directory.engines.get(upstream)?;
        Some(Orders {
            upstream: upstream.clone(),
            engine: Arc::clone(&engine.client),
            owner: self.handles.owner.clone(),
            metrics: self.metrics.clone(),
        })
    }

    fn carry_out(&mut self, actions: Vec<OwnerAction>) {
        for action in actions {
            self.carry_out_one(action);
        }
        if self.set.is_empty()
            && let Some(done) = self.handed_over.take()
        {
            let _ = done.send(());
        }
    }

    fn carry_out_one(&mut self, action: OwnerAction) {
        match action {
            OwnerAction::Send { to, message } => {
                self.handles.mesh.send(&to, message);
            }
            OwnerAction::Load { upstream, copy } => {
                if let Some(orders) = self.orders_to(&upstream) {
                    self.orders.spawn(orders.load(copy));
                }
            }
            OwnerAction::Unload {
                upstream,
                copy,
                epoch,
            } => {
                if let Some(orders) = self.orders_to(&upstream) {
                    self.orders.spawn(orders.unload(copy, epoch));
                }
            }
            OwnerAction::Fence { upstream, epoch } => {
                if let Some(orders) = self.orders_to(&upstream) {
                    self.orders.spawn(orders.fence(epoch));
                }
            }
            OwnerAction::StepDown { upstream, epoch } => {
                let stepped_down = OwnershipCommand::SteppedDown { upstream, epoch };
                self.handles.ownership.post(stepped_down);
            }
            OwnerAction::Event(event) => self.on_event(&event),
        }
    }

    fn on_event(&mut self, event: &OwnerEvent) {
        match event {
            OwnerEvent::Owned { upstream, epoch } => {
                self.owned.insert(upstream.clone());
                let epoch = *epoch;
                Event::OwnershipTaken { upstream, epoch }.log();
            }
            OwnerEvent::Disowned { upstream, epoch } => {
                self.owned.remove(upstream);
                let epoch = *epoch;
                Event::OwnershipEnded { upstream, epoch }.log();
            }
            notice => Event::OwnerNotice { notice }.log(),
        }
    }
}

fn shape(listed: &ListedInstance) -> UpstreamShape {
    UpstreamShape::new(
        listed.name.as_str(),
        listed.adapter_slots,
        listed.batch_places,
        listed.checks_fencing,
    )
}

//! Task that manages the upstreams that this instance owns.

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

/// Interval of the owner set's time-driven steps.
const TICK_INTERVAL: Duration = Duration::from_millis(20);
/// Interval at which load reports are read.
const REPORT_INTERVAL: Duration = Duration::from_millis(250);

/// Ownership of an upstream that is not in the directory yet.
struct PendingOwnership {
    epoch: Epoch,
    origin: OwnershipOrigin,
    holders: Vec<InstanceName>,
}

/// Runs the state machines of the upstreams that this instance owns.
pub struct OwnerController {
    set: OwnerSet,
    settings: Arc<Settings>,
    handles: Handles,
    commands: mpsc::Receiver<OwnerCommand>,
    directory: watch::Receiver<Arc<Directory>>,
    owned: BTreeSet<UpstreamName>,
    pending: BTreeMap<UpstreamName, PendingOwnership>,
    reports_in_flight: BTreeSet<UpstreamName>,
    listed: BTreeSet<InstanceName>,
    hand_over_done: Option<oneshot::Sender<()>>,
    orders: JoinSet<()>,
    metrics: Metrics,
}

impl OwnerController {
    /// Creates the task; [`Self::run`] runs it.
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
            reports_in_flight: BTreeSet::new(),
            listed: BTreeSet::new(),
            hand_over_done: None,
            orders: JoinSet::new(),
            metrics,
        }
    }

    /// Processes commands until every sender is dropped.
    pub async fn run(mut self) {
        let mut ticks = interval(TICK_INTERVAL);
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
            OwnerCommand::AnnounceRequest {
                from,
                announce_request,
            } => {
                let actions = set.on_announce_request(now, &announce_request);
                let may_announce =
                    set.may_announce(&announce_request.upstream, announce_request.epoch);
                self.carry_out(actions);
                if !may_announce {
                    // An unload ordered by this instance is unanswered; the new owner repeats its
                    // request.
                    return;
                }
                let forwarded = DispatchCommand::AnnounceRequest {
                    from,
                    announce_request,
                };
                return self.handles.dispatch.enqueue(forwarded);
            }
            OwnerCommand::BudgetAsk { from, ask } => set.on_budget_ask(now, &from, ask),
            OwnerCommand::BudgetLend { from, lend } => set.on_budget_lend(now, &from, lend),
            OwnerCommand::Own {
                upstream,
                epoch,
                origin,
                holders,
            } => {
                let pending_ownership = PendingOwnership {
                    epoch,
                    origin,
                    holders,
                };
                self.pending.insert(upstream, pending_ownership);
                return self.start_pending();
            }
            OwnerCommand::Disown(upstream) => {
                self.pending.remove(&upstream);
                set.on_ownership_lost(now, &upstream)
            }
            OwnerCommand::HandOver { successors, done } => {
                self.pending.clear();
                self.hand_over_done = Some(done);
                set.on_drain(now, &successors)
            }
            OwnerCommand::InstanceEnded(instance) => set.on_instance_removed(now, &instance),
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
                self.reports_in_flight.remove(&upstream);
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
        self.start_pending();
        for upstream in self.owned.clone() {
            let is_leaving = directory
                .engines
                .get(&upstream)
                .is_none_or(|engine| !engine.is_live());
            let actions = match is_leaving {
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
        for ended in self.listed.difference(&listed) {
            self.handles
                .owner
                .post(OwnerCommand::InstanceEnded(ended.clone()));
        }
        self.listed = listed;
        let budget = &self.settings.load_budget;
        let even_share = 1.0 / directory.live_entries().max(1) as f64;
        let loads_per_s = budget.loads_per_s * budget.share.unwrap_or(even_share);
        let actions = self.set.on_budget_share(now, loads_per_s);
        self.carry_out(actions);
    }

    /// Starts the pending ownerships whose upstream is in the directory.
    fn start_pending(&mut self) {
        let directory = Arc::clone(&self.directory.borrow());
        let known: Vec<_> = self
            .pending
            .keys()
            .filter_map(|upstream| directory.engines.get(upstream).cloned())
            .collect();
        for engine in known {
            let Some(pending_ownership) = self.pending.remove(&engine.name) else {
                continue;
            };
            let now = UnixMs::now();
            let shape = upstream_shape(&engine.listed);
            let PendingOwnership {
                epoch,
                origin,
                holders,
            } = pending_ownership;
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
            if !self.reports_in_flight.insert(upstream.clone()) {
                continue;
            }
            match self.orders_for(&upstream) {
                Some(orders) => {
                    self.orders.spawn(orders.report());
                }
                None => {
                    self.reports_in_flight.remove(&upstream);
                }
            }
        }
        self.metrics.on_owned(self.owned.len());
    }

    fn orders_for(&self, upstream: &UpstreamName) -> Option<Orders> {
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
            && let Some(done) = self.hand_over_done.take()
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
                if let Some(orders) = self.orders_for(&upstream) {
                    self.orders.spawn(orders.load(copy));
                }
            }
            OwnerAction::Unload {
                upstream,
                copy,
                epoch,
            } => {
                if let Some(orders) = self.orders_for(&upstream) {
                    self.orders.spawn(orders.unload(copy, epoch));
                }
            }
            OwnerAction::Fence { upstream, epoch } => {
                if let Some(orders) = self.orders_for(&upstream) {
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

fn upstream_shape(listed: &ListedInstance) -> UpstreamShape {
    UpstreamShape::new(
        listed.name.as_str(),
        listed.adapter_slots,
        listed.batch_places,
        listed.checks_fencing,
    )
}

//! State shared by the tasks of the process.

use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use monsoonspread_borders::relay::{FleetChange, FleetChanges};
use monsoonspread_decisions::change_feed::FeedTiming;
use monsoonspread_decisions::config_age::ConfigAge;
use monsoonspread_decisions::connection_share::idle_connections;
use monsoonspread_decisions::copies::KnownCopies;
use monsoonspread_decisions::load_choice::LoadChoice;
use monsoonspread_decisions::placement::{CandidateUpstream, Placement, PlacementSettings};
use monsoonspread_decisions::service_route::{ServiceRouter, ServiceServer};
use monsoonspread_decisions::stop_plan::StopPlan;
use monsoonspread_decisions::store_health::StoreStatus;
use monsoonspread_model::fleet::{AdapterKey, EngineShape, UpstreamRecord, UpstreamStage};
use monsoonspread_model::{UnixMs, UpstreamName};
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::watch;

use crate::borders::Borders;
use crate::clock::SteadyClock;
use crate::connection::Pool;
use crate::end_check::EndChecks;
use crate::fleet::{FleetEvent, FleetView, Subscribers};
use crate::gossip::{Gossiper, ReceivedGossip};
use crate::guard::Guard;
use crate::holding::Holding;
use crate::limits::{Permits, Quotas};
use crate::metrics::Metrics;
use crate::peers::{FeedMessage, Incoming, PeerLinks};
use crate::retries::RetryBudgets;
use crate::room::Rooms;
use crate::settings::RelaySettings;
use crate::suspects::Suspects;

/// Parameters of adapter placement.
///
/// A copy of a busy adapter costs one load and then lets its requests balance the load of all
/// engines. In runs of the users' days, one copy per 4 requests a second served more than one per
/// 2.5, and 6 served no more.
const PLACEMENT: PlacementSettings = PlacementSettings {
    requests_per_copy_per_s: 4.0,
    max_copies: 64,
    spare_candidates: 2,
    demand_half_life_ms: 3_000,
    demand_capacity: 1_024,
};
/// Seed of the choice among servers; any value will do, as instances need not agree.
const ROUTER_SEED: u64 = 1;

/// State shared by the tasks of the process.
pub struct Shared {
    /// Settings read at startup.
    pub settings: RelaySettings,
    /// The platform interfaces.
    pub borders: Borders,
    pub clock: SteadyClock,
    /// Known state of the fleet.
    pub fleet: RefCell<FleetView>,
    /// How recently the configuration in force was known to be the newest.
    pub config_age: RefCell<ConfigAge>,
    /// Held engines and copy requests.
    pub holding: Holding,
    /// Connections to other instances.
    pub peers: PeerLinks,
    /// Connections from other instances.
    pub incoming: Incoming,
    /// Instances that subscribe to this one's change feed.
    pub subscribers: Subscribers,
    /// Connections to upstreams.
    pub pool: Pool,
    /// Chooses the engines that may serve an adapter.
    pub placement: RefCell<Placement>,
    /// Chooses the least loaded of them.
    pub loads: RefCell<LoadChoice>,
    /// Copies that may be used when their holder is unresponsive.
    pub known_copies: RefCell<KnownCopies>,
    /// Chooses servers of plain services.
    pub router: RefCell<ServiceRouter>,
    /// Retry budgets.
    pub retries: RetryBudgets,
    /// Permits for upstreams with a rate limit.
    pub permits: Permits,
    /// Quotas of workspaces.
    pub quotas: Quotas,
    /// Places at the servers of contended services.
    pub rooms: Rooms,
    /// Requests suspected of crashing upstreams.
    pub suspects: Suspects,
    /// Checks whether upstreams run on after the ends of answers.
    pub end_checks: EndChecks,
    /// Unknown and malformed announcements that were logged.
    pub logged_announcements: RefCell<BTreeSet<String>>,
    /// Gossip to other instances.
    pub gossiper: Gossiper,
    /// Bounds on what is held for callers.
    pub guard: Guard,
    /// Counters and latencies.
    pub metrics: Metrics,
    /// The plan of a stop that has begun.
    stop: watch::Sender<Option<StopPlan>>,
    needs_announcement: Cell<bool>,
}

impl Shared {
    /// Creates the state with nothing known.
    ///
    /// `feed` receives changes published by other instances, and `gossip` their gossip about
    /// upstreams and requests.
    pub fn new(
        settings: RelaySettings,
        borders: Borders,
        feed: UnboundedSender<FeedMessage>,
        gossip: UnboundedSender<ReceivedGossip>,
    ) -> Self {
        let clock = SteadyClock::start();
        let (local, zone) = (settings.instance.clone(), settings.zone.clone());
        let bounds = settings.bounds;
        Self {
            borders,
            clock,
            fleet: RefCell::new(FleetView::new(bounds.version_leeway_ms())),
            config_age: RefCell::new(ConfigAge::new(bounds.config_age())),
            holding: Holding::new(local.clone(), bounds.order_gap_ms),
            peers: PeerLinks::new(local, feed, gossip),
            incoming: Incoming::default(),
            subscribers: Subscribers::new(FeedTiming::new(bounds.change_ms())),
            pool: Pool::new(clock),
            placement: RefCell::new(Placement::new(zone.clone(), PLACEMENT)),
            loads: RefCell::default(),
            known_copies: RefCell::default(),
            router: RefCell::new(ServiceRouter::new(zone, ROUTER_SEED)),
            retries: RetryBudgets::new(bounds.retry_ratio, bounds.retry_slack),
            permits: Permits::default(),
            quotas: Quotas::new(&bounds, clock.now()),
            rooms: Rooms::default(),
            suspects: Suspects::default(),
            end_checks: EndChecks::default(),
            logged_announcements: RefCell::default(),
            gossiper: Gossiper::default(),
            guard: Guard::new(&settings, clock),
            metrics: Metrics::default(),
            stop: watch::Sender::new(None),
            needs_announcement: Cell::new(false),
            settings,
        }
    }

    /// Returns the current time.
    pub fn now(&self) -> UnixMs {
        self.clock.now()
    }

    /// Returns the plan of a stop that has begun; `None` before one.
    pub fn stop_plan(&self) -> Option<StopPlan> {
        *self.stop.borrow()
    }

    /// Whether a planned stop has begun.
    pub fn is_stopping(&self) -> bool {
        self.stop_plan().is_some()
    }

    /// Whether a planned stop has progressed so far that a new request might not complete.
    pub fn rejects_requests(&self) -> bool {
        let plan = self.stop_plan();
        plan.is_some_and(|plan| self.now() >= plan.last_request_at)
    }

    /// Whether a request may still be sent to an upstream.
    pub fn may_start(&self) -> bool {
        let plan = self.stop_plan();
        plan.is_none_or(|plan| self.now() < plan.last_start_at)
    }

    /// Returns until when a request that may wait until `latest` can be sent, as far as is known now.
    pub fn last_start_by(&self, latest: UnixMs) -> UnixMs {
        self.stop_plan()
            .map_or(latest, |plan| latest.min(plan.last_start_at))
    }

    /// Returns until when an answer that is of use until `deadline` can reach its client, as far as is known now.
    pub fn useful_until(&self, deadline: UnixMs) -> UnixMs {
        self.stop_plan()
            .map_or(deadline, |plan| deadline.min(plan.ends_at))
    }

    /// Waits until a planned stop has progressed so far that no request may be sent to an upstream.
    pub async fn last_start(&self) {
        let plan = self.stop_begun().await;
        let wait_ms = plan.last_start_at.ms_since(self.now());
        tokio::time::sleep(Duration::from_millis(wait_ms)).await;
    }

    /// Waits until a planned stop has begun; returns its plan.
    pub async fn stop_begun(&self) -> StopPlan {
        let mut stop = self.stop.subscribe();
        loop {
            if let Some(plan) = *stop.borrow_and_update() {
                return plan;
            }
            // The sender lives as long as `self`.
            let _ = stop.changed().await;
        }
    }

    /// Begins a planned stop; returns its plan.
    pub fn on_stop(&self) -> StopPlan {
        let grace_ms = (self.settings.bounds.stop_grace_s * 1_000.0) as u64;
        let plan = StopPlan::new(self.now(), grace_ms);
        self.stop.send_replace(Some(plan));
        plan
    }

    /// Whether the announcement must be rewritten; resets the flag.
    pub fn take_needs_announcement(&self) -> bool {
        self.needs_announcement.take()
    }

    /// Marks the announcement as in need of rewriting.
    pub fn set_needs_announcement(&self) {
        self.needs_announcement.set(true);
    }

    /// Whether requests can be served.
    pub fn is_ready(&self) -> bool {
        !self.is_stopping() && self.fleet.borrow().routes().is_some()
    }

    /// Returns address and shape of a listed engine.
    pub fn engine_shape(&self, name: &UpstreamName) -> Option<(SocketAddr, EngineShape)> {
        let fleet = self.fleet.borrow();
        let record = fleet.upstream(name)?;
        let service = fleet.routes()?.config().service(&record.service)?;
        Some((record.address, service.engine.clone()?))
    }

    /// Returns the oldest version of an adapter on which requests may begin; `None` for any.
    pub fn required_version(&self, key: &AdapterKey) -> Option<u64> {
        let fleet = self.fleet.borrow();
        fleet.versions().required(self.now(), key)
    }

    /// Applies a full snapshot of the store.
    pub fn on_snapshot(
        self: &Rc<Self>,
        snapshot: &FleetChanges,
        complete: bool,
        status: StoreStatus,
    ) {
        let now = self.now();
        let mut fleet = self.fleet.borrow_mut();
        let events = fleet.on_snapshot(now, snapshot, complete, status);
        drop(fleet);
        self.on_events(&events);
    }

    /// Applies a change in the store; returns false if it has no effect here, now or later.
    pub fn on_change(self: &Rc<Self>, change: FleetChange, status: StoreStatus) -> bool {
        let now = self.now();
        // During a store outage an entry that may reappear is removed only later.
        let is_leaving = match &change {
            FleetChange::UpstreamGone(name) => self.fleet.borrow().upstream(name).is_some(),
            _ => false,
        };
        let event = self.fleet.borrow_mut().on_change(now, change, true, status);
        self.on_events(event.as_slice());
        event.is_some() || is_leaving
    }

    /// Runs the periodic work.
    pub fn on_tick(self: &Rc<Self>) {
        let events = self.fleet.borrow_mut().on_tick(self.now());
        self.on_events(&events);
        self.subscribers.on_tick(self);
        self.check_config_age();
        self.suspects.on_tick(self);
        self.gossiper.on_tick(self);
        self.permits.on_tick(self.now());
        self.tick_quotas();
        self.on_room_tick();
        self.holding.on_tick(self);
    }

    /// Notifies the other components of changes in the fleet.
    pub fn on_events(self: &Rc<Self>, events: &[FleetEvent]) {
        for event in events {
            self.holding.on_fleet(self, event);
            self.notify_suspects(event);
            if let FleetEvent::UpstreamRemoved(name)
            | FleetEvent::Upstream {
                record: UpstreamRecord { name, .. },
                restarted: true,
                ..
            } = event
            {
                self.known_copies.borrow_mut().on_engine_removed(name);
            }
            if let FleetEvent::MemberRemoved(name) = event {
                self.on_room_member_removed(name);
            }
            if let FleetEvent::MemberRemoved(name) | FleetEvent::MemberLapsing(name) = event
                && *name == self.settings.instance
            {
                self.set_needs_announcement();
                self.holding.on_announcement_gone();
            }
        }
        if !events.is_empty() {
            self.refresh_choices();
            self.quotas.on_fleet(events);
            self.refresh_rooms();
        }
    }

    /// Returns the start time of a listed upstream, 0 if it isn't listed.
    pub fn incarnation(&self, upstream: &UpstreamName) -> u64 {
        let fleet = self.fleet.borrow();
        let record = fleet.upstream(upstream);
        record.map_or(0, |record| record.started_unix_ms)
    }

    /// Returns until when an upstream is backing off from this instance; `None` if it accepts work.
    pub fn backoff_until(&self, upstream: &UpstreamName) -> Option<UnixMs> {
        let fleet = self.fleet.borrow();
        fleet.backoff_until(self.now(), fleet.upstream(upstream)?)
    }

    /// Reports upstreams that ended, as they may have crashed under a request.
    fn notify_suspects(self: &Rc<Self>, event: &FleetEvent) {
        match event {
            FleetEvent::UpstreamRemoved(name) => self.suspects.on_removed(self, name),
            FleetEvent::Upstream { record, .. } if record.stage == UpstreamStage::Leaving => {
                self.suspects.on_leaving(&record.name);
            }
            FleetEvent::Upstream {
                record,
                restarted: true,
                ..
            } => {
                let incarnation = record.started_unix_ms;
                self.suspects.on_restarted(self, &record.name, incarnation);
            }
            _ => {}
        }
    }

    /// Updates the placement and routing choices with the current upstreams.
    fn refresh_choices(&self) {
        let fleet = self.fleet.borrow();
        let (engines, servers): (Vec<_>, Vec<_>) = fleet
            .all_ready()
            .partition(|record| fleet.is_engine(&record.service));
        let candidates = engines.iter().map(|record| CandidateUpstream {
            name: record.name.clone(),
            zone: record.zone.clone(),
            weight: 1.0,
        });
        let servers: Vec<ServiceServer> = servers
            .iter()
            .map(|record| ServiceServer {
                name: record.name.clone(),
                service: record.service.clone(),
                zone: record.zone.clone(),
            })
            .collect();
        let mut placement = self.placement.borrow_mut();
        placement.on_upstreams(candidates.collect());
        placement.on_sharing_instances(self.holding.members());
        self.pool.on_shares(fleet.all_ready().filter_map(|record| {
            let service = fleet.routes()?.config().service(&record.service)?;
            let share = idle_connections(service.max_connections, self.holding.members());
            Some((record.address, share))
        }));
        self.retries.on_instances(self.holding.members());
        self.loads
            .borrow_mut()
            .retain(|name| fleet.upstream(name).is_some());
        self.router.borrow_mut().on_servers(&servers);
    }
}

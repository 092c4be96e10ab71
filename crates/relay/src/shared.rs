//! State that the tasks of the process share.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;

use monsoonspread_borders::relay::{FleetChange, FleetChanges};
use monsoonspread_decisions::change_feed::FeedTiming;
use monsoonspread_decisions::copies::{AskId, CopyAsk, KnownCopies};
use monsoonspread_decisions::load_choice::LoadChoice;
use monsoonspread_decisions::placement::{CandidateUpstream, Placement, PlacementSettings};
use monsoonspread_decisions::service_route::{ServiceRouter, ServiceServer};
use monsoonspread_decisions::store_health::StoreStatus;
use monsoonspread_model::fleet::{EngineShape, UpstreamRecord, UpstreamStage};
use monsoonspread_model::{InstanceName, UnixMs, UpstreamName};
use tokio::sync::mpsc::UnboundedSender;

use crate::borders::Borders;
use crate::clock::SteadyClock;
use crate::connection::Pool;
use crate::fleet::{FleetEvent, FleetView, Subscribers};
use crate::gossip::{Gossiper, ReceivedGossip};
use crate::holding::Holding;
use crate::metrics::Metrics;
use crate::peers::{FeedMessage, Incoming, PeerHandler, PeerLinks, PeerReply, PeerRequest};
use crate::retries::RetryBudgets;
use crate::settings::RelaySettings;
use crate::suspects::Suspects;

/// How copies follow demand.
///
/// A copy of a busy adapter costs one load, after which its requests level the load of all
/// engines. A copy for each four requests a second served more on the users' days than one for
/// each 2.5, and six no more.
const PLACEMENT: PlacementSettings = PlacementSettings {
    requests_per_copy_per_s: 4.0,
    max_copies: 64,
    spare_candidates: 2,
    demand_half_life_ms: 3_000,
    demand_capacity: 1_024,
};
/// Seed of the choice among servers; any will do, as instances need not agree.
const ROUTER_SEED: u64 = 1;

/// How long a stopping process takes requests, in milliseconds.
///
/// The platform sends no more clients after two to three seconds; the longest requests need
/// what is left of the time until the process is killed.
const LAST_REQUEST_MS: u64 = 2_700;

/// State that the tasks of the process share.
pub struct Shared {
    /// Settings at the start.
    pub settings: RelaySettings,
    /// The platform.
    pub borders: Borders,
    /// The clock.
    pub clock: SteadyClock,
    /// What is known of the fleet.
    pub fleet: RefCell<FleetView>,
    /// Engines held, and asks.
    pub holding: Holding,
    /// Connections to other instances.
    pub peers: PeerLinks,
    /// Connections from other instances.
    pub incoming: Incoming,
    /// Instances that hear from this one what changed in the store.
    pub subscribers: Subscribers,
    /// Connections to upstreams.
    pub pool: Pool,
    /// Which engines may serve an adapter.
    pub placement: RefCell<Placement>,
    /// Which of them is least loaded.
    pub loads: RefCell<LoadChoice>,
    /// Copies for use without their holder.
    pub known_copies: RefCell<KnownCopies>,
    /// Servers of plain services.
    pub router: RefCell<ServiceRouter>,
    /// Further attempts.
    pub retries: RetryBudgets,
    /// Requests under which upstreams end.
    pub suspects: Suspects,
    /// What other instances were told.
    pub gossiper: Gossiper,
    /// Counters and latencies.
    pub metrics: Metrics,
    stopping_since: Cell<Option<UnixMs>>,
    needs_announcement: Cell<bool>,
}

impl Shared {
    /// The state of a process that knows nothing yet.
    ///
    /// `news` gets what other instances tell of the store, and `beliefs` what they tell of upstreams
    /// and requests.
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
            fleet: RefCell::default(),
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
            suspects: Suspects::default(),
            gossiper: Gossiper::default(),
            metrics: Metrics::default(),
            stopping_since: Cell::new(None),
            needs_announcement: Cell::new(false),
            settings,
        }
    }

    /// The time now.
    pub fn now(&self) -> UnixMs {
        self.clock.now()
    }

    /// Whether a planned stop has begun.
    pub fn is_stopping(&self) -> bool {
        self.stopping_since.get().is_some()
    }

    /// Whether a planned stop has gone so far that a new request might be cut.
    pub fn rejects_requests(&self) -> bool {
        let since = self.stopping_since.get();
        since.is_some_and(|since| self.now() >= since + LAST_REQUEST_MS)
    }

    /// A planned stop begins.
    pub fn on_stop(&self) {
        self.stopping_since.set(Some(self.now()));
    }

    /// Whether the announcement has to be written anew.
    pub fn take_needs_announcement(&self) -> bool {
        self.needs_announcement.take()
    }

    /// The announcement has to be written anew.
    pub fn set_needs_announcement(&self) {
        self.needs_announcement.set(true);
    }

    /// Whether requests can be served.
    pub fn is_ready(&self) -> bool {
        !self.is_stopping() && self.fleet.borrow().routes().is_some()
    }

    /// Address and shape of an engine that is listed.
    pub fn engine_shape(&self, name: &UpstreamName) -> Option<(SocketAddr, EngineShape)> {
        let fleet = self.fleet.borrow();
        let record = fleet.upstream(name)?;
        let service = fleet.routes()?.config().service(&record.service)?;
        Some((record.address, service.engine.clone()?))
    }

    /// Everything was read from the store.
    pub fn on_snapshot(
        self: &Rc<Self>,
        snapshot: &FleetChanges,
        complete: bool,
        reach: StoreStatus,
    ) {
        let now = self.now();
        let mut fleet = self.fleet.borrow_mut();
        let events = fleet.on_snapshot(now, snapshot, complete, reach);
        drop(fleet);
        self.on_events(&events);
    }

    /// Something changed in the store; false when it changes nothing here, now or later.
    pub fn on_change(self: &Rc<Self>, change: FleetChange, reach: StoreStatus) -> bool {
        let now = self.now();
        // One that may come back is only taken for gone later.
        let is_leaving = match &change {
            FleetChange::UpstreamGone(name) => self.fleet.borrow().upstream(name).is_some(),
            _ => false,
        };
        let event = self.fleet.borrow_mut().on_change(now, change, true, reach);
        self.on_events(event.as_slice());
        event.is_some() || is_leaving
    }

    /// Time has passed.
    pub fn on_tick(self: &Rc<Self>) {
        let events = self.fleet.borrow_mut().on_tick(self.now());
        self.on_events(&events);
        self.subscribers.on_tick(self);
        self.suspects.on_tick(self);
        self.gossiper.on_tick(self);
        self.holding.on_tick(self);
    }

    /// What is known of the fleet changed.
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
                self.known_copies.borrow_mut().on_engine_gone(name);
            }
            if matches!(event, FleetEvent::MemberRemoved(name) if *name == self.settings.instance) {
                self.set_needs_announcement();
            }
        }
        if !events.is_empty() {
            self.refresh_choices();
        }
    }

    /// The start of an upstream that is listed, 0 where it isn't.
    pub fn incarnation(&self, upstream: &UpstreamName) -> u64 {
        let fleet = self.fleet.borrow();
        let record = fleet.upstream(upstream);
        record.map_or(0, |record| record.started_unix_ms)
    }

    /// Until when an upstream wants nothing from this instance; `None` when it takes work.
    pub fn backoff_until(&self, upstream: &UpstreamName) -> Option<UnixMs> {
        let fleet = self.fleet.borrow();
        fleet.backoff_until(self.now(), fleet.upstream(upstream)?)
    }

    /// An upstream that ended may have ended under a request.
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

    /// Tells the choices which upstreams there are.
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
        self.retries.on_instances(self.holding.members());
        self.loads
            .borrow_mut()
            .retain(|name| fleet.upstream(name).is_some());
        self.router.borrow_mut().on_servers(&servers);
    }
}

/// Passes requests of other instances on to the engines held.
pub struct PeerDispatcher(pub Rc<Shared>);

impl PeerHandler for PeerDispatcher {
    fn on_request(&self, instance: &InstanceName, request: PeerRequest) {
        let shared = &self.0;
        match request {
            PeerRequest::Heartbeat => {}
            PeerRequest::Hello(_) => shared.gossiper.on_connected(instance),
            PeerRequest::Gossip(gossip) => shared.on_gossip(instance, &gossip),
            PeerRequest::Subscribe => shared.subscribers.on_subscribe(shared, instance),
            PeerRequest::CopyRequest(ask) => {
                let now = shared.now();
                shared
                    .incoming
                    .reply(instance, PeerReply::Received(ask.number));
                let copy_ask = CopyAsk {
                    id: AskId {
                        instance: instance.clone(),
                        number: ask.number,
                    },
                    key: ask.key,
                    rank: ask.rank,
                    prompt_tokens: ask.prompt_tokens,
                    shared_parts: ask.shared_parts,
                    patient: ask.patient,
                    in_time_until: now + ask.in_time_ms,
                    wait_until: now + ask.wait_ms,
                    ends_by: now + ask.lasts_ms,
                };
                shared
                    .holding
                    .on_copy_request(shared, &ask.upstream, copy_ask);
            }
            PeerRequest::Quote {
                number,
                upstream,
                question,
            } => {
                let now = shared.now();
                let quote = shared.holding.on_quote(now, &upstream, &question);
                shared
                    .incoming
                    .reply(instance, PeerReply::Quoted { number, quote });
            }
            PeerRequest::Started {
                number,
                upstream,
                slowness_percent,
            } => {
                let id = AskId {
                    instance: instance.clone(),
                    number,
                };
                shared
                    .holding
                    .on_started(shared, &upstream, &id, slowness_percent);
            }
            PeerRequest::Done {
                number,
                upstream,
                absent,
            } => {
                let id = AskId {
                    instance: instance.clone(),
                    number,
                };
                shared.holding.on_done(shared, &upstream, &id, absent);
            }
        }
    }
}

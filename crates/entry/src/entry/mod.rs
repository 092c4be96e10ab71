//! Starts, runs and stops one entry instance.

mod inboxes;
mod listeners;
mod tasks;
mod views;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use monsoonspread_model::UnixMs;
use monsoonspread_model::message::{Hello, PROTOCOL_VERSION};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::JoinSet;
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::bundle_view::BundleView;
use crate::controller::membership::MembershipCommand;
use crate::controller::ownership::OwnershipCommand;
use crate::controller::service::{ClaimsInFlight, ServiceCalls};
use crate::controller::{Handles, Router};
use crate::dump::Dumper;
use crate::event::Event;
use crate::filter::{
    AdmissionFilter, AuthenticateFilter, Chain, DeadlineFilter, DrainFilter, GenerateFilter,
    HealthFilter, ModelsFilter, ParseFilter, ReadBodyFilter, ResolveFilter, RouteFilter,
    ServiceCallFilter,
};
use crate::http::Server;
use crate::mesh::{Hub, listen};
use crate::metrics::Metrics;
use crate::operators::OperatorsListener;
use crate::platform::Platform;
use crate::run_state::RunState;
use crate::settings::Settings;

use inboxes::Mailboxes;
use listeners::OpenListeners;
pub use listeners::StartError;
use tasks::TaskStarter;
use views::{Publishers, Views};

/// Capacity of the queue of mesh events between the hub and the router.
const MESH_EVENTS: usize = 8192;
/// Maximum duration of the ownership handover during a planned stop.
const HAND_OVER_TIMEOUT: Duration = Duration::from_secs(3);

/// Running entry instance; dropping it aborts all its tasks.
pub struct Entry {
    settings: Arc<Settings>,
    callers: SocketAddr,
    operators: SocketAddr,
    mesh: SocketAddr,
    handles: Handles,
    state: watch::Sender<RunState>,
    bundle: watch::Receiver<Arc<BundleView>>,
    stopping: CancellationToken,
    drain_requested: CancellationToken,
    server: JoinSet<()>,
    calls: TaskTracker,
    _tasks: JoinSet<()>,
}

impl Entry {
    /// Opens the listeners and starts all tasks.
    ///
    /// # Errors
    ///
    /// Fails if a listener can't be opened.
    pub async fn start(settings: Settings, platform: Platform) -> Result<Self, StartError> {
        let listeners = OpenListeners::open(settings.listeners).await?;
        let addresses = listeners.addresses()?;
        let settings = Arc::new(settings);
        let metrics = Metrics::new(settings.statsd, settings.zone.as_str());
        let started_at = UnixMs::now();
        let publishers = Publishers::new(local_hello(&settings, started_at));
        let state = publishers.state.clone();
        let views = publishers.views();

        let (mesh_events, mesh_event_inbox) = mpsc::channel(MESH_EVENTS);
        let key = settings.mesh.key.clone();
        let (hub, mesh) = Hub::new(key, views.hello.clone(), mesh_events);
        let (mailboxes, inboxes) = Mailboxes::new(mesh, started_at);
        let handles = mailboxes.handles.clone();
        let mut tasks = JoinSet::new();
        tasks.spawn(listen(&hub, listeners.mesh));
        tasks.spawn(hub.run());
        tasks.spawn(Router::new(mesh_event_inbox, handles.clone()).run());
        let starter = TaskStarter {
            settings: &settings,
            platform: &platform,
            mailboxes: &mailboxes,
            views: &views,
            metrics: &metrics,
            mesh_address: addresses.mesh,
        };
        starter.start(inboxes, publishers, &mut tasks);

        let calls = ServiceCalls {
            routes: mailboxes.routes,
            claims: mailboxes.claims,
            store: Arc::clone(&platform.store),
            directory: views.directory.clone(),
            in_flight: ClaimsInFlight::default(),
            tasks: TaskTracker::new(),
            metrics: metrics.clone(),
        };
        let chain = chain(&settings, &handles, &views, &calls, metrics);
        let stopping = CancellationToken::new();
        let limits = settings.limits;
        let server = Server::new(listeners.callers, Arc::new(chain), limits, stopping.clone());
        let mut server_task = JoinSet::new();
        server_task.spawn(server.run());

        let drain_requested = CancellationToken::new();
        let dumper = Dumper {
            settings: Arc::clone(&settings),
            handles: handles.clone(),
            calls: calls.clone(),
            state: views.state,
            directory: views.directory,
            owners: views.owners,
        };
        let operators = OperatorsListener::new(dumper, drain_requested.clone());
        tasks.spawn(operators.run(listeners.operators));

        Event::Started {
            instance: &settings.instance,
            zone: &settings.zone,
            callers: addresses.callers,
            operators: addresses.operators,
            mesh: addresses.mesh,
        }
        .log();
        Ok(Self {
            settings,
            callers: addresses.callers,
            operators: addresses.operators,
            mesh: addresses.mesh,
            handles,
            state,
            bundle: views.bundle,
            stopping,
            drain_requested,
            server: server_task,
            calls: calls.tasks,
            _tasks: tasks,
        })
    }

    /// Returns the address of the callers' listener.
    pub fn callers_address(&self) -> SocketAddr {
        self.callers
    }

    /// Returns the address of the operators' listener.
    pub fn operators_address(&self) -> SocketAddr {
        self.operators
    }

    /// Returns the address of the mesh listener.
    pub fn mesh_address(&self) -> SocketAddr {
        self.mesh
    }

    /// Subscribes to the lifecycle state.
    pub fn state(&self) -> watch::Receiver<RunState> {
        self.state.subscribe()
    }

    /// Subscribes to the bundle in force.
    pub fn bundle(&self) -> watch::Receiver<Arc<BundleView>> {
        self.bundle.clone()
    }

    /// Returns a token that is cancelled when an operator requests a planned stop.
    pub fn drain_requested(&self) -> CancellationToken {
        self.drain_requested.clone()
    }

    /// Performs a planned stop: hands over ownership, completes requests in flight and closes the
    /// listeners.
    pub async fn drain(mut self) {
        self.state.send_replace(RunState::Draining);
        let in_flight = self.handles.dispatch.dump().await;
        Event::DrainBegun {
            in_flight: in_flight.map_or(0, |dump| dump.requests),
        }
        .log();
        self.hand_over().await;
        self.stopping.cancel();
        while self.server.join_next().await.is_some() {}
        self.calls.close();
        self.calls.wait().await;
        self.handles.mesh.close().await;
        Event::Stopped {
            instance: &self.settings.instance,
        }
        .log();
    }

    async fn hand_over(&self) {
        self.handles.membership.post(MembershipCommand::Leave);
        let (done, handed_over) = oneshot::channel();
        self.handles
            .ownership
            .post(OwnershipCommand::Leave { done });
        let _ = timeout(HAND_OVER_TIMEOUT, handed_over).await;
    }
}

fn chain(
    settings: &Settings,
    handles: &Handles,
    views: &Views,
    calls: &ServiceCalls,
    metrics: Metrics,
) -> Chain {
    Chain::new(settings.instance.clone(), views.bundle.clone(), metrics)
        .with_filter(RouteFilter::new())
        .with_filter(HealthFilter::new(views.state.clone()))
        .with_filter(DrainFilter::new(views.state.clone()))
        .with_filter(AuthenticateFilter::new())
        .with_filter(ModelsFilter::new())
        .with_filter(DeadlineFilter::new(settings.limits))
        .with_filter(ReadBodyFilter::new(settings.limits))
        .with_filter(ParseFilter::new())
        .with_filter(ResolveFilter::new())
        .with_filter(AdmissionFilter::new())
        .with_filter(GenerateFilter::new(handles.dispatch.clone()))
        .with_filter(ServiceCallFilter::new(calls.clone()))
}

fn local_hello(settings: &Settings, started_at: UnixMs) -> Hello {
    Hello {
        protocol_version: PROTOCOL_VERSION,
        instance: settings.instance.clone(),
        zone: settings.zone.clone(),
        started_at_unix_ms: started_at,
        bundle_version: Default::default(),
    }
}

//! One running entry instance.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use displaydoc::Display;
use monsoonspread_model::UnixMs;
use monsoonspread_model::message::{Hello, PROTOCOL_VERSION};
use thiserror::Error;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::JoinSet;
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::bundle_view::BundleView;
use crate::controller::bundle::{BundleController, PointerWatcher};
use crate::controller::dispatch::{DispatchController, DispatchHandle, OwnerMap};
use crate::controller::membership::{MembersView, MembershipCommand, MembershipController};
use crate::controller::owner::OwnerController;
use crate::controller::ownership::{OwnershipCommand, OwnershipController};
use crate::controller::service::{ClaimBatches, RouteController, ServiceCalls};
use crate::controller::{Handles, Mailbox, Router};
use crate::directory::{Directory, Poller};
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

/// Arrivals from the mesh that may wait for the router.
const MESH_EVENTS: usize = 8192;
/// Longest that handing over the ownership may take during a planned stop.
const HAND_OVER_TIMEOUT: Duration = Duration::from_secs(3);

/// Why an instance did not start.
#[derive(Debug, Display, Error)]
pub enum StartError {
    /// listener {0} can't be opened: {1}
    Listener(SocketAddr, io::Error),
}

/// A running entry instance; dropping it stops it at once.
pub struct Entry {
    settings: Arc<Settings>,
    callers: SocketAddr,
    operators: SocketAddr,
    mesh: SocketAddr,
    handles: Handles,
    state: watch::Sender<RunState>,
    bundle: watch::Receiver<Arc<BundleView>>,
    stopping: CancellationToken,
    drain_asked: CancellationToken,
    server: JoinSet<()>,
    calls: TaskTracker,
    _tasks: JoinSet<()>,
}

impl Entry {
    /// Opens the listeners and starts every task.
    ///
    /// # Errors
    ///
    /// Fails when a listener can't be opened.
    pub async fn start(settings: Settings, platform: Platform) -> Result<Self, StartError> {
        let settings = Arc::new(settings);
        let callers = bind(settings.listeners.callers).await?;
        let operators = bind(settings.listeners.operators).await?;
        let mesh_listener = bind(settings.listeners.mesh).await?;
        let mesh_address = address_of(&mesh_listener, settings.listeners.mesh)?;
        let callers_address = address_of(&callers, settings.listeners.callers)?;
        let operators_address = address_of(&operators, settings.listeners.operators)?;
        let metrics = Metrics::new(settings.statsd, settings.zone.as_str());

        let started_at = UnixMs::now();
        let (hello, hello_receiver) = watch::channel(own_hello(&settings, started_at));
        let (directory_sender, directory) = watch::channel(Arc::new(Directory::default()));
        let (bundle_sender, bundle) = watch::channel(Arc::new(BundleView::default()));
        let (members_sender, members) = watch::channel(Arc::new(MembersView::default()));
        let (owners_sender, owners) = watch::channel(Arc::new(OwnerMap::default()));
        let (state, state_receiver) = watch::channel(RunState::Starting);

        let (mesh_events, mesh_event_receiver) = mpsc::channel(MESH_EVENTS);
        let (hub, mesh) = Hub::new(settings.mesh.key.clone(), hello_receiver, mesh_events);
        let (dispatch, dispatch_commands) = DispatchHandle::new(started_at);
        let (owner, owner_commands) = Mailbox::new("owner");
        let (membership, membership_commands) = Mailbox::new("membership");
        let (ownership, ownership_commands) = Mailbox::new("ownership");
        let (bundle_mailbox, bundle_commands) = Mailbox::new("bundle");
        let (directory_mailbox, directory_commands) = Mailbox::new("directory");
        let (routes, route_commands) = Mailbox::new("service routes");
        let (claims, claim_commands) = Mailbox::new("claims");
        let handles = Handles {
            mesh: mesh.clone(),
            dispatch: dispatch.clone(),
            owner,
            membership,
            ownership,
            directory: directory_mailbox,
            bundle: bundle_mailbox,
        };
        let calls = ServiceCalls {
            routes,
            claims: claims.clone(),
            store: Arc::clone(&platform.store),
            directory: directory.clone(),
            tasks: TaskTracker::new(),
            metrics: metrics.clone(),
        };

        let mut tasks = JoinSet::new();
        tasks.spawn(listen(&hub, mesh_listener));
        tasks.spawn(hub.run());
        tasks.spawn(Router::new(mesh_event_receiver, handles.clone()).run());
        tasks.spawn(
            DispatchController::new(
                settings.instance.clone(),
                settings.zone.clone(),
                mesh.clone(),
                (dispatch.clone(), dispatch_commands),
                directory.clone(),
                owners.clone(),
                metrics.clone(),
            )
            .run(),
        );
        tasks.spawn(
            OwnerController::new(
                Arc::clone(&settings),
                handles.clone(),
                owner_commands,
                directory.clone(),
                metrics.clone(),
            )
            .run(),
        );
        tasks.spawn(
            MembershipController::new(
                Arc::clone(&settings),
                mesh_address,
                handles.clone(),
                membership_commands,
                directory.clone(),
                bundle.clone(),
                members_sender,
            )
            .run(),
        );
        tasks.spawn(
            OwnershipController::new(
                Arc::clone(&settings),
                Arc::clone(&platform.store),
                handles.clone(),
                ownership_commands,
                directory.clone(),
                members.clone(),
                owners_sender,
            )
            .run(),
        );
        tasks.spawn(
            BundleController::new(
                &settings,
                Arc::clone(&platform.store),
                handles.clone(),
                bundle_commands,
                directory.clone(),
                members.clone(),
                bundle_sender,
            )
            .with_metrics(metrics.clone())
            .run(),
        );
        let pointer = PointerWatcher::new(
            settings.instance.clone(),
            Arc::clone(&platform.store),
            members,
            handles.bundle.clone(),
        );
        tasks.spawn(pointer.run());
        tasks.spawn(
            RouteController::new(settings.zone.clone(), route_commands, directory.clone()).run(),
        );
        tasks.spawn(ClaimBatches::new(Arc::clone(&platform.store), claims, claim_commands).run());
        tasks.spawn(
            Poller::new(
                Arc::clone(&settings),
                platform,
                mesh,
                directory_commands,
                directory_sender,
            )
            .run(),
        );
        tasks.spawn(follow_bundle(bundle.clone(), hello, state.clone()));

        let chain = Chain::new(settings.instance.clone(), bundle.clone(), metrics)
            .with_filter(RouteFilter::new())
            .with_filter(HealthFilter::new(state_receiver.clone()))
            .with_filter(DrainFilter::new(state_receiver.clone()))
            .with_filter(AuthenticateFilter::new())
            .with_filter(ModelsFilter::new())
            .with_filter(DeadlineFilter::new(settings.limits))
            .with_filter(ReadBodyFilter::new(settings.limits))
            .with_filter(ParseFilter::new())
            .with_filter(ResolveFilter::new())
            .with_filter(AdmissionFilter::new())
            .with_filter(GenerateFilter::new(dispatch))
            .with_filter(ServiceCallFilter::new(calls.clone()));
        let stopping = CancellationToken::new();
        let limits = settings.limits;
        let server = Server::new(callers, Arc::new(chain), limits, stopping.clone());
        let mut server_task = JoinSet::new();
        server_task.spawn(server.run());

        let drain_asked = CancellationToken::new();
        let dumper = Dumper {
            settings: Arc::clone(&settings),
            handles: handles.clone(),
            calls: calls.clone(),
            state: state_receiver,
            directory,
            owners,
        };
        let listener = OperatorsListener::new(dumper, drain_asked.clone());
        tasks.spawn(listener.run(operators));

        Event::Started {
            instance: &settings.instance,
            zone: &settings.zone,
            callers: callers_address,
            operators: operators_address,
            mesh: mesh_address,
        }
        .log();
        Ok(Self {
            settings,
            callers: callers_address,
            operators: operators_address,
            mesh: mesh_address,
            handles,
            state,
            bundle,
            stopping,
            drain_asked,
            server: server_task,
            calls: calls.tasks,
            _tasks: tasks,
        })
    }

    /// Where callers connect.
    pub fn callers_address(&self) -> SocketAddr {
        self.callers
    }

    /// Where operators connect.
    pub fn operators_address(&self) -> SocketAddr {
        self.operators
    }

    /// Where other instances connect.
    pub fn mesh_address(&self) -> SocketAddr {
        self.mesh
    }

    /// What the instance does with new requests.
    pub fn state(&self) -> watch::Receiver<RunState> {
        self.state.subscribe()
    }

    /// The bundle in force.
    pub fn bundle(&self) -> watch::Receiver<Arc<BundleView>> {
        self.bundle.clone()
    }

    /// Cancelled when operators ask for a planned stop.
    pub fn drain_asked(&self) -> CancellationToken {
        self.drain_asked.clone()
    }

    /// Stops as planned: hands the ownership over, finishes what is in flight, then ends.
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

async fn bind(address: SocketAddr) -> Result<TcpListener, StartError> {
    TcpListener::bind(address)
        .await
        .map_err(|error| StartError::Listener(address, error))
}

fn address_of(listener: &TcpListener, asked: SocketAddr) -> Result<SocketAddr, StartError> {
    listener
        .local_addr()
        .map_err(|error| StartError::Listener(asked, error))
}

fn own_hello(settings: &Settings, started_at: UnixMs) -> Hello {
    Hello {
        protocol_version: PROTOCOL_VERSION,
        instance: settings.instance.clone(),
        zone: settings.zone.clone(),
        started_at_unix_ms: started_at,
        bundle_version: Default::default(),
    }
}

/// Makes the instance ready with its first bundle and greets peers with the version in force.
async fn follow_bundle(
    mut bundle: watch::Receiver<Arc<BundleView>>,
    hello: watch::Sender<Hello>,
    state: watch::Sender<RunState>,
) {
    while bundle.changed().await.is_ok() {
        let version = bundle.borrow_and_update().bundle().version;
        hello.send_modify(|hello| hello.bundle_version = version);
        state.send_if_modified(|state| {
            let starts = *state == RunState::Starting;
            if starts {
                *state = RunState::Ready;
            }
            starts
        });
    }
}

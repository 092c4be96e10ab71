//! Startup, operation and shutdown of the process.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;

use monsoonspread_decisions::memory_budget::ConnectionKind;
use monsoonspread_model::UnixMs;
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::mpsc::{UnboundedReceiver, unbounded_channel};
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{interval, sleep, timeout};

use crate::borders::Borders;
use crate::error::RunError;
use crate::event::{Line, kind, start_logging};
use crate::fleet::watch_store;
use crate::gossip::receive_gossip;
use crate::holding::keep_lease;
use crate::http::{Connections, serve_clients, serve_metrics};
use crate::peer_dispatcher::PeerDispatcher;
use crate::peers::{FeedMessage, accept_peers};
use crate::settings::RelaySettings;
use crate::shared::Shared;

/// Interval of the periodic checks of engines and lapsed entries, in milliseconds: the shortest
/// time in which a copy is loaded.
const TICK_MS: u64 = 25;
/// Interval of claiming engines without a holder, in milliseconds.
const CLAIM_MS: u64 = 200;
/// Time for all instances of a region to announce themselves at startup, in milliseconds.
const STARTUP_WAIT_MS: u64 = 1_200;
/// Interval of closing idle connections, in milliseconds.
const SWEEP_MS: u64 = 1_000;
/// How often a stopping process checks whether it is done, in milliseconds.
const STOP_CHECK_MS: u64 = 50;

/// Runs the process until it receives a signal to stop.
///
/// # Errors
///
/// Returns an error if the runtime can't start or an address can't be listened on.
pub fn run(path: &Path, settings: RelaySettings, borders: Borders) -> Result<(), RunError> {
    start_logging();
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(RunError::Runtime)?;
    let (feed, feed_messages) = unbounded_channel();
    let (gossip, received_gossip) = unbounded_channel();
    let shared = Rc::new(Shared::new(settings, borders, feed, gossip));
    let local = LocalSet::new();
    local.spawn_local(receive_gossip(Rc::clone(&shared), received_gossip));
    local.block_on(&runtime, serve(path.to_owned(), shared, feed_messages))
}

async fn serve(
    path: PathBuf,
    shared: Rc<Shared>,
    feed_messages: UnboundedReceiver<FeedMessage>,
) -> Result<(), RunError> {
    let listen = shared.settings.listen.clone();
    let connections = Connections::new();
    let platform = Connections::new();
    let callers = bind(listen.callers).await?;
    let readiness = bind(listen.readiness).await?;
    let peers = bind(listen.peers).await?;
    spawn_local(serve_clients(
        callers,
        ConnectionKind::Caller,
        Rc::clone(&shared),
        connections.clone(),
    ));
    spawn_local(serve_clients(
        readiness,
        ConnectionKind::Readiness,
        Rc::clone(&shared),
        platform,
    ));
    let handler = Rc::new(PeerDispatcher(Rc::clone(&shared)));
    spawn_local(accept_peers(peers, Rc::clone(&shared), handler));
    if let Some(address) = listen.metrics {
        spawn_local(serve_metrics(bind(address).await?, Rc::clone(&shared)));
    }
    spawn_local(watch_store(Rc::clone(&shared), feed_messages));
    spawn_local(keep_lease(Rc::clone(&shared)));
    spawn_local(claim_engines(Rc::clone(&shared)));
    spawn_local(tick(Rc::clone(&shared)));
    spawn_local(reload_settings(path, Rc::clone(&shared)));
    Line::new(&kind::STARTED)
        .field("instance", &shared.settings.instance)
        .field("zone", &shared.settings.zone)
        .field("callers", listen.callers)
        .field("peers", listen.peers)
        .field("bootstrap", shared.settings.bootstrap)
        .log();
    stop(&shared, &connections).await;
    Ok(())
}

async fn bind(address: SocketAddr) -> Result<TcpListener, RunError> {
    TcpListener::bind(address)
        .await
        .map_err(|error| RunError::Listen(address, error))
}

async fn tick(shared: Rc<Shared>) {
    let mut ticks = interval(Duration::from_millis(TICK_MS));
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut sweep_at = shared.now();
    loop {
        ticks.tick().await;
        shared.on_tick();
        let now = shared.now();
        if now >= sweep_at {
            sweep_at = now + SWEEP_MS;
            shared.pool.sweep();
            shared.guard.on_tick(&shared.metrics);
        }
    }
}

async fn claim_engines(shared: Rc<Shared>) {
    let known_from = shared.now() + STARTUP_WAIT_MS;
    loop {
        if !shared.is_stopping() {
            let known = shared.now() >= known_from;
            shared.holding.claim(&shared, known).await;
        }
        sleep(Duration::from_millis(CLAIM_MS)).await;
    }
}

/// Rereads the settings file on SIGHUP. It only reports changes, which take effect with a restart.
async fn reload_settings(path: PathBuf, shared: Rc<Shared>) {
    let Ok(mut hangups) = signal(SignalKind::hangup()) else {
        return;
    };
    while hangups.recv().await.is_some() {
        match RelaySettings::read(&path) {
            Ok(settings) => Line::new(&kind::SETTINGS_READ)
                .field("changed", settings != shared.settings)
                .log(),
            Err(error) => Line::new(&kind::SETTINGS_INVALID)
                .field("error", error)
                .log(),
        }
    }
}

/// Waits for SIGTERM, and then for the requests in flight.
async fn stop(shared: &Rc<Shared>, connections: &Connections) {
    let Ok(mut terminate) = signal(SignalKind::terminate()) else {
        std::future::pending::<()>().await;
        return;
    };
    terminate.recv().await;
    let plan = shared.on_stop();
    Line::new(&kind::STOP_BEGUN)
        .field("connections", connections.open())
        .log();
    let withdrawn = shared.borders.store.withdraw(&shared.settings.instance);
    match timeout(until(shared, plan.closes_idle_at), withdrawn).await {
        Ok(Ok(())) => {}
        Ok(Err(error)) => log::debug!("the announcement was not withdrawn: {error}"),
        Err(_) => log::debug!("the announcement was not withdrawn in time"),
    }
    sleep(until(shared, plan.closes_idle_at)).await;
    connections.close_idle();
    while connections.open() > 0 && shared.now() < plan.ends_at {
        sleep(Duration::from_millis(STOP_CHECK_MS)).await;
    }
    // Waiting for the store must not exceed the grace period.
    tokio::select! {
        () = shared.holding.release(shared) => {}
        () = sleep(until(shared, plan.exits_by)) => {}
    }
    Line::new(&kind::STOPPED)
        .field("instance", &shared.settings.instance)
        .log();
}

fn until(shared: &Shared, at: UnixMs) -> Duration {
    Duration::from_millis(at.ms_since(shared.now()))
}

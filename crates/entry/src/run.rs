//! Runs an entry instance until a planned stop.

use displaydoc::Display;
use thiserror::Error;
use tokio::signal::unix::{SignalKind, signal};

use crate::entry::{Entry, StartError};
use crate::platform::Platform;
use crate::settings::Settings;

/// Error that ends the process.
#[derive(Debug, Display, Error)]
pub enum RunError {
    /// the runtime can't be started: {0}
    Runtime(#[from] std::io::Error),
    /// {0}
    Start(#[from] StartError),
}

/// Runs an instance until SIGTERM, SIGINT or an operator's request, then performs a planned stop.
///
/// # Errors
///
/// Fails if the instance can't be started.
pub fn run(settings: Settings) -> Result<(), RunError> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()?;
    runtime.block_on(serve(settings))
}

async fn serve(settings: Settings) -> Result<(), RunError> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let platform = Platform::connect(&settings);
    let entry = Entry::start(settings, platform).await?;
    let drain_requested = entry.drain_requested();
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
        () = drain_requested.cancelled() => {}
    }
    entry.drain().await;
    Ok(())
}

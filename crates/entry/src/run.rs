//! The life of the process.

use displaydoc::Display;
use thiserror::Error;
use tokio::signal::unix::{SignalKind, signal};

use crate::entry::{Entry, StartError};
use crate::platform::Platform;
use crate::settings::Settings;

/// Why the process ended in failure.
#[derive(Debug, Display, Error)]
pub enum RunError {
    /// the runtime can't be started: {0}
    Runtime(#[from] std::io::Error),
    /// {0}
    Start(#[from] StartError),
}

/// Serves until a planned stop has ended.
///
/// # Errors
///
/// Fails when the instance can't start.
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
    let drain_asked = entry.drain_asked();
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
        () = drain_asked.cancelled() => {}
    }
    entry.drain().await;
    Ok(())
}

//! Runs the command line's choice until it is interrupted.

use std::fs;
use std::io;
use std::path::{Path, PathBuf};
use std::sync::Arc;

use displaydoc::Display;
use serde::de::DeserializeOwned;
use serde_json::json;
use thiserror::Error;
use tokio::signal::unix::{SignalKind, signal};

use crate::cli::{Command, Listen};
use crate::control::{Control, Controlled};
use crate::engine::{Engine, EngineSettings};
use crate::fleet::Fleet;
use crate::instances::Instances;
use crate::server::{Running, StandIn};
use crate::service::{Service, ServiceSettings};
use crate::store::Store;
use crate::weights::{HttpWeights, Weights};

/// Why nothing runs.
#[derive(Debug, Display, Error)]
pub enum RunError {
    /// file "{file}" can't be read: {error}
    Unreadable {
        /// The file.
        file: PathBuf,
        /// Why.
        error: io::Error,
    },
    /// file "{file}": {error}
    BadSettings {
        /// The file.
        file: PathBuf,
        /// What is wrong and where.
        error: Box<toml::de::Error>,
    },
    /// a listener can't be started: {0}
    NotStarted(#[from] io::Error),
}

impl RunError {
    /// The exit code for it.
    ///
    /// ```
    /// # use monsoonspread_standin::run::RunError;
    /// let error = RunError::NotStarted(std::io::ErrorKind::AddrInUse.into());
    /// assert_eq!(error.exit_code(), 1);
    /// ```
    pub fn exit_code(&self) -> u8 {
        match self {
            Self::NotStarted(_) => 1,
            Self::Unreadable { .. } | Self::BadSettings { .. } => 2,
        }
    }
}

/// Runs `command` until the process is interrupted or terminated.
///
/// # Errors
///
/// Fails on bad settings and when a listener can't be started.
pub async fn run(command: Command) -> Result<(), RunError> {
    match command {
        Command::Store(listen) => {
            let store = Store::start_at(settings(&listen)?, listen.listen).await?;
            serve("store", store, &listen, None).await
        }
        Command::Instances(listen) => {
            let list = Instances::start_at(settings(&listen)?, listen.listen).await?;
            let target = Some(Arc::clone(list.target()));
            serve("instances", list, &listen, target).await
        }
        Command::Weights(listen) => {
            let weights = Weights::start_at(settings(&listen)?, listen.listen).await?;
            serve("weights", weights, &listen, None).await
        }
        Command::Engine { weights, listen } => {
            let source = Arc::new(HttpWeights::new(weights));
            let settings: EngineSettings = settings(&listen)?;
            let name = settings.name.clone();
            let engine = Engine::start_at(settings, source, listen.listen).await?;
            serve(&name, engine, &listen, None).await
        }
        Command::Service(listen) => {
            let settings: ServiceSettings = settings(&listen)?;
            let name = settings.name.clone();
            let service = Service::start_at(settings, listen.listen).await?;
            serve(&name, service, &listen, None).await
        }
        Command::All { plan } => {
            let fleet = Fleet::start(&read(&plan)?).await?;
            println!("{}", fleet.addresses());
            interrupted().await?;
            fleet.stop().await;
            Ok(())
        }
    }
}

async fn serve<T: StandIn>(
    name: &str,
    running: Running<T>,
    listen: &Listen,
    instances: Option<Arc<Instances>>,
) -> Result<(), RunError> {
    let targets = vec![Controlled::new(name, &running)];
    let control = Control::new(targets, instances)
        .start_at(listen.control)
        .await?;
    let addresses = json!({
        "name": name,
        "address": running.address(),
        "control": control.address(),
    });
    println!("{addresses}");
    interrupted().await?;
    control.stop().await;
    running.stop().await;
    Ok(())
}

fn settings<T: Default + DeserializeOwned>(listen: &Listen) -> Result<T, RunError> {
    listen
        .config
        .as_deref()
        .map_or_else(|| Ok(T::default()), read)
}

fn read<T: DeserializeOwned>(file: &Path) -> Result<T, RunError> {
    let text = fs::read_to_string(file).map_err(|error| RunError::Unreadable {
        file: file.to_owned(),
        error,
    })?;
    toml::from_str(&text).map_err(|error| RunError::BadSettings {
        file: file.to_owned(),
        error: Box::new(error),
    })
}

async fn interrupted() -> io::Result<()> {
    let mut terminated = signal(SignalKind::terminate())?;
    tokio::select! {
        result = tokio::signal::ctrl_c() => result,
        _ = terminated.recv() => Ok(()),
    }
}

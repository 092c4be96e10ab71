//! Model engines: continuous batching, adapter slots, streamed answers, orders.

mod api;
mod batch;
mod chunk;
mod command;
mod core;
mod counters;
mod fencing;
mod prefix_cache;
mod prompt;
mod sequence;
mod settings;
mod slots;
mod task;
#[cfg(test)]
mod tests;

pub use core::CRASH_TEXT;
pub use counters::EngineCounters;
pub use settings::EngineSettings;

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use tokio::sync::mpsc;

use crate::fault::FaultState;
use crate::server::Running;
use crate::weights::WeightSource;
use command::Command;
use task::Task;

/// A model engine.
#[derive(Debug)]
pub struct Engine {
    commands: mpsc::UnboundedSender<Command>,
}

impl Engine {
    /// Starts an engine on a port that the system chooses.
    ///
    /// # Errors
    ///
    /// Fails when no port can be bound.
    ///
    /// ```
    /// # use std::sync::Arc;
    /// # tokio::runtime::Runtime::new().unwrap().block_on(async {
    /// # use monsoonspread_standin::{Engine, EngineSettings, Weights, WeightsSettings};
    /// let weights = Weights::start(WeightsSettings::default()).await.unwrap();
    /// let source = Arc::clone(weights.target()) as _;
    /// let engine = Engine::start(EngineSettings::default(), source).await.unwrap();
    /// assert_eq!(engine.did().await.runs, 0);
    /// # });
    /// ```
    pub async fn start(
        settings: EngineSettings,
        weights: Arc<dyn WeightSource>,
    ) -> io::Result<Running<Self>> {
        Self::start_at(settings, weights, crate::LOOPBACK).await
    }

    /// Starts an engine at `address`.
    ///
    /// # Errors
    ///
    /// Fails when the address can't be bound.
    ///
    /// ```
    /// # use std::sync::Arc;
    /// # tokio::runtime::Runtime::new().unwrap().block_on(async {
    /// # use monsoonspread_standin::weights::HttpWeights;
    /// # use monsoonspread_standin::{Engine, EngineSettings, LOOPBACK};
    /// let weights = Arc::new(HttpWeights::new("127.0.0.1:9300".parse().unwrap()));
    /// let settings = EngineSettings::default();
    /// assert!(Engine::start_at(settings, weights, LOOPBACK).await.is_ok());
    /// # });
    /// ```
    pub async fn start_at(
        settings: EngineSettings,
        weights: Arc<dyn WeightSource>,
        address: SocketAddr,
    ) -> io::Result<Running<Self>> {
        let faults = Arc::new(FaultState::new(settings.cold_start()));
        let (commands, receiver) = mpsc::unbounded_channel();
        let task = Task::new(
            settings,
            Arc::clone(&faults),
            weights,
            receiver,
            commands.downgrade(),
        );
        tokio::spawn(task.run());
        Running::start(Self { commands }, faults, address).await
    }

    /// What it did so far.
    ///
    /// ```
    /// # use monsoonspread_standin::{Fleet, Plan};
    /// # tokio::runtime::Runtime::new().unwrap().block_on(async {
    /// let fleet = Fleet::start(&Plan::default().with_zone("zone-1", 1, &[])).await.unwrap();
    /// assert_eq!(fleet.engines[0].running.did().await.pin_violations, 0);
    /// # });
    /// ```
    pub async fn did(&self) -> EngineCounters {
        self.ask(Command::Counters).await.unwrap_or_default()
    }
}

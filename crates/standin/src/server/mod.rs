//! The HTTP server under every stand-in.

mod answer;
mod connection;
mod running;

pub use answer::{Answer, AnswerBody, json};
pub(crate) use answer::{TookEffect, drop_connection, empty, not_run, streamed};
pub use running::Running;

use std::sync::Arc;

use async_trait::async_trait;
use hyper::Request;
use hyper::body::Incoming;
use serde_json::Value;

/// Header by which an upstream says that it did not run a request.
pub const NOT_RUN_HEADER: &str = "x-not-run";
/// Header that names the calling instance.
pub const PEER_HEADER: &str = "x-peer";

/// What one stand-in does with requests, faults aside.
#[async_trait]
pub trait StandIn: Send + Sync + 'static {
    /// Answers one request.
    async fn handle(self: Arc<Self>, request: Request<Incoming>) -> Answer;

    /// Forgets what a process forgets when it dies.
    fn crash(&self) {}

    /// Figures for tests and reports.
    async fn counters(&self) -> Value;
}

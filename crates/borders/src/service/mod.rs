//! The interface to plain services.

mod http_service;

pub use http_service::{HttpService, IDEMPOTENCY_KEY_HEADER};

use async_trait::async_trait;
use displaydoc::Display;
use thiserror::Error;

/// The answer of a plain service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ServiceReply {
    /// HTTP status; any status counts as an answer.
    pub status: u16,
    /// Media type of the body.
    pub content_type: String,
    /// The body.
    pub body: Vec<u8>,
}

/// Why a call has no answer.
#[derive(Clone, Debug, Display, Eq, Error, PartialEq)]
pub enum ServiceError {
    /// no connection to the service: {0}
    Unreachable(String),
    /// the service said that it did not run the call: {0}
    NotRun(String),
    /// the service's answer was lost, the call may have run: {0}
    AnswerLost(String),
}

/// A server of a plain service.
#[async_trait]
pub trait Service: Send + Sync {
    /// Makes a call; sends it at most once.
    async fn call(
        &self,
        call: &str,
        body: &[u8],
        idempotency_key: Option<&str>,
        timeout_ms: u64,
    ) -> Result<ServiceReply, ServiceError>;
}

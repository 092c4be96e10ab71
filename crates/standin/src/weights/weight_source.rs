//! Where engines get weights from.

use async_trait::async_trait;
use displaydoc::Display;
use thiserror::Error;

/// the weights can't be fetched: {0}
#[derive(Clone, Debug, Display, Eq, Error, PartialEq)]
pub struct FetchError(pub String);

/// A source of weights.
#[async_trait]
pub trait WeightSource: Send + Sync {
    /// Fetches the weights of `adapter`; returns when they are here.
    async fn fetch(&self, adapter: &str) -> Result<(), FetchError>;
}

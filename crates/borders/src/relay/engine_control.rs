//! Orders to engines.

use std::net::SocketAddr;

use async_trait::async_trait;
use monsoonspread_model::UpstreamName;
use monsoonspread_model::fleet::{Holdings, Order, OrderAnswer};

use super::UpstreamWord;

/// An engine's answer, and what it says of itself beside it.
#[derive(Clone, Debug, PartialEq)]
pub struct Said<T> {
    /// The answer.
    pub answer: T,
    /// What the engine says of itself.
    pub word: UpstreamWord,
}

/// Orders to engines, in the name of this instance.
#[async_trait(?Send)]
pub trait EngineControl {
    /// Sends an order with the fencing number `fence`; without an answer in `wait_ms` it counts as
    /// unanswered.
    async fn order(
        &self,
        upstream: &UpstreamName,
        address: SocketAddr,
        fence: u64,
        order: &Order,
        wait_ms: u64,
    ) -> Said<OrderAnswer>;

    /// Reads what an engine holds; an error says what went wrong.
    async fn report(
        &self,
        upstream: &UpstreamName,
        address: SocketAddr,
    ) -> Said<Result<Holdings, String>>;
}

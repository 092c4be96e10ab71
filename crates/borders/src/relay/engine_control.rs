//! Orders to engines.

use std::net::SocketAddr;

use async_trait::async_trait;
use monsoonspread_model::UpstreamName;
use monsoonspread_model::fleet::{Holdings, Order, OrderAnswer};

use super::UpstreamAnnouncement;

/// An engine's answer, and what it says of itself beside it.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineReply<T> {
    /// The answer.
    pub answer: T,
    /// What the engine says of itself.
    pub announcement: UpstreamAnnouncement,
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
    ) -> EngineReply<OrderAnswer>;

    /// Reads what an engine holds; an error says what went wrong.
    async fn report(
        &self,
        upstream: &UpstreamName,
        address: SocketAddr,
    ) -> EngineReply<Result<Holdings, String>>;
}

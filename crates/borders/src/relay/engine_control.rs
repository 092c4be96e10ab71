//! Orders to engines and reports of what they hold.

use std::net::SocketAddr;

use async_trait::async_trait;
use monsoonspread_model::UpstreamName;
use monsoonspread_model::fleet::{Holdings, Order, OrderAnswer};

use super::UpstreamAnnouncement;

/// An engine's answer to an order or a report request, with its announcement.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineReply<T> {
    /// The answer, or what stands for it if none arrived.
    pub answer: T,
    /// What the engine announces about itself; the default if no answer arrived.
    pub announcement: UpstreamAnnouncement,
}

/// Sends orders and report requests to engines on behalf of this instance.
#[async_trait(?Send)]
pub trait EngineControl {
    /// Sends an order with the fencing number `fence`; after `wait_ms` without an answer the result
    /// is [`OrderAnswer::Unanswered`].
    async fn order(
        &self,
        upstream: &UpstreamName,
        address: SocketAddr,
        fence: u64,
        order: &Order,
        wait_ms: u64,
    ) -> EngineReply<OrderAnswer>;

    /// Reads what an engine holds; an error is a message for the log.
    async fn report(
        &self,
        upstream: &UpstreamName,
        address: SocketAddr,
    ) -> EngineReply<Result<Holdings, String>>;
}

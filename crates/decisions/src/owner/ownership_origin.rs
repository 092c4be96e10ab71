//! Circumstances in which an instance became the owner of an upstream.

use monsoonspread_model::message::Handover;

/// How an instance became the owner of an upstream, which determines its initial knowledge.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum OwnershipOrigin {
    /// No instance owned it before.
    Fresh,
    /// The former owner is unresponsive or lost the ownership; its grants and copies are unknown.
    Takeover,
    /// The former owner handed it over with its grants and sends no more orders.
    Handover(Handover),
}

//! How an instance came to own an upstream.

use monsoonspread_model::message::Handover;

/// How an instance came to own an upstream, which decides what it knows of it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum OwnershipOrigin {
    /// No instance owned it before.
    Fresh,
    /// The former owner fell silent or lost it; its grants and copies are not known.
    Takeover,
    /// The former owner gave it away with its grants and gives no order any more.
    Handover(Handover),
}

//! Grants, queues, loads and evictions of owned upstreams.
//!
//! [`OwnerSet`] holds every upstream that one entry instance owns. Instances ask it for
//! grants; it counts adapter slots, pins and batch places exactly, queues what has to wait,
//! and decides which adapter is loaded next within the instance's share of the weight store.

mod action;
mod copies;
mod copy;
mod dump;
mod endings;
mod event;
mod exercise;
mod exit;
mod grants;
mod load_budget;
mod load_failures;
mod load_plan;
mod load_waits;
mod order_failure;
mod outstanding;
mod own_origin;
mod owned;
mod owned_estimates;
mod owned_grants;
mod owned_loads;
mod owned_orders;
mod owned_reports;
mod owned_succession;
mod place_shares;
mod popularity;
mod reconciliation;
mod request_key;
mod set;
mod set_budget;
mod set_orders;
mod set_succession;
mod settings;
mod speed;
mod upstream_shape;
mod wait_queue;
mod waiting;

#[cfg(test)]
mod tests;

pub use action::OwnerAction;
pub use dump::{CopyDump, OwnedDump, OwnerDump};
pub use event::OwnerEvent;
pub use exercise::Exercise;
pub use load_waits::LoadWaits;
pub use order_failure::OrderFailure;
pub use own_origin::OwnOrigin;
pub use set::OwnerSet;
pub use settings::OwnerSettings;
pub use speed::Speed;
pub use upstream_shape::UpstreamShape;

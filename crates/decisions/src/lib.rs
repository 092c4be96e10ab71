//! Every decision of monsoonspread, as state machines without sockets, clocks or tasks.
//!
//! A machine takes events with the current time and returns actions. Whoever drives it
//! delivers the events and carries out the actions; randomness comes from a seed.

pub mod bundle_spread;
pub mod claims;
pub mod dispatch;
pub mod membership;
pub mod owner;
pub mod ownership;
pub mod placement;
pub mod quarantine;
pub mod retry_budget;
pub mod service_route;
pub mod straggler;

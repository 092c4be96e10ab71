//! Every decision of monsoonspread, as state machines without sockets, clocks or tasks.
//!
//! A machine takes events with the current time and returns actions. Whoever drives it
//! delivers the events and carries out the actions; randomness comes from a seed.

pub mod announced;
pub mod bundle_spread;
pub mod change_feed;
pub mod claims;
pub mod copies;
pub mod dispatch;
pub mod event_splitter;
pub mod holders;
pub mod load_choice;
pub mod membership;
pub mod owner;
pub mod ownership;
pub mod placement;
pub mod quarantine;
pub mod retry_budget;
pub mod route_table;
pub mod service_route;
pub mod store_health;
pub mod straggler;

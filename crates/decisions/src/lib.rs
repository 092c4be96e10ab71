//! Decision logic of monsoonspread, as state machines without sockets, clocks or tasks.
//!
//! A machine receives events with the current time and returns actions. Its driver delivers the
//! events and carries out the actions. All randomness is seeded.

pub mod adapter_versions;
pub mod announced;
pub mod answer_end;
pub mod bundle_spread;
pub mod capacity;
pub mod change_feed;
pub mod claims;
pub mod config_age;
pub mod config_check;
pub mod connection_share;
pub mod copies;
pub mod dispatch;
pub mod event_splitter;
pub mod holders;
pub mod load_choice;
pub mod membership;
pub mod memory_budget;
pub mod owner;
pub mod ownership;
pub mod placement;
pub mod quarantine;
pub mod rate_limit;
pub mod retry_budget;
pub mod room;
pub mod route_table;
pub mod service_route;
pub mod stop_plan;
pub mod store_health;
pub mod straggler;

//! The process that relays requests to upstreams, on any platform.
//!
//! Everything runs on one thread. Decisions are made by the state machines of
//! `monsoonspread-decisions`; this crate delivers their events and performs their actions.

pub mod clock;
pub mod event;
pub mod settings;

mod borders;
mod call;
mod connection;
mod end_check;
mod error;
mod fleet;
mod gossip;
mod guard;
mod holding;
mod http;
mod limits;
mod metrics;
mod peer_dispatcher;
mod peers;
mod retries;
mod room;
mod run;
mod shared;
mod suspects;

pub use borders::Borders;
pub use error::RunError;
pub use run::run;
pub use settings::RelaySettings;

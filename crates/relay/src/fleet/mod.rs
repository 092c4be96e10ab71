//! What is known of the operators' configuration, upstreams and instances.

mod changes;
mod view;
mod watcher;

pub use changes::FleetEvent;
pub use view::{FleetView, StoreReach};
pub use watcher::watch_store;

//! What is known of the operators' configuration, upstreams and instances.

mod changes;
mod followers;
mod source;
mod view;
mod watcher;

pub use changes::FleetEvent;
pub use followers::Followers;
pub use view::FleetView;
pub use watcher::watch_store;

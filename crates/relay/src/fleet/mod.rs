//! Known state of the operators' configuration, upstreams and instances.

mod announcements;
mod changes;
mod confirmation;
mod invalid_entries;
mod restored;
mod subscribers;
mod subscription;
mod view;
mod watcher;

pub use changes::FleetEvent;
pub use subscribers::Subscribers;
pub use view::FleetView;
pub use watcher::watch_store;

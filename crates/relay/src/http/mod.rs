//! Listeners for clients and for the platform.

mod clients;
mod metrics;
mod readiness;

pub use clients::{Connections, serve_clients};
pub use metrics::serve_metrics;

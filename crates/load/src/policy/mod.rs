//! Policies: where a request is sent.

mod hash;
mod least_loaded;
mod random;

use std::net::SocketAddr;

use crate::client::{Target, wanted_model};
use crate::plan::PlannedRequest;

pub use hash::HashAffinity;
pub use least_loaded::LeastLoaded;
pub use random::Random;

/// Decides where requests are sent.
pub trait Policy: Send + Sync {
    /// Where to send `request`, which could not be sent to the `tried` addresses.
    fn target(&self, request: &PlannedRequest, tried: &[SocketAddr]) -> Option<Target>;
}

fn untried<'a>(
    engines: &'a [SocketAddr],
    tried: &'a [SocketAddr],
) -> impl Iterator<Item = SocketAddr> + 'a {
    engines
        .iter()
        .copied()
        .filter(|engine| !tried.contains(engine))
}

/// Sends `request` straight to an engine.
fn direct_target(engine: SocketAddr, request: &PlannedRequest) -> Target {
    Target {
        address: engine,
        model: wanted_model(request),
        api_key: None,
    }
}

//! Policies: where a request is sent.

mod hash;
mod least_loaded;
mod monsoonspread;
mod name;
mod random;

use std::net::SocketAddr;

use async_trait::async_trait;

use crate::client::{Target, wanted_model};
use crate::plan::PlannedRequest;

pub use hash::HashAffinity;
pub use least_loaded::LeastLoaded;
pub use monsoonspread::Monsoonspread;
pub use name::PolicyName;
pub use random::Random;

/// Decides where requests are sent.
#[async_trait]
pub trait Policy: Send + Sync {
    /// Where to send `request`, which could not be sent to the `tried` addresses.
    fn target(&self, request: &PlannedRequest, tried: &[SocketAddr]) -> Option<Target>;

    /// Whether clients send a request again elsewhere that was refused as not run.
    fn retries_refusals(&self) -> bool {
        true
    }

    /// Time that requests have waited for loads so far, as far as the engines don't count it.
    async fn load_wait_ms(&self) -> u64 {
        0
    }

    /// Stops what the policy started.
    async fn stop(&self) {}
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

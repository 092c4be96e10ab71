//! Who is next where a plain service has less room than requests.
//!
//! The servers of a service form pools of a few servers. One instance, the keeper of a pool, grants the places
//! of its servers and queues the requests that find none. All instances find it by rendezvous hash over the
//! listed instances, without a lease: two keepers for a moment cost some rejected calls, but break no rule.
//! Instances ask only while answers show contention.

mod action;
mod arrivals;
mod keeper;
mod place_end;
mod request;
mod server;
#[cfg(test)]
mod tests;
mod wait_queue;

pub use action::RoomAction;
pub use keeper::{RoomDump, RoomKeeper, RoomServerDump};
pub use place_end::{PlaceEnd, ReportedLoad};
pub use request::{PlaceId, PlaceRequest};
pub use server::RoomServer;

use monsoonspread_model::{InstanceName, ServiceName, UpstreamName};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Servers of a pool, on average, at most: one keeper then handles a few thousand calls a second.
const POOL_SERVERS: usize = 8;

/// Returns the number of pools of a service with this many servers: a power of two, so that it changes rarely.
///
/// ```
/// # use monsoonspread_decisions::room::pools;
/// assert_eq!((pools(3), pools(8), pools(9), pools(40)), (1, 1, 2, 8));
/// ```
pub fn pools(servers: usize) -> u32 {
    servers.div_ceil(POOL_SERVERS).next_power_of_two() as u32
}

/// Returns the pool of a server.
///
/// ```
/// # use monsoonspread_decisions::room::pool_of;
/// assert_eq!(pool_of(&"server-1".into(), 1), 0);
/// ```
pub fn pool_of(server: &UpstreamName, pools: u32) -> u32 {
    let hash = xxh3_64_with_seed(server.as_str().as_bytes(), 0);
    (hash % u64::from(pools.max(1))) as u32
}

/// Returns the keeper of a pool; `None` without instances.
///
/// ```
/// # use monsoonspread_decisions::room::keeper;
/// # use monsoonspread_model::InstanceName;
/// let instances: [InstanceName; 3] = ["a".into(), "b".into(), "c".into()];
/// let service = "records".into();
/// let chosen = keeper(&service, 0, instances.iter()).expect("an instance");
/// assert_eq!(keeper(&service, 0, instances.iter().rev()), Some(chosen));
/// ```
pub fn keeper<'a>(
    service: &ServiceName,
    pool: u32,
    instances: impl Iterator<Item = &'a InstanceName>,
) -> Option<&'a InstanceName> {
    let seed = xxh3_64_with_seed(service.as_str().as_bytes(), u64::from(pool) + 1);
    instances.max_by_key(|instance| {
        let score = xxh3_64_with_seed(instance.as_str().as_bytes(), seed);
        (score, *instance)
    })
}

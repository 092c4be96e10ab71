//! How many idle connections to an upstream an instance keeps.
//!
//! An upstream accepts a number of connections from all instances together and resets those beyond it, with
//! the requests on them. Connections that each instance keeps for itself add up.

#[cfg(test)]
mod tests;

/// Share of the connections that an upstream accepts which may be idle, in percent; the others are left for
/// requests in flight, and for instances that have more of them than others.
const IDLE_SHARE_PERCENT: usize = 50;

/// Returns how many idle connections an instance keeps to an upstream that accepts `max_connections` of all
/// `instances`; at least one, as a connection for each request costs more.
///
/// ```
/// use monsoonspread_decisions::connection_share::idle_connections;
///
/// assert_eq!(idle_connections(540, 80), 3);
/// assert_eq!(idle_connections(540, 7), 38);
/// assert_eq!(idle_connections(540, 1_700), 1);
/// ```
pub fn idle_connections(max_connections: u32, instances: usize) -> usize {
    let idle = max_connections as usize * IDLE_SHARE_PERCENT / 100;
    (idle / instances.max(1)).max(1)
}

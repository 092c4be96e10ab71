//! Membership state for the state dump.

use std::net::SocketAddr;

use monsoonspread_model::{InstanceName, UnixMs};
use serde::Serialize;

/// Membership state of one instance.
#[derive(Clone, Debug, Serialize)]
pub struct MembershipDump {
    /// Incarnation of the local instance.
    pub incarnation: u64,
    /// All other members, including dead ones.
    pub members: Vec<MemberDump>,
    /// Number of unanswered probes.
    pub open_probes: usize,
    /// Number of updates still being disseminated.
    pub queued_updates: usize,
}

/// Known state of one member.
#[derive(Clone, Debug, Serialize)]
pub struct MemberDump {
    /// Name of the member.
    pub name: InstanceName,
    /// Address of its mesh listener.
    pub address: SocketAddr,
    /// Incarnation of the latest update.
    pub incarnation: u64,
    /// Health according to the latest update.
    pub health: &'static str,
    /// 0 if not suspected, 1 if suspected, 2 if a probe by the local instance confirmed it.
    pub suspicion_grade: u32,
    /// When the health or the suspicion grade last changed.
    pub changed_at_unix_ms: UnixMs,
    /// Whether it is in the platform's list.
    pub listed: bool,
}

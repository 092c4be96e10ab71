//! State dump of membership.

use std::net::SocketAddr;

use monsoonspread_model::{InstanceName, UnixMs};
use serde::Serialize;

/// What an instance knows of its zone.
#[derive(Clone, Debug, Serialize)]
pub struct MembershipDump {
    /// Its own incarnation.
    pub incarnation: u64,
    /// Every member, dead ones included.
    pub members: Vec<MemberDump>,
    /// Probes without an answer yet.
    pub open_probes: usize,
    /// Updates that are still being told.
    pub queued_updates: usize,
}

/// What an instance knows of one member.
#[derive(Clone, Debug, Serialize)]
pub struct MemberDump {
    /// Its name.
    pub name: InstanceName,
    /// Its mesh listener.
    pub address: SocketAddr,
    /// Orders what is said of it.
    pub incarnation: u64,
    /// What is said of it.
    pub health: &'static str,
    /// 0 for not suspected, 1 for a suspect, 2 when an own probe confirmed it.
    pub suspicion_grade: u32,
    /// When that changed.
    pub changed_at_unix_ms: UnixMs,
    /// Whether the platform's list names it.
    pub listed: bool,
}

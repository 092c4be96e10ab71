//! Members of a zone.

use std::net::SocketAddr;

use monsoonspread_model::message::{Health, MemberUpdate};
use monsoonspread_model::{InstanceName, UnixMs};

use super::Incarnation;

/// An instance and its mesh listener.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Member {
    /// Name of the instance.
    pub name: InstanceName,
    /// Address of its mesh listener.
    pub address: SocketAddr,
}

/// Latest known state of another instance.
#[derive(Clone, Debug)]
pub(super) struct MemberState {
    pub(super) address: SocketAddr,
    pub(super) incarnation: Incarnation,
    pub(super) health: Health,
    /// Whether any update about it was received; being listed alone does not make a member.
    pub(super) reported: bool,
    pub(super) listed: bool,
    pub(super) changed_at: UnixMs,
    /// Whether a probe by the local instance failed after the suspicion began.
    pub(super) suspicion_confirmed: bool,
}

impl MemberState {
    /// State of an instance known only from the list.
    pub(super) fn listed(address: SocketAddr, now: UnixMs) -> Self {
        Self {
            address,
            incarnation: Incarnation(0),
            health: Health::Alive,
            reported: false,
            listed: true,
            changed_at: now,
            suspicion_confirmed: false,
        }
    }

    pub(super) fn update(&self, name: &InstanceName) -> MemberUpdate {
        MemberUpdate {
            member: name.clone(),
            address: self.address,
            incarnation: self.incarnation.0,
            health: self.health,
        }
    }

    /// Whether `update` is newer than the known state.
    pub(super) fn is_superseded_by(&self, update: &MemberUpdate) -> bool {
        let known = (self.incarnation, self.health);
        !self.reported || known < (Incarnation(update.incarnation), update.health)
    }

    /// 0 if not suspected, 1 if suspected, 2 if a probe by the local instance confirmed it.
    pub(super) fn suspicion_grade(&self) -> u32 {
        let suspected = self.health == Health::Suspect;
        u32::from(suspected) + u32::from(suspected && self.suspicion_confirmed)
    }

    /// Whether it is probed in the regular round.
    pub(super) fn is_probed(&self) -> bool {
        self.health != Health::Dead
    }
}

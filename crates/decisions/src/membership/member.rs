//! Members of a zone.

use std::net::SocketAddr;

use monsoonspread_model::message::{Health, MemberUpdate};
use monsoonspread_model::{InstanceName, UnixMs};

use super::Incarnation;

/// An instance and its mesh listener.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Member {
    /// Its name.
    pub name: InstanceName,
    /// Its mesh listener.
    pub address: SocketAddr,
}

/// What one instance knows of another.
#[derive(Clone, Debug)]
pub(super) struct MemberState {
    pub(super) address: SocketAddr,
    pub(super) incarnation: Incarnation,
    pub(super) health: Health,
    /// Whether anybody has heard of it; the list alone does not make a member.
    pub(super) heard: bool,
    pub(super) listed: bool,
    pub(super) changed_at: UnixMs,
    /// Whether a probe of this instance failed after the suspicion had begun.
    pub(super) suspicion_confirmed: bool,
}

impl MemberState {
    /// A member known from the list alone.
    pub(super) fn listed(address: SocketAddr, now: UnixMs) -> Self {
        Self {
            address,
            incarnation: Incarnation(0),
            health: Health::Alive,
            heard: false,
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

    /// Whether `update` says something newer.
    pub(super) fn is_older_than(&self, update: &MemberUpdate) -> bool {
        let known = (self.incarnation, self.health);
        !self.heard || known < (Incarnation(update.incarnation), update.health)
    }

    /// 0 for a member not suspected, 1 for a suspect, 2 when an own probe confirmed it.
    pub(super) fn suspicion_grade(&self) -> u32 {
        let suspected = self.health == Health::Suspect;
        u32::from(suspected) + u32::from(suspected && self.suspicion_confirmed)
    }

    /// Whether it is probed in the round.
    pub(super) fn is_probed(&self) -> bool {
        self.health != Health::Dead
    }
}

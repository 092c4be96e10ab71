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
    /// Whether this instance's own probe failed since it is suspected.
    pub(super) own_probe_failed: bool,
    /// Whether others say that it is suspect.
    pub(super) others_suspect: bool,
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
            own_probe_failed: false,
            others_suspect: false,
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

    /// Notes who suspects it: this instance itself or others.
    pub(super) fn note_suspicion(&mut self, own: bool) {
        self.own_probe_failed |= own;
        self.others_suspect |= !own;
    }

    /// How many independent sources suspect it, at most two.
    pub(super) fn suspicion_grade(&self) -> u32 {
        u32::from(self.own_probe_failed) + u32::from(self.others_suspect)
    }

    /// Whether it is probed in the round.
    pub(super) fn is_probed(&self) -> bool {
        self.health != Health::Dead
    }
}

//! The set of known members.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use monsoonspread_model::message::{Health, MemberUpdate};
use monsoonspread_model::{InstanceName, UnixMs};

use super::Incarnation;
use super::member::MemberState;

/// Every other instance that is listed or about which an update was received.
#[derive(Clone, Debug, Default)]
pub(super) struct Members {
    states: BTreeMap<InstanceName, MemberState>,
}

/// The effect of an update.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) struct MemberChange {
    pub(super) before: Option<Health>,
    pub(super) after: Health,
    pub(super) restarted: bool,
}

impl Members {
    pub(super) fn get(&self, name: &InstanceName) -> Option<&MemberState> {
        self.states.get(name)
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = (&InstanceName, &MemberState)> {
        self.states.iter()
    }

    /// Members about which an update was received.
    pub(super) fn known(&self) -> impl Iterator<Item = (&InstanceName, &MemberState)> {
        self.states.iter().filter(|(_, state)| state.reported)
    }

    /// Sets the list. Adds instances that are new; does not revive dead ones.
    pub(super) fn set_listed(&mut self, now: UnixMs, listed: &BTreeMap<InstanceName, SocketAddr>) {
        for (name, address) in listed {
            self.states
                .entry(name.clone())
                .or_insert_with(|| MemberState::listed(*address, now));
        }
        for (name, state) in &mut self.states {
            state.listed = listed.contains_key(name);
        }
        self.states
            .retain(|_, state| state.reported || state.listed);
    }

    /// Removes unlisted members that have been dead for `forget_ms`.
    pub(super) fn forget(&mut self, now: UnixMs, forget_ms: u64) {
        self.states.retain(|_, state| {
            state.health != Health::Dead || state.listed || now < state.changed_at + forget_ms
        });
    }

    /// Restarts the timeout of every suspicion.
    pub(super) fn restart_suspicions(&mut self, now: UnixMs) {
        let suspects = self.states.values_mut();
        for state in suspects.filter(|state| state.health == Health::Suspect) {
            state.changed_at = now;
        }
    }

    /// Applies an update from the local instance (`by_local`) or from another; `None` when it is
    /// not newer than the known state.
    pub(super) fn apply(
        &mut self,
        now: UnixMs,
        by_local: bool,
        update: &MemberUpdate,
    ) -> Option<MemberChange> {
        let incarnation = Incarnation(update.incarnation);
        let state = self
            .states
            .entry(update.member.clone())
            .or_insert_with(|| MemberState {
                listed: false,
                ..MemberState::listed(update.address, now)
            });
        let repeated = (state.incarnation, state.health) == (incarnation, Health::Suspect);
        if by_local && repeated && update.health == Health::Suspect && !state.suspicion_confirmed {
            state.suspicion_confirmed = true;
            state.changed_at = now;
        }
        if !state.is_superseded_by(update) {
            return None;
        }
        let before = state.reported.then_some(state.health);
        let restarted = state.reported && !state.incarnation.is_same_process(incarnation);
        state.suspicion_confirmed = false;
        state.address = update.address;
        state.incarnation = incarnation;
        state.health = update.health;
        state.reported = true;
        state.changed_at = now;
        Some(MemberChange {
            before,
            after: update.health,
            restarted,
        })
    }
}

//! The table of members.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use monsoonspread_model::message::{Health, MemberUpdate};
use monsoonspread_model::{InstanceName, UnixMs};

use super::Incarnation;
use super::member::MemberState;

/// Every other instance that this one has heard of or that is listed.
#[derive(Clone, Debug, Default)]
pub(super) struct Members {
    states: BTreeMap<InstanceName, MemberState>,
}

/// What an update changed.
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

    /// Members that somebody has heard of.
    pub(super) fn heard(&self) -> impl Iterator<Item = (&InstanceName, &MemberState)> {
        self.states.iter().filter(|(_, state)| state.heard)
    }

    /// Takes the list: adds whom it names for the first time, and revives nobody.
    pub(super) fn set_listed(&mut self, now: UnixMs, listed: &BTreeMap<InstanceName, SocketAddr>) {
        for (name, address) in listed {
            self.states
                .entry(name.clone())
                .or_insert_with(|| MemberState::listed(*address, now));
        }
        for (name, state) in &mut self.states {
            state.listed = listed.contains_key(name);
        }
        self.states.retain(|_, state| state.heard || state.listed);
    }

    /// Forgets those that died long ago and are not listed.
    pub(super) fn forget(&mut self, now: UnixMs, forget_ms: u64) {
        self.states.retain(|_, state| {
            state.health != Health::Dead || state.listed || now < state.changed_at + forget_ms
        });
    }

    /// Gives every suspect its whole time again.
    pub(super) fn restart_suspicions(&mut self, now: UnixMs) {
        let suspects = self.states.values_mut();
        for state in suspects.filter(|state| state.health == Health::Suspect) {
            state.changed_at = now;
        }
    }

    /// Applies what this instance itself (`own`) or another says; `None` when it is no news.
    pub(super) fn apply(
        &mut self,
        now: UnixMs,
        own: bool,
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
        if own && repeated && update.health == Health::Suspect && !state.suspicion_confirmed {
            state.suspicion_confirmed = true;
            state.changed_at = now;
        }
        if !state.is_older_than(update) {
            return None;
        }
        let before = state.heard.then_some(state.health);
        let restarted = state.heard && !state.incarnation.is_same_process(incarnation);
        state.suspicion_confirmed = false;
        state.address = update.address;
        state.incarnation = incarnation;
        state.health = update.health;
        state.heard = true;
        state.changed_at = now;
        Some(MemberChange {
            before,
            after: update.health,
            restarted,
        })
    }
}

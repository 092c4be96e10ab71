//! What is said of members, and how a suspect comes to count as dead.

use monsoonspread_model::message::{Health, MemberUpdate};
use monsoonspread_model::{InstanceName, UnixMs};
use rand_chacha::rand_core::Rng;

use super::machine::Membership;
use super::member::MemberState;
use super::members::MemberChange;
use super::{Incarnation, MembershipAction, MembershipEvent};

impl Membership {
    pub(super) fn apply(
        &mut self,
        now: UnixMs,
        own: bool,
        update: &MemberUpdate,
    ) -> Vec<MembershipAction> {
        if update.member == self.own.name {
            return self.refute(update);
        }
        let Some(change) = self.members.apply(now, own, update) else {
            return Vec::new();
        };
        self.updates.push(&update.member);
        if change.after == Health::Suspect {
            self.check_suspicion(&update.member, own);
        }
        report(&update.member, &change)
    }

    /// Probes a suspect next, which also tells it. Of those that hear of a suspicion in a large
    /// zone only some do, chosen at random.
    pub(super) fn check_suspicion(&mut self, member: &InstanceName, own: bool) {
        let members = self.members.heard().count() as u64 + 1;
        if own || self.random.next_u64() % members < self.settings.confirmations as u64 {
            self.round.push(member.clone());
        }
    }

    /// Answers a wrong statement about this instance with a higher incarnation.
    pub(super) fn refute(&mut self, update: &MemberUpdate) -> Vec<MembershipAction> {
        let said = (Incarnation(update.incarnation), update.health);
        if said <= (self.incarnation, self.own_health()) {
            return Vec::new();
        }
        self.incarnation = Incarnation(update.incarnation).next();
        vec![MembershipAction::Event(MembershipEvent::Refuted {
            incarnation: self.incarnation.0,
        })]
    }

    /// The time that this instance stood still is held against nobody.
    pub(super) fn on_stood_still(&mut self, now: UnixMs, gap_ms: u64) -> Vec<MembershipAction> {
        self.probes.clear();
        self.members.restart_suspicions(now);
        vec![MembershipAction::Event(MembershipEvent::StoodStill {
            gap_ms,
        })]
    }

    pub(super) fn suspect_late(&mut self, now: UnixMs) -> Vec<MembershipAction> {
        let late = self.probes.take_late(now, self.settings.suspect_after_ms);
        let mut actions = Vec::new();
        for probe in late.into_iter().filter(|probe| probe.relay.is_none()) {
            actions.extend(self.declare(now, &probe.target, Health::Suspect));
        }
        actions
    }

    pub(super) fn bury_suspects(&mut self, now: UnixMs) -> Vec<MembershipAction> {
        let late: Vec<_> = self
            .members
            .heard()
            .filter(|(_, state)| state.health == Health::Suspect)
            .filter(|(_, state)| now >= state.changed_at + self.suspicion_ms(state))
            .map(|(name, _)| name.clone())
            .collect();
        let mut actions = Vec::new();
        for name in late {
            actions.extend(self.declare(now, &name, Health::Dead));
        }
        actions
    }

    /// How long a suspect has: less when that is confirmed or nobody else could confirm it.
    pub(super) fn suspicion_ms(&self, state: &MemberState) -> u64 {
        let others = self.members.heard().filter(|(_, other)| other.is_probed());
        let others = others.count() as u32;
        if others <= 1 || state.suspicion_confirmed {
            return self.settings.min_suspicion_ms;
        }
        self.settings.suspicion_ms * u64::from(u32::BITS - others.leading_zeros())
    }

    /// Says of a member what this instance found itself.
    pub(super) fn declare(
        &mut self,
        now: UnixMs,
        name: &InstanceName,
        health: Health,
    ) -> Vec<MembershipAction> {
        let Some(state) = self.members.get(name).filter(|state| state.heard) else {
            return Vec::new();
        };
        let health = if state.health == Health::Leaving {
            Health::Dead
        } else {
            health
        };
        let update = MemberUpdate {
            health,
            ..state.update(name)
        };
        self.apply(now, true, &update)
    }
}

pub(super) fn report(member: &InstanceName, change: &MemberChange) -> Vec<MembershipAction> {
    let member = member.clone();
    let event = match (change.before, change.after) {
        (None, Health::Alive) => MembershipEvent::Joined {
            member: member.clone(),
        },
        (_, Health::Alive) => MembershipEvent::Recovered {
            member: member.clone(),
        },
        (_, Health::Suspect) => MembershipEvent::Suspected {
            member: member.clone(),
        },
        (_, Health::Leaving) => MembershipEvent::Leaving {
            member: member.clone(),
        },
        (_, Health::Dead) => MembershipEvent::Died {
            member: member.clone(),
        },
    };
    let restarted = change.restarted.then(|| MembershipAction::Restarted {
        member: member.clone(),
    });
    let changed = (change.before != Some(change.after)).then_some(MembershipAction::Changed {
        member,
        health: change.after,
    });
    let event = changed.is_some().then_some(MembershipAction::Event(event));
    restarted.into_iter().chain(changed).chain(event).collect()
}

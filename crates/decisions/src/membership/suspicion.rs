//! Updates about members, suspicion and its escalation to death.

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
        by_local: bool,
        update: &MemberUpdate,
    ) -> Vec<MembershipAction> {
        if update.member == self.local.name {
            return self.refute(update);
        }
        let Some(change) = self.members.apply(now, by_local, update) else {
            return Vec::new();
        };
        self.updates.push(&update.member);
        if change.after == Health::Suspect {
            self.check_suspicion(&update.member, by_local);
        }
        actions_for(&update.member, &change)
    }

    /// Probes a suspect next, which also informs it of the suspicion. In a large zone only a
    /// random part of the members that receive a suspicion do this.
    pub(super) fn check_suspicion(&mut self, member: &InstanceName, by_local: bool) {
        let members = self.members.known().count() as u64 + 1;
        if by_local || self.random.next_u64() % members < self.settings.confirmations as u64 {
            self.round.push(member.clone());
        }
    }

    /// Refutes a false update about this instance with a higher incarnation.
    pub(super) fn refute(&mut self, update: &MemberUpdate) -> Vec<MembershipAction> {
        let claimed = (Incarnation(update.incarnation), update.health);
        if claimed <= (self.incarnation, self.local_health()) {
            return Vec::new();
        }
        self.incarnation = Incarnation(update.incarnation).next();
        vec![MembershipAction::Event(MembershipEvent::Refuted {
            incarnation: self.incarnation.0,
        })]
    }

    /// Discards probes and restarts suspicions after a pause of this process, so that members are
    /// not suspected for answers it could not receive.
    pub(super) fn on_pause(&mut self, now: UnixMs, gap_ms: u64) -> Vec<MembershipAction> {
        self.probes.clear();
        self.members.restart_suspicions(now);
        vec![MembershipAction::Event(MembershipEvent::StoodStill {
            gap_ms,
        })]
    }

    pub(super) fn suspect_unanswered(&mut self, now: UnixMs) -> Vec<MembershipAction> {
        let expired = self
            .probes
            .take_expired(now, self.settings.suspect_after_ms);
        let mut actions = Vec::new();
        for probe in expired.into_iter().filter(|probe| probe.relay.is_none()) {
            actions.extend(self.declare(now, &probe.target, Health::Suspect));
        }
        actions
    }

    pub(super) fn declare_expired_suspects_dead(&mut self, now: UnixMs) -> Vec<MembershipAction> {
        let expired: Vec<_> = self
            .members
            .known()
            .filter(|(_, state)| state.health == Health::Suspect)
            .filter(|(_, state)| now >= state.changed_at + self.suspicion_ms(state))
            .map(|(name, _)| name.clone())
            .collect();
        let mut actions = Vec::new();
        for name in expired {
            actions.extend(self.declare(now, &name, Health::Dead));
        }
        actions
    }

    /// How long a suspect has to refute: shorter when the suspicion is confirmed or no other
    /// member could confirm it.
    pub(super) fn suspicion_ms(&self, state: &MemberState) -> u64 {
        let others = self.members.known().filter(|(_, other)| other.is_probed());
        let others = others.count() as u32;
        if others <= 1 || state.suspicion_confirmed {
            return self.settings.min_suspicion_ms;
        }
        self.settings.suspicion_ms * u64::from(u32::BITS - others.leading_zeros())
    }

    /// Applies a health of a member that the local instance determined itself. A leaving member
    /// becomes dead instead of suspected.
    pub(super) fn declare(
        &mut self,
        now: UnixMs,
        name: &InstanceName,
        health: Health,
    ) -> Vec<MembershipAction> {
        let Some(state) = self.members.get(name).filter(|state| state.reported) else {
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

pub(super) fn actions_for(member: &InstanceName, change: &MemberChange) -> Vec<MembershipAction> {
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

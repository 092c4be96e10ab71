//! The state machine of one instance.

use std::net::SocketAddr;

use monsoonspread_model::message::{Health, MemberUpdate, Swim, SwimBody};
use monsoonspread_model::{BundleVersion, InstanceName, MeshMessage, UnixMs};
use rand::seq::{IndexedRandom, SliceRandom};
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{Rng, SeedableRng};

use super::member::MemberState;
use super::members::{MemberChange, Members};
use super::probes::{Probe, Probes};
use super::updates::UpdateQueue;
use super::{
    Incarnation, Member, MemberDump, MembershipAction, MembershipDump, MembershipEvent,
    MembershipSettings,
};

/// Keeps track of the instances of one zone.
#[derive(Clone, Debug)]
pub struct Membership {
    pub(super) own: Member,
    pub(super) settings: MembershipSettings,
    pub(super) random: ChaCha8Rng,
    pub(super) incarnation: Incarnation,
    pub(super) leaving: bool,
    pub(super) members: Members,
    pub(super) probes: Probes,
    pub(super) updates: UpdateQueue,
    /// Members still to be probed in this round.
    pub(super) round: Vec<InstanceName>,
    pub(super) next_probe_at: UnixMs,
    pub(super) next_dead_probe_at: UnixMs,
    pub(super) last_tick_at: Option<UnixMs>,
    pub(super) bundle_version: BundleVersion,
    pub(super) table_revision: u64,
}

impl Membership {
    /// Starts as the only known member.
    ///
    /// ```
    /// # use monsoonspread_decisions::membership::{Member, Membership, MembershipSettings};
    /// # use monsoonspread_model::UnixMs;
    /// let own = Member { name: "entry-1".into(), address: ([127, 0, 0, 1], 7000).into() };
    /// let membership = Membership::new(UnixMs(5), own, MembershipSettings::default(), 1);
    /// assert_eq!(membership.live(), ["entry-1".into()]);
    /// ```
    pub fn new(now: UnixMs, own: Member, settings: MembershipSettings, seed: u64) -> Self {
        Self {
            own,
            settings,
            random: ChaCha8Rng::seed_from_u64(seed),
            incarnation: Incarnation::started_at(now),
            leaving: false,
            members: Members::default(),
            probes: Probes::default(),
            updates: UpdateQueue::default(),
            round: Vec::new(),
            next_probe_at: now,
            next_dead_probe_at: now,
            last_tick_at: None,
            bundle_version: BundleVersion(0),
            table_revision: 0,
        }
    }

    /// Every member that was heard of with its health, this instance included.
    ///
    /// ```
    /// # use monsoonspread_decisions::membership::{Member, Membership, MembershipSettings};
    /// # use monsoonspread_model::{BundleVersion, UnixMs, message::Health};
    /// # let own = Member { name: "entry-1".into(), address: ([127, 0, 0, 1], 7000).into() };
    /// # let mut membership = Membership::new(UnixMs(5), own, MembershipSettings::default(), 1);
    /// assert_eq!(membership.members(), [("entry-1".into(), Health::Alive)]);
    /// ```
    pub fn members(&self) -> Vec<(InstanceName, Health)> {
        let others = self.members.heard();
        others
            .map(|(name, state)| (name.clone(), state.health))
            .chain([(self.own.name.clone(), self.own_health())])
            .collect()
    }

    /// Names of members that answer, this instance included, in order.
    ///
    /// ```
    /// # use monsoonspread_decisions::membership::{Member, Membership, MembershipSettings};
    /// # use monsoonspread_model::{BundleVersion, UnixMs, message::Health};
    /// # let own = Member { name: "entry-1".into(), address: ([127, 0, 0, 1], 7000).into() };
    /// # let mut membership = Membership::new(UnixMs(5), own, MembershipSettings::default(), 1);
    /// assert_eq!(membership.live(), ["entry-1".into()]);
    /// ```
    pub fn live(&self) -> Vec<InstanceName> {
        let mut live: Vec<_> = self
            .members()
            .into_iter()
            .filter(|(_, health)| matches!(health, Health::Alive | Health::Suspect))
            .map(|(name, _)| name)
            .collect();
        live.sort_unstable();
        live
    }

    /// What is said of a member.
    ///
    /// ```
    /// # use monsoonspread_decisions::membership::{Member, Membership, MembershipSettings};
    /// # use monsoonspread_model::{BundleVersion, UnixMs, message::Health};
    /// # let own = Member { name: "entry-1".into(), address: ([127, 0, 0, 1], 7000).into() };
    /// # let mut membership = Membership::new(UnixMs(5), own, MembershipSettings::default(), 1);
    /// assert_eq!(membership.health(&"entry-2".into()), None);
    /// ```
    pub fn health(&self, name: &InstanceName) -> Option<Health> {
        if *name == self.own.name {
            return Some(self.own_health());
        }
        self.members
            .get(name)
            .filter(|state| state.heard)
            .map(|state| state.health)
    }

    /// 0 for a member not suspected, 1 for a suspect, 2 when an own probe confirmed it.
    ///
    /// ```
    /// # use monsoonspread_decisions::membership::{Member, Membership, MembershipSettings};
    /// # use monsoonspread_model::{BundleVersion, UnixMs, message::Health};
    /// # let own = Member { name: "entry-1".into(), address: ([127, 0, 0, 1], 7000).into() };
    /// # let mut membership = Membership::new(UnixMs(5), own, MembershipSettings::default(), 1);
    /// assert_eq!(membership.suspicion_grade(&"entry-2".into()), 0);
    /// ```
    pub fn suspicion_grade(&self, name: &InstanceName) -> u32 {
        self.members
            .get(name)
            .map_or(0, MemberState::suspicion_grade)
    }

    /// The mesh listener of a member or of an instance that the list names.
    ///
    /// ```
    /// # use monsoonspread_decisions::membership::{Member, Membership, MembershipSettings};
    /// # use monsoonspread_model::{BundleVersion, UnixMs, message::Health};
    /// # let own = Member { name: "entry-1".into(), address: ([127, 0, 0, 1], 7000).into() };
    /// # let mut membership = Membership::new(UnixMs(5), own, MembershipSettings::default(), 1);
    /// assert_eq!(membership.address_of(&"entry-2".into()), None);
    /// ```
    pub fn address_of(&self, name: &InstanceName) -> Option<SocketAddr> {
        self.members.get(name).map(|state| state.address)
    }

    /// What this instance knows of its zone.
    ///
    /// ```
    /// # use monsoonspread_decisions::membership::{Member, Membership, MembershipSettings};
    /// # use monsoonspread_model::{BundleVersion, UnixMs, message::Health};
    /// # let own = Member { name: "entry-1".into(), address: ([127, 0, 0, 1], 7000).into() };
    /// # let mut membership = Membership::new(UnixMs(5), own, MembershipSettings::default(), 1);
    /// assert!(membership.dump(UnixMs(6)).members.is_empty());
    /// ```
    pub fn dump(&self, _now: UnixMs) -> MembershipDump {
        let members = self.members.iter();
        MembershipDump {
            incarnation: self.incarnation.0,
            members: members
                .map(|(name, state)| MemberDump {
                    name: name.clone(),
                    address: state.address,
                    incarnation: state.incarnation.0,
                    health: state.health,
                    suspicion_grade: state.suspicion_grade(),
                    changed_at_unix_ms: state.changed_at,
                    listed: state.listed,
                })
                .collect(),
            open_probes: self.probes.len(),
            queued_updates: self.updates.len(),
        }
    }

    pub(super) fn own_health(&self) -> Health {
        if self.leaving {
            Health::Leaving
        } else {
            Health::Alive
        }
    }

    pub(super) fn own_update(&self) -> MemberUpdate {
        MemberUpdate {
            member: self.own.name.clone(),
            address: self.own.address,
            incarnation: self.incarnation.0,
            health: self.own_health(),
        }
    }

    pub(super) fn compare_versions(
        &self,
        from: &InstanceName,
        swim: &Swim,
    ) -> Vec<MembershipAction> {
        let bundle =
            (swim.bundle_version > self.bundle_version).then(|| MembershipAction::PeerHasBundle {
                peer: from.clone(),
                version: swim.bundle_version,
            });
        let table =
            (swim.table_revision > self.table_revision).then(|| MembershipAction::PeerHasTable {
                peer: from.clone(),
                revision: swim.table_revision,
            });
        bundle.into_iter().chain(table).collect()
    }

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

    pub(super) fn on_ack(&mut self, sequence: u64) -> Option<MembershipAction> {
        let probe = self.probes.finish(sequence)?;
        let (origin, sequence) = probe.relay?;
        Some(self.send(origin, SwimBody::Ack { sequence }))
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

    pub(super) fn ask_others(&mut self, now: UnixMs) -> Vec<MembershipAction> {
        let slow = self.probes.mark_slow(now, self.settings.probe_timeout_ms);
        let mut actions = Vec::new();
        for (sequence, target) in slow {
            let helpers = self.sample(self.settings.indirect_probes, |name, state| {
                *name != target && state.heard && state.health == Health::Alive
            });
            for helper in helpers {
                let target = target.clone();
                actions.push(self.send(helper, SwimBody::PingRequest { sequence, target }));
            }
        }
        actions
    }

    pub(super) fn probe_next(&mut self, now: UnixMs) -> Option<MembershipAction> {
        if now < self.next_probe_at {
            return None;
        }
        self.next_probe_at = now + self.settings.probe_interval_ms;
        if self.round.is_empty() {
            let probed = self.members.iter().filter(|(_, state)| state.is_probed());
            self.round = probed.map(|(name, _)| name.clone()).collect();
            self.round.shuffle(&mut self.random);
        }
        let target = self.round.pop()?;
        let probed = self
            .members
            .get(&target)
            .is_some_and(MemberState::is_probed);
        probed.then(|| self.probe(now, target, None))
    }

    /// Probes a dead member now and then, so that a healed partition is noticed.
    pub(super) fn probe_dead(&mut self, now: UnixMs) -> Option<MembershipAction> {
        if now < self.next_dead_probe_at {
            return None;
        }
        self.next_dead_probe_at = now + self.settings.dead_probe_interval_ms;
        let dead = self.sample(1, |_, state| state.health == Health::Dead);
        let target = dead.into_iter().next()?;
        Some(self.probe(now, target, None))
    }

    pub(super) fn probe(
        &mut self,
        now: UnixMs,
        target: InstanceName,
        relay: Option<(InstanceName, u64)>,
    ) -> MembershipAction {
        let sequence = self.probes.start(Probe {
            target: target.clone(),
            sent_at: now,
            asked_others: false,
            relay,
        });
        self.send(target, SwimBody::Ping { sequence })
    }

    pub(super) fn sample(
        &mut self,
        count: usize,
        filter: impl Fn(&InstanceName, &MemberState) -> bool,
    ) -> Vec<InstanceName> {
        let names: Vec<_> = self
            .members
            .iter()
            .filter(|(name, state)| filter(name, state))
            .map(|(name, _)| name.clone())
            .collect();
        names.sample(&mut self.random, count).cloned().collect()
    }

    pub(super) fn send(&mut self, to: InstanceName, body: SwimBody) -> MembershipAction {
        let updates = self.updates_for(&to);
        let message = MeshMessage::Swim(Swim {
            body,
            updates,
            bundle_version: self.bundle_version,
            table_revision: self.table_revision,
        });
        MembershipAction::Send { to, message }
    }

    /// The own state, what is said of `to` unless it is well, news, then any other members.
    pub(super) fn updates_for(&mut self, to: &InstanceName) -> Vec<MemberUpdate> {
        let mut updates = vec![self.own_update()];
        let accused = self.members.get(to).filter(|state| state.heard);
        let accused = accused.filter(|state| state.health != Health::Alive);
        updates.extend(accused.map(|state| state.update(to)));
        let count = self.members.heard().count() as u32 + 2;
        let limit = self.settings.retransmit_factor * (u32::BITS - count.leading_zeros());
        let room = self.settings.max_updates.saturating_sub(updates.len());
        let news = self.updates.take(room, limit);
        let any = self.sample(1, |_, state| state.heard);
        for name in news.into_iter().chain(any) {
            let known = updates.iter().any(|update| update.member == name);
            let room = updates.len() < self.settings.max_updates;
            let state = self.members.get(&name).filter(|_| room && !known);
            updates.extend(state.map(|state| state.update(&name)));
        }
        updates
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

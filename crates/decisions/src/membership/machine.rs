//! Membership state machine of one instance.

use std::net::SocketAddr;

use monsoonspread_model::message::{Health, MemberUpdate, Swim, SwimBody};
use monsoonspread_model::{BundleVersion, InstanceName, MeshMessage, UnixMs};
use rand::seq::{IndexedRandom, SliceRandom};
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;

use super::member::MemberState;
use super::members::Members;
use super::probes::{Probe, Probes};
use super::updates::UpdateQueue;
use super::{
    Incarnation, Member, MemberDump, MembershipAction, MembershipDump, MembershipSettings,
};

/// Tracks the instances of one zone and their health.
#[derive(Clone, Debug)]
pub struct Membership {
    pub(super) local: Member,
    pub(super) settings: MembershipSettings,
    pub(super) random: ChaCha8Rng,
    pub(super) incarnation: Incarnation,
    pub(super) leaving: bool,
    pub(super) members: Members,
    pub(super) probes: Probes,
    pub(super) updates: UpdateQueue,
    /// Members still to be probed in this round; the last one is next.
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
    /// let local = Member { name: "entry-1".into(), address: ([127, 0, 0, 1], 7000).into() };
    /// let membership = Membership::new(UnixMs(5), local, MembershipSettings::default(), 1);
    /// assert_eq!(membership.live(), ["entry-1".into()]);
    /// ```
    pub fn new(now: UnixMs, local: Member, settings: MembershipSettings, seed: u64) -> Self {
        Self {
            local,
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

    /// Every known member with its health, this instance included.
    ///
    /// ```
    /// # use monsoonspread_decisions::membership::{Member, Membership, MembershipSettings};
    /// # use monsoonspread_model::{BundleVersion, UnixMs, message::Health};
    /// # let local = Member { name: "entry-1".into(), address: ([127, 0, 0, 1], 7000).into() };
    /// # let mut membership = Membership::new(UnixMs(5), local, MembershipSettings::default(), 1);
    /// assert_eq!(membership.members(), [("entry-1".into(), Health::Alive)]);
    /// ```
    pub fn members(&self) -> Vec<(InstanceName, Health)> {
        let others = self.members.known();
        others
            .map(|(name, state)| (name.clone(), state.health))
            .chain([(self.local.name.clone(), self.local_health())])
            .collect()
    }

    /// Names of live members in ascending order, this instance included unless it leaves.
    ///
    /// ```
    /// # use monsoonspread_decisions::membership::{Member, Membership, MembershipSettings};
    /// # use monsoonspread_model::{BundleVersion, UnixMs, message::Health};
    /// # let local = Member { name: "entry-1".into(), address: ([127, 0, 0, 1], 7000).into() };
    /// # let mut membership = Membership::new(UnixMs(5), local, MembershipSettings::default(), 1);
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

    /// The health of a member; `None` when it is unknown.
    ///
    /// ```
    /// # use monsoonspread_decisions::membership::{Member, Membership, MembershipSettings};
    /// # use monsoonspread_model::{BundleVersion, UnixMs, message::Health};
    /// # let local = Member { name: "entry-1".into(), address: ([127, 0, 0, 1], 7000).into() };
    /// # let mut membership = Membership::new(UnixMs(5), local, MembershipSettings::default(), 1);
    /// assert_eq!(membership.health(&"entry-2".into()), None);
    /// ```
    pub fn health(&self, name: &InstanceName) -> Option<Health> {
        if *name == self.local.name {
            return Some(self.local_health());
        }
        self.members
            .get(name)
            .filter(|state| state.reported)
            .map(|state| state.health)
    }

    /// 0 if not suspected or unknown, 1 if suspected, 2 if a probe by the local instance confirmed it.
    ///
    /// ```
    /// # use monsoonspread_decisions::membership::{Member, Membership, MembershipSettings};
    /// # use monsoonspread_model::{BundleVersion, UnixMs, message::Health};
    /// # let local = Member { name: "entry-1".into(), address: ([127, 0, 0, 1], 7000).into() };
    /// # let mut membership = Membership::new(UnixMs(5), local, MembershipSettings::default(), 1);
    /// assert_eq!(membership.suspicion_grade(&"entry-2".into()), 0);
    /// ```
    pub fn suspicion_grade(&self, name: &InstanceName) -> u32 {
        self.members
            .get(name)
            .map_or(0, MemberState::suspicion_grade)
    }

    /// Address of the mesh listener of a member or listed instance.
    ///
    /// ```
    /// # use monsoonspread_decisions::membership::{Member, Membership, MembershipSettings};
    /// # use monsoonspread_model::{BundleVersion, UnixMs, message::Health};
    /// # let local = Member { name: "entry-1".into(), address: ([127, 0, 0, 1], 7000).into() };
    /// # let mut membership = Membership::new(UnixMs(5), local, MembershipSettings::default(), 1);
    /// assert_eq!(membership.address_of(&"entry-2".into()), None);
    /// ```
    pub fn address_of(&self, name: &InstanceName) -> Option<SocketAddr> {
        self.members.get(name).map(|state| state.address)
    }

    /// The state dump.
    ///
    /// ```
    /// # use monsoonspread_decisions::membership::{Member, Membership, MembershipSettings};
    /// # use monsoonspread_model::{BundleVersion, UnixMs, message::Health};
    /// # let local = Member { name: "entry-1".into(), address: ([127, 0, 0, 1], 7000).into() };
    /// # let mut membership = Membership::new(UnixMs(5), local, MembershipSettings::default(), 1);
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
                    health: state.health.as_str(),
                    suspicion_grade: state.suspicion_grade(),
                    changed_at_unix_ms: state.changed_at,
                    listed: state.listed,
                })
                .collect(),
            open_probes: self.probes.len(),
            queued_updates: self.updates.len(),
        }
    }

    pub(super) fn local_health(&self) -> Health {
        if self.leaving {
            Health::Leaving
        } else {
            Health::Alive
        }
    }

    pub(super) fn local_update(&self) -> MemberUpdate {
        MemberUpdate {
            member: self.local.name.clone(),
            address: self.local.address,
            incarnation: self.incarnation.0,
            health: self.local_health(),
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

    pub(super) fn on_ack(&mut self, sequence: u64) -> Option<MembershipAction> {
        let probe = self.probes.finish(sequence)?;
        let (origin, sequence) = probe.relay?;
        Some(self.send(origin, SwimBody::Ack { sequence }))
    }

    pub(super) fn request_indirect_probes(&mut self, now: UnixMs) -> Vec<MembershipAction> {
        let unanswered = self
            .probes
            .mark_indirect(now, self.settings.probe_timeout_ms);
        let mut actions = Vec::new();
        for (sequence, target) in unanswered {
            let helpers = self.sample(self.settings.indirect_probes, |name, state| {
                *name != target && state.reported && state.health == Health::Alive
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

    /// Probes a random dead member at intervals to detect a healed partition.
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
            indirect_requested: false,
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
        let updates = self.select_updates(&to);
        let message = MeshMessage::Swim(Swim {
            body,
            updates,
            bundle_version: self.bundle_version,
            table_revision: self.table_revision,
        });
        MembershipAction::Send { to, message }
    }

    /// Selects the updates for a message to `to`: the state of the local instance, that of `to`
    /// unless it is alive, queued updates, then that of a random member.
    pub(super) fn select_updates(&mut self, to: &InstanceName) -> Vec<MemberUpdate> {
        let mut updates = vec![self.local_update()];
        let recipient = self.members.get(to).filter(|state| state.reported);
        let recipient = recipient.filter(|state| state.health != Health::Alive);
        updates.extend(recipient.map(|state| state.update(to)));
        let count = self.members.known().count() as u32 + 2;
        let limit = self.settings.retransmit_factor * (u32::BITS - count.leading_zeros());
        let room = self.settings.max_updates.saturating_sub(updates.len());
        let queued = self.updates.take(room, limit);
        let any = self.sample(1, |_, state| state.reported);
        for name in queued.into_iter().chain(any) {
            let known = updates.iter().any(|update| update.member == name);
            let room = updates.len() < self.settings.max_updates;
            let state = self.members.get(&name).filter(|_| room && !known);
            updates.extend(state.map(|state| state.update(&name)));
        }
        updates
    }
}

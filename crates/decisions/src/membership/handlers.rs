//! Event handlers of [`Membership`].

use std::collections::BTreeMap;

use monsoonspread_model::message::{Health, Swim, SwimBody};
use monsoonspread_model::{
    BundleVersion, InstanceKind, InstanceName, InstanceState, ListedInstance, UnixMs,
};

use super::MembershipAction;
use super::machine::Membership;

impl Membership {
    /// Sets the rows of the platform's list, or the seeds from the settings.
    ///
    /// ```
    /// # use monsoonspread_decisions::membership::{Member, Membership, MembershipSettings};
    /// # use monsoonspread_model::{BundleVersion, UnixMs, message::Health};
    /// # let local = Member { name: "entry-1".into(), address: ([127, 0, 0, 1], 7000).into() };
    /// # let mut membership = Membership::new(UnixMs(5), local, MembershipSettings::default(), 1);
    /// assert!(membership.on_listed(UnixMs(5), &[]).is_empty());
    /// ```
    pub fn on_listed(&mut self, now: UnixMs, listed: &[ListedInstance]) -> Vec<MembershipAction> {
        let listed: BTreeMap<_, _> = listed
            .iter()
            .filter(|row| row.kind == InstanceKind::Entry && row.state == InstanceState::Live)
            .map(|row| (InstanceName::from(row.name.as_str()), row.address))
            .filter(|(name, _)| *name != self.local.name)
            .collect();
        self.members.set_listed(now, &listed);
        Vec::new()
    }

    /// Sets the bundle version in force on this instance, which messages announce.
    ///
    /// ```
    /// # use monsoonspread_decisions::membership::{Member, Membership, MembershipSettings};
    /// # use monsoonspread_model::{BundleVersion, UnixMs, message::Health};
    /// # let local = Member { name: "entry-1".into(), address: ([127, 0, 0, 1], 7000).into() };
    /// # let mut membership = Membership::new(UnixMs(5), local, MembershipSettings::default(), 1);
    /// membership.on_bundle_version(BundleVersion(12));
    /// ```
    pub fn on_bundle_version(&mut self, version: BundleVersion) {
        self.bundle_version = version;
    }

    /// Sets the revision of this instance's ownership table, which messages announce.
    ///
    /// ```
    /// # use monsoonspread_decisions::membership::{Member, Membership, MembershipSettings};
    /// # use monsoonspread_model::{BundleVersion, UnixMs, message::Health};
    /// # let local = Member { name: "entry-1".into(), address: ([127, 0, 0, 1], 7000).into() };
    /// # let mut membership = Membership::new(UnixMs(5), local, MembershipSettings::default(), 1);
    /// membership.on_table_revision(3);
    /// ```
    pub fn on_table_revision(&mut self, revision: u64) {
        self.table_revision = revision;
    }

    /// Starts the graceful shutdown of this instance and notifies a few members immediately.
    ///
    /// ```
    /// # use monsoonspread_decisions::membership::{Member, Membership, MembershipSettings};
    /// # use monsoonspread_model::{BundleVersion, UnixMs, message::Health};
    /// # let local = Member { name: "entry-1".into(), address: ([127, 0, 0, 1], 7000).into() };
    /// # let mut membership = Membership::new(UnixMs(5), local, MembershipSettings::default(), 1);
    /// membership.on_leave(UnixMs(6));
    /// assert_eq!(membership.health(&"entry-1".into()), Some(Health::Leaving));
    /// ```
    pub fn on_leave(&mut self, _now: UnixMs) -> Vec<MembershipAction> {
        self.leaving = true;
        self.incarnation = self.incarnation.next();
        let recipients = self.sample(self.settings.leave_fan_out, |_, state| {
            state.reported && state.is_probed()
        });
        let sequence = 0;
        recipients
            .into_iter()
            .map(|to| self.send(to, SwimBody::Ack { sequence }))
            .collect()
    }

    /// Handles a message from another member.
    ///
    /// ```
    /// # use monsoonspread_decisions::membership::{Member, Membership, MembershipSettings};
    /// # use monsoonspread_model::{BundleVersion, UnixMs, message::Health};
    /// # let local = Member { name: "entry-1".into(), address: ([127, 0, 0, 1], 7000).into() };
    /// # let mut membership = Membership::new(UnixMs(5), local, MembershipSettings::default(), 1);
    /// use monsoonspread_model::message::{Swim, SwimBody};
    /// let swim = Swim {
    ///     body: SwimBody::Ping { sequence: 1 },
    ///     updates: Vec::new(),
    ///     bundle_version: BundleVersion(0),
    ///     table_revision: 0,
    /// };
    /// assert_eq!(membership.on_swim(UnixMs(6), &"entry-2".into(), swim).len(), 1);
    /// ```
    pub fn on_swim(
        &mut self,
        now: UnixMs,
        from: &InstanceName,
        swim: Swim,
    ) -> Vec<MembershipAction> {
        let mut actions = self.compare_versions(from, &swim);
        for update in &swim.updates {
            actions.extend(self.apply(now, false, update));
        }
        match swim.body {
            SwimBody::Ping { sequence } => {
                actions.push(self.send(from.clone(), SwimBody::Ack { sequence }));
            }
            SwimBody::Ack { sequence } => actions.extend(self.on_ack(sequence)),
            SwimBody::PingRequest { sequence, target } => {
                let relay = Some((from.clone(), sequence));
                actions.push(self.probe(now, target, relay));
            }
        }
        actions
    }

    /// Handles a refused connection to `peer`, which counts as a failed probe without the timeout.
    ///
    /// ```
    /// # use monsoonspread_decisions::membership::{Member, Membership, MembershipSettings};
    /// # use monsoonspread_model::UnixMs;
    /// # let local = Member { name: "entry-1".into(), address: ([127, 0, 0, 1], 7000).into() };
    /// # let mut membership = Membership::new(UnixMs(5), local, MembershipSettings::default(), 1);
    /// assert!(membership.on_connection_refused(UnixMs(6), &"entry-2".into()).is_empty(), "not a member");
    /// ```
    pub fn on_connection_refused(
        &mut self,
        now: UnixMs,
        peer: &InstanceName,
    ) -> Vec<MembershipAction> {
        self.declare(now, peer, Health::Suspect)
    }

    /// Advances time; call every 100 ms.
    ///
    /// ```
    /// # use monsoonspread_decisions::membership::{Member, Membership, MembershipSettings};
    /// # use monsoonspread_model::{BundleVersion, UnixMs, message::Health};
    /// # let local = Member { name: "entry-1".into(), address: ([127, 0, 0, 1], 7000).into() };
    /// # let mut membership = Membership::new(UnixMs(5), local, MembershipSettings::default(), 1);
    /// assert!(membership.on_tick(UnixMs(100)).is_empty(), "no member to probe");
    /// ```
    pub fn on_tick(&mut self, now: UnixMs) -> Vec<MembershipAction> {
        let gap_ms = self.last_tick_at.map_or(0, |last| now.ms_since(last));
        self.last_tick_at = Some(now);
        if gap_ms > self.settings.max_tick_gap_ms {
            return self.on_pause(now, gap_ms);
        }
        self.members.forget(now, self.settings.forget_ms);
        let mut actions = self.suspect_unanswered(now);
        actions.extend(self.declare_expired_suspects_dead(now));
        actions.extend(self.request_indirect_probes(now));
        actions.extend(self.probe_next(now));
        actions.extend(self.probe_dead(now));
        actions
    }
}

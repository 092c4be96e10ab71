//! An instance's view of the zone's table and members.

use std::collections::{BTreeMap, BTreeSet};

use monsoonspread_model::message::Health;
use monsoonspread_model::{Epoch, InstanceName, OwnershipTable, Succession, UnixMs, UpstreamName};

/// The table in force, the health of members, and the fencing numbers known to be in use.
#[derive(Clone, Debug)]
pub(super) struct View {
    local: InstanceName,
    pub(super) table: OwnershipTable,
    health: BTreeMap<InstanceName, Health>,
    /// Live instances in the platform's list; decides for members that membership has not
    /// reported yet.
    listed: BTreeSet<InstanceName>,
    /// Instances whose places in the table are void because they restarted after it was written.
    pub(super) lapsed: BTreeSet<InstanceName>,
    /// Lowest fencing number still valid, by upstream.
    pub(super) floors: BTreeMap<UpstreamName, Epoch>,
    /// The owner of each upstream before the current one.
    previous_owners: BTreeMap<UpstreamName, InstanceName>,
    leaving_since: BTreeMap<InstanceName, UnixMs>,
    unseen_deadline: Option<UnixMs>,
    unseen_expired: bool,
}

impl View {
    pub(super) fn new(local: InstanceName, table: OwnershipTable) -> Self {
        Self {
            local,
            table,
            health: BTreeMap::new(),
            listed: BTreeSet::new(),
            lapsed: BTreeSet::new(),
            floors: BTreeMap::new(),
            previous_owners: BTreeMap::new(),
            leaving_since: BTreeMap::new(),
            unseen_deadline: None,
            unseen_expired: false,
        }
    }

    /// Sets the health of members. Members of the table that are missing count as removed
    /// `unseen_timeout_ms` after the first call. Returns whether owners can change.
    pub(super) fn set_members(
        &mut self,
        now: UnixMs,
        members: &[(InstanceName, Health)],
        unseen_timeout_ms: u64,
    ) -> bool {
        let first = self.unseen_deadline.is_none();
        self.unseen_deadline.get_or_insert(now + unseen_timeout_ms);
        let before = std::mem::replace(&mut self.health, members.iter().cloned().collect());
        if !first && equal_ignoring_suspicion(&before, &self.health) {
            return false;
        }
        for (member, health) in members {
            if *health == Health::Leaving {
                self.leaving_since.entry(member.clone()).or_insert(now);
            } else {
                self.leaving_since.remove(member);
            }
        }
        self.advance(now);
        true
    }

    /// Sets the zone's instances that are live in the platform's list.
    pub(super) fn set_listed(&mut self, now: UnixMs, listed: BTreeSet<InstanceName>) {
        self.listed = listed;
        self.advance(now);
    }

    /// Returns true once, when table members not reported so far begin to count as removed.
    pub(super) fn expire_unseen(&mut self, now: UnixMs) -> bool {
        let due = self.unseen_deadline.is_some_and(|until| now >= until);
        due && !std::mem::replace(&mut self.unseen_expired, true)
    }

    pub(super) fn knows_members(&self) -> bool {
        self.unseen_deadline.is_some()
    }

    /// Replaces the table by a newer one.
    pub(super) fn set_table(&mut self, now: UnixMs, table: OwnershipTable) {
        self.table = table;
        self.lapsed.clear();
        let floors = &mut self.floors;
        floors.retain(|upstream, _| self.table.upstreams.contains_key(upstream));
        self.previous_owners
            .retain(|upstream, _| self.table.upstreams.contains_key(upstream));
        self.advance(now);
    }

    /// Records that `epoch` is in use for `upstream`; lower numbers become void.
    pub(super) fn raise_floor(&mut self, upstream: &UpstreamName, epoch: Epoch) {
        let floor = self.floors.entry(upstream.clone()).or_default();
        *floor = epoch.max(*floor);
    }

    /// Raises the floors to the current owners, so that an instance skipped once stays skipped
    /// under this table.
    pub(super) fn advance(&mut self, now: UnixMs) {
        let upstreams: Vec<_> = self.table.upstreams.keys().cloned().collect();
        for upstream in upstreams {
            let Some(owner) = self.owner_of(now, &upstream).cloned() else {
                continue;
            };
            let floor = self.floors.get(&upstream).copied().unwrap_or_default();
            if owner.epoch <= floor {
                continue;
            }
            if let Some(previous_owner) = self.holder_below(&upstream, owner.epoch) {
                self.previous_owners
                    .insert(upstream.clone(), previous_owner);
            }
            self.raise_floor(&upstream, owner.epoch);
        }
    }

    /// The instance with the highest number below `epoch` in the failover order.
    fn holder_below(&self, upstream: &UpstreamName, epoch: Epoch) -> Option<InstanceName> {
        self.table
            .order_of(upstream)
            .iter()
            .filter(|place| place.epoch < epoch)
            .max_by_key(|place| place.epoch)
            .map(|place| place.instance.clone())
    }

    /// The first usable place in the failover order.
    pub(super) fn owner_of(&self, now: UnixMs, upstream: &UpstreamName) -> Option<&Succession> {
        let floor = self.floors.get(upstream).copied().unwrap_or_default();
        self.table
            .order_of(upstream)
            .iter()
            .find(|place| place.epoch >= floor && self.is_usable(now, &place.instance))
    }

    /// The first usable place after that of the local instance.
    pub(super) fn successor_of(&self, now: UnixMs, upstream: &UpstreamName) -> Option<&Succession> {
        let order = self.table.order_of(upstream);
        let local = self.local_place(upstream)?;
        order
            .iter()
            .find(|place| place.epoch > local.epoch && self.is_usable(now, &place.instance))
    }

    /// The place of the local instance in the failover order.
    pub(super) fn local_place(&self, upstream: &UpstreamName) -> Option<&Succession> {
        self.table
            .order_of(upstream)
            .iter()
            .find(|place| place.instance == self.local)
    }

    fn is_usable(&self, now: UnixMs, instance: &InstanceName) -> bool {
        !self.lapsed.contains(instance) && self.is_live(now, instance)
    }

    /// Whether `instance` is believed to be running and not leaving.
    pub(super) fn is_live(&self, now: UnixMs, instance: &InstanceName) -> bool {
        match self.health.get(instance) {
            Some(health) => matches!(health, Health::Alive | Health::Suspect),
            None => {
                let may_still_appear = self.unseen_deadline.is_none_or(|until| now < until);
                may_still_appear || *instance == self.local || self.listed.contains(instance)
            }
        }
    }

    /// Live members, table members that may still appear, and the local instance.
    pub(super) fn live(&self, now: UnixMs) -> BTreeSet<InstanceName> {
        let reported = self.health.keys();
        let known = self.table.members.iter();
        reported
            .chain(known)
            .chain([&self.local])
            .filter(|member| self.is_live(now, member))
            .cloned()
            .collect()
    }

    /// Number of live instances that precede this one by name. Rank 0 writes tables first; the
    /// others delay their writes.
    pub(super) fn rank(&self, now: UnixMs) -> usize {
        let live = self.live(now);
        live.iter().take_while(|name| **name < self.local).count()
    }

    /// Whether fewer than half of the table's members are live.
    pub(super) fn is_minority(&self, now: UnixMs) -> bool {
        let members = self.table.members.iter();
        let live = members.filter(|name| self.is_live(now, name)).count();
        live * 2 < self.table.members.len()
    }

    /// When the previous owner of `upstream` announced that it leaves; `None` if it did not.
    pub(super) fn previous_owner_leaving_since(&self, upstream: &UpstreamName) -> Option<UnixMs> {
        let previous_owner = self.previous_owners.get(upstream)?;
        self.leaving_since.get(previous_owner).copied()
    }
}

/// Whether both hold the same members with the same health, treating suspects as alive.
fn equal_ignoring_suspicion(
    one: &BTreeMap<InstanceName, Health>,
    other: &BTreeMap<InstanceName, Health>,
) -> bool {
    let without_suspicion = |health: &Health| match health {
        Health::Alive | Health::Suspect => Health::Alive,
        Health::Leaving | Health::Dead => *health,
    };
    one.len() == other.len()
        && one.iter().zip(other).all(|(one, other)| {
            one.0 == other.0 && without_suspicion(one.1) == without_suspicion(other.1)
        })
}

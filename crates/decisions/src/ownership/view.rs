//! What one instance knows of the zone's table and members.

use std::collections::{BTreeMap, BTreeSet};

use monsoonspread_model::message::Health;
use monsoonspread_model::{Epoch, InstanceName, OwnershipTable, Succession, UnixMs, UpstreamName};

/// The table in force, the members' health, and the fencing numbers known to be in use.
#[derive(Clone, Debug)]
pub(super) struct View {
    own: InstanceName,
    pub(super) table: OwnershipTable,
    health: BTreeMap<InstanceName, Health>,
    /// Instances that the platform's list names as live; counts for those not heard of yet.
    listed: BTreeSet<InstanceName>,
    /// Instances whose places in the table are void, since they restarted after it.
    pub(super) lapsed: BTreeSet<InstanceName>,
    /// Lowest fencing number that is still in force, by upstream.
    pub(super) floors: BTreeMap<UpstreamName, Epoch>,
    /// Who owned each upstream until the one that does now.
    former: BTreeMap<UpstreamName, InstanceName>,
    leaving_since: BTreeMap<InstanceName, UnixMs>,
    unheard_until: Option<UnixMs>,
    gave_up_unheard: bool,
}

impl View {
    pub(super) fn new(own: InstanceName, table: OwnershipTable) -> Self {
        Self {
            own,
            table,
            health: BTreeMap::new(),
            listed: BTreeSet::new(),
            lapsed: BTreeSet::new(),
            floors: BTreeMap::new(),
            former: BTreeMap::new(),
            leaving_since: BTreeMap::new(),
            unheard_until: None,
            gave_up_unheard: false,
        }
    }

    /// Takes the members; those of the table that are missing count as gone `unheard_ms` later.
    /// True when that can change who owns what.
    pub(super) fn set_members(
        &mut self,
        now: UnixMs,
        members: &[(InstanceName, Health)],
        unheard_ms: u64,
    ) -> bool {
        let first = self.unheard_until.is_none();
        self.unheard_until.get_or_insert(now + unheard_ms);
        let before = std::mem::replace(&mut self.health, members.iter().cloned().collect());
        if !first && same_but_for_suspicion(&before, &self.health) {
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

    /// Takes the zone's instances that the platform's list names as live.
    pub(super) fn set_listed(&mut self, now: UnixMs, listed: BTreeSet<InstanceName>) {
        self.listed = listed;
        self.advance(now);
    }

    /// True once, when members of the table that are still unheard of begin to count as gone.
    pub(super) fn gives_up_unheard(&mut self, now: UnixMs) -> bool {
        let due = self.unheard_until.is_some_and(|until| now >= until);
        due && !std::mem::replace(&mut self.gave_up_unheard, true)
    }

    pub(super) fn knows_members(&self) -> bool {
        self.unheard_until.is_some()
    }

    /// Takes a newer table.
    pub(super) fn set_table(&mut self, now: UnixMs, table: OwnershipTable) {
        self.table = table;
        self.lapsed.clear();
        let floors = &mut self.floors;
        floors.retain(|upstream, _| self.table.upstreams.contains_key(upstream));
        self.former
            .retain(|upstream, _| self.table.upstreams.contains_key(upstream));
        self.advance(now);
    }

    /// Notes that `epoch` is in use for `upstream`; lower ones are void from here on.
    pub(super) fn raise_floor(&mut self, upstream: &UpstreamName, epoch: Epoch) {
        let floor = self.floors.entry(upstream.clone()).or_default();
        *floor = epoch.max(*floor);
    }

    /// Makes the present owners stick: whoever was passed over stays so under this table.
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
            if let Some(former) = self.holder_below(&upstream, owner.epoch) {
                self.former.insert(upstream.clone(), former);
            }
            self.raise_floor(&upstream, owner.epoch);
        }
    }

    /// The holder of the highest number below `epoch`, or of the floor that `epoch` replaces.
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

    /// The first usable place after the own one.
    pub(super) fn successor_of(&self, now: UnixMs, upstream: &UpstreamName) -> Option<&Succession> {
        let order = self.table.order_of(upstream);
        let own = self.own_place(upstream)?;
        order
            .iter()
            .find(|place| place.epoch > own.epoch && self.is_usable(now, &place.instance))
    }

    /// The own place in the failover order.
    pub(super) fn own_place(&self, upstream: &UpstreamName) -> Option<&Succession> {
        self.table
            .order_of(upstream)
            .iter()
            .find(|place| place.instance == self.own)
    }

    fn is_usable(&self, now: UnixMs, instance: &InstanceName) -> bool {
        !self.lapsed.contains(instance) && self.is_live(now, instance)
    }

    /// Whether `instance` answers, as far as known.
    pub(super) fn is_live(&self, now: UnixMs, instance: &InstanceName) -> bool {
        match self.health.get(instance) {
            Some(health) => matches!(health, Health::Alive | Health::Suspect),
            None => {
                let waits = self.unheard_until.is_none_or(|until| now < until);
                waits || *instance == self.own || self.listed.contains(instance)
            }
        }
    }

    /// Members that answer, and members of the table that may still turn up.
    pub(super) fn live(&self, now: UnixMs) -> BTreeSet<InstanceName> {
        let heard = self.health.keys();
        let known = self.table.members.iter();
        heard
            .chain(known)
            .chain([&self.own])
            .filter(|member| self.is_live(now, member))
            .cloned()
            .collect()
    }

    /// How many live instances come before this one; the first writes tables, others are late.
    pub(super) fn rank(&self, now: UnixMs) -> usize {
        let live = self.live(now);
        live.iter().take_while(|name| **name < self.own).count()
    }

    /// Whether fewer than half of the table's members are live.
    pub(super) fn is_minority(&self, now: UnixMs) -> bool {
        let members = self.table.members.iter();
        let live = members.filter(|name| self.is_live(now, name)).count();
        live * 2 < self.table.members.len()
    }

    /// When the owner before the present one announced that it leaves, if it does.
    pub(super) fn former_leaving_since(&self, upstream: &UpstreamName) -> Option<UnixMs> {
        let former = self.former.get(upstream)?;
        self.leaving_since.get(former).copied()
    }
}

/// Whether both name the same members, each as live, leaving or dead.
fn same_but_for_suspicion(
    one: &BTreeMap<InstanceName, Health>,
    other: &BTreeMap<InstanceName, Health>,
) -> bool {
    let coarse = |health: &Health| match health {
        Health::Alive | Health::Suspect => Health::Alive,
        Health::Leaving | Health::Dead => *health,
    };
    one.len() == other.len()
        && one
            .iter()
            .zip(other)
            .all(|(one, other)| one.0 == other.0 && coarse(one.1) == coarse(other.1))
}

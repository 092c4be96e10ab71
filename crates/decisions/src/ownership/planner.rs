//! Planning of the next ownership table.

use std::collections::{BTreeMap, BTreeSet};

use monsoonspread_model::{Epoch, InstanceName, OwnershipTable, Succession, UpstreamName};
use xxhash_rust::xxh3::xxh3_64;

/// Plans a table from the current one, moving as few owners as balance allows.
pub struct Planner<'a> {
    current: &'a OwnershipTable,
    live: &'a BTreeSet<InstanceName>,
    upstreams: &'a BTreeSet<UpstreamName>,
    order_length: usize,
    floors: &'a BTreeMap<UpstreamName, Epoch>,
    lapsed: &'a BTreeSet<InstanceName>,
    first_epoch: Epoch,
}

impl<'a> Planner<'a> {
    /// Plans for `live` instances and `upstreams`, with `order_length` places in each order.
    ///
    /// ```
    /// # use std::collections::{BTreeMap, BTreeSet};
    /// # use monsoonspread_decisions::ownership::Planner;
    /// # use monsoonspread_model::{Epoch, OwnershipTable};
    /// # let table = OwnershipTable::new("z");
    /// # let live = BTreeSet::from(["entry-1".into(), "entry-2".into()]);
    /// # let upstreams = BTreeSet::from(["engine-1".into()]);
    /// assert_eq!(Planner::new(&table, &live, &upstreams, 3).plan().unwrap().members.len(), 2);
    /// ```
    pub fn new(
        current: &'a OwnershipTable,
        live: &'a BTreeSet<InstanceName>,
        upstreams: &'a BTreeSet<UpstreamName>,
        order_length: usize,
    ) -> Self {
        static NO_FLOORS: BTreeMap<UpstreamName, Epoch> = BTreeMap::new();
        static NO_LAPSED: BTreeSet<InstanceName> = BTreeSet::new();
        Self {
            current,
            live,
            upstreams,
            order_length,
            floors: &NO_FLOORS,
            lapsed: &NO_LAPSED,
            first_epoch: current.next_epoch,
        }
    }

    /// Sets the lowest fencing number still valid for each upstream.
    ///
    /// ```
    /// # use std::collections::{BTreeMap, BTreeSet};
    /// # use monsoonspread_decisions::ownership::Planner;
    /// # use monsoonspread_model::{Epoch, OwnershipTable};
    /// # let table = OwnershipTable::new("z");
    /// # let live = BTreeSet::from(["entry-1".into(), "entry-2".into()]);
    /// # let upstreams = BTreeSet::from(["engine-1".into()]);
    /// let floors = BTreeMap::from([("engine-1".into(), Epoch(7))]);
    /// let next = Planner::new(&table, &live, &upstreams, 3).with_floors(&floors).plan();
    /// assert!(next.unwrap().order_of(&"engine-1".into())[0].epoch > Epoch(7));
    /// ```
    #[must_use]
    pub fn with_floors(mut self, floors: &'a BTreeMap<UpstreamName, Epoch>) -> Self {
        self.floors = floors;
        self
    }

    /// Sets the instances whose places in the current table are void.
    ///
    /// ```
    /// # use std::collections::{BTreeMap, BTreeSet};
    /// # use monsoonspread_decisions::ownership::Planner;
    /// # use monsoonspread_model::{Epoch, OwnershipTable};
    /// # let table = OwnershipTable::new("z");
    /// # let live = BTreeSet::from(["entry-1".into(), "entry-2".into()]);
    /// # let upstreams = BTreeSet::from(["engine-1".into()]);
    /// let first = Planner::new(&table, &live, &upstreams, 3).plan().unwrap();
    /// let lapsed = BTreeSet::from([first.order_of(&"engine-1".into())[0].instance.clone()]);
    /// let next = Planner::new(&first, &live, &upstreams, 3).with_lapsed(&lapsed).plan();
    /// assert_ne!(next, None);
    /// ```
    #[must_use]
    pub fn with_lapsed(mut self, lapsed: &'a BTreeSet<InstanceName>) -> Self {
        self.lapsed = lapsed;
        self
    }

    /// Issues no fencing number below `first_epoch`.
    ///
    /// ```
    /// # use std::collections::{BTreeMap, BTreeSet};
    /// # use monsoonspread_decisions::ownership::Planner;
    /// # use monsoonspread_model::{Epoch, OwnershipTable};
    /// # let table = OwnershipTable::new("z");
    /// # let live = BTreeSet::from(["entry-1".into(), "entry-2".into()]);
    /// # let upstreams = BTreeSet::from(["engine-1".into()]);
    /// let next = Planner::new(&table, &live, &upstreams, 3).with_first_epoch(Epoch(9)).plan();
    /// assert_eq!(next.unwrap().order_of(&"engine-1".into())[0].epoch, Epoch(9));
    /// ```
    #[must_use]
    pub fn with_first_epoch(mut self, first_epoch: Epoch) -> Self {
        self.first_epoch = self.first_epoch.max(first_epoch);
        self
    }

    /// The table to write; `None` when the current one still fits or no instance is live.
    ///
    /// ```
    /// # use std::collections::BTreeSet;
    /// # use monsoonspread_decisions::ownership::Planner;
    /// # use monsoonspread_model::OwnershipTable;
    /// let table = OwnershipTable::new("vestland-1");
    /// let live = BTreeSet::from(["entry-1".into()]);
    /// let upstreams = BTreeSet::from(["engine-1".into()]);
    /// let next = Planner::new(&table, &live, &upstreams, 3).plan().unwrap();
    /// assert_eq!(next.order_of(&"engine-1".into())[0].instance, "entry-1".into());
    /// assert_eq!(Planner::new(&next, &live, &upstreams, 3).plan(), None);
    /// ```
    pub fn plan(&self) -> Option<OwnershipTable> {
        if self.live.is_empty() {
            return None;
        }
        let owners = self.owners();
        let mut next = OwnershipTable {
            zone: self.current.zone.clone(),
            revision: self.current.revision + 1,
            next_epoch: self.first_free_epoch(),
            members: self.live.iter().cloned().collect(),
            upstreams: BTreeMap::new(),
        };
        for (upstream, owner) in owners {
            let order = self.order(upstream, owner, &mut next.next_epoch);
            next.upstreams.insert(upstream.clone(), order);
        }
        let changed =
            next.members != self.current.members || next.upstreams != self.current.upstreams;
        changed.then_some(next)
    }

    fn first_free_epoch(&self) -> Epoch {
        let above_floors = self.floors.values().map(|floor| Epoch(floor.0 + 1));
        above_floors
            .max()
            .map_or(self.first_epoch, |free| free.max(self.first_epoch))
    }

    /// The owner of each upstream: the current one, unless an even distribution requires a move.
    fn owners(&self) -> BTreeMap<&'a UpstreamName, &'a InstanceName> {
        let mut owners = BTreeMap::new();
        let mut counts: BTreeMap<_, _> = self.live.iter().map(|name| (name, 0)).collect();
        for upstream in self.upstreams {
            if let Some(owner) = self.current_owner(upstream) {
                *counts.entry(owner).or_default() += 1;
                owners.insert(upstream, owner);
            }
        }
        for upstream in self.upstreams {
            if owners.contains_key(upstream) {
                continue;
            }
            let owner = least_loaded(upstream, &counts);
            *counts.entry(owner).or_default() += 1;
            owners.insert(upstream, owner);
        }
        self.rebalance(&mut owners, &mut counts);
        owners
    }

    /// Moves upstreams from the instance with the most to the one with the fewest until they
    /// differ by at most one. Upstreams that an instance took over from another move first.
    fn rebalance(
        &self,
        owners: &mut BTreeMap<&'a UpstreamName, &'a InstanceName>,
        counts: &mut BTreeMap<&'a InstanceName, usize>,
    ) {
        loop {
            let most = counts.iter().max_by_key(|(_, count)| **count);
            let fewest = counts.iter().min_by_key(|(_, count)| **count);
            let (Some((&most, &high)), Some((&fewest, &low))) = (most, fewest) else {
                return;
            };
            if high - low < 2 {
                return;
            }
            let candidate = owners
                .iter()
                .filter(|(_, owner)| **owner == most)
                .max_by_key(|(upstream, _)| {
                    (
                        !self.is_first(upstream, most),
                        rendezvous_weight(upstream, fewest),
                    )
                })
                .map(|(upstream, _)| *upstream);
            let Some(upstream) = candidate else { return };
            owners.insert(upstream, fewest);
            *counts.entry(most).or_default() -= 1;
            *counts.entry(fewest).or_default() += 1;
        }
    }

    /// Whether `instance` is first in the current failover order of `upstream`.
    fn is_first(&self, upstream: &UpstreamName, instance: &InstanceName) -> bool {
        let order = self.current.order_of(upstream);
        order
            .first()
            .is_some_and(|place| place.instance == *instance)
    }

    fn current_owner(&self, upstream: &UpstreamName) -> Option<&'a InstanceName> {
        self.current
            .order_of(upstream)
            .iter()
            .filter(|place| self.is_valid_place(upstream, place))
            .find_map(|place| self.live.get(&place.instance))
    }

    fn is_valid_place(&self, upstream: &UpstreamName, place: &Succession) -> bool {
        let floor = self.floors.get(upstream).copied().unwrap_or_default();
        place.epoch >= floor && !self.lapsed.contains(&place.instance)
    }

    /// The failover order of one upstream, with fencing numbers that increase from place to place.
    fn order(
        &self,
        upstream: &UpstreamName,
        owner: &InstanceName,
        next_epoch: &mut Epoch,
    ) -> Vec<Succession> {
        let current_order = self.current.order_of(upstream);
        let mut previous_epoch = Epoch(0);
        self.order_instances(upstream, owner)
            .into_iter()
            .map(|instance| {
                let kept = current_order
                    .iter()
                    .find(|place| place.instance == *instance && place.epoch > previous_epoch)
                    .filter(|place| self.is_valid_place(upstream, place))
                    .filter(|place| {
                        previous_epoch > Epoch(0) || self.is_current_owner(upstream, place)
                    });
                let epoch = kept.map_or_else(|| issue_epoch(next_epoch), |place| place.epoch);
                previous_epoch = epoch;
                Succession {
                    instance: instance.clone(),
                    epoch,
                }
            })
            .collect()
    }

    /// Whether the instance of `place` owns the upstream under the current table.
    fn is_current_owner(&self, upstream: &UpstreamName, place: &Succession) -> bool {
        self.current_owner(upstream) == Some(&place.instance)
    }

    /// The owner, then instances that already have a place, then others by rendezvous hash.
    fn order_instances(
        &self,
        upstream: &UpstreamName,
        owner: &'a InstanceName,
    ) -> Vec<&'a InstanceName> {
        let mut chosen = vec![owner];
        let current_order = self
            .current
            .order_of(upstream)
            .iter()
            .filter(|place| self.is_valid_place(upstream, place))
            .filter_map(|place| self.live.get(&place.instance));
        for instance in current_order {
            if chosen.len() < self.order_length && !chosen.contains(&instance) {
                chosen.push(instance);
            }
        }
        while chosen.len() < self.order_length.min(self.live.len()) {
            let others = self.live.iter().filter(|other| !chosen.contains(other));
            chosen.extend(others.max_by_key(|other| rendezvous_weight(upstream, other)));
        }
        chosen
    }
}

fn least_loaded<'a>(
    upstream: &UpstreamName,
    counts: &BTreeMap<&'a InstanceName, usize>,
) -> &'a InstanceName {
    counts
        .iter()
        .min_by_key(|(instance, count)| (**count, u64::MAX - rendezvous_weight(upstream, instance)))
        .map(|(instance, _)| *instance)
        .expect("a plan needs at least one live instance")
}

fn issue_epoch(next_epoch: &mut Epoch) -> Epoch {
    let issued = *next_epoch;
    next_epoch.0 += 1;
    issued
}

fn rendezvous_weight(upstream: &UpstreamName, instance: &InstanceName) -> u64 {
    let mut key = Vec::with_capacity(upstream.as_str().len() + instance.as_str().len() + 1);
    key.extend_from_slice(upstream.as_str().as_bytes());
    key.push(0);
    key.extend_from_slice(instance.as_str().as_bytes());
    xxh3_64(&key)
}

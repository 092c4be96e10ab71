//! The upstreams that this instance owns.

use std::collections::{BTreeMap, BTreeSet};

use monsoonspread_model::{Epoch, InstanceName, UnixMs, UpstreamName};

use super::view::View;
use super::{AcquisitionKind, OwnershipAction, OwnershipEvent};

/// The owned upstreams, reconciled with the view.
#[derive(Clone, Debug)]
pub(super) struct Owned {
    local: InstanceName,
    epochs: BTreeMap<UpstreamName, Epoch>,
    /// Numbers below this may have been used by an earlier process of the same name; `None`
    /// until the key-value service has answered.
    first_epoch: Option<Epoch>,
    /// Instances of any zone that could hold grants.
    pub(super) holders: BTreeSet<InstanceName>,
    handover_wait_ms: u64,
    awaits_handover: bool,
}

impl Owned {
    pub(super) fn new(local: InstanceName, handover_wait_ms: u64) -> Self {
        Self {
            local,
            epochs: BTreeMap::new(),
            first_epoch: None,
            holders: BTreeSet::new(),
            handover_wait_ms,
            awaits_handover: false,
        }
    }

    /// Sets the first number that only this process can use, from the first answer of the
    /// key-value service. Later calls have no effect.
    pub(super) fn set_first_epoch(&mut self, first_epoch: Epoch) {
        self.first_epoch.get_or_insert(first_epoch);
    }

    pub(super) fn has_first_epoch(&self) -> bool {
        self.first_epoch.is_some()
    }

    pub(super) fn may_use(&self, epoch: Epoch) -> bool {
        self.first_epoch.is_some_and(|first| epoch >= first)
    }

    /// Whether this instance delays acquiring an upstream until its handover arrives.
    pub(super) fn awaits_handover(&self) -> bool {
        self.awaits_handover
    }

    /// Whether an upstream is owned from a place other than the first in its failover order.
    pub(super) fn owns_as_successor(&self, view: &View) -> bool {
        self.epochs.iter().any(|(upstream, epoch)| {
            let order = view.table.order_of(upstream);
            order.first().is_some_and(|head| head.epoch != *epoch)
        })
    }

    /// Whether the table assigns this instance a number that an earlier process may have used.
    pub(super) fn has_void_place(&self, now: UnixMs, view: &View) -> bool {
        let mut owners = view
            .table
            .upstreams
            .keys()
            .filter_map(|upstream| view.owner_of(now, upstream));
        owners.any(|place| place.instance == self.local && !self.may_use(place.epoch))
    }

    pub(super) fn epochs(&self) -> &BTreeMap<UpstreamName, Epoch> {
        &self.epochs
    }

    pub(super) fn clear(&mut self) -> BTreeMap<UpstreamName, Epoch> {
        std::mem::take(&mut self.epochs)
    }

    /// Disowns upstreams that the view assigns to others and acquires those it assigns to this
    /// instance.
    pub(super) fn reconcile(&mut self, now: UnixMs, view: &View) -> Vec<OwnershipAction> {
        let mut actions = self.release_lost(now, view);
        let due: Vec<_> = view
            .table
            .upstreams
            .keys()
            .filter(|upstream| !self.epochs.contains_key(*upstream))
            .filter_map(|upstream| {
                Some((
                    upstream.clone(),
                    self.epoch_to_acquire(now, view, upstream)?,
                ))
            })
            .collect();
        let (awaited, gained): (Vec<_>, Vec<_>) = due
            .into_iter()
            .partition(|(upstream, _)| self.may_get_handover(now, view, upstream));
        self.awaits_handover = !awaited.is_empty();
        for (upstream, epoch) in gained {
            let kind = acquisition_kind(view, &upstream, epoch);
            if kind == AcquisitionKind::Takeover {
                actions.push(OwnershipAction::Event(OwnershipEvent::TakenOver {
                    upstream: upstream.clone(),
                    epoch,
                }));
            }
            actions.push(self.acquire(upstream, epoch, kind, view));
        }
        actions
    }

    /// Acquires `upstream` with `epoch`.
    pub(super) fn acquire(
        &mut self,
        upstream: UpstreamName,
        epoch: Epoch,
        kind: AcquisitionKind,
        view: &View,
    ) -> OwnershipAction {
        self.epochs.insert(upstream.clone(), epoch);
        let zone = view.table.members.iter();
        let holders: BTreeSet<_> = self.holders.iter().chain(zone).cloned().collect();
        OwnershipAction::Own {
            upstream,
            epoch,
            kind,
            holders: holders.into_iter().collect(),
        }
    }

    fn release_lost(&mut self, now: UnixMs, view: &View) -> Vec<OwnershipAction> {
        let lost: Vec<_> = self
            .epochs
            .iter()
            .filter(|(upstream, epoch)| !self.keeps(now, view, upstream, **epoch))
            .map(|(upstream, _)| upstream.clone())
            .collect();
        lost.into_iter()
            .map(|upstream| {
                self.epochs.remove(&upstream);
                OwnershipAction::Disown { upstream }
            })
            .collect()
    }

    fn keeps(&self, now: UnixMs, view: &View, upstream: &UpstreamName, epoch: Epoch) -> bool {
        view.owner_of(now, upstream)
            .is_some_and(|place| place.instance == self.local && place.epoch == epoch)
    }

    /// The number to acquire `upstream` with, if the view assigns it to this instance.
    fn epoch_to_acquire(&self, now: UnixMs, view: &View, upstream: &UpstreamName) -> Option<Epoch> {
        view.owner_of(now, upstream)
            .filter(|place| place.instance == self.local && self.may_use(place.epoch))
            .map(|place| place.epoch)
    }

    /// Whether the previous owner is leaving and its handover may still arrive.
    fn may_get_handover(&self, now: UnixMs, view: &View, upstream: &UpstreamName) -> bool {
        view.previous_owner_leaving_since(upstream)
            .is_some_and(|since| now < since + self.handover_wait_ms)
    }
}

fn acquisition_kind(view: &View, upstream: &UpstreamName, epoch: Epoch) -> AcquisitionKind {
    let is_first = view
        .table
        .order_of(upstream)
        .first()
        .is_some_and(|head| head.epoch == epoch);
    if view.table.revision == 1 && is_first {
        AcquisitionKind::Fresh
    } else {
        AcquisitionKind::Takeover
    }
}

//! The upstreams that this instance owns.

use std::collections::{BTreeMap, BTreeSet};

use monsoonspread_model::{Epoch, InstanceName, UnixMs, UpstreamName};

use super::view::View;
use super::{AcquisitionKind, OwnershipAction, OwnershipEvent};

/// Upstreams in ownership, kept in step with the view.
#[derive(Clone, Debug)]
pub(super) struct Owned {
    own: InstanceName,
    epochs: BTreeMap<UpstreamName, Epoch>,
    /// Numbers below this may have been used by an earlier process of the same name.
    first_epoch: Option<Epoch>,
    /// Instances of any zone that could hold grants.
    pub(super) holders: BTreeSet<InstanceName>,
    handover_wait_ms: u64,
    awaits_handover: bool,
}

impl Owned {
    pub(super) fn new(own: InstanceName, handover_wait_ms: u64) -> Self {
        Self {
            own,
            epochs: BTreeMap::new(),
            first_epoch: None,
            holders: BTreeSet::new(),
            handover_wait_ms,
            awaits_handover: false,
        }
    }

    /// Takes what the key-value service said first: later numbers are this process's own.
    pub(super) fn set_first_epoch(&mut self, first_epoch: Epoch) {
        self.first_epoch.get_or_insert(first_epoch);
    }

    pub(super) fn has_first_epoch(&self) -> bool {
        self.first_epoch.is_some()
    }

    pub(super) fn may_use(&self, epoch: Epoch) -> bool {
        self.first_epoch.is_some_and(|first| epoch >= first)
    }

    /// Whether an upstream is this instance's, but for the handover that is still to come.
    pub(super) fn awaits_handover(&self) -> bool {
        self.awaits_handover
    }

    /// Whether an upstream is owned that the table gives to another first.
    pub(super) fn acts_out_of_order(&self, view: &View) -> bool {
        self.epochs.iter().any(|(upstream, epoch)| {
            let order = view.table.order_of(upstream);
            order.first().is_some_and(|head| head.epoch != *epoch)
        })
    }

    /// Whether the table gives this instance a number that an earlier process may have used.
    pub(super) fn has_void_place(&self, now: UnixMs, view: &View) -> bool {
        let mut owners = view
            .table
            .upstreams
            .keys()
            .filter_map(|upstream| view.owner_of(now, upstream));
        owners.any(|place| place.instance == self.own && !self.may_use(place.epoch))
    }

    pub(super) fn epochs(&self) -> &BTreeMap<UpstreamName, Epoch> {
        &self.epochs
    }

    pub(super) fn clear(&mut self) -> BTreeMap<UpstreamName, Epoch> {
        std::mem::take(&mut self.epochs)
    }

    /// Disowns what the view gives to others and owns what it gives to this instance.
    pub(super) fn follow(&mut self, now: UnixMs, view: &View) -> Vec<OwnershipAction> {
        let mut actions = self.drop_lost(now, view);
        let turns: Vec<_> = view
            .table
            .upstreams
            .keys()
            .filter(|upstream| !self.epochs.contains_key(*upstream))
            .filter_map(|upstream| Some((upstream.clone(), self.turn(now, view, upstream)?)))
            .collect();
        let (awaited, gained): (Vec<_>, Vec<_>) = turns
            .into_iter()
            .partition(|(upstream, _)| self.waits(now, view, upstream));
        self.awaits_handover = !awaited.is_empty();
        for (upstream, epoch) in gained {
            let kind = kind_of(view, &upstream, epoch);
            if kind == AcquisitionKind::Takeover {
                actions.push(OwnershipAction::Event(OwnershipEvent::TakenOver {
                    upstream: upstream.clone(),
                    epoch,
                }));
            }
            actions.push(self.own(upstream, epoch, kind, view));
        }
        actions
    }

    /// Starts to own `upstream` with `epoch`.
    pub(super) fn own(
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

    fn drop_lost(&mut self, now: UnixMs, view: &View) -> Vec<OwnershipAction> {
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
            .is_some_and(|place| place.instance == self.own && place.epoch == epoch)
    }

    /// The number to own `upstream` with, when it is this instance's turn.
    fn turn(&self, now: UnixMs, view: &View, upstream: &UpstreamName) -> Option<Epoch> {
        view.owner_of(now, upstream)
            .filter(|place| place.instance == self.own && self.may_use(place.epoch))
            .map(|place| place.epoch)
    }

    /// Whether the owner before leaves as planned, so that its handover may still come.
    fn waits(&self, now: UnixMs, view: &View, upstream: &UpstreamName) -> bool {
        view.former_leaving_since(upstream)
            .is_some_and(|since| now < since + self.handover_wait_ms)
    }
}

fn kind_of(view: &View, upstream: &UpstreamName, epoch: Epoch) -> AcquisitionKind {
    let heads = view
        .table
        .order_of(upstream)
        .first()
        .is_some_and(|head| head.epoch == epoch);
    if view.table.revision == 1 && heads {
        AcquisitionKind::Fresh
    } else {
        AcquisitionKind::Takeover
    }
}

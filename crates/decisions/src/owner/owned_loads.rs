//! Selects the next adapter to load on one upstream and the copy to evict for it.

use std::cmp::Ordering;
use std::collections::BTreeMap;

use monsoonspread_model::{AdapterRef, CopyName, RequestClass, UnixMs};

use super::load_plan::LoadPlan;
use super::owned_upstream::OwnedUpstream;
use super::tracked_copy::{CopyState, TrackedCopy};
use super::{OwnerAction, OwnerEvent};

/// Waiting requests for one adapter that has no copy.
#[derive(Clone, Copy, Debug, Default)]
struct Demand {
    weight: f64,
    waiting: u32,
    only_long: bool,
    may_load: bool,
}

impl OwnedUpstream {
    /// The load with the highest weight, if it can start now or after one eviction.
    pub fn next_load(&self, now: UnixMs) -> Option<LoadPlan> {
        if !self.may_load(now) {
            return None;
        }
        let (adapter, demand) = self
            .demands(now)
            .into_iter()
            .max_by(|(_, left), (_, right)| left.weight.total_cmp(&right.weight))?;
        let weight = demand.weight + self.reuse(adapter, now);
        let victim = self.room_for(weight, now)?;
        Some(LoadPlan {
            adapter: adapter.clone(),
            weight,
            waiting: demand.waiting,
            victim,
        })
    }

    /// Load weights of all adapters that wait for a load.
    pub fn load_weights(&self, now: UnixMs) -> Vec<f64> {
        self.demands(now)
            .into_iter()
            .map(|(adapter, demand)| demand.weight + self.reuse(adapter, now))
            .collect()
    }

    /// Load weight of one adapter: its waiting requests plus the expected reuse.
    pub fn load_weight(&self, adapter: &AdapterRef, now: UnixMs) -> f64 {
        let waiting: f64 = self
            .queue
            .iter()
            .filter(|row| row.request.adapter == *adapter)
            .map(|row| row.weight(now))
            .sum();
        waiting + self.reuse(adapter, now)
    }

    /// Whether a slot is free or can be freed for a load of `weight`.
    pub fn has_room_for(&self, weight: f64, now: UnixMs) -> bool {
        self.room_for(weight, now).is_some()
    }

    fn may_load(&self, now: UnixMs) -> bool {
        let in_transit = self.copies.count(CopyState::Loading);
        self.slots_known
            && self.queue.len() > 0
            && self.takes_work(now)
            && in_transit < self.settings.loads_in_transit_per_upstream as usize
    }

    /// Returns `Some(None)` for a free slot, `Some(Some(copy))` for a copy to evict first, and
    /// `None` if no slot can be made available.
    fn room_for(&self, weight: f64, now: UnixMs) -> Option<Option<CopyName>> {
        if self.copies.len() < self.shape.adapter_slots as usize {
            return Some(None);
        }
        // The slot being freed is used by the load with the highest weight, which is this one.
        if self.copies.count(CopyState::Unloading) > 0 {
            return None;
        }
        let (victim, value) = self.cheapest_copy(now)?;
        (value < weight).then(|| Some(victim.clone()))
    }

    /// The evictable copy with the lowest retention value, and that value.
    fn cheapest_copy(&self, now: UnixMs) -> Option<(&CopyName, f64)> {
        self.copies
            .iter()
            .filter(|(name, copy)| self.may_evict(name, copy, now))
            .map(|(name, copy)| (name, self.retention(name, now), copy.used_at))
            .min_by(|(_, left, left_used), (_, right, right_used)| {
                left.total_cmp(right).then(left_used.cmp(right_used))
            })
            .map(|(name, value, _)| (name, value))
    }

    /// Whether a copy may be evicted: it has no pin, no waiting request and no unknown grant.
    fn may_evict(&self, name: &CopyName, copy: &TrackedCopy, now: UnixMs) -> bool {
        copy.is_loaded()
            && now >= copy.keep_until
            && self.grants.pins(name) == 0
            && !copy.may_run_disconnected(now, self.settings.clock_margin_ms)
            && self.is_accounted_for(name, copy, now)
            && !(self.queue.has_waiting_for(&name.adapter)
                && self.usable_copy(&name.adapter) == Some(name))
    }

    /// Whether no unknown grant can be on a copy; always `false` for a newer owner's copy.
    pub fn is_accounted_for(&self, name: &CopyName, copy: &TrackedCopy, now: UnixMs) -> bool {
        match name.epoch.cmp(&self.epoch) {
            Ordering::Less => self.may_evict_foreign(copy, now),
            Ordering::Equal => true,
            Ordering::Greater => false,
        }
    }

    /// Value of keeping a copy, in requests expected for it.
    fn retention(&self, name: &CopyName, now: UnixMs) -> f64 {
        match self.usable_copy(&name.adapter) == Some(name) {
            true => self.reuse(&name.adapter, now),
            false => 0.0,
        }
    }

    /// Expected number of requests for an adapter within the reuse horizon.
    fn reuse(&self, adapter: &AdapterRef, now: UnixMs) -> f64 {
        let horizon_s = self.settings.reuse_horizon_ms as f64 / 1_000.0;
        self.popularity.per_second(now, adapter) * horizon_s
    }

    /// Waiting requests by adapter, for adapters that have no copy and may be loaded.
    fn demands(&self, now: UnixMs) -> BTreeMap<&AdapterRef, Demand> {
        let mut demands: BTreeMap<&AdapterRef, Demand> = BTreeMap::new();
        for row in self.queue.iter() {
            let demand = demands.entry(&row.request.adapter).or_insert(Demand {
                only_long: true,
                ..Demand::default()
            });
            demand.weight += row.weight(now);
            demand.waiting += 1;
            demand.only_long &= row.request.class == RequestClass::Long;
            demand.may_load |= row.request.may_load;
        }
        let long_full = self.long_pinned() >= self.long_slots();
        demands.retain(|adapter, demand| {
            demand.may_load && self.is_loadable(adapter, now) && !(demand.only_long && long_full)
        });
        demands
    }

    fn is_loadable(&self, adapter: &AdapterRef, now: UnixMs) -> bool {
        !self.has_copy_underway(adapter)
            && self.usable_copy(adapter).is_none()
            && self.failures.blocked_until(adapter, now).is_none()
    }

    /// Orders a load that the caller has already taken from the budget.
    pub fn start_load(&mut self, now: UnixMs, plan: &LoadPlan, out: &mut Vec<OwnerAction>) {
        let copy = CopyName::new(plan.adapter.clone(), self.epoch);
        self.copies
            .insert(copy.clone(), TrackedCopy::new(CopyState::Loading, now));
        out.push(OwnerAction::Load {
            upstream: self.name().clone(),
            copy: copy.clone(),
        });
        out.push(OwnerAction::Event(OwnerEvent::LoadStarted {
            upstream: self.name().clone(),
            copy,
            waiting: plan.waiting,
        }));
    }

    /// Orders the unload of a copy.
    pub fn start_unload(&mut self, now: UnixMs, name: &CopyName, out: &mut Vec<OwnerAction>) {
        let Some(copy) = self.copies.get_mut(name) else {
            return;
        };
        copy.enter(CopyState::Unloading, now);
        out.push(OwnerAction::Unload {
            upstream: self.name().clone(),
            copy: name.clone(),
            epoch: self.epoch,
        });
        out.push(OwnerAction::Event(OwnerEvent::Evicted {
            upstream: self.name().clone(),
            copy: name.clone(),
        }));
    }
}

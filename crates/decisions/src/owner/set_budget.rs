//! Starts loads within the instance's budget, and borrows and lends unused budget.

use monsoonspread_model::message::{BudgetAsk, BudgetLend, MeshMessage};
use monsoonspread_model::{AdapterRef, InstanceName, UnixMs, UpstreamName};
use rand_chacha::rand_core::Rng;

use super::load_plan::LoadPlan;
use super::{OwnerAction, OwnerEvent, OwnerSet};

/// Number of loads of the local budget that are never lent.
const RESERVED_LOADS: f64 = 1.0;

impl OwnerSet {
    /// Sets this instance's share of the weight store, in loads per second.
    pub fn on_budget_share(&mut self, now: UnixMs, loads_per_s: f64) -> Vec<OwnerAction> {
        let mut out = Vec::new();
        self.budget.set_rate(now, loads_per_s);
        self.start_loads(now, &mut out);
        out
    }

    /// Lends budget that is not needed here.
    pub fn on_budget_ask(
        &mut self,
        now: UnixMs,
        from: &InstanceName,
        ask: BudgetAsk,
    ) -> Vec<OwnerAction> {
        self.remember_peer(from);
        let spare = match self.wants_load(now) {
            true => 0.0,
            false => (self.budget.local(now) - RESERVED_LOADS).max(0.0),
        };
        let loads = ask.loads_wanted.min(spare as u32);
        if loads == 0 {
            return Vec::new();
        }
        self.budget.lend(now, loads);
        let lend = BudgetLend {
            loads,
            expires_at_unix_ms: now + self.settings.budget_lend_ms,
        };
        vec![OwnerAction::Send {
            to: from.clone(),
            message: MeshMessage::BudgetLend(lend),
        }]
    }

    /// Adds budget lent by a peer and starts loads with it.
    pub fn on_budget_lend(
        &mut self,
        now: UnixMs,
        from: &InstanceName,
        lend: BudgetLend,
    ) -> Vec<OwnerAction> {
        let mut out = Vec::new();
        self.remember_peer(from);
        self.budget.borrow(lend);
        self.start_loads(now, &mut out);
        out
    }

    /// Starts the loads with the highest weight over all upstreams while the budget lasts.
    pub(super) fn start_loads(&mut self, now: UnixMs, out: &mut Vec<OwnerAction>) {
        while self.may_start_load(now) {
            let Some((upstream, plan)) = self.heaviest_load(now) else {
                return;
            };
            let Some(owned) = self.owned.get_mut(&upstream) else {
                return;
            };
            match &plan.victim {
                // The load is started once the slot is free.
                Some(victim) => owned.start_unload(now, victim, out),
                None => {
                    self.budget.take(now);
                    owned.start_load(now, &plan, out);
                }
            }
        }
    }

    fn may_start_load(&mut self, now: UnixMs) -> bool {
        self.in_transit(now) < self.settings.loads_in_transit as usize
            && self.budget.available(now) >= 1.0
    }

    /// Loads in transit over all upstreams, without stuck ones.
    pub(super) fn in_transit(&self, now: UnixMs) -> usize {
        self.owned
            .values()
            .map(|owned| owned.loads_in_transit(now))
            .sum()
    }

    fn heaviest_load(&self, now: UnixMs) -> Option<(UpstreamName, LoadPlan)> {
        self.owned
            .iter()
            .filter(|(name, _)| !self.exits.contains_key(*name))
            .filter_map(|(name, owned)| Some((name, owned.next_load(now)?)))
            .max_by(|(_, left), (_, right)| left.weight.total_cmp(&right.weight))
            .map(|(name, plan)| (name.clone(), plan))
    }

    fn wants_load(&self, now: UnixMs) -> bool {
        self.owned
            .values()
            .any(|owned| !owned.load_weights(now).is_empty())
    }

    /// Expected time until a load that has not been ordered yet ends, in milliseconds.
    pub(super) fn load_wait_ms(
        &mut self,
        now: UnixMs,
        upstream: &UpstreamName,
        adapter: &AdapterRef,
    ) -> u64 {
        let Some(owned) = self.owned.get(upstream) else {
            return 0;
        };
        let weight = owned.load_weight(adapter, now);
        let slot_wait_ms = match owned.has_room_for(weight, now) {
            true => 0,
            false => owned.slot_wait_ms(now),
        };
        let load_ms = owned.load_ms as u64;
        let heavier = self.heavier_loads(now, weight);
        let budget_wait_ms = self.budget.wait_ms(now, heavier as f64 + 1.0);
        load_ms + slot_wait_ms.max(budget_wait_ms)
    }

    fn heavier_loads(&self, now: UnixMs, weight: f64) -> usize {
        self.owned
            .values()
            .flat_map(|owned| owned.load_weights(now))
            .filter(|other| *other > weight)
            .count()
    }

    /// Requests budget from one random peer while loads wait for it.
    pub(super) fn request_budget(&mut self, now: UnixMs, out: &mut Vec<OwnerAction>) {
        if now < self.next_budget_request_at || self.budget.available(now) >= 1.0 {
            return;
        }
        let loads_wanted: usize = self
            .owned
            .values()
            .map(|owned| owned.load_weights(now).len())
            .sum();
        if loads_wanted == 0 || self.peers.is_empty() {
            return;
        }
        self.next_budget_request_at = now + self.settings.budget_request_ms;
        let index = self.rng.next_u64() as usize % self.peers.len();
        if let Some(peer) = self.peers.iter().nth(index) {
            let ask = BudgetAsk {
                loads_wanted: loads_wanted as u32,
            };
            out.push(OwnerAction::Send {
                to: peer.clone(),
                message: MeshMessage::BudgetAsk(ask),
            });
        }
    }

    /// Reduces the batches of upstreams that are slow compared with their usual speed and with the
    /// other upstreams.
    pub(super) fn update_batch_caps(&mut self, now: UnixMs, out: &mut Vec<OwnerAction>) {
        let usual_gap_us = self.median_usual_gap_us();
        for owned in self.owned.values_mut() {
            let places = owned.target_batch_cap(now, usual_gap_us);
            if places == owned.batch_cap {
                continue;
            }
            owned.batch_cap = places;
            out.push(OwnerAction::Event(OwnerEvent::BatchCapChanged {
                upstream: owned.name().clone(),
                places,
            }));
        }
    }

    fn median_usual_gap_us(&self) -> Option<f64> {
        let mut gaps: Vec<f64> = self
            .owned
            .values()
            .filter(|owned| owned.speed.has_enough_samples())
            .map(|owned| owned.speed.usual_gap_us)
            .collect();
        gaps.sort_by(f64::total_cmp);
        gaps.get(gaps.len() / 2).copied()
    }
}

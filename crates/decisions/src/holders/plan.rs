//! Chooses the instance that claims an engine without a holder.

use std::collections::BTreeMap;

use monsoonspread_model::fleet::HolderActivity;
use monsoonspread_model::{InstanceName, UnixMs, UpstreamName, ZoneName};

use super::holder_state::longest_wait_ms;
use super::{HolderState, KnownHolder};

/// How long each instance of the plan may claim before it is the next one's turn, in milliseconds.
///
/// A few times the time until a claim is written and visible to the others.
const TURN_MS: u64 = 1_000;

/// A holder claim that this instance should write now.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PlannedClaim {
    /// The engine to claim.
    pub upstream: UpstreamName,
    /// Revision that the holder record must still have; 0 if there must be no record.
    pub expected_revision: u64,
    /// Earliest time of the first order.
    pub orders_from: UnixMs,
}

#[derive(Clone, Debug)]
struct Engine {
    zone: ZoneName,
    listed: bool,
    holder_state: HolderState,
}

/// Distributes engines without a holder over the instances, those of the engine's zone first.
#[derive(Debug)]
pub struct HolderPlan {
    local: InstanceName,
    order_gap_ms: u64,
    members: BTreeMap<InstanceName, ZoneName>,
    engines: BTreeMap<UpstreamName, Engine>,
}

impl HolderPlan {
    /// Creates the plan of the instance `local`. Orders of successive holders are at least
    /// `order_gap_ms` milliseconds apart.
    pub fn new(local: InstanceName, order_gap_ms: u64) -> Self {
        Self {
            local,
            order_gap_ms,
            members: BTreeMap::new(),
            engines: BTreeMap::new(),
        }
    }

    /// An instance was listed.
    pub fn on_member(&mut self, name: InstanceName, zone: ZoneName) {
        self.members.insert(name, zone);
    }

    /// An instance was removed.
    pub fn on_member_removed(&mut self, name: &InstanceName) {
        self.members.remove(name);
    }

    /// An engine is listed; `complete` if no earlier holder record can have been missed.
    pub fn on_engine(&mut self, now: UnixMs, name: &UpstreamName, zone: &ZoneName, complete: bool) {
        if let Some(engine) = self.engines.get_mut(name) {
            engine.listed = true;
            engine.zone = zone.clone();
            return;
        }
        let holder_state = if complete {
            HolderState::NeverHeld { since: now }
        } else {
            self.unknown(now)
        };
        let engine = Engine {
            zone: zone.clone(),
            listed: true,
            holder_state,
        };
        self.engines.insert(name.clone(), engine);
    }

    /// An engine is no longer listed.
    pub fn on_engine_removed(&mut self, name: &UpstreamName) {
        if let Some(engine) = self.engines.get_mut(name) {
            engine.listed = false;
        }
    }

    /// A holder was recorded for an engine.
    pub fn on_holder(&mut self, now: UnixMs, name: &UpstreamName, known: KnownHolder) {
        let revision = known.revision;
        let waits_ms = known
            .orders_in_ms
            .unwrap_or(longest_wait_ms(self.order_gap_ms));
        // The record was written before it was received.
        let orders_from = now + waits_ms;
        let holder_state = match known.activity {
            HolderActivity::Stopped => HolderState::Stopped {
                holder: known.holder,
                revision,
                since: now,
                orders_from,
            },
            HolderActivity::Orders | HolderActivity::Waits => HolderState::Held {
                holder: known.holder,
                revision,
                orders_from,
            },
        };
        let unknown = self.unknown(now);
        let engine = self.engines.entry(name.clone()).or_insert_with(|| Engine {
            zone: ZoneName::from(""),
            listed: false,
            holder_state: unknown,
        });
        if engine.holder_state.revision() < revision {
            engine.holder_state = holder_state;
        }
    }

    /// An engine's holder record was removed; `expired` if its lease certainly ran out.
    pub fn on_holder_removed(&mut self, now: UnixMs, name: &UpstreamName, expired: bool) {
        if let Some(engine) = self.engines.get_mut(name) {
            engine.holder_state = engine.holder_state.removed(now, expired, self.order_gap_ms);
        }
    }

    /// Returns the state of an engine of whose holders nothing is known.
    fn unknown(&self, now: UnixMs) -> HolderState {
        HolderState::Removed {
            since: now,
            orders_from: now + longest_wait_ms(self.order_gap_ms),
        }
    }

    /// Returns the recorded holder of an engine; `None` without one.
    pub fn holder(&self, name: &UpstreamName) -> Option<&InstanceName> {
        match &self.engines.get(name)?.holder_state {
            HolderState::Held { holder, .. } => Some(holder),
            _ => None,
        }
    }

    /// Number of listed instances.
    pub fn members(&self) -> usize {
        self.members.len()
    }

    /// Returns the claims that this instance should write now.
    ///
    /// A record left by an earlier process of this instance is taken over at once; other engines are
    /// claimed only if the list of instances is complete (`known`). `held` returns true for engines
    /// that this process already holds.
    pub fn claims(
        &self,
        now: UnixMs,
        known: bool,
        held: impl Fn(&UpstreamName) -> bool,
    ) -> Vec<PlannedClaim> {
        let mut load = self.held_counts();
        let mut claims = Vec::new();
        for (name, engine) in self.engines.iter().filter(|(_, engine)| engine.listed) {
            if held(name) {
                continue;
            }
            let free_since = engine.holder_state.free_since();
            let is_turn =
                free_since.is_some_and(|since| self.is_local_turn(now, engine, since, &mut load));
            if (is_turn && known) || engine.holder_state.is_of(&self.local) {
                claims.push(PlannedClaim {
                    upstream: name.clone(),
                    expected_revision: engine.holder_state.revision(),
                    orders_from: engine
                        .holder_state
                        .orders_from(&self.local, self.order_gap_ms),
                });
            }
        }
        claims
    }

    fn is_local_turn(
        &self,
        now: UnixMs,
        engine: &Engine,
        free_since: UnixMs,
        load: &mut BTreeMap<InstanceName, usize>,
    ) -> bool {
        let order = self.claim_order(&engine.zone, load);
        let Some(first) = order.first() else {
            return false;
        };
        *load.entry((*first).clone()).or_default() += 1;
        if now < free_since {
            return false;
        }
        let turn = (now.ms_since(free_since) / TURN_MS) as usize % order.len();
        *order[turn] == self.local
    }

    fn held_counts(&self) -> BTreeMap<InstanceName, usize> {
        let mut counts: BTreeMap<_, _> = self.members.keys().map(|m| (m.clone(), 0)).collect();
        for engine in self.engines.values().filter(|engine| engine.listed) {
            if let HolderState::Held { holder, .. } = &engine.holder_state
                && let Some(count) = counts.get_mut(holder)
            {
                *count += 1;
            }
        }
        counts
    }

    /// Instances in the order of their turns: those of the engine's zone first, and among them those
    /// that hold the fewest engines.
    fn claim_order(
        &self,
        zone: &ZoneName,
        load: &BTreeMap<InstanceName, usize>,
    ) -> Vec<&InstanceName> {
        let mut order: Vec<(&InstanceName, &ZoneName)> = self.members.iter().collect();
        order.sort_by_key(|(name, member_zone)| {
            (
                *member_zone != zone,
                load.get(*name).copied().unwrap_or(0),
                *name,
            )
        });
        order.into_iter().map(|(name, _)| name).collect()
    }
}

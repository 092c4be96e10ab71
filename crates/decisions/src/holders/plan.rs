//! Who claims an engine that nobody holds.

use std::collections::BTreeMap;

use monsoonspread_model::fleet::HolderActivity;
use monsoonspread_model::{InstanceName, UnixMs, UpstreamName, ZoneName};

use super::Standing;

/// How long the plan's first choice has before the next may claim, in milliseconds.
///
/// A few times the time in which a claim is written and seen by the others.
const TURN_MS: u64 = 1_000;

/// A claim that this instance should write now.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PlannedClaim {
    /// The engine.
    pub upstream: UpstreamName,
    /// Revision that its record must have, 0 for none.
    pub expected_revision: u64,
    /// When the first order may be given.
    pub orders_from: UnixMs,
}

#[derive(Clone, Debug)]
struct Engine {
    zone: ZoneName,
    listed: bool,
    standing: Standing,
}

/// Spreads engines without a holder over the instances of their zones.
#[derive(Debug)]
pub struct HolderPlan {
    own: InstanceName,
    order_gap_ms: u64,
    members: BTreeMap<InstanceName, ZoneName>,
    engines: BTreeMap<UpstreamName, Engine>,
}

impl HolderPlan {
    /// A plan of `own`; orders of two holders are to be `order_gap_ms` apart.
    pub fn new(own: InstanceName, order_gap_ms: u64) -> Self {
        Self {
            own,
            order_gap_ms,
            members: BTreeMap::new(),
            engines: BTreeMap::new(),
        }
    }

    /// An instance announced itself.
    pub fn on_member(&mut self, name: InstanceName, zone: ZoneName) {
        self.members.insert(name, zone);
    }

    /// An instance is gone.
    pub fn on_member_gone(&mut self, name: &InstanceName) {
        self.members.remove(name);
    }

    /// An engine is listed; `complete` when no earlier holder can have been missed.
    pub fn on_engine(&mut self, now: UnixMs, name: &UpstreamName, zone: &ZoneName, complete: bool) {
        if let Some(engine) = self.engines.get_mut(name) {
            engine.listed = true;
            engine.zone = zone.clone();
            return;
        }
        let standing = if complete {
            Standing::NeverHeld { since: now }
        } else {
            Standing::Vanished {
                since: now,
                expired: false,
            }
        };
        let engine = Engine {
            zone: zone.clone(),
            listed: true,
            standing,
        };
        self.engines.insert(name.clone(), engine);
    }

    /// An engine is no longer listed.
    pub fn on_engine_gone(&mut self, name: &UpstreamName) {
        if let Some(engine) = self.engines.get_mut(name) {
            engine.listed = false;
        }
    }

    /// A holder was recorded for an engine.
    pub fn on_holder(
        &mut self,
        now: UnixMs,
        name: &UpstreamName,
        holder: InstanceName,
        activity: HolderActivity,
        revision: u64,
    ) {
        let since = now;
        let standing = match activity {
            HolderActivity::Stopped => Standing::Stopped {
                holder,
                revision,
                since,
            },
            HolderActivity::Orders | HolderActivity::Waits => Standing::Held {
                holder,
                revision,
                waiting: activity == HolderActivity::Waits,
                since,
            },
        };
        let engine = self.engines.entry(name.clone()).or_insert_with(|| Engine {
            zone: ZoneName::from(""),
            listed: false,
            standing: Standing::Vanished {
                since: now,
                expired: false,
            },
        });
        if engine.standing.revision() < revision {
            engine.standing = standing;
        }
    }

    /// An engine's holder record vanished; `expired` when its lease surely ran out.
    pub fn on_holder_gone(&mut self, now: UnixMs, name: &UpstreamName, expired: bool) {
        if let Some(engine) = self.engines.get_mut(name) {
            engine.standing = Standing::Vanished {
                since: now,
                expired,
            };
        }
    }

    /// Who holds an engine, as far as is known.
    pub fn holder(&self, name: &UpstreamName) -> Option<&InstanceName> {
        match &self.engines.get(name)?.standing {
            Standing::Held { holder, .. } => Some(holder),
            _ => None,
        }
    }

    /// Number of instances.
    pub fn members(&self) -> usize {
        self.members.len()
    }

    /// The claims that this instance should write now.
    ///
    /// A record of its own that an earlier process left is taken over at once; others only when
    /// the instances are `known`. `held` tells which engines belong to this process.
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
            let free_since = engine.standing.free_since();
            let is_turn =
                free_since.is_some_and(|since| self.is_own_turn(now, engine, since, &mut load));
            if (is_turn && known) || engine.standing.is_of(&self.own) {
                claims.push(PlannedClaim {
                    upstream: name.clone(),
                    expected_revision: engine.standing.revision(),
                    orders_from: engine.standing.orders_from(&self.own, self.order_gap_ms),
                });
            }
        }
        claims
    }

    fn is_own_turn(
        &self,
        now: UnixMs,
        engine: &Engine,
        free_since: UnixMs,
        load: &mut BTreeMap<InstanceName, usize>,
    ) -> bool {
        let order = self.claimers(&engine.zone, load);
        let Some(first) = order.first() else {
            return false;
        };
        *load.entry((*first).clone()).or_default() += 1;
        if now < free_since {
            return false;
        }
        let turn = (now.ms_since(free_since) / TURN_MS) as usize % order.len();
        *order[turn] == self.own
    }

    fn held_counts(&self) -> BTreeMap<InstanceName, usize> {
        let mut counts: BTreeMap<_, _> = self.members.keys().map(|m| (m.clone(), 0)).collect();
        for engine in self.engines.values().filter(|engine| engine.listed) {
            if let Standing::Held { holder, .. } = &engine.standing
                && let Some(count) = counts.get_mut(holder)
            {
                *count += 1;
            }
        }
        counts
    }

    /// Instances of the engine's zone first, and among them those that hold least.
    fn claimers(
        &self,
        zone: &ZoneName,
        load: &BTreeMap<InstanceName, usize>,
    ) -> Vec<&InstanceName> {
        let mut order: Vec<(&InstanceName, &ZoneName)> = self.members.iter().collect();
        order.sort_by_key(|(name, own_zone)| {
            (
                *own_zone != zone,
                load.get(*name).copied().unwrap_or(0),
                *name,
            )
        });
        order.into_iter().map(|(name, _)| name).collect()
    }
}

//! Claims of engines in the store.

use std::rc::Rc;

use monsoonspread_borders::relay::{ClaimOutcome, ClaimWrite, LeaseId};
use monsoonspread_decisions::copies::{CopyControl, CopyRefusal};
use monsoonspread_decisions::holders::{KnownHolder, PlannedClaim};
use monsoonspread_model::fleet::HolderActivity;
use monsoonspread_model::{UnixMs, UpstreamName};

use super::Holding;
use super::engine::HeldEngine;
use crate::event::{Line, kind};
use crate::shared::Shared;

/// Maximum number of records in one write to the store.
const CLAIMS_AT_ONCE: usize = 16;

impl Holding {
    /// Claims the engines that the plan assigns to this instance.
    ///
    /// While not all instances are `known`, only engines that an earlier process held are claimed.
    pub async fn claim(&self, shared: &Rc<Shared>, known: bool) {
        let Some(lease) = self.lease.get() else {
            return;
        };
        let is_held = |name: &UpstreamName| self.engines.borrow().contains_key(name);
        let planned = self.plan.borrow().claims(shared.now(), known, is_held);
        for claims in planned.chunks(CLAIMS_AT_ONCE) {
            let now = shared.now();
            let writes: Vec<ClaimWrite> = claims
                .iter()
                .map(|claim| ClaimWrite {
                    upstream: claim.upstream.clone(),
                    expected_revision: claim.expected_revision,
                    holder: shared.settings.instance.clone(),
                    activity: activity(claim.orders_from, now),
                    orders_in_ms: claim.orders_from.ms_since(now),
                })
                .collect();
            if let Some(fence) = write(shared, lease, &writes).await {
                self.adopt(shared, claims, now, fence);
            }
        }
        self.end_waits(shared, lease).await;
    }

    /// Records that this instance gives orders to the engines whose waiting period is over, and to those whose
    /// record in a copy of the store doesn't say so.
    async fn end_waits(&self, shared: &Rc<Shared>, lease: LeaseId) {
        let now = shared.now();
        let is_due = |engine: &HeldEngine| match engine.waits_until {
            Some(until) => until <= now,
            None => !engine.is_recorded,
        };
        let over: Vec<ClaimWrite> = {
            let engines = self.engines.borrow();
            let over = engines.iter().filter(|(_, engine)| is_due(engine));
            over.map(|(name, engine)| record(shared, name, engine, HolderActivity::Orders, 0))
                .collect()
        };
        for writes in over.chunks(CLAIMS_AT_ONCE) {
            let Some(fence) = write(shared, lease, writes).await else {
                continue;
            };
            let mut engines = self.engines.borrow_mut();
            for written in writes {
                if let Some(engine) = engines.get_mut(&written.upstream)
                    && engine.record == written.expected_revision
                {
                    engine.record = fence;
                    engine.is_recorded = true;
                    // Orders on their way keep their fence.
                    if engine.waits_until.take().is_some() {
                        engine.fence = fence;
                    }
                }
            }
        }
    }

    /// Records that this instance no longer gives orders, and releases its engines.
    ///
    /// An engine that waited for a former holder passes the rest of this wait on in its record.
    pub async fn release(&self, shared: &Rc<Shared>) {
        let now = shared.now();
        let held: Vec<ClaimWrite> = {
            let engines = self.engines.borrow();
            let held = engines.iter().map(|(name, engine)| {
                let wait_ms = engine.waits_until.map_or(0, |until| until.ms_since(now));
                record(shared, name, engine, HolderActivity::Stopped, wait_ms)
            });
            held.collect()
        };
        for released in &held {
            self.release_engine(shared, &released.upstream, CopyRefusal::NotHolder);
        }
        let Some(lease) = self.lease.get() else {
            return;
        };
        for writes in held.chunks(CLAIMS_AT_ONCE) {
            write(shared, lease, writes).await;
        }
    }

    /// Takes over the claimed engines; `written_at` is when the claims were written.
    fn adopt(&self, shared: &Rc<Shared>, claims: &[PlannedClaim], written_at: UnixMs, fence: u64) {
        let now = shared.now();
        for claim in claims {
            let name = &claim.upstream;
            let activity = activity(claim.orders_from, written_at);
            let known = KnownHolder {
                holder: shared.settings.instance.clone(),
                activity,
                orders_in_ms: Some(claim.orders_from.ms_since(now)),
                revision: fence,
            };
            self.plan.borrow_mut().on_holder(now, name, known);
            let Some((address, shape)) = shared.engine_shape(name) else {
                continue;
            };
            Line::new(&kind::ENGINE_HELD)
                .field("upstream", name)
                .field("fence", fence)
                .field("orders_in_ms", claim.orders_from.ms_since(now))
                .log();
            let fleet = shared.fleet.borrow();
            let versions = fleet.versions().all_newest();
            let versions = versions.map(|(key, version)| (key.clone(), version));
            let late_orders = self
                .late_orders
                .borrow_mut()
                .remove(name)
                .unwrap_or_default();
            let control = CopyControl::new(shape)
                .with_versions(versions.collect())
                .with_late_orders(late_orders);
            let waits = activity == HolderActivity::Waits;
            let engine = HeldEngine {
                control,
                address,
                fence,
                record: fence,
                is_recorded: true,
                waits_until: waits.then_some(claim.orders_from),
            };
            self.engines.borrow_mut().insert(name.clone(), engine);
        }
    }
}

/// Returns the initial activity of a holder that may give orders from `orders_from` on.
fn activity(orders_from: UnixMs, now: UnixMs) -> HolderActivity {
    if orders_from <= now {
        HolderActivity::Orders
    } else {
        HolderActivity::Waits
    }
}

/// Returns the record of a held engine with another activity.
fn record(
    shared: &Shared,
    name: &UpstreamName,
    engine: &HeldEngine,
    activity: HolderActivity,
    orders_in_ms: u64,
) -> ClaimWrite {
    ClaimWrite {
        upstream: name.clone(),
        expected_revision: engine.record,
        holder: shared.settings.instance.clone(),
        activity,
        orders_in_ms,
    }
}

/// Writes holder records; returns their revision.
async fn write(shared: &Shared, lease: LeaseId, writes: &[ClaimWrite]) -> Option<u64> {
    let outcome = match shared.borders.store.claim(lease, writes).await {
        Ok(ClaimOutcome::Written(revision)) => return Some(revision),
        Ok(outcome) => format!("{outcome:?}"),
        Err(error) => error.to_string(),
    };
    Line::new(&kind::CLAIM_FAILED)
        .field("engines", writes.len())
        .field("outcome", outcome)
        .log();
    None
}

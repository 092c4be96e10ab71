//! Claims of engines in the store.

use std::rc::Rc;

use monsoonspread_borders::relay::{ClaimOutcome, ClaimWrite, LeaseId};
use monsoonspread_decisions::copies::{CopyControl, CopyRefusal};
use monsoonspread_decisions::holders::PlannedClaim;
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
        let over: Vec<(UpstreamName, u64)> = {
            let engines = self.engines.borrow();
            let over = engines.iter().filter(|(_, engine)| is_due(engine));
            over.map(|(name, engine)| (name.clone(), engine.record))
                .collect()
        };
        for part in over.chunks(CLAIMS_AT_ONCE) {
            let writes = self.records(shared, part, HolderActivity::Orders);
            let Some(fence) = write(shared, lease, &writes).await else {
                continue;
            };
            let mut engines = self.engines.borrow_mut();
            for (name, former) in part {
                if let Some(engine) = engines.get_mut(name)
                    && engine.record == *former
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

    fn records(
        &self,
        shared: &Shared,
        held: &[(UpstreamName, u64)],
        activity: HolderActivity,
    ) -> Vec<ClaimWrite> {
        let records = held.iter().map(|(name, revision)| ClaimWrite {
            upstream: name.clone(),
            expected_revision: *revision,
            holder: shared.settings.instance.clone(),
            activity,
        });
        records.collect()
    }

    /// Records that this instance no longer gives orders, and releases its engines.
    pub async fn release(&self, shared: &Rc<Shared>) {
        let held: Vec<(UpstreamName, u64)> = {
            let engines = self.engines.borrow();
            engines
                .iter()
                .map(|(name, engine)| (name.clone(), engine.record))
                .collect()
        };
        for (name, _) in &held {
            self.release_engine(shared, name, CopyRefusal::NotHolder);
        }
        let Some(lease) = self.lease.get() else {
            return;
        };
        for part in held.chunks(CLAIMS_AT_ONCE) {
            let writes = self.records(shared, part, HolderActivity::Stopped);
            write(shared, lease, &writes).await;
        }
    }

    /// Takes over the claimed engines; `written_at` is when the claims were written.
    fn adopt(&self, shared: &Rc<Shared>, claims: &[PlannedClaim], written_at: UnixMs, fence: u64) {
        let now = shared.now();
        for claim in claims {
            let name = &claim.upstream;
            let local = shared.settings.instance.clone();
            let activity = activity(claim.orders_from, written_at);
            self.plan
                .borrow_mut()
                .on_holder(now, name, local, activity, fence);
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

//! Results of orders, for all owned upstreams.

use monsoonspread_model::{CopyName, Epoch, UnixMs, UpstreamName};

use super::{OrderFailure, OwnerAction, OwnerSet};

impl OwnerSet {
    /// Handles the result of a load order.
    pub fn on_load_result(
        &mut self,
        now: UnixMs,
        upstream: &UpstreamName,
        copy: &CopyName,
        result: Result<(), OrderFailure>,
    ) -> Vec<OwnerAction> {
        let mut out = Vec::new();
        let Some(owned) = self.owned.get_mut(upstream) else {
            return out;
        };
        if result == Err(OrderFailure::Fenced) && copy.epoch == owned.epoch {
            self.step_down(upstream, &mut out);
            return out;
        }
        if result.is_ok() {
            let rows = owned.queue.iter();
            let waited = rows.filter(|row| row.request.adapter == copy.adapter);
            waited.for_each(|row| owned.load_waits.add(now, row.request.arrived_at_unix_ms));
        }
        owned.on_load_result(now, copy, result, &mut out);
        self.after_order(now, upstream, &mut out);
        out
    }

    /// Handles the result of an unload order.
    pub fn on_unload_result(
        &mut self,
        now: UnixMs,
        upstream: &UpstreamName,
        copy: &CopyName,
        result: Result<(), OrderFailure>,
    ) -> Vec<OwnerAction> {
        let mut out = Vec::new();
        let Some(owned) = self.owned.get_mut(upstream) else {
            return out;
        };
        if result == Err(OrderFailure::Fenced) && owned.is_unloading(copy) {
            self.step_down(upstream, &mut out);
            return out;
        }
        owned.on_unload_result(now, copy, result, &mut out);
        self.after_order(now, upstream, &mut out);
        out
    }

    /// Handles the result of a fencing order.
    pub fn on_fence_result(
        &mut self,
        now: UnixMs,
        upstream: &UpstreamName,
        epoch: Epoch,
        result: Result<(), OrderFailure>,
    ) -> Vec<OwnerAction> {
        let mut out = Vec::new();
        let Some(owned) = self.owned.get_mut(upstream) else {
            return out;
        };
        if result == Err(OrderFailure::Fenced) && epoch == owned.epoch {
            self.step_down(upstream, &mut out);
            return out;
        }
        owned.on_fence_result(now, epoch, result, &mut out);
        self.settle(now, upstream, &mut out);
        out
    }

    /// Ends the ownership of an upstream without a handover.
    pub(super) fn step_down(&mut self, upstream: &UpstreamName, out: &mut Vec<OwnerAction>) {
        self.exits.remove(upstream);
        let Some(mut owned) = self.owned.remove(upstream) else {
            return;
        };
        out.push(OwnerAction::StepDown {
            upstream: upstream.clone(),
            epoch: owned.epoch,
        });
        owned.release(out);
    }

    fn after_order(&mut self, now: UnixMs, upstream: &UpstreamName, out: &mut Vec<OwnerAction>) {
        self.exit_ready(now, out);
        self.settle(now, upstream, out);
    }
}

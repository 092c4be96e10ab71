//! Handles the results of orders at one upstream, and repeats orders.

use monsoonspread_model::{CopyName, Epoch, UnixMs};

use super::owned_upstream::OwnedUpstream;
use super::tracked_copy::{CopyState, TrackedCopy};
use super::{OrderFailure, OwnerAction, OwnerEvent};

/// Weight of a new sample in the estimate of the load time.
const LOAD_WEIGHT: f64 = 0.2;
/// Factor on the estimated load time after which a load counts as stuck.
const STALE_LOADS: u64 = 4;

impl OwnedUpstream {
    /// Handles the result of a load order.
    pub fn on_load_result(
        &mut self,
        now: UnixMs,
        name: &CopyName,
        result: Result<(), OrderFailure>,
        out: &mut Vec<OwnerAction>,
    ) {
        let loading = self
            .copies
            .get(name)
            .filter(|copy| copy.state == CopyState::Loading);
        let Some(since) = loading.map(|copy| copy.since) else {
            return;
        };
        match result {
            Ok(()) => self.on_loaded(now, name, since, out),
            Err(failure) => self.on_load_failed(now, name, failure, out),
        }
    }

    fn on_loaded(
        &mut self,
        now: UnixMs,
        name: &CopyName,
        since: UnixMs,
        out: &mut Vec<OwnerAction>,
    ) {
        let took_ms = now.ms_since(since);
        self.load_ms += LOAD_WEIGHT * (took_ms as f64 - self.load_ms);
        self.copies
            .insert(name.clone(), TrackedCopy::new(CopyState::Loaded, now));
        self.failures.on_loaded(&name.adapter);
        self.on_order_accepted(now);
        out.push(OwnerAction::Event(OwnerEvent::Loaded {
            upstream: self.name().clone(),
            copy: name.clone(),
            took_ms,
        }));
    }

    fn on_load_failed(
        &mut self,
        now: UnixMs,
        name: &CopyName,
        failure: OrderFailure,
        out: &mut Vec<OwnerAction>,
    ) {
        match failure {
            OrderFailure::AnswerLost => {
                self.copies
                    .insert(name.clone(), TrackedCopy::new(CopyState::LoadLost, now));
            }
            OrderFailure::Unreachable | OrderFailure::Failed | OrderFailure::Fenced => {
                self.copies.remove(name, now);
            }
        }
        let retry_at = self.back_off(now, name);
        self.refuse_waiters(now, &name.adapter, retry_at, out);
        if failure == OrderFailure::Unreachable {
            self.on_unreachable(now, out);
        }
        out.push(OwnerAction::Event(OwnerEvent::LoadFailed {
            upstream: self.name().clone(),
            copy: name.clone(),
            failure,
        }));
    }

    /// Handles the result of an unload order.
    pub fn on_unload_result(
        &mut self,
        now: UnixMs,
        name: &CopyName,
        result: Result<(), OrderFailure>,
        out: &mut Vec<OwnerAction>,
    ) {
        let keep_until = now + self.settings.load_backoff_ms;
        let Some(copy) = self
            .copies
            .get_mut(name)
            .filter(|copy| copy.state == CopyState::Unloading)
        else {
            return;
        };
        match result {
            Ok(()) => {
                self.copies.remove(name, now);
                self.on_order_accepted(now);
            }
            // The order is sent again; the copy's state is uncertain until it is answered.
            Err(OrderFailure::AnswerLost) => copy.enter(CopyState::UnloadLost, now),
            Err(_) => {
                copy.enter(CopyState::Loaded, now);
                copy.keep_until = keep_until;
            }
        }
        match result {
            // A delayed unload must not remove a new copy of the same name.
            Err(OrderFailure::AnswerLost) => {
                let until = now + self.settings.load_backoff_max_ms;
                self.failures.block(&name.adapter, until);
            }
            Err(OrderFailure::Unreachable) => self.on_unreachable(now, out),
            _ => {}
        }
    }

    /// Handles the result of a fencing order.
    pub fn on_fence_result(
        &mut self,
        now: UnixMs,
        epoch: Epoch,
        result: Result<(), OrderFailure>,
        out: &mut Vec<OwnerAction>,
    ) {
        if epoch != self.epoch {
            return;
        }
        self.confirmation.on_fence_answered(result.is_ok());
        match result {
            Ok(()) => {
                self.on_order_accepted(now);
                self.next_fence_at = now + self.settings.fence_interval_ms;
            }
            Err(failure) => {
                self.next_fence_at = now + self.settings.fence_retry_ms;
                if failure == OrderFailure::Unreachable {
                    self.on_unreachable(now, out);
                }
            }
        }
    }

    /// Declares overdue answers lost, repeats unloads whose answer was lost, and sends the fencing
    /// order when it is due.
    pub fn repeat_orders(&mut self, now: UnixMs, out: &mut Vec<OwnerAction>) {
        self.expire_answers(now, out);
        self.confirmation
            .on_tick(now, self.settings.order_timeout_ms);
        let retry_ms = self.settings.order_retry_ms;
        for name in self
            .copies
            .in_state_for(CopyState::UnloadLost, now, retry_ms)
        {
            self.start_unload(now, &name, out);
        }
        if self.shape.checks_fencing && now >= self.next_fence_at {
            self.next_fence_at = now + self.settings.fence_interval_ms;
            self.confirmation.on_fence_sent(now);
            out.push(OwnerAction::Fence {
                upstream: self.name().clone(),
                epoch: self.epoch,
            });
        }
    }

    fn expire_answers(&mut self, now: UnixMs, out: &mut Vec<OwnerAction>) {
        let timeout_ms = self.settings.order_timeout_ms;
        let lost = Err(OrderFailure::AnswerLost);
        for name in self
            .copies
            .in_state_for(CopyState::Loading, now, timeout_ms)
        {
            self.on_load_result(now, &name, lost, out);
        }
        for name in self
            .copies
            .in_state_for(CopyState::Unloading, now, timeout_ms)
        {
            self.on_unload_result(now, &name, lost, out);
        }
    }

    /// Number of loads in transit without stuck ones, so that a paused upstream does not block the
    /// loads of the others.
    pub fn loads_in_transit(&self, now: UnixMs) -> usize {
        let stale_ms = (self.load_ms as u64).max(self.settings.load_ms) * STALE_LOADS;
        let stale = self
            .copies
            .in_state_for(CopyState::Loading, now, stale_ms)
            .len();
        self.copies.count(CopyState::Loading) - stale
    }

    /// Whether an unload of the copy is in transit.
    pub fn is_unloading(&self, name: &CopyName) -> bool {
        self.copies
            .get(name)
            .is_some_and(|copy| copy.state == CopyState::Unloading)
    }

    /// Whether every order was answered.
    pub fn is_settled(&self) -> bool {
        self.copies.iter().all(|(_, copy)| copy.is_loaded())
    }

    /// Whether no unload can still take effect.
    pub fn has_no_unload(&self) -> bool {
        self.copies.iter().all(|(_, copy)| match copy.state {
            CopyState::Unloading | CopyState::UnloadLost => false,
            CopyState::Loading | CopyState::Loaded | CopyState::LoadLost => true,
        })
    }

    /// Whether every unanswered order is overdue.
    pub fn is_overdue(&self, now: UnixMs) -> bool {
        self.copies.iter().all(|(_, copy)| {
            copy.is_loaded() || now.ms_since(copy.since) > self.settings.order_retry_ms
        })
    }

    fn on_order_accepted(&mut self, now: UnixMs) {
        self.down_until = UnixMs(0);
        self.fenced_at.get_or_insert(now);
    }

    /// Suspends grants for a while and refuses all waiting requests.
    pub fn on_unreachable(&mut self, now: UnixMs, out: &mut Vec<OwnerAction>) {
        self.down_until = now + self.settings.unreachable_ms;
        self.refuse_all(now, out);
        out.push(OwnerAction::Event(OwnerEvent::UpstreamDown {
            upstream: self.name().clone(),
        }));
    }

    fn back_off(&mut self, now: UnixMs, name: &CopyName) -> UnixMs {
        self.failures.on_failure(
            &name.adapter,
            now,
            self.settings.load_backoff_ms,
            self.settings.load_backoff_max_ms,
        )
    }
}

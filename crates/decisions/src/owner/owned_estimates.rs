//! Estimates when waiting requests can start, and refuses those that can't start in time.

use monsoonspread_model::{AdapterRef, CopyName, RefusalReason, RequestClass, UnixMs};

use super::OwnerAction;
use super::owned_upstream::OwnedUpstream;
use super::tracked_copy::CopyState;
use super::waiting_request::WaitingRequest;

/// Minimum delay before a refused request may be sent again, in milliseconds.
const RETRY_MIN_MS: u64 = 100;
/// Maximum delay, before spreading, until a refused request may be sent again, in milliseconds.
const RETRY_MAX_MS: u64 = 5_000;
/// Time after which holders that have not announced their grants are considered unresponsive, in
/// milliseconds.
const UNRESPONSIVE_HOLDERS_MS: u64 = 1_000;
/// Multiplier that spreads the retries of requests (2^64 divided by the golden ratio).
const SPREAD_MULTIPLIER: u64 = 0x9E37_79B9_7F4A_7C15;

impl OwnedUpstream {
    /// Expected time from sending a request to its first token, in milliseconds.
    pub fn first_token_ms(&self, now: UnixMs) -> u64 {
        self.speed.first_token_ms_at(now) as u64
    }

    /// Expected time until a batch place is free for a waiting request, in milliseconds.
    pub fn place_wait_ms(&self, waiting: &WaitingRequest) -> u64 {
        let class = waiting.request.class;
        let ahead = self
            .queue
            .iter()
            .filter(|row| row.key != waiting.key && is_ahead(row, waiting))
            .filter(|row| self.usable_copy(&row.request.adapter).is_some())
            .count();
        let shares = self.shares();
        if ahead == 0 && shares.admits(class, self.grants.places(), true) {
            return 0;
        }
        let hold_ms = self.hold_ms[class as usize];
        (hold_ms * (ahead + 1) as f64 / f64::from(shares.max_for(class))) as u64
    }

    /// Expected time until a slot can be freed when none can be freed now, in milliseconds.
    ///
    /// If unknown grants of former owners may be on every copy and the holders are unresponsive,
    /// a slot is freed only when the last of those grants has ended.
    pub fn slot_wait_ms(&self, now: UnixMs) -> u64 {
        let usual_ms = self.hold_ms[0] as u64;
        let grants_end_ms = self.reconciliation.grants_end_at.ms_since(now);
        let unresponsive_ms = self.settings.grant_max_ms.saturating_sub(grants_end_ms);
        let may_be_known_soon =
            self.reconciliation.is_complete() || unresponsive_ms < UNRESPONSIVE_HOLDERS_MS;
        let is_known = |(name, copy)| self.is_accounted_for(name, copy, now);
        if may_be_known_soon || self.copies.iter().any(is_known) {
            return usual_ms;
        }
        usual_ms.max(grants_end_ms)
    }

    /// Expected time until the load in transit of `adapter` ends, in milliseconds; `None` without
    /// such a load.
    pub fn loading_ms(&self, adapter: &AdapterRef, now: UnixMs) -> Option<u64> {
        let copy = self
            .copies
            .get(&CopyName::new(adapter.clone(), self.epoch))
            .filter(|copy| copy.state == CopyState::Loading)?;
        Some((self.load_ms as u64).saturating_sub(now.ms_since(copy.since)))
    }

    /// Minimum time until a request for `adapter` can start, in milliseconds.
    fn min_wait_ms(&self, adapter: &AdapterRef, now: UnixMs) -> u64 {
        if self.usable_copy(adapter).is_some() {
            return 0;
        }
        // Half of the estimate, since a load may be faster than usual.
        self.loading_ms(adapter, now).unwrap_or(self.load_ms as u64) / 2
    }

    /// Whether a request can't start in time even in the best case.
    pub fn is_late(&self, now: UnixMs, waiting: &WaitingRequest) -> bool {
        let start = now + self.min_wait_ms(&waiting.request.adapter, now);
        !waiting.in_time(start, self.first_token_ms(now))
    }

    /// Refuses every waiting request that can no longer start in time.
    pub fn refuse_late(&mut self, now: UnixMs, out: &mut Vec<OwnerAction>) {
        if self.queue.len() == 0 {
            return;
        }
        let late: Vec<_> = self
            .queue
            .iter()
            .filter(|row| self.is_late(now, row))
            .map(|row| row.key.clone())
            .collect();
        for key in late {
            if let Some(waiting) = self.queue.remove(&key) {
                self.refuse_deadline(now, &waiting, out);
            }
        }
    }

    /// Refuses every waiting request for an adapter that failed to load.
    pub fn refuse_waiters(
        &mut self,
        now: UnixMs,
        adapter: &AdapterRef,
        retry_at: UnixMs,
        out: &mut Vec<OwnerAction>,
    ) {
        let waiters = self
            .queue
            .remove_where(|row| row.request.adapter == *adapter);
        for waiting in waiters {
            self.refuse_load_failed(now, &waiting, retry_at, out);
        }
    }

    /// Refuses every waiting request, because the upstream takes no work.
    pub fn refuse_all(&mut self, now: UnixMs, out: &mut Vec<OwnerAction>) {
        for waiting in self.queue.take_all() {
            self.refuse_unavailable(now, &waiting, out);
        }
    }

    /// Refuses a request that can't be served in time.
    pub fn refuse_deadline(
        &mut self,
        now: UnixMs,
        waiting: &WaitingRequest,
        out: &mut Vec<OwnerAction>,
    ) {
        let message = format!(
            "adapter \"{}\" can't answer on upstream \"{}\" by the deadline",
            waiting.request.adapter,
            self.name()
        );
        let retry_at = self.retry_at(now, waiting);
        let reason = match waiting.request.deadline_unix_ms <= now {
            true => RefusalReason::DeadlineExceeded,
            false => RefusalReason::Overloaded,
        };
        self.refuse(now, waiting, reason, message, retry_at, out);
    }

    /// Refuses a request because the queue is full.
    pub fn refuse_overloaded(
        &mut self,
        now: UnixMs,
        waiting: &WaitingRequest,
        out: &mut Vec<OwnerAction>,
    ) {
        let message = format!("the queue of upstream \"{}\" is full", self.name());
        let retry_at = self.retry_at(now, waiting);
        self.refuse(
            now,
            waiting,
            RefusalReason::Overloaded,
            message,
            retry_at,
            out,
        );
    }

    /// Refuses a request that may not cause a load and finds no copy.
    pub fn refuse_not_loaded(
        &mut self,
        now: UnixMs,
        waiting: &WaitingRequest,
        out: &mut Vec<OwnerAction>,
    ) {
        let message = format!(
            "adapter \"{}\" is not loaded on upstream \"{}\"",
            waiting.request.adapter,
            self.name()
        );
        let retry_at = now + RETRY_MIN_MS;
        self.refuse(
            now,
            waiting,
            RefusalReason::Overloaded,
            message,
            retry_at,
            out,
        );
    }

    /// Refuses a request because its adapter failed to load.
    pub fn refuse_load_failed(
        &mut self,
        now: UnixMs,
        waiting: &WaitingRequest,
        retry_at: UnixMs,
        out: &mut Vec<OwnerAction>,
    ) {
        let message = format!(
            "adapter \"{}\" failed to load on upstream \"{}\"",
            waiting.request.adapter,
            self.name()
        );
        self.refuse(
            now,
            waiting,
            RefusalReason::LoadFailed,
            message,
            retry_at,
            out,
        );
    }

    /// Refuses a request because the upstream takes no work.
    pub fn refuse_unavailable(
        &mut self,
        now: UnixMs,
        waiting: &WaitingRequest,
        out: &mut Vec<OwnerAction>,
    ) {
        let message = format!("upstream \"{}\" takes no new work", self.name());
        let retry_at = self.down_until.max(now + RETRY_MIN_MS);
        self.refuse(
            now,
            waiting,
            RefusalReason::Unavailable,
            message,
            retry_at,
            out,
        );
    }

    /// When a request like this one is likely to be served, spread so that retries don't coincide.
    fn retry_at(&self, now: UnixMs, waiting: &WaitingRequest) -> UnixMs {
        let wait_ms = self.place_wait_ms(waiting) + self.load_ms as u64;
        let wait_ms = wait_ms.clamp(RETRY_MIN_MS, RETRY_MAX_MS);
        let spread_ms = waiting.key.request.0.wrapping_mul(SPREAD_MULTIPLIER) % wait_ms;
        now + wait_ms + spread_ms
    }

    /// Number of copies pinned only by long requests.
    pub fn long_pinned(&self) -> usize {
        self.copies
            .iter()
            .filter(|(name, _)| self.is_pinned_by_long_only(name))
            .count()
    }

    /// Number of copies that may be pinned only by long requests, at least 1.
    pub fn long_slots(&self) -> usize {
        let slots = f64::from(self.shape.adapter_slots) * self.settings.long_slot_share;
        (slots as usize).max(1)
    }

    fn is_pinned_by_long_only(&self, copy: &CopyName) -> bool {
        let mut pins = self
            .grants
            .iter()
            .filter(|(_, grant)| grant.copy == *copy)
            .peekable();
        pins.peek().is_some() && pins.all(|(_, grant)| grant.class == RequestClass::Long)
    }
}

fn is_ahead(row: &WaitingRequest, waiting: &WaitingRequest) -> bool {
    if row.request.class != waiting.request.class {
        return false;
    }
    row.request.priority > waiting.request.priority
        || (row.request.priority == waiting.request.priority && row.since <= waiting.since)
}

//! Decides which copy requests are refused, and why.

use std::collections::BTreeSet;

use monsoonspread_model::UnixMs;
use monsoonspread_model::fleet::AdapterKey;

use super::copy::Copy;
use super::{CopyControl, CopyRefusal, CopyRequest};

/// Number of queued loads beyond which a copy request that isn't patient is refused: together with
/// the loads in progress they take about as long as a short request's objective.
const MAX_QUEUED_LOADS: usize = 3;

impl CopyControl {
    /// Returns the reason to refuse a copy request without queueing it, if there is one.
    pub(super) fn immediate_refusal(
        &self,
        now: UnixMs,
        request: &CopyRequest,
    ) -> Option<CopyRefusal> {
        if self.is_expected(request) || request.key.adapter.is_none() {
            return None;
        }
        match self.refusal_reason(request) {
            CopyRefusal::Unread if now >= self.report_at => None,
            reason @ (CopyRefusal::OrdersPaused | CopyRefusal::Unread) => Some(reason),
            reason @ CopyRefusal::NoRoom if !request.patient => Some(reason),
            reason if !request.patient && self.is_usable(&request.key) => Some(reason),
            reason if !request.patient && self.queued_loads() >= MAX_QUEUED_LOADS => Some(reason),
            _ => None,
        }
    }

    /// Number of requested adapters for which no order was given yet.
    fn queued_loads(&self) -> usize {
        let waiting = self.waiting.iter().map(|request| &request.key);
        let missing = waiting.filter(|key| !self.copies.contains_key(*key));
        missing.collect::<BTreeSet<_>>().len()
    }

    pub(super) fn refusal_reason(&self, request: &CopyRequest) -> CopyRefusal {
        if self.is_usable_for(request) {
            return CopyRefusal::Busy;
        }
        if self.is_expected(request) {
            return CopyRefusal::TooLate;
        }
        if self.accepted.is_none() {
            return CopyRefusal::Unread;
        }
        if !self.may_order {
            return CopyRefusal::OrdersPaused;
        }
        let movable = |copy: &Copy| !copy.is_present() || copy.is_idle();
        if self.copies.len() >= self.capacity() && !self.copies.values().any(movable) {
            return CopyRefusal::NoRoom;
        }
        CopyRefusal::Queued
    }

    /// Whether a copy is present, loading or being removed, and can be of the version that the request needs.
    fn is_expected(&self, request: &CopyRequest) -> bool {
        self.copies.get(&request.key).is_some_and(|copy| {
            let is_outdated = copy.is_present() && !copy.has_version(request.min_version);
            // The engine may reject the replacement for long, and others may have the version.
            !copy.is_unconfirmed() && (!is_outdated || (self.may_order && request.patient))
        })
    }

    /// Whether the copy can be used by a request, which may need a newer version.
    pub(super) fn is_usable_for(&self, request: &CopyRequest) -> bool {
        let copy = self.copies.get(&request.key);
        self.is_usable(&request.key)
            && copy.is_none_or(|copy| copy.has_version(request.min_version))
    }

    pub(super) fn is_usable(&self, key: &AdapterKey) -> bool {
        if key.adapter.is_none() {
            return self.models.contains(&key.model);
        }
        self.copies.get(key).is_some_and(Copy::is_present)
    }
}

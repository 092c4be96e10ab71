//! Collection of announced grants by a new owner.

use std::collections::BTreeSet;

use monsoonspread_model::{InstanceName, UnixMs};

/// Factor on the retry interval when only removed instances have not announced their grants.
const LOST_RETRIES: u64 = 4;

/// Tracks which instances have not yet announced their grants on one upstream.
#[derive(Debug)]
pub(super) struct Reconciliation {
    pending: BTreeSet<InstanceName>,
    has_holders: bool,
    next_request_at: UnixMs,
    /// When every grant of former owners has ended at the latest.
    pub grants_end_at: UnixMs,
    lost: BTreeSet<InstanceName>,
    /// When the last pending instance announced its grants or was removed; `None` before that.
    pub complete_at: Option<UnixMs>,
}

impl Reconciliation {
    /// Creates a finished reconciliation: no former owner existed, or it handed everything over.
    pub fn complete(now: UnixMs) -> Self {
        Self {
            pending: BTreeSet::new(),
            has_holders: false,
            next_request_at: now,
            grants_end_at: now,
            lost: BTreeSet::new(),
            complete_at: Some(now),
        }
    }

    /// Starts waiting for `holders`, whose grants end by `grants_end_at`.
    pub fn new(now: UnixMs, holders: &[InstanceName], grants_end_at: UnixMs) -> Self {
        let pending: BTreeSet<InstanceName> = holders.iter().cloned().collect();
        Self {
            complete_at: pending.is_empty().then_some(now),
            has_holders: !pending.is_empty(),
            pending,
            next_request_at: now,
            grants_end_at,
            lost: BTreeSet::new(),
        }
    }

    /// Whether every instance has announced its grants or was removed.
    pub fn is_complete(&self) -> bool {
        self.complete_at.is_some()
    }

    /// Whether an instance was removed before it announced its grants.
    pub fn has_lost_holder(&self) -> bool {
        !self.lost.is_empty()
    }

    /// Whether every instance has announced its grants, which implies that former owners have
    /// stepped down.
    pub fn all_announced(&self) -> bool {
        self.has_holders && self.is_complete() && !self.has_lost_holder()
    }

    /// Records an announcement. Returns whether it was the last one pending.
    pub fn on_announced(&mut self, now: UnixMs, instance: &InstanceName) -> bool {
        self.lost.remove(instance);
        self.pending.remove(instance) && self.check_complete(now)
    }

    /// Records the removal of an instance. Returns whether it was the last one pending.
    pub fn on_instance_removed(&mut self, now: UnixMs, instance: &InstanceName) -> bool {
        if !self.pending.remove(instance) {
            return false;
        }
        self.lost.insert(instance.clone());
        self.check_complete(now)
    }

    /// The instances to send an announcement request now; empty when none is due.
    ///
    /// Removed instances are included too, less often, so that one that was only paused learns of
    /// its successor.
    pub fn due_requests(&mut self, now: UnixMs, retry_ms: u64) -> Vec<InstanceName> {
        if now < self.next_request_at || now >= self.grants_end_at {
            return Vec::new();
        }
        let retries = if self.pending.is_empty() {
            LOST_RETRIES
        } else {
            1
        };
        self.next_request_at = now + retry_ms * retries;
        self.pending.union(&self.lost).cloned().collect()
    }

    fn check_complete(&mut self, now: UnixMs) -> bool {
        if !self.pending.is_empty() {
            return false;
        }
        self.complete_at = Some(now);
        true
    }
}

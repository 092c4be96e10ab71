//! What a new owner still has to learn about grants of former owners.

use std::collections::BTreeSet;

use monsoonspread_model::{InstanceName, UnixMs};

/// How many times longer lost holders alone wait to be asked again.
const LOST_RETRIES: u64 = 4;

/// Which instances have not yet reported their grants on one upstream.
#[derive(Debug)]
pub(super) struct Reconciliation {
    pending: BTreeSet<InstanceName>,
    has_holders: bool,
    next_request_at: UnixMs,
    /// When every grant of a former owner has ended.
    pub grants_end_at: UnixMs,
    lost: BTreeSet<InstanceName>,
    /// Since when every instance has reported or is gone.
    pub complete_at: Option<UnixMs>,
}

impl Reconciliation {
    /// Nothing to learn: there was no former owner, or it told everything.
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

    /// Waits for `holders`, whose grants end by `grants_end_at`.
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

    /// Whether every instance has reported or is gone.
    pub fn is_complete(&self) -> bool {
        self.complete_at.is_some()
    }

    /// Whether an instance went away without reporting.
    pub fn has_lost_holder(&self) -> bool {
        !self.lost.is_empty()
    }

    /// Whether every instance has reported, so that former owners have stepped down.
    pub fn all_announced(&self) -> bool {
        self.has_holders && self.is_complete() && !self.has_lost_holder()
    }

    /// Takes in that an instance reported. Returns whether this was the last one.
    pub fn on_announced(&mut self, now: UnixMs, instance: &InstanceName) -> bool {
        self.lost.remove(instance);
        self.pending.remove(instance) && self.check_complete(now)
    }

    /// Takes in that an instance is gone. Returns whether this was the last one.
    pub fn on_holder_removed(&mut self, now: UnixMs, instance: &InstanceName) -> bool {
        if !self.pending.remove(instance) {
            return false;
        }
        self.lost.insert(instance.clone());
        self.check_complete(now)
    }

    /// The instances to ask now, none when it is not time.
    ///
    /// Those that are gone are asked too, more seldom: one that was only paused learns that it
    /// has a successor.
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

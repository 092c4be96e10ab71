//! What a new owner still has to learn about grants of former owners.

use std::collections::BTreeSet;

use monsoonspread_model::{InstanceName, UnixMs};

/// How many times longer lost holders alone wait to be asked again.
const LOST_RETRIES: u64 = 4;

/// Which instances have not yet reported their grants on one upstream.
#[derive(Debug)]
pub(super) struct Reconciliation {
    silent: BTreeSet<InstanceName>,
    asked_any: bool,
    next_ask_at: UnixMs,
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
            silent: BTreeSet::new(),
            asked_any: false,
            next_ask_at: now,
            grants_end_at: now,
            lost: BTreeSet::new(),
            complete_at: Some(now),
        }
    }

    /// Waits for `holders`, whose grants end by `grants_end_at`.
    pub fn new(now: UnixMs, holders: &[InstanceName], grants_end_at: UnixMs) -> Self {
        let silent: BTreeSet<InstanceName> = holders.iter().cloned().collect();
        Self {
            complete_at: silent.is_empty().then_some(now),
            asked_any: !silent.is_empty(),
            silent,
            next_ask_at: now,
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
    pub fn is_answered_by_all(&self) -> bool {
        self.asked_any && self.is_complete() && !self.has_lost_holder()
    }

    /// Takes in that an instance reported. Returns whether this was the last one.
    pub fn on_announced(&mut self, now: UnixMs, instance: &InstanceName) -> bool {
        self.lost.remove(instance);
        self.silent.remove(instance) && self.check_complete(now)
    }

    /// Takes in that an instance is gone. Returns whether this was the last one.
    pub fn on_gone(&mut self, now: UnixMs, instance: &InstanceName) -> bool {
        if !self.silent.remove(instance) {
            return false;
        }
        self.lost.insert(instance.clone());
        self.check_complete(now)
    }

    /// The instances to ask now, none when it is not time.
    ///
    /// Those that are gone are asked too, more seldom: one that was only paused learns that it
    /// has a successor.
    pub fn ask(&mut self, now: UnixMs, retry_ms: u64) -> Vec<InstanceName> {
        if now < self.next_ask_at || now >= self.grants_end_at {
            return Vec::new();
        }
        let retries = if self.silent.is_empty() {
            LOST_RETRIES
        } else {
            1
        };
        self.next_ask_at = now + retry_ms * retries;
        self.silent.union(&self.lost).cloned().collect()
    }

    fn check_complete(&mut self, now: UnixMs) -> bool {
        if !self.silent.is_empty() {
            return false;
        }
        self.complete_at = Some(now);
        true
    }
}

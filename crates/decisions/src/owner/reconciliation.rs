//! What a new owner still has to learn about grants of former owners.

use std::collections::BTreeSet;

use monsoonspread_model::{InstanceName, UnixMs};

/// Which instances have not yet reported their grants on one upstream.
#[derive(Debug)]
pub(super) struct Reconciliation {
    silent: BTreeSet<InstanceName>,
    asked_any: bool,
    next_ask_at: UnixMs,
    /// When every grant of a former owner has ended.
    pub grants_end_at: UnixMs,
    /// Whether an instance went away without reporting.
    pub lost_a_holder: bool,
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
            lost_a_holder: false,
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
            lost_a_holder: false,
        }
    }

    /// Whether every instance has reported or is gone.
    pub fn is_complete(&self) -> bool {
        self.complete_at.is_some()
    }

    /// Whether every instance has reported, so that former owners have stepped down.
    pub fn is_answered_by_all(&self) -> bool {
        self.asked_any && self.is_complete() && !self.lost_a_holder
    }

    /// Takes in that an instance reported. Returns whether this was the last one.
    pub fn on_announced(&mut self, now: UnixMs, instance: &InstanceName) -> bool {
        self.silent.remove(instance) && self.check_complete(now)
    }

    /// Takes in that an instance is gone. Returns whether this was the last one.
    pub fn on_gone(&mut self, now: UnixMs, instance: &InstanceName) -> bool {
        if !self.silent.remove(instance) {
            return false;
        }
        self.lost_a_holder = true;
        self.check_complete(now)
    }

    /// The instances to ask now, none when it is not time.
    pub fn ask(&mut self, now: UnixMs, retry_ms: u64) -> Vec<InstanceName> {
        if self.silent.is_empty() || now < self.next_ask_at {
            return Vec::new();
        }
        self.next_ask_at = now + retry_ms;
        self.silent.iter().cloned().collect()
    }

    fn check_complete(&mut self, now: UnixMs) -> bool {
        if !self.silent.is_empty() {
            return false;
        }
        self.complete_at = Some(now);
        true
    }
}

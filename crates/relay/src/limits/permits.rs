//! What an instance knows of the permits for upstreams with a limit.

use std::cell::RefCell;
use std::collections::BTreeMap;

use monsoonspread_decisions::rate_limit::{PermitIssuer, ReturnSchedule};
use monsoonspread_model::{InstanceName, ServiceName, UnixMs, UpstreamName};

/// How long an unresponsive issuer isn't asked again, in milliseconds.
const UNRESPONSIVE_MS: u64 = 1_000;

/// Permits issued by this instance, and answers of other issuers.
#[derive(Debug, Default)]
pub struct Permits {
    pub(super) issuer: RefCell<PermitIssuer>,
    /// Times until which upstreams have no permit that can be used at once.
    exhausted_until: RefCell<BTreeMap<UpstreamName, UnixMs>>,
    unresponsive_until: RefCell<BTreeMap<InstanceName, UnixMs>>,
    pub(super) returns: RefCell<ReturnSchedule<ServiceName>>,
}

impl Permits {
    /// Returns until when an upstream has no permit that can be used at once; `None` if it may have
    /// one.
    pub fn exhausted_until(&self, now: UnixMs, upstream: &UpstreamName) -> Option<UnixMs> {
        let exhausted = self.exhausted_until.borrow();
        let until = exhausted.get(upstream).copied();
        until.filter(|until| now < *until)
    }

    /// The next permit of an upstream is free at `until`.
    pub(super) fn on_exhausted(&self, upstream: &UpstreamName, until: UnixMs) {
        let mut exhausted = self.exhausted_until.borrow_mut();
        exhausted.insert(upstream.clone(), until);
    }

    /// An upstream has no limit any more.
    pub fn on_unlimited(&self, upstream: &UpstreamName) {
        self.exhausted_until.borrow_mut().remove(upstream);
    }

    /// Whether an issuer recently failed to answer.
    pub(super) fn is_unresponsive(&self, now: UnixMs, issuer: &InstanceName) -> bool {
        let unresponsive = self.unresponsive_until.borrow();
        unresponsive.get(issuer).is_some_and(|until| now < *until)
    }

    /// An issuer failed to answer.
    pub(super) fn on_unresponsive(&self, now: UnixMs, issuer: &InstanceName) {
        let mut unresponsive = self.unresponsive_until.borrow_mut();
        unresponsive.insert(issuer.clone(), now + UNRESPONSIVE_MS);
    }

    /// Permits per second that this instance issues for each upstream.
    pub fn issued_rates(&self, now: UnixMs) -> Vec<(UpstreamName, f64)> {
        let issuer = self.issuer.borrow();
        let rates = issuer.rates(now);
        rates.map(|(name, per_s)| (name.clone(), per_s)).collect()
    }

    /// Drops what has expired.
    pub fn on_tick(&self, now: UnixMs) {
        self.exhausted_until
            .borrow_mut()
            .retain(|_, until| now < *until);
        self.unresponsive_until
            .borrow_mut()
            .retain(|_, until| now < *until);
    }
}

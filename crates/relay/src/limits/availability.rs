//! Which upstreams accept requests, and when.

use monsoonspread_model::fleet::RateLimit;
use monsoonspread_model::{ServiceName, UnixMs, UpstreamName};

use crate::shared::Shared;

impl Shared {
    /// Whether an upstream has a rate limit.
    pub fn has_limit(&self, upstream: &UpstreamName) -> bool {
        let fleet = self.fleet.borrow();
        let record = fleet.upstream(upstream);
        record.is_some_and(|record| {
            let incarnation = record.started_unix_ms;
            fleet.rate_limit(upstream, incarnation).is_some()
        })
    }

    /// Returns until when an upstream accepts no requests of this instance, because it is backing off
    /// or at its limit; `None` if it accepts them.
    pub fn unavailable_until(&self, upstream: &UpstreamName) -> Option<UnixMs> {
        let exhausted_until = self.permits.exhausted_until(self.now(), upstream);
        self.backoff_until(upstream).max(exhausted_until)
    }

    /// Returns the upstream of `service` at its limit whose next permit is free first, not counting
    /// `excluded` ones.
    pub fn next_at_limit(
        &self,
        service: &ServiceName,
        excluded: &[UpstreamName],
    ) -> Option<(UnixMs, UpstreamName)> {
        let fleet = self.fleet.borrow();
        let now = self.now();
        let ready = fleet.ready(service);
        let at_limit = ready.filter_map(|upstream| {
            let is_usable =
                fleet.backoff_until(now, upstream).is_none() && !excluded.contains(&upstream.name);
            let until = self.permits.exhausted_until(now, &upstream.name)?;
            is_usable.then(|| (until, upstream.name.clone()))
        });
        at_limit.min()
    }

    /// Returns when the first upstream of `service` accepts requests again; `None` if one accepts them
    /// now, or there is none.
    pub fn service_unavailable_until(&self, service: &ServiceName) -> Option<UnixMs> {
        let fleet = self.fleet.borrow();
        let ready = fleet.ready(service);
        let untils: Option<Vec<UnixMs>> = ready
            .map(|upstream| self.unavailable_until(&upstream.name))
            .collect();
        untils?.into_iter().min()
    }

    /// Returns when a client may return that is refused because upstreams of `service` are at their
    /// limit until `free_at`; `None` if none of them has a limit.
    pub fn return_at(&self, service: &ServiceName, free_at: UnixMs) -> Option<UnixMs> {
        let fleet = self.fleet.borrow();
        let ready = fleet.ready(service);
        let limits = ready.filter_map(|up| fleet.rate_limit(&up.name, up.started_unix_ms));
        let per_s = limits
            .map(RateLimit::per_s)
            .reduce(|sum, limit| sum + limit)?;
        let own_per_s = per_s / self.holding.members() as f64;
        let mut returns = self.permits.returns.borrow_mut();
        Some(returns.on_refused(self.now(), service, free_at, own_per_s))
    }
}

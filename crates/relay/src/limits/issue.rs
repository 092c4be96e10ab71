//! Issues permits to instances.

use monsoonspread_decisions::rate_limit::{PermitAnswer, PermitTerms, issuer};
use monsoonspread_model::{InstanceName, UnixMs, UpstreamName};

use crate::shared::Shared;

/// When an instance may ask again that asked the wrong issuer, in milliseconds: the time in which a
/// change of the listed instances becomes known.
const OTHER_ISSUER_MS: u64 = 200;

impl Shared {
    /// Returns the instance that issues the permits for an upstream: this one while no instance is
    /// listed.
    pub(super) fn permit_issuer(&self, upstream: &UpstreamName) -> InstanceName {
        let fleet = self.fleet.borrow();
        let chosen = issuer(upstream, fleet.members().map(|member| &member.name));
        chosen.unwrap_or(&self.settings.instance).clone()
    }

    /// Issues a permit that is of use until `wait_until`, or tells when the next one is free.
    pub fn issue_permit(
        &self,
        upstream: &UpstreamName,
        incarnation: u64,
        wait_until: UnixMs,
    ) -> PermitAnswer {
        let now = self.now();
        if self.permit_issuer(upstream) != self.settings.instance {
            return PermitAnswer::Denied(now + OTHER_ISSUER_MS);
        }
        let Some(limit) = self.fleet.borrow().rate_limit(upstream, incarnation) else {
            return PermitAnswer::SendAt(now);
        };
        let terms = PermitTerms {
            incarnation,
            limit,
            is_confirmed: self.holding.is_confirmed(now),
            wait_until,
        };
        let mut issuer = self.permits.issuer.borrow_mut();
        issuer.on_request(now, upstream, terms)
    }
}

//! Limits that all instances share: the rate that an upstream announced, and the quota of a workspace.
//!
//! # Upstreams
//!
//! One instance, the issuer, issues the permits for an upstream: the first of all listed instances by
//! rendezvous hash, so that instances agree without a message. An instance that knows a limit sends
//! nothing to the upstream without a permit. Instances that can't reach the issuer get no permits,
//! which costs their requests this upstream; with shares instead, an instance that serves most of the
//! load would be held to its part while others leave theirs unused.
//!
//! # Two issuers
//!
//! Instances that disagree on the listed instances may have different issuers. The store has listed at
//! most one issuer whose lease it confirmed, apart from the time in which a change becomes known. An
//! issuer that isn't confirmed, for example in an availability zone that is partitioned from the store,
//! issues permits at [`UNCONFIRMED_SHARE`] of the rate.
//!
//! # Quotas
//!
//! The requests of a workspace that run within any window of the rule stay within its limit, over all
//! instances: rate x window + burst, plus the rule's spare. Each workspace has one primary issuer, whose bucket
//! holds the rate and the burst ([`QuotaIssuer`]); the share of an availability zone that it doesn't reach is
//! issued by the zone's backup issuer ([`ZoneLeases`]). Everything else draws on shares of the spare that hold
//! whatever fails ([`QuotaTerms`]): the overdrafts of the instances' accounts ([`QuotaAccount`]), the backup
//! issuer of each availability zone, and tokens that come back.

mod handover_wait;
mod issuer_table;
mod permit_issuer;
mod quota_account;
mod quota_issuer;
mod quota_terms;
mod return_schedule;
#[cfg(test)]
mod tests;
mod token_bucket;
mod zone_lease;

pub use handover_wait::HandoverWait;
pub use issuer_table::{IssuerTable, Role};
pub use permit_issuer::{PermitAnswer, PermitIssuer, PermitTerms};
pub use quota_account::{Admission, QuotaAccount, Settlement};
pub use quota_issuer::{QuotaAnswer, QuotaIssuer, QuotaRequest};
pub use quota_terms::{QuotaRule, QuotaTerms};
pub use return_schedule::ReturnSchedule;
pub use token_bucket::{BucketTerms, TokenBucket};
pub use zone_lease::{BEAT_MS, ZoneLeases, ZoneWatch};

use monsoonspread_model::{InstanceName, UpstreamName};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Share of the limit that an issuer spends while the store has not confirmed its lease recently:
/// together with another issuer that is confirmed it stays within one and a half times the limit.
pub const UNCONFIRMED_SHARE: f64 = 0.5;

/// Returns the instance that issues the permits for `upstream`; `None` without instances.
///
/// ```
/// # use monsoonspread_decisions::rate_limit::issuer;
/// # use monsoonspread_model::InstanceName;
/// let instances: [InstanceName; 3] = ["a".into(), "b".into(), "c".into()];
/// let upstream = "server-1".into();
/// let chosen = issuer(&upstream, instances.iter()).expect("an instance");
/// assert_eq!(issuer(&upstream, instances.iter().rev()), Some(chosen));
/// ```
pub fn issuer<'a>(
    upstream: &UpstreamName,
    instances: impl Iterator<Item = &'a InstanceName>,
) -> Option<&'a InstanceName> {
    first_by_hash(upstream.as_str(), instances)
}

/// Returns the first instance for `key` by rendezvous hash.
fn first_by_hash<'a>(
    key: &str,
    instances: impl Iterator<Item = &'a InstanceName>,
) -> Option<&'a InstanceName> {
    let seed = xxh3_64_with_seed(key.as_bytes(), 0);
    instances.max_by_key(|instance| {
        let score = xxh3_64_with_seed(instance.as_str().as_bytes(), seed);
        (score, *instance)
    })
}

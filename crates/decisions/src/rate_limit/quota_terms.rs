//! How a workspace's limit is divided.

use monsoonspread_model::fleet::TokenQuota;

use super::BucketTerms;

// The shares of the spare. In the worst window an account uses its overdraft three times (before an issuer fails,
// and in two windows without one), and a backup's bucket yields twice its depth:
// 3 x 0.1 + 2 x 0.2 + 0.25 + 0.05 = 1.

/// Share of the spare that all accounts together may use before they settle.
const OVERDRAFT_SHARE: f64 = 0.1;
/// Share of the spare that the backup issuers of all availability zones issue in a window.
const BACKUP_SHARE: f64 = 0.2;
/// Share of the spare for units that are admitted before a window begins and come back in it, so that they are
/// used again in it.
const RETURN_SHARE: f64 = 0.25;
/// Share of the spare that adds to the burst, for quotas whose burst is less than one request.
const DEPTH_SHARE: f64 = 0.05;

/// How quotas are counted.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaRule {
    /// Span over which they are counted, in milliseconds.
    pub window_ms: u64,
    /// How much a workspace may use beyond its quota, as a share of it.
    pub overage: f64,
    /// How much a workspace may use beyond that, in units of its quota.
    pub slack: f64,
}

/// How the limit of one workspace is divided.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaTerms {
    quota: TokenQuota,
    window_s: f64,
    spare: f64,
    instances: f64,
    zones: f64,
}

impl QuotaTerms {
    /// Divides `quota` among listed `instances` in `zones` availability zones.
    ///
    /// ```
    /// # use monsoonspread_decisions::rate_limit::{QuotaRule, QuotaTerms};
    /// # use monsoonspread_model::fleet::{QuotaUnit, TokenQuota};
    /// let quota = TokenQuota { unit: QuotaUnit::Requests, per_s: 100.0, burst: 200.0 };
    /// let rule = QuotaRule { window_ms: 8_000, overage: 0.1, slack: 400.0 };
    /// let terms = QuotaTerms::new(quota, rule, 5, 1);
    /// assert_eq!(terms.allowed(), 1_500.0);
    /// assert_eq!(terms.overdraft(), 10.0);
    /// ```
    pub fn new(quota: TokenQuota, rule: QuotaRule, instances: usize, zones: usize) -> Self {
        let window_s = rule.window_ms.max(1) as f64 / 1_000.0;
        let basic = quota.per_s * window_s + quota.burst;
        Self {
            quota,
            window_s,
            spare: rule.overage * basic + rule.slack,
            instances: instances.max(1) as f64,
            zones: zones.max(1) as f64,
        }
    }

    /// Units that may run in any window.
    pub fn allowed(&self) -> f64 {
        self.quota.per_s * self.window_s + self.quota.burst + self.spare
    }

    /// Units that the account of one instance may use before it settles.
    pub fn overdraft(&self) -> f64 {
        OVERDRAFT_SHARE * self.spare / self.instances
    }

    /// The bucket of an issuer that issues for so many availability zones.
    pub(super) fn of_zones(&self, zones: usize) -> BucketTerms {
        let share = (zones as f64 / self.zones).min(1.0);
        BucketTerms {
            per_s: share * self.quota.per_s,
            depth: share * (self.quota.burst + DEPTH_SHARE * self.spare),
        }
    }

    /// The bucket of the backup issuer of one availability zone.
    pub(super) fn backup(&self) -> BucketTerms {
        self.share(BACKUP_SHARE / self.zones)
    }

    /// Time after their admission in which units may come back, in milliseconds. In this time the bucket
    /// refills no more than their share of the spare, by which a window may hold more than without returns.
    pub fn returns_within_ms(&self) -> u64 {
        let refilled_s = RETURN_SHARE * self.spare / self.quota.per_s.max(1.0);
        (refilled_s.min(self.window_s) * 1_000.0) as u64
    }

    fn share(&self, share: f64) -> BucketTerms {
        let depth = share * self.spare;
        BucketTerms {
            per_s: depth / self.window_s,
            depth,
        }
    }
}

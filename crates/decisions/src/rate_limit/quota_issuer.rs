//! Issues the credit of workspaces with a quota.

use std::collections::BTreeMap;

use monsoonspread_model::{InstanceName, UnixMs, WorkspaceName, ZoneName};

use super::{BucketTerms, QuotaTerms, Role, Settlement, TokenBucket, ZoneLeases};

/// How long a report may be on its way, in milliseconds: several round trips to another zone.
const TRANSIT_MS: u64 = 50;

/// A request for credit, or a settlement alone if its cost is 0.
#[derive(Clone, Copy, Debug)]
pub struct QuotaRequest<'a> {
    /// The instance that asks.
    pub instance: &'a InstanceName,
    /// Tells the processes of an instance apart, whose totals begin at 0.
    pub process: u64,
    /// What the instance used and returned.
    pub settlement: Settlement,
    /// Units that it wants to use.
    pub cost: f64,
}

/// Answer of an issuer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum QuotaAnswer {
    /// The units may be used.
    Granted,
    /// There is no credit before this time.
    Denied(UnixMs),
}

#[derive(Clone, Copy, Debug)]
struct Seen {
    process: u64,
    used: f64,
    returned: f64,
}

#[derive(Debug)]
struct Credit {
    since: UnixMs,
    bucket: TokenBucket,
    /// Terms at its last use, and when that was.
    terms: BucketTerms,
    terms_at: UnixMs,
    /// The zones that a primary issuer issues for.
    zones: ZoneLeases,
    seen: BTreeMap<InstanceName, Seen>,
}

impl Credit {
    fn new(since: UnixMs, terms: BucketTerms) -> Self {
        Self {
            since,
            bucket: TokenBucket::new(since),
            terms,
            terms_at: since,
            zones: ZoneLeases::default(),
            seen: BTreeMap::new(),
        }
    }

    fn set_terms(&mut self, now: UnixMs, terms: BucketTerms) {
        let former = (self.terms_at, self.terms);
        if self.terms != terms {
            self.bucket.rescale(former, now, terms);
        }
        self.terms = terms;
        self.terms_at = now;
    }

    /// Applies what an instance reports; returns what it used and returned since its last report.
    fn on_report(&mut self, request: &QuotaRequest<'_>) -> (f64, f64) {
        let settlement = request.settlement;
        let unseen = Seen {
            process: request.process,
            used: settlement.confirmed,
            returned: settlement.returns_confirmed,
        };
        let seen = self.seen.entry(request.instance.clone()).or_insert(unseen);
        if seen.process != request.process {
            *seen = unseen;
        }
        let last_used = seen.used.max(settlement.confirmed);
        let last_returned = seen.returned.max(settlement.returns_confirmed);
        seen.used = last_used.max(settlement.used);
        seen.returned = last_returned.max(settlement.returned);
        (seen.used - last_used, seen.returned - last_returned)
    }
}

/// Issues the credit of the workspaces of which this instance is an issuer.
#[derive(Debug, Default)]
pub struct QuotaIssuer {
    credits: BTreeMap<(WorkspaceName, Role), Credit>,
}

impl QuotaIssuer {
    /// An instance reports what it used, and requests credit; `None` if nothing is issued here now. This instance has its `role` since a time at
    /// which no other had it; the bucket begins empty then.
    ///
    /// ```
    /// # use monsoonspread_decisions::rate_limit::*;
    /// # use monsoonspread_model::{UnixMs, fleet::{QuotaUnit, TokenQuota}};
    /// let quota = TokenQuota { unit: QuotaUnit::Requests, per_s: 10.0, burst: 20.0 };
    /// let rule = QuotaRule { window_ms: 8_000, overage: 0.0, slack: 0.0 };
    /// let terms = QuotaTerms::new(quota, rule, 3, 1);
    /// let (instance, settlement) = ("node-1".into(), Settlement::default());
    /// let request = QuotaRequest { instance: &instance, process: 1, settlement, cost: 20.0 };
    /// let mut issuer = QuotaIssuer::default();
    /// let role = (Role::Zone, UnixMs(0));
    /// let mut ask = |now| issuer.on_request(now, &"crm".into(), role, &terms, &request);
    /// assert_eq!(ask(UnixMs(2_000)), Some(QuotaAnswer::Granted));
    /// assert_eq!(ask(UnixMs(2_500)), Some(QuotaAnswer::Denied(UnixMs(4_000))));
    /// ```
    pub fn on_request(
        &mut self,
        now: UnixMs,
        workspace: &WorkspaceName,
        (role, since): (Role, UnixMs),
        terms: &QuotaTerms,
        request: &QuotaRequest<'_>,
    ) -> Option<QuotaAnswer> {
        let credit = self.credit(now, workspace, (role, since), terms);
        let bucket_terms = credit.terms;
        if role == Role::Primary {
            let (used, returned) = credit.on_report(request);
            let age_ms = request.settlement.returns_age_ms + TRANSIT_MS;
            let is_in_time = age_ms <= terms.returns_within_ms();
            let accepted = if is_in_time { returned } else { 0.0 };
            if used > 0.0 || accepted > 0.0 {
                credit.bucket.take(now, bucket_terms, used - accepted);
            }
        }
        if bucket_terms.per_s <= 0.0 {
            return None;
        }
        let ready_at = credit.bucket.ready_at(bucket_terms, request.cost);
        if ready_at > now {
            return Some(QuotaAnswer::Denied(ready_at));
        }
        credit.bucket.take(now, bucket_terms, request.cost);
        Some(QuotaAnswer::Granted)
    }

    /// The backup issuer of `zone` beats to this instance, the primary issuer since `since`; its last answered
    /// beat was sent `answered_ms` ago.
    pub fn on_beat(
        &mut self,
        now: UnixMs,
        workspace: &WorkspaceName,
        since: UnixMs,
        terms: &QuotaTerms,
        (zone, answered_ms): (&ZoneName, u64),
    ) {
        let credit = self.credit(now, workspace, (Role::Primary, since), terms);
        credit.zones.on_beat(now, zone, answered_ms);
    }

    /// Returns the credit of a workspace with the terms in force now.
    fn credit(
        &mut self,
        now: UnixMs,
        workspace: &WorkspaceName,
        (role, since): (Role, UnixMs),
        terms: &QuotaTerms,
    ) -> &mut Credit {
        let bucket_terms = |zones| match role {
            Role::Primary => terms.of_zones(zones),
            Role::Zone => terms.of_zones(1),
            Role::Backup => terms.backup(),
        };
        let fresh = || Credit::new(since, bucket_terms(0));
        let key = (workspace.clone(), role);
        let credit = self.credits.entry(key).or_insert_with(fresh);
        if credit.since != since {
            *credit = fresh();
        }
        let zones = credit.zones.zones(now);
        credit.set_terms(now, bucket_terms(zones));
        credit
    }

    /// Drops what is known of workspaces and instances that are no more.
    pub fn retain(
        &mut self,
        is_issued: impl Fn(&WorkspaceName) -> bool,
        is_listed: impl Fn(&InstanceName) -> bool,
    ) {
        self.credits
            .retain(|(workspace, _), _| is_issued(workspace));
        for credit in self.credits.values_mut() {
            credit.seen.retain(|instance, _| is_listed(instance));
        }
    }
}

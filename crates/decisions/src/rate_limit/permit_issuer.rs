//! Permits to send requests to upstreams with a rate limit.

use std::collections::BTreeMap;

use monsoonspread_model::fleet::RateLimit;
use monsoonspread_model::{UnixMs, UpstreamName};

use super::{BucketTerms, TokenBucket, UNCONFIRMED_SHARE};
use crate::placement::DemandSketch;

/// Lowest rate at which permits are issued, per second: an upstream that announces less still gets a
/// request now and then, as only an answer shows that the limit has ended.
const MIN_PER_S: f64 = 0.1;
/// How long permits that nobody requested are kept, in milliseconds: evens out arrivals by chance, and
/// is short compared with the span over which upstreams count.
const BURST_MS: f64 = 500.0;
/// Maximum number of upstreams with a limit; the one whose permits were requested least recently is
/// evicted.
const MAX_UPSTREAMS: usize = 2_048;
/// Half-life of the issued rate in metrics, in milliseconds.
const RATE_HALF_LIFE_MS: u64 = 2_000;

/// Terms of a permit.
#[derive(Clone, Copy, Debug)]
pub struct PermitTerms {
    /// Incarnation of the upstream.
    pub incarnation: u64,
    /// The upstream's limit.
    pub limit: RateLimit,
    /// Whether the store recently confirmed this instance's lease.
    pub is_confirmed: bool,
    /// Latest time at which the permit is of use.
    pub wait_until: UnixMs,
}

/// Answer to the request for a permit.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PermitAnswer {
    /// The request may be sent at this time.
    SendAt(UnixMs),
    /// There is no permit in time; the next one is free at this time.
    Denied(UnixMs),
}

#[derive(Clone, Copy, Debug)]
struct Schedule {
    incarnation: u64,
    bucket: TokenBucket,
    requested_at: UnixMs,
}

/// Issues permits for the upstreams of which this instance is the issuer.
#[derive(Debug)]
pub struct PermitIssuer {
    schedules: BTreeMap<UpstreamName, Schedule>,
    issued: DemandSketch<UpstreamName>,
}

impl Default for PermitIssuer {
    fn default() -> Self {
        Self::new()
    }
}

impl PermitIssuer {
    /// Starts without issued permits.
    pub fn new() -> Self {
        Self {
            schedules: BTreeMap::new(),
            issued: DemandSketch::new(MAX_UPSTREAMS, RATE_HALF_LIFE_MS),
        }
    }

    /// An instance requests a permit. Permits are issued in the order of requests, each for a time of
    /// its own.
    ///
    /// ```
    /// # use monsoonspread_decisions::rate_limit::{PermitAnswer, PermitIssuer, PermitTerms};
    /// # use monsoonspread_model::{UnixMs, fleet::RateLimit};
    /// let (now, limit) = (UnixMs(1_000), RateLimit::new(2.0).expect("a limit"));
    /// let terms = PermitTerms { incarnation: 1, limit, is_confirmed: true, wait_until: now };
    /// let mut issuer = PermitIssuer::new();
    /// let server = "server-1".into();
    /// assert_eq!(issuer.on_request(now, &server, terms), PermitAnswer::SendAt(now));
    /// assert_eq!(issuer.on_request(now, &server, terms), PermitAnswer::Denied(now + 500));
    /// ```
    pub fn on_request(
        &mut self,
        now: UnixMs,
        upstream: &UpstreamName,
        terms: PermitTerms,
    ) -> PermitAnswer {
        self.evict_for(upstream);
        let fresh = Schedule {
            incarnation: terms.incarnation,
            bucket: TokenBucket::new(now),
            requested_at: now,
        };
        let schedule = self.schedules.entry(upstream.clone()).or_insert(fresh);
        if schedule.incarnation != terms.incarnation {
            *schedule = fresh;
        }
        schedule.requested_at = now;
        let bucket_terms = bucket_terms(terms);
        // A permit may be issued before its cost is paid, for the time at which nothing is owed.
        let send_at = now.max(schedule.bucket.ready_at(bucket_terms, 0.0));
        if send_at > terms.wait_until {
            return PermitAnswer::Denied(send_at);
        }
        schedule.bucket.take(now, bucket_terms, 1.0);
        self.issued.on_arrival(now, upstream);
        PermitAnswer::SendAt(send_at)
    }

    /// Permits issued per second for each upstream, as a decayed mean.
    pub fn rates(&self, now: UnixMs) -> impl Iterator<Item = (&UpstreamName, f64)> {
        let upstreams = self.schedules.keys();
        upstreams.map(move |upstream| (upstream, self.issued.per_second(now, upstream)))
    }

    fn evict_for(&mut self, upstream: &UpstreamName) {
        if self.schedules.contains_key(upstream) || self.schedules.len() < MAX_UPSTREAMS {
            return;
        }
        let schedules = self.schedules.iter();
        let oldest = schedules.min_by_key(|(_, schedule)| schedule.requested_at);
        if let Some(oldest) = oldest.map(|(name, _)| name.clone()) {
            self.schedules.remove(&oldest);
        }
    }
}

fn bucket_terms(terms: PermitTerms) -> BucketTerms {
    let share = if terms.is_confirmed {
        1.0
    } else {
        UNCONFIRMED_SHARE
    };
    let per_s = (terms.limit.per_s() * share).max(MIN_PER_S);
    BucketTerms {
        per_s,
        depth: per_s * BURST_MS / 1_000.0,
    }
}

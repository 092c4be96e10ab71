//! Which availability zones an issuer issues for.
//!
//! The backup issuer of each zone beats to the primary one. The primary issuer issues the shares of those zones
//! whose backup issuer heard it lately, and a backup issuer issues the share of its zone itself once it has
//! heard nothing for longer. The two times are counted from the same beat, so that no share is issued twice,
//! whichever of the two is frozen, cut off or restarted.

use std::collections::BTreeMap;

use monsoonspread_model::{UnixMs, ZoneName};

/// Interval of beats, in milliseconds: two may be lost before a lease ends.
pub const BEAT_MS: u64 = 250;
/// How long the primary issuer issues for a zone after a beat that it answered, in milliseconds.
const LEASE_MS: u64 = 800;
/// After how long the backup issuer issues for its zone, in milliseconds: the lease, and the time
/// in which an answer of the primary issuer may be on its way.
const TAKE_OVER_MS: u64 = 1_000;

#[derive(Clone, Copy, Debug)]
struct Lease {
    /// When the zone's backup issuer was heard first.
    since: UnixMs,
    until: UnixMs,
}

/// The zones that a primary issuer issues for.
#[derive(Clone, Debug, Default)]
pub struct ZoneLeases {
    leases: BTreeMap<ZoneName, Lease>,
}

impl ZoneLeases {
    /// The backup issuer of `zone` beats; its last answered beat was sent `answered_ms` ago.
    ///
    /// ```
    /// # use monsoonspread_decisions::rate_limit::ZoneLeases;
    /// # use monsoonspread_model::UnixMs;
    /// let mut leases = ZoneLeases::default();
    /// leases.on_beat(UnixMs(1_000), &"a".into(), 250);
    /// leases.on_beat(UnixMs(1_500), &"a".into(), 250);
    /// assert_eq!(leases.zones(UnixMs(1_500)), 0);
    /// assert_eq!(leases.zones(UnixMs(1_800)), 1);
    /// assert_eq!(leases.zones(UnixMs(2_050)), 0);
    /// ```
    pub fn on_beat(&mut self, now: UnixMs, zone: &ZoneName, answered_ms: u64) {
        if answered_ms >= LEASE_MS {
            return;
        }
        let until = now + (LEASE_MS - answered_ms);
        let fresh = Lease { since: now, until };
        let lease = self.leases.entry(zone.clone()).or_insert(fresh);
        if lease.until <= now {
            *lease = fresh;
        }
        lease.until = lease.until.max(until);
    }

    /// Number of zones to issue for. A zone counts once a lease of another issuer for it has ended.
    pub fn zones(&self, now: UnixMs) -> usize {
        let leases = self.leases.values();
        let held = leases.filter(|lease| now >= lease.since + LEASE_MS && now < lease.until);
        held.count()
    }
}

/// Whether a backup issuer issues the share of its zone.
#[derive(Clone, Copy, Debug)]
pub struct ZoneWatch {
    /// When the last beat that was answered was sent.
    answered_at: UnixMs,
}

impl ZoneWatch {
    /// This instance is the backup issuer since `since`.
    ///
    /// ```
    /// # use monsoonspread_decisions::rate_limit::ZoneWatch;
    /// # use monsoonspread_model::UnixMs;
    /// let mut watch = ZoneWatch::new(UnixMs(1_000));
    /// watch.on_answered(UnixMs(2_000));
    /// assert_eq!(watch.answered_ms(UnixMs(2_300)), 300);
    /// assert_eq!(watch.issues_since(UnixMs(2_999)), None);
    /// assert_eq!(watch.issues_since(UnixMs(4_000)), Some(UnixMs(3_000)));
    /// ```
    pub fn new(since: UnixMs) -> Self {
        Self { answered_at: since }
    }

    /// The primary issuer answered the beat that was sent at `sent_at`.
    pub fn on_answered(&mut self, sent_at: UnixMs) {
        self.answered_at = self.answered_at.max(sent_at);
    }

    /// How long ago the last answered beat was sent, in milliseconds.
    pub fn answered_ms(&self, now: UnixMs) -> u64 {
        now.ms_since(self.answered_at)
    }

    /// Returns since when this instance issues the share of its zone; `None` if the primary issuer does.
    pub fn issues_since(&self, now: UnixMs) -> Option<UnixMs> {
        let since = self.answered_at + TAKE_OVER_MS;
        (now >= since).then_some(since)
    }
}

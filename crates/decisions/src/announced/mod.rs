//! Announcements that upstreams make in their answers: that they are leaving, when they accept
//! requests again, and how many they accept per second.
//!
//! An announcement holds for one incarnation of an upstream, identified by its name because addresses
//! are reused. Only a restart cancels that an upstream is leaving, so an answer that overtakes another
//! one, or an upstream that sends it in only some answers, changes nothing. A rate limit instead ends
//! with the first answer without it to a request that was sent after the limit was last received.

#[cfg(test)]
mod tests;

use std::collections::BTreeMap;

use monsoonspread_model::fleet::RateLimit;
use monsoonspread_model::{UnixMs, UpstreamName};
use serde::Serialize;

/// Back-off for an upstream whose announced time is malformed, in milliseconds: a common value of
/// well-formed announcements.
pub const DEFAULT_BACKOFF_MS: u64 = 1_000;
/// Maximum back-off, in milliseconds; a longer announced time is treated as malformed.
pub const MAX_BACKOFF_MS: u64 = 3_600_000;
/// Minimum interval over which the retries of clients are spread when all servers of a service were
/// backing off, in milliseconds.
const MIN_SPREAD_MS: u64 = 250;
/// Maximum number of tracked upstreams; the least recently received announcement is evicted.
const MAX_UPSTREAMS: usize = 2_048;

/// Announcement of one upstream.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize)]
pub struct Announcement {
    /// Incarnation of the upstream that made the announcement.
    pub incarnation: u64,
    /// When it was first announced that the upstream is leaving; `None` if it isn't.
    #[serde(rename = "leaves_since")]
    pub leaving_since: Option<UnixMs>,
    /// When the upstream first turned away a request of this instance in the last back-off.
    #[serde(rename = "away_since")]
    pub backoff_since: Option<UnixMs>,
    /// Time until which the upstream accepts no requests from this instance; `None` without a
    /// back-off.
    #[serde(rename = "away_until")]
    pub backoff_until: Option<UnixMs>,
    /// How many requests the upstream accepts; `None` without a limit.
    pub rate_limit: Option<RateLimit>,
    /// When `rate_limit` was last observed; `None` if the upstream never announced a limit.
    pub rate_observed_at: Option<UnixMs>,
    /// When the last announcement was received.
    #[serde(rename = "spoke_at")]
    pub last_received_at: UnixMs,
}

/// A span of time in which an upstream wants no requests from this instance.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Backoff {
    /// When the upstream first turned a request away.
    pub since: UnixMs,
    /// Latest end that it announced since.
    pub until: UnixMs,
}

/// Change of an upstream's rate limit.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RateChange {
    /// The limit so far; `None` if there was none.
    pub from: Option<RateLimit>,
    /// The limit from now on; `None` if it ended.
    pub to: Option<RateLimit>,
}

/// Announcements of all upstreams, in bounded memory.
#[derive(Clone, Debug, Default)]
pub struct Announcements {
    announcements: BTreeMap<UpstreamName, Announcement>,
}

impl Announcements {
    /// An upstream announced that it is leaving, or another instance reported it; returns false if that
    /// was known already or a newer incarnation has announced something.
    ///
    /// ```
    /// use monsoonspread_decisions::announced::Announcements;
    /// use monsoonspread_model::UnixMs;
    ///
    /// let mut announcements = Announcements::default();
    /// let server = "server-1".into();
    /// assert!(announcements.on_leaving(UnixMs(5), &server, 1));
    /// assert!(announcements.is_leaving(&server, 1) && !announcements.is_leaving(&server, 2));
    /// ```
    pub fn on_leaving(&mut self, now: UnixMs, upstream: &UpstreamName, incarnation: u64) -> bool {
        let Some(announcement) = self.announcement(now, upstream, incarnation) else {
            return false;
        };
        let is_new = announcement.leaving_since.is_none();
        announcement.leaving_since = announcement.leaving_since.or(Some(now));
        is_new
    }

    /// An upstream rejects requests of this instance for `backoff_ms`; returns the end of the back-off,
    /// or `None` if a newer incarnation has announced something since.
    ///
    /// If announcements differ because answers overtook each other, the latest end applies.
    pub fn on_backoff(
        &mut self,
        now: UnixMs,
        upstream: &UpstreamName,
        incarnation: u64,
        backoff_ms: u64,
    ) -> Option<UnixMs> {
        let announcement = self.announcement(now, upstream, incarnation)?;
        let until = now + bounded(backoff_ms);
        if announcement.backoff_until.is_none_or(|until| until <= now) {
            announcement.backoff_since = Some(now);
        }
        announcement.backoff_until = announcement.backoff_until.max(Some(until));
        announcement.backoff_until
    }

    /// An upstream was observed at `observed_at` to have a rate limit, or none; returns the change, if
    /// it is one.
    ///
    /// The newest observation applies. The absence of a limit is observed when the request is sent, as
    /// its answer may have been overtaken by others since.
    ///
    /// ```
    /// use monsoonspread_decisions::announced::Announcements;
    /// use monsoonspread_model::{UnixMs, fleet::RateLimit};
    ///
    /// let mut announcements = Announcements::default();
    /// let (server, limit) = ("server-1".into(), RateLimit::new(2.2));
    /// assert!(announcements.on_rate_limit(UnixMs(5), &server, 1, limit).is_some());
    /// assert_eq!(announcements.rate_limit(&server, 1), limit);
    /// ```
    pub fn on_rate_limit(
        &mut self,
        observed_at: UnixMs,
        upstream: &UpstreamName,
        incarnation: u64,
        limit: Option<RateLimit>,
    ) -> Option<RateChange> {
        let known = self.announcements.get(upstream);
        let observed = known.filter(|known| known.incarnation >= incarnation);
        let is_known_unlimited = observed.is_none_or(|known| known.rate_observed_at.is_none());
        if limit.is_none() && is_known_unlimited {
            return None;
        }
        let announcement = self.announcement(observed_at, upstream, incarnation)?;
        if announcement
            .rate_observed_at
            .is_some_and(|last| observed_at <= last)
        {
            return None;
        }
        announcement.rate_observed_at = Some(observed_at);
        let from = std::mem::replace(&mut announcement.rate_limit, limit);
        (from != limit).then_some(RateChange { from, to: limit })
    }

    /// Returns the rate limit of this incarnation of an upstream; `None` without a limit.
    pub fn rate_limit(&self, upstream: &UpstreamName, incarnation: u64) -> Option<RateLimit> {
        let announcement = self.announcements.get(upstream)?;
        announcement
            .rate_limit
            .filter(|_| announcement.incarnation == incarnation)
    }

    /// An upstream is listed with this incarnation; removes and returns the announcement of an earlier
    /// one, if any.
    pub fn on_listed(&mut self, upstream: &UpstreamName, incarnation: u64) -> Option<Announcement> {
        let announcement = self.announcements.get(upstream)?;
        if announcement.incarnation >= incarnation {
            return None;
        }
        self.announcements.remove(upstream)
    }

    /// Whether this incarnation of an upstream announced that it is leaving.
    pub fn is_leaving(&self, upstream: &UpstreamName, incarnation: u64) -> bool {
        let announcement = self.announcements.get(upstream);
        announcement.is_some_and(|announcement| {
            announcement.incarnation == incarnation && announcement.leaving_since.is_some()
        })
    }

    /// Returns an upstream's back-off; `None` if it accepts requests.
    ///
    /// ```
    /// use monsoonspread_decisions::announced::{Announcements, Backoff};
    /// use monsoonspread_model::UnixMs;
    ///
    /// let mut announcements = Announcements::default();
    /// let server = "server-1".into();
    /// announcements.on_backoff(UnixMs(5), &server, 1, 2_000);
    /// announcements.on_backoff(UnixMs(9), &server, 1, 2_000);
    /// let backoff = Backoff { since: UnixMs(5), until: UnixMs(2_009) };
    /// assert_eq!(announcements.backoff(UnixMs(2_008), &server, 1), Some(backoff));
    /// assert_eq!(announcements.backoff(UnixMs(2_009), &server, 1), None);
    /// ```
    pub fn backoff(
        &self,
        now: UnixMs,
        upstream: &UpstreamName,
        incarnation: u64,
    ) -> Option<Backoff> {
        let announcement = self.announcements.get(upstream)?;
        let until = announcement.backoff_until?;
        let since = announcement.backoff_since?;
        let is_current = announcement.incarnation == incarnation && now < until;
        is_current.then_some(Backoff { since, until })
    }

    /// End of an upstream's back-off; `None` if it accepts requests.
    pub fn backoff_until(
        &self,
        now: UnixMs,
        upstream: &UpstreamName,
        incarnation: u64,
    ) -> Option<UnixMs> {
        let backoff = self.backoff(now, upstream, incarnation)?;
        Some(backoff.until)
    }

    /// Returns the announcement of an upstream, if it made one.
    pub fn get(&self, upstream: &UpstreamName) -> Option<&Announcement> {
        self.announcements.get(upstream)
    }

    /// Returns all announcements.
    pub fn iter(&self) -> impl Iterator<Item = (&UpstreamName, &Announcement)> {
        self.announcements.iter()
    }

    fn announcement(
        &mut self,
        now: UnixMs,
        upstream: &UpstreamName,
        incarnation: u64,
    ) -> Option<&mut Announcement> {
        if !self.announcements.contains_key(upstream) {
            self.evict_oldest();
        }
        let announcement = self.announcements.entry(upstream.clone()).or_default();
        if announcement.incarnation > incarnation {
            return None;
        }
        if announcement.incarnation < incarnation {
            *announcement = Announcement::default();
        }
        announcement.incarnation = incarnation;
        announcement.last_received_at = announcement.last_received_at.max(now);
        Some(announcement)
    }

    fn evict_oldest(&mut self) {
        if self.announcements.len() < MAX_UPSTREAMS {
            return;
        }
        let oldest = self
            .announcements
            .iter()
            .min_by_key(|(_, announcement)| announcement.last_received_at);
        if let Some(oldest) = oldest.map(|(name, _)| name.clone()) {
            self.announcements.remove(&oldest);
        }
    }
}

fn bounded(backoff_ms: u64) -> u64 {
    if backoff_ms > MAX_BACKOFF_MS {
        return DEFAULT_BACKOFF_MS;
    }
    backoff_ms
}

/// Delay until a client should retry a service whose first server accepts requests again in
/// `wait_ms`, in milliseconds; `draw` should differ for each client.
///
/// Spreads the retries of clients that were refused at the same time.
///
/// ```
/// use monsoonspread_decisions::announced::retry_after_ms;
///
/// assert!((0..100).all(|draw| (2_000..2_750).contains(&retry_after_ms(2_000, draw * 7_919))));
/// ```
pub fn retry_after_ms(wait_ms: u64, draw: u64) -> u64 {
    let spread_ms = MIN_SPREAD_MS + wait_ms / 4;
    wait_ms + draw % spread_ms
}

//! What upstreams say of themselves in their answers: that they leave, and when they take work again.
//!
//! A announcement holds for one start of an upstream, known by its name: addresses are used again. That it
//! leaves is taken back by a new start only, so that an answer that overtakes another one, or an
//! upstream that says so in some of its answers, changes nothing.

#[cfg(test)]
mod tests;

use std::collections::BTreeMap;

use monsoonspread_model::{UnixMs, UpstreamName};
use serde::Serialize;

/// For how long an upstream is left alone that says so in a way that can't be read, in milliseconds:
/// a common value of those that say it readably.
pub const DEFAULT_BACKOFF_MS: u64 = 1_000;
/// Longest time that an upstream is left alone, in milliseconds: what is longer is taken for one that
/// can't be read.
pub const MAX_BACKOFF_MS: u64 = 3_600_000;
/// Least spread of the clients that come back to a service whose servers were all away, in
/// milliseconds.
const MIN_SPREAD_MS: u64 = 250;
/// Upstreams remembered at the most; those that spoke longest ago are forgotten.
const MAX_UPSTREAMS: usize = 2_048;

/// What one upstream said of itself.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize)]
pub struct Announcement {
    /// The start of the upstream that said it.
    pub incarnation: u64,
    /// When it was first heard that it leaves.
    #[serde(rename = "leaves_since")]
    pub leaving_since: Option<UnixMs>,
    /// Until when it wants nothing from this instance.
    #[serde(rename = "away_until")]
    pub backoff_until: Option<UnixMs>,
    /// When it spoke last.
    #[serde(rename = "spoke_at")]
    pub last_received_at: UnixMs,
}

/// What upstreams said of themselves.
#[derive(Clone, Debug, Default)]
pub struct Announcements {
    announcements: BTreeMap<UpstreamName, Announcement>,
}

impl Announcements {
    /// An upstream, or another instance for it, said that it leaves; false when it is known.
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
        let is_news = announcement.leaving_since.is_none();
        announcement.leaving_since = announcement.leaving_since.or(Some(now));
        is_news
    }

    /// An upstream turned this instance away for `backoff_ms`; returns until when it is left alone, or
    /// `None` where another start of it spoke since.
    ///
    /// Words that contradict each other, as answers overtake one another, leave the later end.
    pub fn on_backoff(
        &mut self,
        now: UnixMs,
        upstream: &UpstreamName,
        incarnation: u64,
        backoff_ms: u64,
    ) -> Option<UnixMs> {
        let announcement = self.announcement(now, upstream, incarnation)?;
        let until = now + bounded(backoff_ms);
        announcement.backoff_until = announcement.backoff_until.max(Some(until));
        announcement.backoff_until
    }

    /// An upstream is listed with this start; returns what an earlier start said and no longer holds.
    pub fn on_listed(&mut self, upstream: &UpstreamName, incarnation: u64) -> Option<Announcement> {
        let announcement = self.announcements.get(upstream)?;
        if announcement.incarnation >= incarnation {
            return None;
        }
        self.announcements.remove(upstream)
    }

    /// Whether this start of an upstream said that it leaves.
    pub fn is_leaving(&self, upstream: &UpstreamName, incarnation: u64) -> bool {
        let announcement = self.announcements.get(upstream);
        announcement.is_some_and(|announcement| {
            announcement.incarnation == incarnation && announcement.leaving_since.is_some()
        })
    }

    /// Until when an upstream wants nothing from this instance; `None` when it takes work.
    pub fn backoff_until(
        &self,
        now: UnixMs,
        upstream: &UpstreamName,
        incarnation: u64,
    ) -> Option<UnixMs> {
        let announcement = self.announcements.get(upstream)?;
        let is_own = announcement.incarnation == incarnation;
        announcement
            .backoff_until
            .filter(|until| is_own && now < *until)
    }

    /// Everything that was said.
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
            self.make_room();
        }
        let announcement = self.announcements.entry(upstream.clone()).or_default();
        if announcement.incarnation > incarnation {
            return None;
        }
        if announcement.incarnation < incarnation {
            *announcement = Announcement::default();
        }
        announcement.incarnation = incarnation;
        announcement.last_received_at = now;
        Some(announcement)
    }

    fn make_room(&mut self) {
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

/// When a client comes back to a service of which the first server takes work in `wait_ms`, in
/// milliseconds; `draw` is different for each client.
///
/// Clients that were refused together come back one after the other.
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

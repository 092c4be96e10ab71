//! What upstreams say of themselves in their answers: that they leave, and when they take work again.
//!
//! A word holds for one start of an upstream, known by its name: addresses are used again. That it
//! leaves is taken back by a new start only, so that an answer that overtakes another one, or an
//! upstream that says so in some of its answers, changes nothing.

#[cfg(test)]
mod tests;

use std::collections::BTreeMap;

use monsoonspread_model::{UnixMs, UpstreamName};
use serde::Serialize;

/// For how long an upstream is left alone that says so in a way that can't be read, in milliseconds:
/// a common value of those that say it readably.
pub const DEFAULT_AWAY_MS: u64 = 1_000;
/// Longest time that an upstream is left alone, in milliseconds: what is longer is taken for one that
/// can't be read.
pub const MAX_AWAY_MS: u64 = 3_600_000;
/// Least spread of the clients that come back to a service whose servers were all away, in
/// milliseconds.
const MIN_SPREAD_MS: u64 = 250;
/// Upstreams remembered at the most; those that spoke longest ago are forgotten.
const MAX_UPSTREAMS: usize = 2_048;

/// What one upstream said of itself.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize)]
pub struct Word {
    /// The start of the upstream that said it.
    pub incarnation: u64,
    /// When it was first heard that it leaves.
    pub leaves_since: Option<UnixMs>,
    /// Until when it wants nothing from this instance.
    pub away_until: Option<UnixMs>,
    /// When it spoke last.
    pub spoke_at: UnixMs,
}

/// What upstreams said of themselves.
#[derive(Clone, Debug, Default)]
pub struct StatedWords {
    words: BTreeMap<UpstreamName, Word>,
}

impl StatedWords {
    /// An upstream, or another instance for it, said that it leaves; false when it is known.
    ///
    /// ```
    /// use monsoonspread_decisions::stated::StatedWords;
    /// use monsoonspread_model::UnixMs;
    ///
    /// let mut words = StatedWords::default();
    /// let server = "server-1".into();
    /// assert!(words.on_leaves(UnixMs(5), &server, 1));
    /// assert!(words.leaves(&server, 1) && !words.leaves(&server, 2));
    /// ```
    pub fn on_leaves(&mut self, now: UnixMs, upstream: &UpstreamName, incarnation: u64) -> bool {
        let Some(word) = self.word(now, upstream, incarnation) else {
            return false;
        };
        let is_news = word.leaves_since.is_none();
        word.leaves_since = word.leaves_since.or(Some(now));
        is_news
    }

    /// An upstream turned this instance away for `away_ms`; returns until when it is left alone, or
    /// `None` where another start of it spoke since.
    ///
    /// Words that contradict each other, as answers overtake one another, leave the later end.
    pub fn on_away(
        &mut self,
        now: UnixMs,
        upstream: &UpstreamName,
        incarnation: u64,
        away_ms: u64,
    ) -> Option<UnixMs> {
        let word = self.word(now, upstream, incarnation)?;
        let until = now + bounded(away_ms);
        word.away_until = word.away_until.max(Some(until));
        word.away_until
    }

    /// An upstream is listed with this start; returns what an earlier start said and no longer holds.
    pub fn on_listed(&mut self, upstream: &UpstreamName, incarnation: u64) -> Option<Word> {
        let word = self.words.get(upstream)?;
        if word.incarnation >= incarnation {
            return None;
        }
        self.words.remove(upstream)
    }

    /// Whether this start of an upstream said that it leaves.
    pub fn leaves(&self, upstream: &UpstreamName, incarnation: u64) -> bool {
        let word = self.words.get(upstream);
        word.is_some_and(|word| word.incarnation == incarnation && word.leaves_since.is_some())
    }

    /// Until when an upstream wants nothing from this instance; `None` when it takes work.
    pub fn away_until(
        &self,
        now: UnixMs,
        upstream: &UpstreamName,
        incarnation: u64,
    ) -> Option<UnixMs> {
        let word = self.words.get(upstream)?;
        let is_own = word.incarnation == incarnation;
        word.away_until.filter(|until| is_own && now < *until)
    }

    /// Everything that was said.
    pub fn iter(&self) -> impl Iterator<Item = (&UpstreamName, &Word)> {
        self.words.iter()
    }

    fn word(
        &mut self,
        now: UnixMs,
        upstream: &UpstreamName,
        incarnation: u64,
    ) -> Option<&mut Word> {
        if !self.words.contains_key(upstream) {
            self.make_room();
        }
        let word = self.words.entry(upstream.clone()).or_default();
        if word.incarnation > incarnation {
            return None;
        }
        if word.incarnation < incarnation {
            *word = Word::default();
        }
        word.incarnation = incarnation;
        word.spoke_at = now;
        Some(word)
    }

    fn make_room(&mut self) {
        if self.words.len() < MAX_UPSTREAMS {
            return;
        }
        let oldest = self.words.iter().min_by_key(|(_, word)| word.spoke_at);
        if let Some(oldest) = oldest.map(|(name, _)| name.clone()) {
            self.words.remove(&oldest);
        }
    }
}

fn bounded(away_ms: u64) -> u64 {
    if away_ms > MAX_AWAY_MS {
        return DEFAULT_AWAY_MS;
    }
    away_ms
}

/// When a client comes back to a service of which the first server takes work in `wait_ms`, in
/// milliseconds; `draw` is different for each client.
///
/// Clients that were refused together come back one after the other.
///
/// ```
/// use monsoonspread_decisions::stated::come_back_ms;
///
/// assert!((0..100).all(|draw| (2_000..2_750).contains(&come_back_ms(2_000, draw * 7_919))));
/// ```
pub fn come_back_ms(wait_ms: u64, draw: u64) -> u64 {
    let spread_ms = MIN_SPREAD_MS + wait_ms / 4;
    wait_ms + draw % spread_ms
}

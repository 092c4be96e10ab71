//! From whom an instance hears what changed in the store.
//!
//! If each instance followed the store, the calls would grow with the fleet. One instance of a
//! zone follows it and tells the others. When that one falls silent or says that it has trouble,
//! they turn to the next; only when the first few of the zone have failed does each instance
//! follow the store itself, so that an outage of the store ends no instance's search of its whole
//! zone.

mod publisher;
mod split;
#[cfg(test)]
mod tests;
mod timing;

use std::collections::BTreeMap;

use monsoonspread_model::{InstanceName, UnixMs};

pub use publisher::{Notice, Publisher, SubscribeAnswer};
pub use split::split_by_revision;
pub use timing::FeedTiming;

/// How long an instance is passed over after it failed as a source, in milliseconds: longer than
/// most freezes and cuts, so that a source that comes and goes costs no gap each time.
const SKIP_UNRESPONSIVE_MS: u64 = 10_000;

/// How long an instance is passed over that doesn't follow the store now, in milliseconds: by
/// then it has noticed that its own source is gone.
const SKIP_DECLINED_MS: u64 = 1_500;

/// Instances of a zone that may be its source: each one that fails costs some time, and all know
/// the changes before their bound.
pub const MAX_SOURCES: usize = 3;

/// What to do with news.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SpanUse {
    /// Take the changes beyond what is known.
    Apply,
    /// All of it is known.
    Known,
    /// Something is missing from it: read it from the store.
    Read,
}

/// News, without their content.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ChangeSpan {
    /// Revision after which the changes are.
    pub after: u64,
    /// Revision up to which nothing is missing.
    pub up_to: u64,
    /// Every change is included.
    pub is_complete: bool,
}

impl ChangeSpan {
    /// What an instance that knows everything up to `known` does with the news.
    ///
    /// ```
    /// use monsoonspread_decisions::change_feed::{ChangeSpan, SpanUse};
    ///
    /// let news = ChangeSpan { after: 7, up_to: 9, is_complete: true };
    /// assert_eq!(news.usage(7), SpanUse::Apply);
    /// assert_eq!(news.usage(9), SpanUse::Known);
    /// assert_eq!(news.usage(3), SpanUse::Read);
    /// ```
    pub fn usage(&self, known: u64) -> SpanUse {
        if self.up_to <= known {
            return SpanUse::Known;
        }
        if self.after > known || !self.is_complete {
            return SpanUse::Read;
        }
        SpanUse::Apply
    }
}

/// Chooses the source of an instance's news.
#[derive(Debug)]
pub struct FeedSourceSelector {
    own: InstanceName,
    skipped_until: BTreeMap<InstanceName, UnixMs>,
}

impl FeedSourceSelector {
    /// The source of the news of the instance `own`.
    pub fn new(own: InstanceName) -> Self {
        Self {
            own,
            skipped_until: BTreeMap::new(),
        }
    }

    /// The instance of the zone to hear the news from; `None` when this one follows the store.
    pub fn choose<'a>(
        &self,
        now: UnixMs,
        neighbours: impl Iterator<Item = &'a InstanceName>,
    ) -> Option<&'a InstanceName> {
        let is_skipped = |name: &InstanceName| {
            let until = self.skipped_until.get(name);
            until.is_some_and(|until| now < *until)
        };
        let mut sources: Vec<&InstanceName> = neighbours.collect();
        sources.sort();
        sources.truncate(MAX_SOURCES);
        // All agree on the first by name, so that it follows the store.
        let first = sources.into_iter().find(|name| !is_skipped(name))?;
        (*first < self.own).then_some(first)
    }

    /// A source was silent.
    pub fn on_timeout(&mut self, now: UnixMs, source: InstanceName) {
        self.skip(now, source, SKIP_UNRESPONSIVE_MS);
    }

    /// A source has trouble with the store, or doesn't follow it.
    pub fn on_declined(&mut self, now: UnixMs, source: InstanceName) {
        self.skip(now, source, SKIP_DECLINED_MS);
    }

    fn skip(&mut self, now: UnixMs, source: InstanceName, ms: u64) {
        self.skipped_until.retain(|_, until| now < *until);
        self.skipped_until.insert(source, now + ms);
    }
}

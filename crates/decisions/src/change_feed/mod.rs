//! Distribution of store changes among the instances of a zone.
//!
//! If each instance watched the store, the calls would grow with the fleet. One instance of a zone
//! watches it and forwards the changes to its subscribers. If that source becomes unresponsive or
//! reports that it is unavailable, they turn to the next one. Once the first few instances of the zone
//! have failed, each instance watches the store itself, so that during an outage of the store no
//! instance tries its whole zone.

mod catch_up;
mod delays;
mod publisher;
mod split;
#[cfg(test)]
mod tests;
mod timing;

use std::collections::BTreeMap;

use monsoonspread_model::{InstanceName, UnixMs};

pub use catch_up::{CatchUp, StoreRead};
pub use delays::{FeedDelay, FeedDelays};
pub use publisher::{Notice, Publisher, SubscribeAnswer};
pub use split::split_by_revision;
pub use timing::FeedTiming;

/// How long an instance is skipped after it timed out as a source, in milliseconds: longer than most
/// freezes and network interruptions, so that an intermittent source doesn't cause a gap each time.
const SKIP_UNRESPONSIVE_MS: u64 = 10_000;

/// How long an instance is skipped after it declined because it doesn't watch the store, in
/// milliseconds: by then it has detected that the source it subscribed to has failed.
const SKIP_DECLINED_MS: u64 = 1_500;

/// Maximum number of instances in a zone that can be the source: each failed one costs time, and all
/// instances must know a change within its time bound.
pub const MAX_SOURCES: usize = 3;

/// What to do with a received span of changes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SpanUse {
    /// Apply the changes that are newer than the known revision.
    Apply,
    /// All changes are known already.
    Known,
    /// Changes are missing: read them from the store.
    Read,
}

/// Range of revisions covered by a message with changes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ChangeSpan {
    /// Revision after which the changes begin.
    pub after: u64,
    /// Revision up to which the span covers all changes.
    pub up_to: u64,
    /// Whether the message contains every change of the span.
    pub is_complete: bool,
}

impl ChangeSpan {
    /// Returns what an instance with the known revision `known` does with the span.
    ///
    /// ```
    /// use monsoonspread_decisions::change_feed::{ChangeSpan, SpanUse};
    ///
    /// let span = ChangeSpan { after: 7, up_to: 9, is_complete: true };
    /// assert_eq!(span.usage(7), SpanUse::Apply);
    /// assert_eq!(span.usage(9), SpanUse::Known);
    /// assert_eq!(span.usage(3), SpanUse::Read);
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

/// Chooses the instance from which to receive the store's changes.
#[derive(Debug)]
pub struct FeedSourceSelector {
    local: InstanceName,
    skipped_until: BTreeMap<InstanceName, UnixMs>,
}

impl FeedSourceSelector {
    /// Creates the selector of the instance `local`.
    pub fn new(local: InstanceName) -> Self {
        Self {
            local,
            skipped_until: BTreeMap::new(),
        }
    }

    /// Returns the source in the zone to subscribe to; `None` if this instance is to watch the store
    /// itself.
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
        // All instances agree on the first one by name, which therefore watches the store.
        let first = sources.into_iter().find(|name| !is_skipped(name))?;
        (*first < self.local).then_some(first)
    }

    /// A source sent nothing within the timeout.
    pub fn on_timeout(&mut self, now: UnixMs, source: InstanceName) {
        self.skip(now, source, SKIP_UNRESPONSIVE_MS);
    }

    /// A source reported that it is unavailable, as it can't reach the store or doesn't watch it.
    pub fn on_declined(&mut self, now: UnixMs, source: InstanceName) {
        self.skip(now, source, SKIP_DECLINED_MS);
    }

    fn skip(&mut self, now: UnixMs, source: InstanceName, ms: u64) {
        self.skipped_until.retain(|_, until| now < *until);
        self.skipped_until.insert(source, now + ms);
    }
}

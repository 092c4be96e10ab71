//! What upstreams announced in their answers.

use std::collections::BTreeMap;

use monsoonspread_decisions::announced::{Announcement, RateChange};
use monsoonspread_model::fleet::{RateLimit, UpstreamStage};
use monsoonspread_model::{UnixMs, UpstreamName};

use super::{FleetEvent, FleetView};
use crate::gossip::LeavingUpstream;

impl FleetView {
    /// Returns the listed upstreams that announced that they are leaving.
    pub fn announced_leaving(&self) -> Vec<LeavingUpstream> {
        let announcements = self.announcements.iter();
        announcements
            .filter(|(name, announcement)| {
                let listed = self.upstream(name);
                announcement.leaving_since.is_some()
                    && listed.is_some_and(|up| up.started_unix_ms == announcement.incarnation)
            })
            .map(|(name, announcement)| LeavingUpstream {
                upstream: name.clone(),
                incarnation: announcement.incarnation,
            })
            .collect()
    }

    /// Returns the announcement of an upstream.
    pub fn announcement(&self, upstream: &UpstreamName) -> Option<&Announcement> {
        self.announcements.get(upstream)
    }

    /// Returns the listed upstreams that have a rate limit or had one.
    pub fn with_announced_rate(&self) -> Vec<UpstreamName> {
        let announcements = self.announcements.iter();
        announcements
            .filter(|(name, announcement)| {
                announcement.rate_observed_at.is_some() && self.upstream(name).is_some()
            })
            .map(|(name, _)| name.clone())
            .collect()
    }

    /// Returns the announcements of all upstreams.
    pub fn announcements(&self) -> BTreeMap<UpstreamName, Announcement> {
        let announcements = self.announcements.iter();
        announcements
            .map(|(name, announcement)| (name.clone(), *announcement))
            .collect()
    }

    /// Records that an upstream announced that it is leaving. Returns `None` if that was known, and
    /// an event if the upstream is listed.
    pub fn on_leaving(
        &mut self,
        now: UnixMs,
        upstream: &UpstreamName,
        incarnation: u64,
    ) -> Option<Option<FleetEvent>> {
        if !self.announcements.on_leaving(now, upstream, incarnation) {
            return None;
        }
        let listed = self.upstreams.get_mut(upstream);
        let Some(known) = listed.filter(|known| known.record.started_unix_ms == incarnation) else {
            return Some(None);
        };
        known.record.stage = UpstreamStage::Leaving;
        Some(Some(FleetEvent::Upstream {
            record: known.record.clone(),
            restarted: false,
            complete: false,
        }))
    }

    /// Records an observation of an upstream's rate limit; returns the change, if it is one.
    pub fn on_rate_limit(
        &mut self,
        observed_at: UnixMs,
        upstream: &UpstreamName,
        incarnation: u64,
        limit: Option<RateLimit>,
    ) -> Option<RateChange> {
        self.announcements
            .on_rate_limit(observed_at, upstream, incarnation, limit)
    }

    /// Records that an upstream is backing off for `backoff_ms`; returns until when.
    pub fn on_backoff(
        &mut self,
        now: UnixMs,
        upstream: &UpstreamName,
        incarnation: u64,
        backoff_ms: u64,
    ) -> Option<UnixMs> {
        self.announcements
            .on_backoff(now, upstream, incarnation, backoff_ms)
    }
}

//! Handling of upstreams' announcements and other instances' gossip.

use std::rc::Rc;

use monsoonspread_borders::relay::{Backoff, UpstreamAnnouncement};
use monsoonspread_decisions::announced::DEFAULT_BACKOFF_MS;
use monsoonspread_model::{InstanceName, UpstreamName};

use super::{LeavingUpstream, PeerGossip};
use crate::event::{Line, kind};
use crate::shared::Shared;

impl Shared {
    /// Returns what all instances should know.
    pub fn gossip(&self) -> PeerGossip {
        PeerGossip {
            suspects: self.suspects.fleet_wide(self.now()),
            leaving: self.fleet.borrow().announced_leaving(),
        }
    }

    /// Merges gossip of another instance.
    pub fn on_gossip(self: &Rc<Self>, peer: &InstanceName, gossip: &PeerGossip) {
        self.suspects.on_gossip(self, peer, &gossip.suspects);
        for leaving in &gossip.leaving {
            let LeavingUpstream {
                upstream,
                incarnation,
            } = leaving;
            self.on_leaving(peer.as_str(), upstream, *incarnation);
        }
    }

    /// Handles what an upstream announced in an answer to this instance.
    pub fn on_announcement(
        self: &Rc<Self>,
        source: &str,
        upstream: &UpstreamName,
        incarnation: u64,
        announcement: &UpstreamAnnouncement,
    ) {
        if announcement.is_leaving && self.on_leaving(source, upstream, incarnation) {
            let leaving = LeavingUpstream {
                upstream: upstream.clone(),
                incarnation,
            };
            let gossip = PeerGossip {
                leaving: vec![leaving],
                ..PeerGossip::default()
            };
            self.gossiper.send_to_feed_sources(self, &gossip);
        }
        if let Some(backoff) = &announcement.backoff {
            self.on_backoff(source, upstream, incarnation, backoff);
        }
    }

    /// Records that an upstream is leaving; returns false if that was known.
    fn on_leaving(
        self: &Rc<Self>,
        source: &str,
        upstream: &UpstreamName,
        incarnation: u64,
    ) -> bool {
        let now = self.now();
        let mut fleet = self.fleet.borrow_mut();
        let Some(event) = fleet.on_leaving(now, upstream, incarnation) else {
            return false;
        };
        drop(fleet);
        self.metrics.count("said", "leaving");
        Line::new(&kind::UPSTREAM_ANNOUNCED)
            .field("upstream", upstream)
            .field("incarnation", incarnation)
            .field("said", "leaving")
            .field("source", source)
            .log();
        self.gossiper.on_change();
        self.on_events(event.as_slice());
        true
    }

    fn on_backoff(
        &self,
        source: &str,
        upstream: &UpstreamName,
        incarnation: u64,
        backoff: &Backoff,
    ) {
        let now = self.now();
        let (label, backoff_ms) = match backoff {
            Backoff::Ms(ms) => ("later", *ms),
            Backoff::Malformed(_) => ("unreadable", DEFAULT_BACKOFF_MS),
        };
        let mut fleet = self.fleet.borrow_mut();
        let until = fleet.on_backoff(now, upstream, incarnation, backoff_ms);
        drop(fleet);
        self.metrics.count("said", label);
        let line = Line::new(&kind::UPSTREAM_ANNOUNCED)
            .field("upstream", upstream)
            .field("incarnation", incarnation)
            .field("said", label)
            .field("source", source)
            .field("for_ms", until.map_or(0, |until| until.ms_since(now)));
        match backoff {
            Backoff::Ms(_) => line.log(),
            Backoff::Malformed(text) => line.field("value", text).log(),
        }
    }
}

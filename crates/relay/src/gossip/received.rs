//! Handling of upstreams' announcements and other instances' gossip.

use std::rc::Rc;

use monsoonspread_borders::relay::{AnnouncedRate, Backoff, UpstreamAnnouncement};
use monsoonspread_decisions::announced::{DEFAULT_BACKOFF_MS, RateChange};
use monsoonspread_model::fleet::RateLimit;
use monsoonspread_model::{InstanceName, UnixMs, UpstreamName};

use super::{LeavingUpstream, PeerGossip, RateObservation};
use crate::event::{Line, kind};
use crate::shared::Shared;

/// Maximum number of unknown and malformed announcements that are logged.
const MAX_LOGGED_ANNOUNCEMENTS: usize = 256;

/// The answer in which an upstream made an announcement.
#[derive(Clone, Copy, Debug)]
pub enum AnswerSource<'a> {
    /// The answer to a client's request.
    Request {
        /// Id of the request.
        id: &'a str,
        /// When the request was sent.
        sent_at: UnixMs,
    },
    /// The answer to an order.
    Order,
    /// A report.
    Report,
    /// The answer to a check whether the upstream's process runs on.
    Check,
}

impl AnswerSource<'_> {
    /// Returns the kind of answer, for the log.
    fn name(self) -> &'static str {
        match self {
            Self::Request { .. } => "answer",
            Self::Order => "order",
            Self::Report => "report",
            Self::Check => "check",
        }
    }
}

impl Shared {
    /// Returns what all instances should know.
    pub fn gossip(&self) -> PeerGossip {
        PeerGossip {
            suspects: self.suspects.fleet_wide(self.now()),
            suspect_parts: self.suspects.fleet_wide_parts(self.now()),
            leaving: self.fleet.borrow().announced_leaving(),
            limits: self.rate_observations(),
        }
    }

    /// Merges gossip of another instance.
    pub fn on_gossip(self: &Rc<Self>, peer: &InstanceName, gossip: &PeerGossip) {
        self.suspects.on_gossip(self, peer, &gossip.suspects);
        self.suspects
            .on_part_gossip(self, peer, &gossip.suspect_parts);
        for leaving in &gossip.leaving {
            let LeavingUpstream {
                upstream,
                incarnation,
            } = leaving;
            self.on_leaving(peer.as_str(), upstream, *incarnation);
        }
        for observation in &gossip.limits {
            self.on_rate_observation(peer.as_str(), observation);
        }
    }

    /// Handles what an upstream announced in an answer to this instance.
    pub fn on_announcement(
        self: &Rc<Self>,
        source: AnswerSource<'_>,
        upstream: &UpstreamName,
        incarnation: u64,
        announcement: &UpstreamAnnouncement,
    ) {
        self.on_announced_rate(source, upstream, incarnation, &announcement.rate_limit);
        let source = source.name();
        if let Some(name) = &announcement.unknown {
            self.on_unknown_announcement(source, upstream, name);
        }
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

    /// Logs an announcement of a kind that this system doesn't know, once for each name.
    fn on_unknown_announcement(&self, source: &str, upstream: &UpstreamName, name: &str) {
        self.metrics.count("said", "unknown");
        if !self.is_first(name.to_owned()) {
            return;
        }
        Line::new(&kind::ANNOUNCEMENT_UNKNOWN)
            .field("upstream", upstream)
            .field("header", name)
            .field("source", source)
            .log();
    }

    /// Whether `announcement` was not logged before; false once too many were.
    fn is_first(&self, announcement: String) -> bool {
        let mut logged = self.logged_announcements.borrow_mut();
        logged.len() < MAX_LOGGED_ANNOUNCEMENTS && logged.insert(announcement)
    }

    /// Logs a malformed rate limit, once for each upstream and value.
    fn on_malformed_rate(
        &self,
        source: &str,
        upstream: &UpstreamName,
        incarnation: u64,
        value: &str,
    ) {
        self.metrics.count("said", "unreadable");
        if !self.is_first(format!("{upstream} {value}")) {
            return;
        }
        Line::new(&kind::UPSTREAM_ANNOUNCED)
            .field("upstream", upstream)
            .field("incarnation", incarnation)
            .field("said", "unreadable limit")
            .field("source", source)
            .field("value", value)
            .log();
    }

    /// Handles the rate limit in an answer, or its absence.
    fn on_announced_rate(
        self: &Rc<Self>,
        source: AnswerSource<'_>,
        upstream: &UpstreamName,
        incarnation: u64,
        rate: &AnnouncedRate,
    ) {
        let now = self.now();
        let (observed_at, limit) = match (rate, source) {
            (AnnouncedRate::Limit(limit), _) => (now, Some(*limit)),
            (AnnouncedRate::Unlimited, AnswerSource::Request { sent_at, .. }) => (sent_at, None),
            // Upstreams need not announce limits on requests in other answers.
            (AnnouncedRate::Unlimited, _) | (AnnouncedRate::Unknown, _) => return,
            (AnnouncedRate::Malformed(value), _) => {
                self.on_malformed_rate(source.name(), upstream, incarnation, value);
                return;
            }
        };
        let id = match source {
            AnswerSource::Request { id, .. } => id,
            AnswerSource::Order | AnswerSource::Report | AnswerSource::Check => "",
        };
        if self.on_rate_limit(source.name(), id, observed_at, upstream, incarnation, limit)
            && let Some(observation) = self.rate_observation(upstream)
        {
            let gossip = PeerGossip {
                limits: vec![observation],
                ..PeerGossip::default()
            };
            self.gossiper.send_to_feed_sources(self, &gossip);
        }
    }

    /// Merges another instance's observation of a rate limit.
    pub fn on_rate_observation(&self, source: &str, observation: &RateObservation) {
        let RateObservation {
            upstream,
            incarnation,
            limit,
            age_ms,
        } = observation;
        let observed_at = self.now() - *age_ms;
        self.on_rate_limit(source, "", observed_at, upstream, *incarnation, *limit);
    }

    /// Returns this instance's observation of an upstream's rate limit; `None` if it never announced
    /// one.
    pub fn rate_observation(&self, upstream: &UpstreamName) -> Option<RateObservation> {
        let fleet = self.fleet.borrow();
        let announcement = fleet.announcement(upstream)?;
        let observed_at = announcement.rate_observed_at?;
        Some(RateObservation {
            upstream: upstream.clone(),
            incarnation: announcement.incarnation,
            limit: announcement.rate_limit,
            age_ms: self.now().ms_since(observed_at),
        })
    }

    fn rate_observations(&self) -> Vec<RateObservation> {
        let upstreams = self.fleet.borrow().with_announced_rate();
        let observations = upstreams
            .iter()
            .filter_map(|name| self.rate_observation(name));
        observations.collect()
    }

    /// Records the rate limit of an upstream, as observed in the answer to the request `id` or by
    /// another instance; returns whether it changed.
    fn on_rate_limit(
        &self,
        source: &str,
        id: &str,
        observed_at: UnixMs,
        upstream: &UpstreamName,
        incarnation: u64,
        limit: Option<RateLimit>,
    ) -> bool {
        let mut fleet = self.fleet.borrow_mut();
        let change = fleet.on_rate_limit(observed_at, upstream, incarnation, limit);
        drop(fleet);
        let Some(RateChange { from, to }) = change else {
            return false;
        };
        self.gossiper.on_change();
        if to.is_none() {
            self.permits.on_unlimited(upstream);
        }
        let said = match to {
            Some(_) => "limit",
            None => "limit ended",
        };
        self.metrics.count("said", said);
        let per_s = |limit: Option<RateLimit>| limit.map_or("none".to_owned(), |l| l.to_string());
        Line::new(&kind::UPSTREAM_ANNOUNCED)
            .field("upstream", upstream)
            .field("incarnation", incarnation)
            .field("said", said)
            .field("source", source)
            .field("per_s", per_s(to))
            .field("before", per_s(from))
            .field("id", id)
            .log();
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

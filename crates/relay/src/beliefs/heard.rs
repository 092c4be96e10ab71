//! What becomes of what upstreams and other instances say.

use std::rc::Rc;

use monsoonspread_borders::relay::{AwayFor, UpstreamWord};
use monsoonspread_decisions::announced::DEFAULT_BACKOFF_MS;
use monsoonspread_model::{InstanceName, UpstreamName};

use super::{PeerBeliefs, PeerLeaving};
use crate::event::{Line, kind};
use crate::shared::Shared;

impl Shared {
    /// What all instances should know.
    pub fn beliefs(&self) -> PeerBeliefs {
        PeerBeliefs {
            suspects: self.suspects.notorious(self.now()),
            leaving: self.fleet.borrow().said_leaving(),
        }
    }

    /// Another instance told what it believes.
    pub fn on_told(self: &Rc<Self>, peer: &InstanceName, beliefs: &PeerBeliefs) {
        self.suspects.on_told(self, peer, &beliefs.suspects);
        for leaving in &beliefs.leaving {
            let PeerLeaving {
                upstream,
                incarnation,
            } = leaving;
            self.on_leaves(peer.as_str(), upstream, *incarnation);
        }
    }

    /// An upstream said something of itself in an answer to this instance.
    pub fn on_word(
        self: &Rc<Self>,
        source: &str,
        upstream: &UpstreamName,
        incarnation: u64,
        word: &UpstreamWord,
    ) {
        if word.leaves && self.on_leaves(source, upstream, incarnation) {
            let leaving = PeerLeaving {
                upstream: upstream.clone(),
                incarnation,
            };
            let beliefs = PeerBeliefs {
                leaving: vec![leaving],
                ..PeerBeliefs::default()
            };
            self.spread.tell_first(self, &beliefs);
        }
        if let Some(away) = &word.away {
            self.on_away(source, upstream, incarnation, away);
        }
    }

    /// An upstream leaves; false when it is known.
    fn on_leaves(self: &Rc<Self>, source: &str, upstream: &UpstreamName, incarnation: u64) -> bool {
        let now = self.now();
        let mut fleet = self.fleet.borrow_mut();
        let Some(event) = fleet.on_leaves(now, upstream, incarnation) else {
            return false;
        };
        drop(fleet);
        self.metrics.count("said", "leaving");
        Line::new(&kind::UPSTREAM_SAID)
            .field("upstream", upstream)
            .field("incarnation", incarnation)
            .field("said", "leaving")
            .field("source", source)
            .log();
        self.spread.on_change();
        self.on_events(event.as_slice());
        true
    }

    fn on_away(&self, source: &str, upstream: &UpstreamName, incarnation: u64, away: &AwayFor) {
        let now = self.now();
        let (said, away_ms) = match away {
            AwayFor::Ms(ms) => ("later", *ms),
            AwayFor::Unreadable(_) => ("unreadable", DEFAULT_BACKOFF_MS),
        };
        let mut fleet = self.fleet.borrow_mut();
        let until = fleet.on_away(now, upstream, incarnation, away_ms);
        drop(fleet);
        self.metrics.count("said", said);
        let line = Line::new(&kind::UPSTREAM_SAID)
            .field("upstream", upstream)
            .field("incarnation", incarnation)
            .field("said", said)
            .field("source", source)
            .field("for_ms", until.map_or(0, |until| until.ms_since(now)));
        match away {
            AwayFor::Ms(_) => line.log(),
            AwayFor::Unreadable(text) => line.field("value", text).log(),
        }
    }
}

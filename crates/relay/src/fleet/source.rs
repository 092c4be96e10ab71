//! News of the store from another instance of the zone.

use std::future::pending;
use std::net::SocketAddr;
use std::time::Duration;

use monsoonspread_decisions::change_feed::{FeedSourceSelector, FeedTiming};
use monsoonspread_model::{InstanceName, UnixMs};
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::time::timeout;

use crate::event::{Line, kind};
use crate::peers::{PeerNews, SourcedNews};
use crate::shared::Shared;

/// How often the source is asked to go on, in milliseconds.
const ASK_EVERY_MS: u64 = 1_000;

/// What was heard from the source.
pub(super) enum Heard {
    News(PeerNews),
    /// It has none to tell, and another source is needed.
    NoNews,
    /// It was silent for too long, and another source is needed.
    Nothing,
}

/// News of the store from another instance of the zone.
pub(super) struct Source {
    choice: FeedSourceSelector,
    silent_ms: u64,
    heard: UnboundedReceiver<SourcedNews>,
    current: Option<InstanceName>,
    ask_at: UnixMs,
}

impl Source {
    /// News for the instance `own` arrive on `heard`.
    pub(super) fn new(
        own: InstanceName,
        pace: FeedTiming,
        heard: UnboundedReceiver<SourcedNews>,
    ) -> Self {
        Self {
            choice: FeedSourceSelector::new(own),
            silent_ms: pace.source_timeout_ms,
            heard,
            current: None,
            ask_at: UnixMs(0),
        }
    }

    /// Who tells the news; `None` when this instance follows the store itself.
    pub(super) fn choose(&mut self, shared: &Shared) -> Option<(InstanceName, SocketAddr)> {
        let fleet = shared.fleet.borrow();
        let neighbours = fleet.members_of(&shared.settings.zone);
        let name = self.choice.choose(shared.now(), neighbours);
        let source = name.and_then(|name| Some((name.clone(), fleet.member(name)?)));
        let chosen = source.as_ref().map(|(name, _)| name);
        if self.current.as_ref() != chosen {
            Line::new(&kind::NEWS_SOURCE)
                .field("source", chosen.map_or("store", InstanceName::as_str))
                .log();
            self.current = chosen.cloned();
            self.ask_at = UnixMs(0);
            while self.heard.try_recv().is_ok() {}
        }
        source
    }

    /// The next news of the source.
    pub(super) async fn next(
        &mut self,
        shared: &Shared,
        (name, address): &(InstanceName, SocketAddr),
    ) -> Heard {
        let now = shared.now();
        if now >= self.ask_at {
            self.ask_at = now + ASK_EVERY_MS;
            shared.peers.follow(name, *address);
        }
        let heard = async {
            loop {
                match self.heard.recv().await {
                    Some((from, news)) if from == *name => return news,
                    Some(_) => {}
                    // Nothing more will be heard; the wait ends as with a silent source.
                    None => pending().await,
                }
            }
        };
        let news = timeout(Duration::from_millis(self.silent_ms), heard).await;
        let now = shared.now();
        let heard = match news {
            Ok(Some(news)) => return Heard::News(news),
            Ok(None) => {
                self.choice.on_declined(now, name.clone());
                Heard::NoNews
            }
            Err(_) => {
                self.choice.on_timeout(now, name.clone());
                Heard::Nothing
            }
        };
        Line::new(&kind::NEWS_LOST).field("source", name).log();
        heard
    }
}

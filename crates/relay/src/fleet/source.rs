//! News of the store from another instance of the zone.

use std::net::SocketAddr;
use std::time::Duration;

use monsoonspread_decisions::news_source::{NewsSource, Pace};
use monsoonspread_model::{InstanceName, UnixMs};
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::time::timeout;

use crate::event::{Line, kind};
use crate::peers::{PeerNews, SourcedNews};
use crate::shared::Shared;

/// How often the source is asked to go on, in milliseconds.
const ASK_EVERY_MS: u64 = 1_000;

/// News of the store from another instance of the zone.
pub(super) struct Source {
    choice: NewsSource,
    silent_ms: u64,
    heard: UnboundedReceiver<SourcedNews>,
    current: Option<InstanceName>,
    ask_at: UnixMs,
}

impl Source {
    /// News for the instance `own` arrive on `heard`.
    pub(super) fn new(
        own: InstanceName,
        pace: Pace,
        heard: UnboundedReceiver<SourcedNews>,
    ) -> Self {
        Self {
            choice: NewsSource::new(own),
            silent_ms: pace.silent_ms,
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

    /// The next news of the source; `None` when it has none to tell and another one is needed.
    pub(super) async fn next(
        &mut self,
        shared: &Shared,
        (name, address): &(InstanceName, SocketAddr),
    ) -> Option<PeerNews> {
        let now = shared.now();
        if now >= self.ask_at {
            self.ask_at = now + ASK_EVERY_MS;
            shared.peers.follow(name, *address);
        }
        let heard = async {
            loop {
                let (from, news) = self.heard.recv().await?;
                if from == *name {
                    return news;
                }
            }
        };
        let news = timeout(Duration::from_millis(self.silent_ms), heard).await;
        let now = shared.now();
        match &news {
            Ok(Some(_)) => {}
            Ok(None) => self.choice.on_declined(now, name.clone()),
            Err(_) => self.choice.on_silent(now, name.clone()),
        }
        let news = news.ok().flatten();
        if news.is_none() {
            Line::new(&kind::NEWS_LOST).field("source", name).log();
        }
        news
    }
}
